package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

// jobOfARemovedRoute submits a job of more items than the workers have slots, and removes its route while they run.
func jobOfARemovedRoute(ctx context.Context, d *deployment, trouble bool) (verdict, error) {
	const route, other, job, count = "lot", "report", "7c41e09b52d6a3f8", 60
	if err := d.slow(ctx); err != nil {
		return verdict{}, err
	}
	tenants := []map[string]any{tenant("kaje80")}
	if err := d.configure([]map[string]any{batchRoute(route), batchRoute(other)}, tenants); err != nil {
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
	pause(ctx, time.Second)
	if trouble {
		if err := d.configure([]map[string]any{batchRoute(other)}, tenants); err != nil {
			return verdict{}, err
		}
	}
	results, total, status := c.awaitAll(ctx, d.daemons[1], job, calmFinish)
	d.record.note("listed %d of %d (status %d); workers have finished %d items", len(results), total, status, d.completedRuns())
	if len(results) < count {
		return verdict{true, fmt.Sprintf("%d of %d items are listed neither as completed nor as dead_letter %v after the configuration",
			count-len(results), count, calmFinish)}, nil
	}
	return verdict{false, "all items are listed"}, nil
}
