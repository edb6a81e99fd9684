package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// run is a request that a worker began to work on.
type run struct {
	id, tenant, path, body, after string
	at                            time.Time
	completed                     bool
}

// worker is a stand-in of a model worker: it runs slots requests at once, in order of arrival, and streams events.
type worker struct {
	id        string
	zone      string
	address   string
	slots     chan struct{}
	events    int
	eventTime time.Duration
	record    *record
	mu        sync.Mutex
	runs      []*run
	trouble   bool // bodies are line feeds without end
}

// addWorker starts a worker and registers it in the store until ctx ends.
func (d *deployment) addWorker(
	ctx context.Context, id, zone string, slots, events int, eventTime time.Duration,
) (*worker, error) {
	w := &worker{
		id: id, zone: zone, slots: make(chan struct{}, slots), events: events, eventTime: eventTime, record: d.record,
	}
	address, err := d.serve(w)
	if err != nil {
		return nil, err
	}
	w.address = address
	d.workers = append(d.workers, w)
	born := time.Now().UnixMilli()
	register := func(sequence int) error {
		return d.store.PutRow("servers", id, map[string]any{
			"service": serviceName, "address": address, "zone": zone, "version": "v1", "slots": slots, "state": "ready",
			wire("cold-time"): 0, "sequence": sequence, "born": born,
		})
	}
	go func() {
		for sequence := 2; ctx.Err() == nil; sequence++ {
			pause(ctx, heartbeat)
			if !d.store.isDown() {
				_ = register(sequence)
			}
		}
	}()
	return w, register(1)
}

// eventData returns the data of an event of a request.
func eventData(id string, event int) string {
	return fmt.Sprintf("%s.%d", id, event)
}

// wholeOutput returns the output of a batch item that ran to its end.
func (w *worker) wholeOutput(id string) string {
	text := eventData(id, 1)
	for event := 2; event <= w.events; event++ {
		text += "\n" + eventData(id, event)
	}
	return text
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(writer http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		writer.Header().Set(wire("worker-id"), w.id)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get(wire("attempt-id"))
	writer.Header().Set(wire("attempt-id"), id)
	if expected := r.Header.Get(wire("expected-worker")); expected != "" && expected != w.id {
		writer.Header().Set(wire("not-run"), "1")
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		writer.Header().Set(wire("not-run"), "1")
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	ctx := r.Context()
	if limit, err := strconv.Atoi(r.Header.Get(wire("deadline"))); err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(limit)*time.Millisecond)
		defer cancel()
	}
	select {
	case w.slots <- struct{}{}:
	case <-ctx.Done():
		writer.Header().Set(wire("not-run"), "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-w.slots }()
	began := &run{
		id: id, tenant: r.Header.Get("Tenant"), path: r.RequestURI, body: string(body),
		after: r.Header.Get(wire("last-event-id")), at: time.Now(),
	}
	w.mu.Lock()
	w.runs = append(w.runs, began)
	w.mu.Unlock()
	w.record.note("worker %s: runs %s of tenant %q at %s", w.id, id, began.tenant, began.path)
	w.stream(ctx, writer, began)
}

// stream writes the events after the one that the request names.
func (w *worker) stream(ctx context.Context, writer http.ResponseWriter, r *run) {
	writer.Header().Set("Content-Type", "text/event-stream")
	writer.Header().Set(wire("signature"), "signed-"+r.id)
	after, err := strconv.Atoi(r.after)
	if err != nil {
		after = 0
	}
	if w.inTrouble() {
		w.sendLineFeeds(ctx, writer)
		return
	}
	for event := after + 1; event <= w.events; event++ {
		select {
		case <-time.After(w.eventTime):
		case <-ctx.Done():
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(writer, "id: %d\ndata: %s\n\n", event, eventData(r.id, event)); err != nil {
			return
		}
		_ = http.NewResponseController(writer).Flush()
	}
	w.mu.Lock()
	r.completed = true
	w.mu.Unlock()
}

// setTrouble starts or ends the worker's trouble.
func (w *worker) setTrouble(trouble bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.trouble = trouble
	w.record.note("worker %s: bodies are line feeds without end %v", w.id, trouble)
}

func (w *worker) inTrouble() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.trouble
}

// sendLineFeeds sends line feeds until the caller closes the connection.
func (w *worker) sendLineFeeds(ctx context.Context, writer io.Writer) {
	const chunk = 1000
	for data := bytes.Repeat([]byte("\n"), chunk); ctx.Err() == nil; {
		if _, err := writer.Write(data); err != nil {
			return
		}
	}
}

// allRuns returns copies of all runs at all workers.
func (d *deployment) allRuns() []run {
	var runs []run
	for _, w := range d.workers {
		w.mu.Lock()
		for _, r := range w.runs {
			runs = append(runs, *r)
		}
		w.mu.Unlock()
	}
	return runs
}

// completedRuns returns the number of requests that a worker has finished.
func (d *deployment) completedRuns() int {
	done := map[string]bool{}
	for _, r := range d.allRuns() {
		if r.completed {
			done[r.id] = true
		}
	}
	return len(done)
}
