package wharfroot

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/urfave/cli/v3"
	"gotest.tools/v3/assert"

	"wagtailwharf.example/wagtailwharf/wharfclient"
	"wagtailwharf.example/wagtailwharf/wharfexit"
	"wagtailwharf.example/wagtailwharf/wharffactory"
	"wagtailwharf.example/wagtailwharf/wharfstreams"
	"wagtailwharf.example/wharf/coordination/wharfrollout"
	"wagtailwharf.example/wharf/state/wharfconfig"
	"wagtailwharf.example/wharf/transport/wharfoperator"
)

const bundleText = `[[zone]]
name = "a"

[[organisation]]
name = "tema"
rate = 10.0
burst = 20.0

[[service]]
name = "solver-assist"
kind = "model"
`

// fakeHost is an HTTP handler that maps a method and path, such as "GET /v1/hosts", to a response body. The prefix
// "409" sets the status.
type fakeHost map[string]string

func (h fakeHost) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	text, found := h[r.Method+" "+r.URL.Path]
	if after := r.URL.Query().Get("after"); after != "" && after != "x&limit=1#" {
		found = false
	}
	if !found {
		w.WriteHeader(http.StatusNotFound)
		text = `{"error":{"code":"not-found","message":"nothing here","run-state":"not-run"}}`
	}
	if strings.HasPrefix(text, "409") {
		w.WriteHeader(http.StatusConflict)
		text = strings.TrimPrefix(text, "409")
	}
	_, _ = w.Write([]byte(text))
}

type fixture struct {
	out, errOut *bytes.Buffer
	streams     *wharfstreams.Streams
	factory     *wharffactory.Factory
	dir         string
}

func newFixture(t *testing.T, host fakeHost) *fixture {
	t.Helper()
	server := httptest.NewServer(host)
	t.Cleanup(server.Close)
	streams, out, errOut := wharfstreams.Test()
	client := func(*cli.Command) (*wharfclient.Client, error) {
		return &wharfclient.Client{BaseURL: server.URL, Token: "token", HTTP: server.Client()}, nil
	}
	f := &fixture{out: out, errOut: errOut, streams: streams, dir: t.TempDir()}
	f.factory = &wharffactory.Factory{Streams: streams, CallerClient: client, OperatorClient: client}
	assert.NilError(t, os.WriteFile(f.path("bundle.toml"), []byte(bundleText), 0o600))
	return f
}

func (f *fixture) path(name string) string {
	return filepath.Join(f.dir, name)
}

func (f *fixture) run(args ...string) error {
	for i, arg := range args {
		args[i] = strings.ReplaceAll(arg, "DIR", f.dir)
	}
	return New(f.factory).Run(context.Background(), append([]string{"wagtailwharf"}, args...))
}

func exportedConfig(t *testing.T) string {
	t.Helper()
	data, err := json.Marshal(wharfoperator.ExportedConfiguration{
		Version: 7, Hash: wharfconfig.Hash([]byte(bundleText)), Text: []byte(bundleText),
	})
	assert.NilError(t, err)
	return string(data)
}

// newFakeHost returns a fake host with one object of each kind.
func newFakeHost(t *testing.T) fakeHost {
	t.Helper()
	job := `{"id":"batch_1","status":"completed","output_file_id":"out","request_counts":{"total":3,"completed":2,"failed":1}}`
	return fakeHost{
		"GET /v1/config":        exportedConfig(t),
		"GET /v1/config/status": `{"entry-1":7,"entry-2":0}`,
		"GET /v1/config/history": `[{"version":7,"hash":"0123456789abcdef","signers":["ana"],"applied-by":"ben"},
			{"version":8,"hash":"short","signers":["ana"],"applied-by":"eva"}]`,
		"GET /v1/hosts":                   `[{"host":"entry-1","epoch":4,"availability-zone":"a","live":true,"peer":"10.0.0.1:1","caller":"10.0.0.1:2"}]`,
		"POST /v1/hosts/drain":            `{}`,
		"POST /v1/hosts/remove":           `{}`,
		"GET /v1/endpoints":               `[{"Name":"e","Service":"s","availability-zone":"a","url":"http://e","slots":4,"running":1}]`,
		"GET /v1/latencies":               `[{"organisation":"tema","class":"online","measure":"first-token","count":5,"p50-ms":1.5}]`,
		"GET /v1/batches":                 `{"data":[` + job + `]}`,
		"GET /v1/batches/batch_1":         job,
		"GET /v1/files/out/content":       "{\"custom_id\":\"a\"}\n",
		"POST /v1/files":                  `{"id":"file-1"}`,
		"POST /v1/batches":                job,
		"POST /v1/batches/batch_1/cancel": `{"id":"batch_1","status":"cancelled"}`,
		"POST /v1/chat/completions":       "data: {\"choices\":[{\"delta\":{\"content\":\"fine\"}}]}\n\ndata: [DONE]\n\n",
	}
}

func TestCommands(t *testing.T) {
	host := newFakeHost(t)
	tests := []struct {
		args string
		code int
		want string
	}{
		{"version", wharfexit.OK, "wagtailwharf " + Version},
		{"config validate DIR/bundle.toml", wharfexit.OK, "is valid: 1 organisations"},
		{"config validate DIR/missing.toml", wharfexit.Usage, "give the TOML file"},
		{"config validate", wharfexit.Usage, "no bundle file given"},
		{"config check DIR/bundle.toml", wharfexit.OK, "organisation \"tema\": has no key"},
		{"config check DIR/bundle.toml --strict --json", wharfexit.Failure, `"reason": "has no key"`},
		{"--operators x config check DIR/bundle.toml --format json", wharfexit.Usage, "error: configuration"},
		{"config check DIR/missing.toml", wharfexit.Usage, "holds a configuration"},
		{"config check", wharfexit.Usage, "no configuration file given"},
		{"config check DIR/bundle.toml --format xml", wharfexit.Usage, "--format toml"},
		{"config diff DIR/bundle.toml", wharfexit.OK, ""},
		{"config status", wharfexit.OK, "entry-2\t0"},
		{"--json config status", wharfexit.OK, `"entry-1": 7`},
		{"config history", wharfexit.OK, "7\t0123456789ab\tana\tben"},
		{"config history", wharfexit.OK, "8\tshort\tana\teva"},
		{"config export", wharfexit.OK, "solver-assist"},
		{"config import DIR/bundle.toml --hash 0", wharfexit.Failure, "no changes were made"},
		{"org list", wharfexit.OK, "tema\t10\t20\t1"},
		{"key list DIR/bundle.toml", wharfexit.OK, ""},
		{"key withdraw DIR/bundle.toml --id none", wharfexit.Usage, "key list FILE"},
		{"host list", wharfexit.OK, "entry-1\ta\t4"},
		{"host drain", wharfexit.OK, "accepts no new work"},
		{"host remove entry-1 --availability-zone a", wharfexit.OK, "entry-1 was removed from availability zone a"},
		{"host latency", wharfexit.OK, "tema\tonline\tfirst-token\t5\t1.5"},
		{"endpoint list", wharfexit.OK, "e\ts\ta\thttp://e\t4\t1\tfalse"},
		{"endpoint order DIR/bundle.toml --service none --model-version 2", wharfexit.Usage, "give the name of a service"},
		{"job list", wharfexit.OK, "batch_1\tcompleted\t3\t2\t1"},
		{"job status batch_1", wharfexit.OK, "batch_1\tcompleted"},
		{"job status batch_2", wharfexit.NotRun, "not-found"},
		{"job results batch_1", wharfexit.OK, `"custom_id":"a"`},
		{"job submit DIR/bundle.toml", wharfexit.OK, "batch_1"},
		{"job submit DIR/missing", wharfexit.Usage, "one JSON item per line"},
		{"job cancel batch_1", wharfexit.OK, "cancelled"},
		{"job watch batch_1", wharfexit.OK, "completed: 3 of 3 items"},
		{"job watch batch_1 --period 0s", wharfexit.Usage, "--period"},
		{"job status ../hosts", wharfexit.NotRun, "not-found"},
		{"job list --after x&limit=1#", wharfexit.OK, "batch_1\tcompleted"},
		{"chat --model m how", wharfexit.OK, "fine"},
		{"chat --model m", wharfexit.Usage, "no question given"},
		{"job list --bogus", wharfexit.Usage, "bogus"},
	}
	for _, test := range tests {
		t.Run(test.args, func(t *testing.T) {
			f := newFixture(t, host)
			err := f.run(strings.Fields(test.args)...)
			assert.Equal(t, wharfexit.Code(err), test.code, "%v", err)
			output := f.out.String() + f.errOut.String()
			if err != nil {
				output += err.Error()
			}
			assert.Assert(t, strings.Contains(output, test.want), output)
		})
	}
}

func TestKeyIsCreatedSignedAndApplied(t *testing.T) {
	result, err := json.Marshal(wharfrollout.Result{Version: 8, InForce: true})
	assert.NilError(t, err)
	f := newFixture(t, fakeHost{"GET /v1/config": exportedConfig(t), "POST /v1/config": string(result)})
	assert.NilError(t, f.run("key", "create", "DIR/bundle.toml", "--organisation", "tema", "--id", "tema-1"))
	key := strings.TrimSpace(f.out.String())
	text, err := os.ReadFile(f.path("bundle.toml"))
	assert.NilError(t, err)
	assert.Assert(t, !strings.Contains(string(text), key))
	assert.Assert(t, strings.Contains(string(text), wharfconfig.Hash([]byte(key))))
	assert.NilError(t, f.run("signer", "create", "ana", "--out", "DIR/ana.key"))
	assert.NilError(t, f.run("config", "sign", "DIR/bundle.toml", "--signer", "ana", "--key-file", "DIR/ana.key"))
	assert.NilError(t, f.run("config", "apply", "DIR/bundle.toml", "--signature", "DIR/bundle.toml.ana.sig"))
	assert.Assert(t, strings.Contains(f.out.String(), "version 8 is in force on every host"))
	assert.NilError(t, f.run("key", "withdraw", "DIR/bundle.toml", "--id", "tema-1"))
	after, err := os.ReadFile(f.path("bundle.toml"))
	assert.NilError(t, err)
	assert.Equal(t, strings.TrimSpace(string(after)), strings.TrimSpace(bundleText))
}

func TestApplyReportsOutcome(t *testing.T) {
	pending, err := json.Marshal(wharfrollout.Result{Version: 8, Unconfirmed: []string{"entry-2"}})
	assert.NilError(t, err)
	tests := []struct {
		name, response, want string
		code                 int
	}{
		{"pending", string(pending), "not confirmed by entry-2", wharfexit.NotInForce},
		{"race lost", `409{"error":{"code":"stale-parent","message":"by ben"}}`, "stale-parent: by ben", wharfexit.Conflict},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, fakeHost{"GET /v1/config": exportedConfig(t), "POST /v1/config": test.response})
			err := f.run("config", "apply", "DIR/bundle.toml")
			assert.Equal(t, wharfexit.Code(err), test.code)
			assert.ErrorContains(t, err, test.want)
		})
	}
}

// TestCheckAsksForVersionInForce guards against a check that compares only if a file is given.
func TestCheckAsksForVersionInForce(t *testing.T) {
	f := newFixture(t, newFakeHost(t))
	changed := strings.Replace(bundleText, "burst = 20.0", "burst = 30.0", 1)
	assert.NilError(t, os.WriteFile(f.path("changed.toml"), []byte(changed), 0o600))
	assert.NilError(t, f.run("--operators", "x", "config", "check", "DIR/changed.toml"))
	assert.Assert(t, strings.Contains(f.out.String(), "burst 30, was 20"), f.out.String())
	assert.Equal(t, f.errOut.String(), "")
}

func TestTableHasHeaderOnTerminal(t *testing.T) {
	f := newFixture(t, fakeHost{"GET /v1/config/status": `{"entry-1":7}`})
	f.streams.Terminal = true
	assert.NilError(t, f.run("config", "status"))
	assert.Equal(t, f.out.String(), "HOST     VERSION\nentry-1  7\n")
}

func TestClientsRequireFlagsOrEnvironment(t *testing.T) {
	streams, _, _ := wharfstreams.Test()
	t.Setenv("WHARF_CALLERS", "")
	t.Setenv("WHARF_OPERATORS", "")
	for _, args := range [][]string{{"wagtailwharf", "job", "list"}, {"wagtailwharf", "host", "list"}} {
		err := New(wharffactory.New(streams)).Run(context.Background(), args)
		assert.Equal(t, wharfexit.Code(err), wharfexit.Usage)
		assert.ErrorContains(t, err, "or set WHARF_")
	}
}
