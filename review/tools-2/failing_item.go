package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"wagtailwharf.example/platform/wharfstandin"
)

const (
	maxAttempts = 3
	// failAfter is how long the worker works on the item before it fails, and killEvery the pause between two kills.
	failAfter = 2500 * time.Millisecond
	killEvery = 7 * time.Second
	// restartAfter is the platform's delay before it starts a process again.
	restartAfter = time.Second
)

// failingWorker answers each item with 500, after some work.
type failingWorker struct {
	id       string
	mu       sync.Mutex
	answers  int       // of 500
	lateAt   time.Time // when the item came again after 3 x max_attempts answers
	lateFrom string
}

func (w *failingWorker) ServeHTTP(rw http.ResponseWriter, r *http.Request, d *deployment) {
	id := r.Header.Get(wire("attempt-id"))
	rw.Header().Set(wire("attempt-id"), id)
	rw.Header().Set(wire("worker-id"), w.id)
	if r.Header.Get(wire("expected-worker")) != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.Method == http.MethodGet {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body) // from then on the server notices that the connection closes
	sender, up := d.writers.sender(d)
	w.mu.Lock()
	if w.answers >= 3*maxAttempts && w.lateAt.IsZero() && up > stableWindow {
		w.lateAt, w.lateFrom = time.Now(), sender
	}
	answers := w.answers
	w.mu.Unlock()
	d.record.add("worker %s: item %s reaches it after %d answers of 500, from %s, which has been up for %.1f s", w.id, id, answers,
		sender, up.Seconds())
	select {
	case <-r.Context().Done():
		d.record.add("worker %s: item %s: its connection closed", w.id, id)
		return
	case <-time.After(failAfter):
	}
	if r.Context().Err() != nil {
		return
	}
	rw.WriteHeader(http.StatusInternalServerError)
	w.mu.Lock()
	w.answers++
	w.mu.Unlock()
	d.record.add("worker %s: item %s answered with 500", w.id, id)
}

// failingItem has a batch job with an item that fails at each run, and kills the daemon that last wrote to the store under a
// condition again and again.
func failingItem(d *deployment, trouble bool) (string, error) {
	online := route("online", "/online/", "streaming", map[string]any{"resumable": true})
	batch := batchRoute("batch", "/batch/")
	batch[wire("longest-wait")] = 110
	if err := d.configure(1, []map[string]any{online, batch}, oneTenant()); err != nil {
		return "", err
	}
	w := &failingWorker{id: "worker-0"}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { w.ServeHTTP(rw, r, d) })}
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close() }()
	ctx, cancel := context.WithCancel(d.ctx)
	defer cancel()
	go d.beat(ctx, &wharfstandin.Endpoint{
		ID: w.id, Address: listener.Addr().String(), Service: service, Zone: "zone-a", Version: "v1", Slots: 8,
	})
	d.writers = &writers{}
	for i, name := range []string{"host-a", "host-b", "host-c", "host-d"} {
		if d.address, err = d.writers.serve(d, name); err != nil {
			return "", err
		}
		if _, err := d.addDaemon(name, []string{"zone-a", "zone-b"}[i%2], 314); err != nil {
			return "", err
		}
	}
	if err := d.awaitReady(); err != nil {
		return "", err
	}
	time.Sleep(6 * time.Second)
	start := time.Now()
	if err := submit(d, d.caller(), "job-1", 1); err != nil {
		return "", err
	}
	for next := start.Add(5 * time.Second); time.Since(start) < 95*time.Second; next = next.Add(killEvery) {
		time.Sleep(time.Until(next))
		w.mu.Lock()
		late, from, answers := w.lateAt, w.lateFrom, w.answers
		w.mu.Unlock()
		if !late.IsZero() {
			return fmt.Sprintf("BUDGET: after %d answers of 500, three times the allowed attempts, the item reached a worker again %.1f s after its batch job, from %s, which was in touch",
				3*maxAttempts, late.Sub(start).Seconds(), from), nil
		}
		if count(d, d.caller(), "job-1") > 0 {
			d.record.add("the item is listed after %d answers of 500", answers)
			return "", nil
		}
		if !trouble {
			continue
		}
		for _, n := range d.daemons {
			if n.name == d.writers.lastWriter() {
				d.record.add("SIGKILL of %s, which last wrote to the store under a condition", n.name)
				_ = n.command.Process.Kill()
				<-n.done
				time.AfterFunc(restartAfter, func() {
					d.record.add("%s starts again: error %v", n.name, d.start(n))
				})
			}
		}
	}
	return "", nil
}
