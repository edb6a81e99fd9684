package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// workerTrouble is how long the worker is in trouble, as long as the site file's srv_crash.
const workerTrouble = 4500 * time.Millisecond

// bytesWithoutEnd submits a job while one of six workers sends line feeds without end in the body of each answer.
func bytesWithoutEnd(ctx context.Context, d *deployment, trouble bool) (verdict, error) {
	const route, job, count = "lot", "7c41e09b52d6a3f8", 60
	if err := d.small(ctx); err != nil {
		return verdict{}, err
	}
	for i := range 2 {
		const slots, events, eventTime = 8, 10, 30 * time.Millisecond
		if _, err := d.addWorker(ctx, fmt.Sprint("w", len(d.workers)), d.daemons[i].zone, slots, events, eventTime); err != nil {
			return verdict{}, err
		}
	}
	if err := d.configure([]map[string]any{batchRoute(route)}, []map[string]any{tenant("kaje80")}); err != nil {
		return verdict{}, err
	}
	if err := d.awaitReady(ctx); err != nil {
		return verdict{}, err
	}
	pause(ctx, 2*time.Second)
	faulty := d.workers[0]
	if trouble {
		faulty.setTrouble(true)
	}
	c := d.client("kaje80")
	if a := c.submit(ctx, d.daemons[0], route, job, items(route, "item", count)); a.status != http.StatusAccepted {
		return verdict{}, fmt.Errorf("the job was not accepted: %d", a.status)
	}
	pause(ctx, workerTrouble)
	if trouble {
		faulty.setTrouble(false)
	}
	results, total, status := c.awaitAll(ctx, d.daemons[1], job, calmFinish)
	d.record.note("listed %d of %d (status %d)", len(results), total, status)
	wrong := 0
	for _, r := range results {
		if r.State != "completed" || r.Output == faulty.wholeOutput(r.ID) {
			continue
		}
		wrong++
		d.record.note("%s is completed: its output has %d bytes, %d of them line feeds, where the whole output has %d bytes",
			r.ID, len(r.Output), strings.Count(r.Output, "\n"), len(faulty.wholeOutput(r.ID)))
	}
	if wrong > 0 {
		return verdict{true, fmt.Sprintf("%d of %d results are completed with a text that isn't the item's whole output", wrong, len(results))}, nil
	}
	if len(results) < count {
		return verdict{true, fmt.Sprintf("%d of %d items are not listed", count-len(results), count)}, nil
	}
	return verdict{false, "each completed result is the item's whole output"}, nil
}
