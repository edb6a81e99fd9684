package main

import (
	"fmt"
	"time"

	"wagtailwharf.example/platform/wharfstandin"
)

// removedRoute accepts a batch job and then replaces its route by another one of the same host, prefix and service.
func removedRoute(d *deployment, trouble bool) (string, error) {
	const items, total = 40, 50 * time.Second
	online := route("online", "/online/", "streaming", map[string]any{"resumable": true})
	if err := d.configure(1, []map[string]any{online, batchRoute("batch", "/batch/")}, oneTenant()); err != nil {
		return "", err
	}
	var workers []*wharfstandin.Endpoint
	for i, zone := range []string{"zone-a", "zone-b"} {
		w, stop, err := d.worker(fmt.Sprint("worker-", i), zone, 4, 20, 100*time.Millisecond)
		if err != nil {
			return "", err
		}
		defer stop()
		workers = append(workers, w)
	}
	for _, zone := range []string{"a", "b"} {
		if _, err := d.addDaemon("host-"+zone, "zone-"+zone, 314); err != nil {
			return "", err
		}
	}
	if err := d.awaitReady(); err != nil {
		return "", err
	}
	time.Sleep(4 * time.Second) // stable_window_ms
	caller := d.caller()
	start := time.Now()
	if err := submit(d, caller, "job-1", items); err != nil {
		return "", err
	}
	time.Sleep(2 * time.Second)
	changed := []map[string]any{online, batchRoute("batch", "/batch/"), route("added", "/added/", "streaming", nil)}
	if trouble {
		changed = []map[string]any{online, batchRoute("batch-2", "/batch/")}
	}
	if err := d.configure(2, changed, oneTenant()); err != nil {
		return "", err
	}
	time.Sleep(3 * time.Second)
	if err := submit(d, caller, "job-2", 5); err != nil { // the service is in order for others
		return "", err
	}
	var listed, second int
	for time.Since(start) < total {
		time.Sleep(5 * time.Second)
		listed, second = count(d, caller, "job-1"), count(d, caller, "job-2")
	}
	for _, w := range workers {
		for _, run := range w.Runs() {
			d.record.add("run of %s at %s at %.3f s", run.ID, run.Endpoint, run.At.Sub(d.record.start).Seconds())
		}
	}
	if second < 5 {
		return "", fmt.Errorf("%w: job-2 has only %d of 5 results", errUnplayable, second)
	}
	if listed < items {
		return fmt.Sprintf("LOST: %v after its 202, batch job job-1 lists %d of %d items; none of the others is at a worker",
			total, listed, items), nil
	}
	return "", nil
}

// submit sends a batch job until it is accepted.
func submit(d *deployment, caller *wharfstandin.Caller, id string, items int) error {
	var list []wharfstandin.Item
	for i := range items {
		list = append(list, wharfstandin.Item{ID: fmt.Sprintf("%s-item-%d", id, i), Body: "body"})
	}
	for i := range 5 {
		to := d.daemons[i%len(d.daemons)]
		r := caller.SubmitJob(d.ctx, to.callers.String(), id, list)
		d.record.add("batch job %s with %d items sent to %s: status %d, error %v", id, items, to.name, r.Status, r.Err)
		if r.Status == 202 {
			return nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return fmt.Errorf("%w: batch job %s is not accepted", errUnplayable, id)
}

// count reads a batch job at all daemons and returns the most results that one of them lists.
func count(d *deployment, caller *wharfstandin.Caller, id string) int {
	most := 0
	for _, n := range d.daemons {
		page, r := caller.ReadResults(d.ctx, n.callers.String(), id, 0, 0)
		completed, dead := 0, 0
		for _, result := range page.Results {
			if result.State == wharfstandin.Completed {
				completed++
			} else {
				dead++
			}
		}
		d.record.add("read of %s at %s: status %d, %d items, %d completed, %d given up", id, n.name, r.Status, page.Total, completed, dead)
		most = max(most, completed+dead)
	}
	return most
}
