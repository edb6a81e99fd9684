package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

const (
	// outage is the largest outage of the whole store in the site files: platform_down, how busy, 7 s.
	outage = 7 * time.Second
	// finish is the platform's finish_s.
	finish = 18 * time.Second
	// calmFinish is finish_s and the 5 s of calm after which an unlisted item counts as lost.
	calmFinish = 23 * time.Second
)

// jobOfManyItems submits a job of 200 items, which all run to their end during an outage of the store.
func jobOfManyItems(ctx context.Context, d *deployment, trouble bool) (verdict, error) {
	const route, job, count = "lot", "7c41e09b52d6a3f8", 200
	if err := d.small(ctx); err != nil {
		return verdict{}, err
	}
	if err := d.configure([]map[string]any{batchRoute(route)}, []map[string]any{tenant("kaje80")}); err != nil {
		return verdict{}, err
	}
	if err := d.awaitReady(ctx); err != nil {
		return verdict{}, err
	}
	pause(ctx, 2*time.Second)
	c := d.client("kaje80")
	if a := c.submit(ctx, d.daemons[0], route, job, items(route, "item", count)); a.status != http.StatusAccepted {
		return verdict{}, fmt.Errorf("the job was not accepted: %d", a.status)
	}
	if trouble {
		d.store.setDown(true)
	}
	pause(ctx, outage)
	d.record.note("workers have finished %d items", d.completedRuns())
	if trouble {
		d.store.setDown(false)
	}
	results, total, status := c.awaitAll(ctx, d.daemons[1], job, calmFinish)
	d.record.note("listed %d of %d (status %d); workers have finished %d items; transactions refused by size: %d",
		len(results), total, status, d.completedRuns(), d.store.refused())
	if len(results) < count {
		return verdict{true, fmt.Sprintf("%d of %d items are listed neither as done nor as given up %v after the store's return",
			count-len(results), count, calmFinish)}, nil
	}
	return verdict{false, "all items are listed"}, nil
}

// small starts two daemons and four workers in two zones.
func (d *deployment) small(ctx context.Context) error {
	zones := []string{"gh-south-a", "gh-south-b"}
	for i := range 4 {
		const slots, events, eventTime = 8, 10, 30 * time.Millisecond
		if _, err := d.addWorker(ctx, fmt.Sprint("w", i), zones[i%2], slots, events, eventTime); err != nil {
			return err
		}
	}
	for i, zone := range zones {
		if _, err := d.addDaemon(fmt.Sprint("frontend-", zone, "-", i+1), zone); err != nil {
			return err
		}
	}
	return nil
}
