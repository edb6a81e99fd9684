package wharfcheck

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"wagtailwharf.example/wagtailwharf/wharfclient"
	"wagtailwharf.example/wagtailwharf/wharfexit"
	"wagtailwharf.example/wagtailwharf/wharfstreams"
	"wagtailwharf.example/wharf/state/wharfaudit"
	"wagtailwharf.example/wharf/state/wharfconfig"
	"wagtailwharf.example/wharf/transport/wharfoperator"
)

const (
	goodRoutes = "../../../platform/wharfcatalog/testdata/good.json"
	badRoutes  = "../../../platform/wharfcatalog/testdata/bad.json"
)

const goodBundle = `[[zone]]
name = "a"

[[organisation]]
name = "tema"
rate = 10.0
burst = 20.0

[[key]]
id = "tema-1"
organisation = "tema"
sha256 = "HASH"

[[service]]
name = "assist"
kind = "model"

[[endpoint]]
name = "e-1"
service = "assist"
availability-zone = "a"
url = "http://10.0.0.1:80"
slots = 8
`

// bundle returns the good bundle with replacements.
func bundle(replacements ...string) string {
	text := strings.NewReplacer(replacements...).Replace(goodBundle)
	return strings.ReplaceAll(text, "HASH", wharfconfig.Hash([]byte("secret")))
}

// run checks a bundle and returns the lines of the output without the file, the lines of the error output and the exit code.
func run(t *testing.T, text string, options Options) (out, errOut string, code int) {
	t.Helper()
	streams, outBuffer, errBuffer := wharfstreams.Test()
	options.Streams = streams
	if options.File == "" {
		options.File = filepath.Join(t.TempDir(), "bundle.toml")
		assert.NilError(t, os.WriteFile(options.File, []byte(text), 0o600))
	}
	assert.NilError(t, options.complete())
	err := Run(t.Context(), &options)
	return strings.ReplaceAll(outBuffer.String(), options.File, ""), errBuffer.String(), wharfexit.Code(err)
}

// TestBundleFindings guards against findings at the wrong line and against exit codes that a script misreads.
func TestBundleFindings(t *testing.T) {
	for name, test := range map[string]struct {
		text   string
		strict bool
		want   string
		code   int
	}{
		"good": {text: bundle(), strict: true},
		"warning": {
			text: bundle(`"tema-1"`, `"tema-1" # first`, "[[endpoint]]", "[[service]]\nname = \"idle\"\nkind = \"model\"\n[[endpoint]]"),
			want: ":18: warning: service \"idle\": has no endpoint\n",
		},
		"strict": {
			text: bundle("[[endpoint]]", "[[service]]\nname = \"idle\"\nkind = \"model\"\n[[endpoint]]"), strict: true,
			want: ":18: warning: service \"idle\": has no endpoint\n", code: 1,
		},
		"invalid": {
			text: bundle("rate = 10.0", "rate = 0", "[[service]]", "[[organisation]]\nname=\"tema\"\nrate=1\nburst=1\n[[service]]",
				`organisation = "tema"`, `organisation = "none"`),
			want: ":9: error: key \"tema-1\": unknown organisation \"none\"\n" +
				":14: error: organisation \"tema\": rate must be above 0 and burst at least 1\n" +
				":14: error: organisation \"tema\": stands twice\n",
			code: 2,
		},
		"unknown key": {
			text: bundle("slots", "solts"), code: 2,
			want: ":23: error: configuration: unknown key \"endpoint.solts\" on line 23\n",
		},
	} {
		t.Run(name, func(t *testing.T) {
			out, errOut, code := run(t, test.text, Options{Strict: test.strict})
			assert.Equal(t, out, test.want)
			assert.Equal(t, errOut, "not compared with the version in force\n")
			assert.Equal(t, code, test.code)
		})
	}
	out, _, code := run(t, "[[zone]]\nname = \n", Options{})
	assert.Assert(t, strings.HasPrefix(out, ":2: error: configuration: toml: line 2"), out)
	assert.Equal(t, code, 2)
}

// TestBundleIsComparedWithVersionInForce guards against a comparison with another text than the one that the service has.
func TestBundleIsComparedWithVersionInForce(t *testing.T) {
	exported := wharfoperator.ExportedConfiguration{Version: 3, Text: []byte(bundle())}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		assert.Check(t, r.URL.Path == "/v1/config")
		assert.Check(t, json.NewEncoder(w).Encode(exported) == nil)
	}))
	defer server.Close()
	client := &wharfclient.Client{BaseURL: server.URL, HTTP: server.Client()}
	out, errOut, code := run(t, bundle("rate = 10.0", "rate = 9.0", "slots = 8", "slots = 4"), Options{Client: client, Strict: true})
	assert.Equal(t, out, ":4: difference: organisation \"tema\": changed: rate 9, was 10\n"+
		":18: difference: endpoint \"e-1\": changed: slots 4, was 8\n")
	assert.Equal(t, errOut, "")
	assert.Equal(t, code, 0)
	exported.Text = nil // no version is in force
	_, errOut, code = run(t, bundle(), Options{Client: client, Strict: true})
	assert.Equal(t, errOut, "not compared with the version in force\n")
	assert.Equal(t, code, 0)
	exported.Text = []byte("[[")
	_, _, code = run(t, bundle(), Options{Client: client})
	assert.Equal(t, code, wharfexit.Usage)
}

// TestRoutes guards against findings that are lost between the decoder, the audit and the output.
func TestRoutes(t *testing.T) {
	out, errOut, code := run(t, "", Options{File: goodRoutes, InForce: goodRoutes, Strict: true})
	assert.Equal(t, out+errOut, "")
	assert.Equal(t, code, 0)
	shared := wharfconfig.Hash([]byte("shared-secret"))[:8]
	out, errOut, code = run(t, "", Options{File: badRoutes, InForce: goodRoutes})
	assert.Equal(t, errOut, "")
	assert.Equal(t, code, 2)
	for _, want := range []string{
		`:6: error: route "talk": no request reaches it: route "chat" has the same host and prefix`,
		`:6: error: route "talk": service "gone" does not exist`,
		`:18: error: key "` + shared + `": organisations "tema" and "accra" hold the same key`,
		`:2: error: configuration: version 7 is not newer than 7`,
		`:4: warning: route "chat": objective 300ms is longer than the timeout 200ms`,
		`:6: warning: route "talk": unknown kind "odd"`,
		`:10: warning: service "assist": limit for cold endpoints without the time that they are cold`,
		`:12: warning: limits: no idle timeout`,
		`:14: warning: organisation "tema": rate is lowered from 100 to 40`,
		`: warning: key "` + wharfconfig.Hash([]byte("tema-spare"))[:8] + `": removed`,
		`:6: difference: route "talk": added`,
		`: difference: route "night": removed`,
	} {
		assert.Assert(t, strings.Contains("\n"+out, "\n"+want), "%s is not in\n%s", want, out)
	}
	assert.Assert(t, !strings.Contains(out, "secret"), "a finding discloses a key")
}

// TestJSON guards against output that programs can't read, also if there is no finding.
func TestJSON(t *testing.T) {
	out, _, _ := run(t, bundle(), Options{JSON: true})
	assert.Equal(t, out, "[]\n")
	out, _, code := run(t, "", Options{File: badRoutes, JSON: true})
	assert.Equal(t, code, 2)
	var findings []wharfaudit.Finding
	assert.NilError(t, json.Unmarshal([]byte(out), &findings))
	assert.DeepEqual(t, findings[0], wharfaudit.Finding{
		Severity: wharfaudit.Error, Kind: wharfaudit.KindRoute, Name: "talk", Line: 6,
		Reason: `no request reaches it: route "chat" has the same host and prefix`,
	})
}

// TestFormat guards against a file that is decoded in the other format.
func TestFormat(t *testing.T) {
	for _, test := range []struct{ file, format, want string }{
		{"a.json", "", formatJSON}, {"a.toml", "", formatTOML}, {"a", "", formatTOML}, {"a.json", "toml", formatTOML},
	} {
		options := Options{File: test.file, Format: test.format}
		assert.NilError(t, options.complete())
		assert.Equal(t, options.Format, test.want)
	}
	assert.Equal(t, wharfexit.Code((&Options{File: "a", Format: "xml"}).complete()), wharfexit.Usage)
	out, _, code := run(t, bundle(), Options{Format: formatJSON})
	assert.Assert(t, strings.HasPrefix(out, ":1: error: configuration: line 1: "), out)
	assert.Equal(t, code, 2)
}
