package wharfuntrusted

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wagtailwharf.example/platform/wharfstandin"
	"wagtailwharf.example/wharf-load/wharfstack"
)

const (
	// gatewayMemoryMB is the bound of the peak resident memory of a daemon of our own interface whose largest input file has
	// maxUploadBytes.
	gatewayMemoryMB = 160
	maxUploadBytes  = 16 << 20
	uploaders       = 24
)

// startGateway starts a deployment with one daemon of our own interface.
func startGateway(t *testing.T) (d *daemon, key string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 2*waitLimit)
	defer cancel()
	stack, err := wharfstack.Start(ctx, wharfstack.Options{
		BinDir: binaries, WorkDir: t.TempDir(), Zones: []string{"zone"}, Region: "region", DaemonsPerZone: 1, EnginesPerZone: 1,
		Slots: 8, TokenTime: time.Millisecond, Service: service, LeaseTerm: 2 * time.Second, Headroom: 0.375,
		Organisations: []wharfstack.Organisation{{Name: "a", Rate: 10000, Burst: 10000}},
		Limits:        fmt.Sprint("max-upload-bytes = ", maxUploadBytes),
	})
	assert.NilError(t, err)
	t.Cleanup(stack.Stop)
	p := stack.Daemons[0]
	key = stack.Keys["a"]
	operators := strings.TrimPrefix(p.OperatorURL, "http://")
	d = &daemon{
		t: t, process: p.Process, logs: stack.Options.WorkDir + "/" + p.Name + ".log", memoryMB: gatewayMemoryMB,
		callers: p.Address, readiness: netip.MustParseAddrPort(operators),
	}
	d.ordinary = func(int) error { return complete(t, p.URL, key) }
	return d, key
}

// complete sends an ordinary completion and reads the response.
func complete(t *testing.T, url, key string) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	body := fmt.Sprintf(`{"model":%q,"max_tokens":4,"messages":[{"role":"user","content":"hello"}]}`, service)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode != http.StatusOK {
		err = fmt.Errorf("%w: %d %s", errNotServed, response.StatusCode, text)
	}
	return err
}

// post has a crowd send raw requests to our own interface.
func (d *daemon) post(clients int, key, path, contentType string, r wharfstandin.RawRequest) []net.Conn {
	d.t.Helper()
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Type: %s\r\n", path, key, contentType)
	return crowd(d.t, clients, func(int) (net.Conn, error) { return r.Send(d.callers, head) })
}

// prompt returns the body of a completion of the largest legal size.
func prompt() []byte {
	start := fmt.Sprintf(`{"model":%q,"max_tokens":4,"messages":[{"role":"user","content":"`, service)
	const end = `"}]}`
	return append(append([]byte(start), legalBody[len(start)+len(end):]...), end...)
}

// TestGatewayBodiesThatStopShort guards our own interface against bodies whose end never comes.
func TestGatewayBodiesThatStopShort(t *testing.T) {
	for name, r := range map[string]wharfstandin.RawRequest{
		"announced": {Announce: maxBodyBytes, Body: prompt()[:maxBodyBytes-shortBy]},
		"chunked":   {Chunk: 1 << 16, Body: prompt()[:maxBodyBytes-shortBy]},
	} {
		t.Run(name, func(t *testing.T) {
			d, key := startGateway(t)
			d.post(crowdSize, key, "/v1/chat/completions", "application/json", r)
			d.assertServes()
		})
	}
}

// TestGatewayWholeLargeBodies guards our own interface against many whole bodies of the largest legal size at once. They go to
// a plain service, since an engine takes long to read such prompts.
func TestGatewayWholeLargeBodies(t *testing.T) {
	d, key := startGateway(t)
	d.post(crowdSize, key, "/services/ledger/read", "text/plain", wharfstandin.RawRequest{Announce: maxBodyBytes, Body: legalBody})
	d.assertServes()
}

// TestGatewayUploadsThatStopShort guards our own interface against input files whose end never comes.
func TestGatewayUploadsThatStopShort(t *testing.T) {
	const start = "--b\r\nContent-Disposition: form-data; name=\"file\"; filename=\"f\"\r\n\r\n"
	d, key := startGateway(t)
	body := append([]byte(start), bytes.Repeat([]byte("x"), maxUploadBytes-1000)...)
	d.post(uploaders, key, "/v1/files", "multipart/form-data; boundary=b", wharfstandin.RawRequest{Announce: maxUploadBytes, Body: body})
	d.assertServes()
}

// TestGatewayConnections guards our own interface against connections without a request and heads without an end.
func TestGatewayConnections(t *testing.T) {
	for name, port := range map[string]func(*daemon) netip.AddrPort{
		"callers":   func(d *daemon) netip.AddrPort { return d.callers },
		"operators": func(d *daemon) netip.AddrPort { return d.readiness },
	} {
		t.Run(name, func(t *testing.T) {
			d, _ := startGateway(t)
			crowd(t, manyConnections, func(client int) (net.Conn, error) {
				return wharfstandin.SendUnfinishedHead(port(d), client%2*1_000_000)
			})
			d.assertServes()
		})
	}
}
