package wharftrace

import (
	"errors"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wagtailwharf.example/wagtailwharf/wharfexit"
	"wagtailwharf.example/wagtailwharf/wharfstreams"
)

const logs = `{"time":"2026-02-14T12:33:09.5Z","level":"INFO","msg":"request refused","host":"b","availability-zone":"z","request-id":"r1","code":"busy"}
{"time":"2026-02-14T12:33:08.5Z","level":"INFO","msg":"attempt failed","host":"a","availability-zone":"z","request-id":"r1","endpoint":"e1"}
{"time":"2026-02-14T12:33:08.4Z","level":"INFO","msg":"endpoint gone","host":"a","availability-zone":"z","endpoint":"e1"}
{"time":"2026-02-14T12:33:08.4Z","level":"INFO","msg":"endpoint gone","host":"c","availability-zone":"z","endpoint":"e1"}
{"time":"2026-02-14T12:33:08.4Z","level":"INFO","msg":"request answered","host":"a","availability-zone":"z","request-id":"r2"}
{"time":"2026-02-14T12:33:10.0Z","level":"INFO","msg":"batch item attempted","host":"a","availability-zone":"z","request-id":"i1","job":"j1","next":"completed"}
not a log line
`

func TestTrace(t *testing.T) {
	for _, c := range []struct {
		name   string
		id     string
		around time.Duration
		want   string
		code   int
	}{
		{"request over two hosts", "r1", 0,
			"12:33:08.500\ta\tattempt failed\tendpoint=e1 request-id=r1\n12:33:09.500\tb\trequest refused\tcode=busy request-id=r1\n", 0},
		{"with what its hosts believed", "r1", time.Second,
			"12:33:08.400\ta\tendpoint gone\tendpoint=e1\n12:33:08.500\ta\tattempt failed\tendpoint=e1 request-id=r1\n" +
				"12:33:09.500\tb\trequest refused\tcode=busy request-id=r1\n", 0},
		{"items of a job", "j1", 0, "12:33:10.000\ta\tbatch item attempted\tjob=j1 next=completed request-id=i1\n", 0},
		{"unknown id", "r9", 0, "", wharfexit.Failure},
		{"no id", "", 0, "", wharfexit.Usage},
	} {
		t.Run(c.name, func(t *testing.T) {
			streams, out, _ := wharfstreams.Test()
			streams.In = strings.NewReader(logs)
			err := Run(&Options{Streams: streams, ID: c.id, Window: c.around})
			var exit *wharfexit.Error
			if c.code != 0 {
				assert.Assert(t, errors.As(err, &exit))
				assert.Equal(t, exit.Code, c.code)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, out.String(), c.want)
		})
	}
}

func TestLinesThatAreNoneAreCounted(t *testing.T) {
	streams, _, errOut := wharfstreams.Test()
	streams.In = strings.NewReader(logs)
	assert.NilError(t, Run(&Options{Streams: streams, ID: "r1", JSON: true}))
	assert.Assert(t, strings.Contains(errOut.String(), "1 lines"))
}
