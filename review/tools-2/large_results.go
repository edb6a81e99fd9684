package main

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"wagtailwharf.example/platform/wharfstandin"
)

const (
	// blobTime and answerTime are the store's times for a call on an object and any other: blob_ms of the settings and "4 ms an
	// answer" of the sheets. wayTime is the way to the store and back, 0.9 ms each between zones.
	blobTime   = 25 * time.Millisecond
	answerTime = 4 * time.Millisecond
	wayTime    = 1800 * time.Microsecond
	// eventsOut is that of the sheets for the batch kind of request. With eventBytes of data each, an output has eventsOut lines.
	eventsOut = 219
)

// streamingWorker answers each item with events of a size.
type streamingWorker struct {
	id         string
	eventBytes int
}

func (w *streamingWorker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(wire("attempt-id"))
	rw.Header().Set(wire("attempt-id"), id)
	rw.Header().Set(wire("worker-id"), w.id)
	if r.Header.Get(wire("expected-worker")) != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	rw.Header().Set("Content-Type", "text/event-stream")
	rw.Header().Set(wire("signature"), "signed-"+id)
	after := 0
	_, _ = fmt.Sscan(r.Header.Get(wire("last-event-id")), &after)
	for event := after + 1; event <= eventsOut; event++ {
		_, _ = fmt.Fprintf(rw, "id: %d\ndata: %s\n\n", event, strings.Repeat("x", w.eventBytes))
	}
}

// largeResults has a batch job with outputs of over 40 KiB, and reads its results from the start.
func largeResults(d *deployment, trouble bool) (string, error) {
	const items = 40
	size := 150 // 219 lines of it have 33 KB
	if trouble {
		size = 190 // 219 lines of it have 42 KB
	}
	online := route("online", "/online/", "streaming", map[string]any{"resumable": true})
	if err := d.configure(1, []map[string]any{online, batchRoute("batch", "/batch/")}, oneTenant()); err != nil {
		return "", err
	}
	w := &streamingWorker{id: "worker-0", eventBytes: size}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: w}
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close() }()
	go d.beat(d.ctx, &wharfstandin.Endpoint{
		ID: w.id, Address: listener.Addr().String(), Service: service, Zone: "zone-a", Version: "v1", Slots: 8,
	})
	if d.address, err = timedStore(d); err != nil {
		return "", err
	}
	for _, zone := range []string{"a", "b"} {
		if _, err := d.addDaemon("host-"+zone, "zone-"+zone, 314); err != nil {
			return "", err
		}
	}
	if err := d.awaitReady(); err != nil {
		return "", err
	}
	time.Sleep(4 * time.Second)
	caller := d.caller()
	var list []map[string]any
	for i := range items {
		list = append(list, map[string]any{
			"id": fmt.Sprintf("job-1-item-%d", i), "path": fmt.Sprintf("/batch/%d", i), "body": []byte("body"),
			"headers": map[string]string{"Model": "m", wire("token-usage"): fmt.Sprintf("350,%d", eventsOut)}, "tokens": 350 + eventsOut,
		})
	}
	r := caller.Send(d.ctx, d.daemons[0].callers.String(), http.MethodPost, "/batch/job-1", "job-1", compact(map[string]any{"requests": list}))
	d.record.add("batch job job-1 with %d items sent to %s: status %d", items, d.daemons[0].name, r.Status)
	if r.Status != http.StatusAccepted {
		return "", fmt.Errorf("%w: status %d", errUnplayable, r.Status)
	}
	// The job ends when the last position is listed; a read of that one alone is short.
	listed := false
	for end := time.Now().Add(40 * time.Second); time.Now().Before(end) && !listed; time.Sleep(500 * time.Millisecond) {
		page, r := caller.ReadResults(d.ctx, d.daemons[0].callers.String(), "job-1", items-1, time.Second)
		listed = r.Status == http.StatusOK && len(page.Results) == 1
	}
	if !listed {
		return "", fmt.Errorf("%w: the last position was not read", errUnplayable)
	}
	d.record.add("position %d is read at %s: all %d items are listed", items-1, d.daemons[0].name, items)
	read, refused := 0, 0
	for start := time.Now(); time.Since(start) < 25*time.Second && read < items; time.Sleep(500 * time.Millisecond) {
		n := d.daemons[refused%2]
		sent := time.Now()
		page, r := caller.ReadResults(d.ctx, n.callers.String(), "job-1", read, 0)
		d.record.add("read from position %d at %s: status %d after %d ms, %d results", read, n.name, r.Status,
			time.Since(sent).Milliseconds(), len(page.Results))
		if r.Status == http.StatusOK && len(page.Results) > 0 {
			read = page.Next
			continue
		}
		refused++
	}
	if read < items {
		return fmt.Sprintf("LOST: the finished batch job can't be read: %d reads from position %d in 25 s at two calm daemons brought nothing, %d of %d results read",
			refused, read, read, items), nil
	}
	return "", nil
}

// timedStore serves the store with the times that the settings and the sheets state.
func timedStore(d *deployment) (netip.AddrPort, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	server := &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		took := answerTime
		if strings.HasPrefix(r.URL.Path, wire("object-path")) {
			took = blobTime
		}
		time.Sleep(took + wayTime)
		d.store.ServeHTTP(rw, r)
	})}
	go func() { _ = server.Serve(listener) }()
	return netip.MustParseAddrPort(listener.Addr().String()), nil
}
