package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// writers tells which daemon last wrote to the store under a condition. Each daemon calls the store at an address of its own.
type writers struct {
	mu   sync.Mutex
	last string
}

// serve serves the store to one daemon.
func (w *writers) serve(d *deployment, name string) (netip.AddrPort, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	server := &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost && r.URL.Path == wire("transaction-path") {
			body, _ := io.ReadAll(r.Body)
			r.Body = io.NopCloser(bytes.NewReader(body))
			var call map[string]json.RawMessage
			var conditions []json.RawMessage
			status := &statusWriter{ResponseWriter: rw, status: http.StatusOK}
			d.store.ServeHTTP(status, r)
			if json.Unmarshal(body, &call) == nil && json.Unmarshal(call[wire("conditions")], &conditions) == nil && len(conditions) > 0 && status.status == http.StatusOK {
				w.mu.Lock()
				w.last = name
				w.mu.Unlock()
			}
			return
		}
		d.store.ServeHTTP(rw, r)
	})}
	go func() { _ = server.Serve(listener) }()
	return netip.MustParseAddrPort(listener.Addr().String()), nil
}

func (w *writers) lastWriter() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.last
}

// sender returns the daemon that last wrote under a condition, which owns the only batch job, and for how long it has been up.
func (w *writers) sender(d *deployment) (name string, up time.Duration) {
	name = w.lastWriter()
	for _, n := range d.daemons {
		if n.name == name {
			return name, time.Since(time.Unix(0, n.startedAt.Load()))
		}
	}
	return name, 0
}

// statusWriter notes the status of a response. A write whose condition does not hold is none.
type statusWriter struct {
	http.ResponseWriter
	status int
}

// WriteHeader implements http.ResponseWriter.
func (w *statusWriter) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}
