package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"wagtailwharf.example/platform/wharfstandin"
)

const (
	stableWindow = 3 * time.Second
	configApply  = 2 * time.Second
	// rounds is how often the connections go silent in a script.
	rounds = 3
)

// silentStore makes the open connections of all daemons to the store silent, removes a route at once, and goes on sending to it.
func silentStore(d *deployment, trouble bool) (string, error) {
	routes := func(n int) []map[string]any {
		return []map[string]any{
			route("kept", "/kept/", "streaming", map[string]any{"resumable": true}),
			batchRoute("batch", "/batch/"),
			route(fmt.Sprint("route-", n), fmt.Sprintf("/route-%d/", n), "streaming", map[string]any{"resumable": true}),
		}
	}
	version := 1
	if err := d.configure(version, routes(0), oneTenant()); err != nil {
		return "", err
	}
	for i, zone := range []string{"zone-a", "zone-b"} {
		_, stop, err := d.worker(fmt.Sprint("worker-", i), zone, 8, 5, 10*time.Millisecond)
		if err != nil {
			return "", err
		}
		defer stop()
	}
	for _, zone := range []string{"a", "b"} {
		if _, err := d.addDaemon("host-"+zone, "zone-"+zone, 314); err != nil {
			return "", err
		}
	}
	if err := d.awaitReady(); err != nil {
		return "", err
	}
	time.Sleep(5 * time.Second)
	broken := ""
	for round := range rounds {
		if found := silentRound(d, trouble, round, func(n int) error {
			version += 3
			return d.configure(version, routes(n), oneTenant())
		}); found != "" && broken == "" {
			broken = found
		}
		time.Sleep(6 * time.Second)
	}
	return broken, nil
}

func silentRound(d *deployment, trouble bool, round int, configure func(n int) error) string {
	jobs := d.caller()
	var clients sync.WaitGroup
	for i := range 8 { // usual batch work: several calls to the store at a time
		clients.Go(func() {
			for k := range 3 {
				id := fmt.Sprintf("job-%d-%d-%d", round, i, k)
				r := jobs.SubmitJob(d.ctx, d.daemons[i%2].callers.String(), id, []wharfstandin.Item{{ID: id + "-item", Body: "x"}})
				d.record.add("batch job %s sent to %s: status %d", id, d.daemons[i%2].name, r.Status)
			}
		})
	}
	clients.Wait()
	silenced := time.Now()
	if trouble {
		for _, n := range d.daemons {
			d.record.add("%d connections of %s to the store go silent", n.store.silence(), n.name)
		}
	}
	time.Sleep(300 * time.Millisecond)
	if err := configure(round + 1); err != nil {
		return err.Error()
	}
	acknowledged := time.Now()
	var mu sync.Mutex
	broken := ""
	for _, n := range d.daemons {
		clients.Go(func() {
			caller, last := d.caller(), 0
			for k := 0; time.Since(silenced) < 9*time.Second; k++ {
				sent := time.Now()
				id := fmt.Sprintf("%s-%d-%d", n.name, round, k)
				r := caller.Send(d.ctx, n.callers.String(), http.MethodPost, fmt.Sprintf("/route-%d/x", round), id, "body")
				if r.Status != last {
					d.record.add("request %s to the removed route sent to %s at %.3f s after the silence, %.3f s after the acknowledgement: status %d",
						id, n.name, sent.Sub(silenced).Seconds(), sent.Sub(acknowledged).Seconds(), r.Status)
				}
				last = r.Status
				late := sent.Sub(acknowledged) > configApply && sent.Sub(silenced) > stableWindow
				if late && r.Status == http.StatusOK {
					mu.Lock()
					broken = fmt.Sprintf("CONFIG: request %s was sent to %s %.3f s after the removal of its route was acknowledged and %.3f s after the disruption, and was run",
						id, n.name, sent.Sub(acknowledged).Seconds(), sent.Sub(silenced).Seconds())
					mu.Unlock()
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	return broken
}
