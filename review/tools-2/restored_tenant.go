package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	quotaRate   = 40
	quotaBurst  = 200
	quotaWindow = 5 * time.Second
	quotaOver   = 0.1
	quotaSlack  = 20
)

// restoredTenant has a tenant send more than its rate while a version drops the tenant and the next one restores it.
func restoredTenant(d *deployment, trouble bool) (string, error) {
	routes := []map[string]any{
		route("online", "/online/", "streaming", map[string]any{"resumable": true}), batchRoute("batch", "/batch/"),
	}
	limited := map[string]any{"name": tenant, wire("keys"): []string{key}, wire("rate"): quotaRate, "burst": quotaBurst}
	other := map[string]any{"name": "tenant-b", wire("keys"): []string{"key-b"}, wire("rate"): quotaRate, "burst": quotaBurst}
	both := []map[string]any{limited, other}
	if err := d.configure(1, routes, both); err != nil {
		return "", err
	}
	var runs []func() []time.Time
	for i, zone := range []string{"zone-a", "zone-b", "zone-a", "zone-b"} {
		w, stop, err := d.worker(fmt.Sprint("worker-", i), zone, 8, 2, 10*time.Millisecond)
		if err != nil {
			return "", err
		}
		defer stop()
		runs = append(runs, func() (at []time.Time) {
			for _, run := range w.Runs() {
				at = append(at, run.At)
			}
			return at
		})
	}
	for _, zone := range []string{"a", "b"} {
		if _, err := d.addDaemon("host-"+zone, "zone-"+zone, 314); err != nil {
			return "", err
		}
	}
	if err := d.awaitReady(); err != nil {
		return "", err
	}
	time.Sleep(8 * time.Second) // the daemons count each other
	statuses := map[int]int{}
	var mu sync.Mutex
	var clients sync.WaitGroup
	start := time.Now()
	for client := range 20 {
		clients.Go(func() {
			caller, to := d.caller(), d.daemons[client%2]
			for k := 0; time.Since(start) < 8*time.Second; k++ {
				r := caller.Send(d.ctx, to.callers.String(), http.MethodPost, "/online/x", fmt.Sprintf("c%d-%d", client, k), "body")
				mu.Lock()
				statuses[r.Status]++
				mu.Unlock()
				time.Sleep(80 * time.Millisecond)
			}
		})
	}
	time.Sleep(2 * time.Second)
	dropped := both
	if trouble {
		dropped = []map[string]any{other}
	}
	d.record.add("version 2 has %d tenants", len(dropped))
	if err := d.configure(2, routes, dropped); err != nil {
		return "", err
	}
	time.Sleep(time.Second)
	if err := d.configure(3, routes, both); err != nil {
		return "", err
	}
	clients.Wait()
	var all []time.Time
	for _, at := range runs {
		all = append(all, at()...)
	}
	slices.SortFunc(all, time.Time.Compare)
	for second := range 8 {
		from := start.Add(time.Duration(second) * time.Second)
		count := 0
		for _, at := range all {
			if !at.Before(from) && at.Before(from.Add(time.Second)) {
				count++
			}
		}
		d.record.add("second %d: %d requests of %s ran", second, count, tenant)
	}
	d.record.add("answers by status: %v", statuses)
	most := 0
	for i := range all {
		count := 0
		for _, at := range all[i:] {
			if at.Sub(all[i]) > quotaWindow-200*time.Millisecond {
				break
			}
			count++
		}
		most = max(most, count)
	}
	bound := (quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaOver) + quotaSlack
	d.record.add("most requests that ran within %.1f s: %d, bound %.0f", quotaWindow.Seconds()-0.2, most, bound)
	if len(all) < quotaBurst {
		return "", fmt.Errorf("%w: only %d requests ran", errUnplayable, len(all))
	}
	if float64(most) > bound {
		return fmt.Sprintf("QUOTA: %d requests of %s ran within %v, bound %.0f", most, tenant, quotaWindow, bound), nil
	}
	return "", nil
}
