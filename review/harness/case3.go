package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// processDown is how long the killed process is down, within the 3.5 s of the site files' node_kill.
const processDown = time.Second

// jobsOfTwoTenants submits a job for each of two tenants and kills the process that has accepted the second one.
func jobsOfTwoTenants(ctx context.Context, d *deployment, trouble bool) (verdict, error) {
	const (
		route, count = "lot", 6
		first        = "tema-nightly"
		firstJob     = "2026-12-04"
		second       = "tema"
		secondJob    = "nightly-2026-12-04"
	)
	if err := d.slow(ctx); err != nil {
		return verdict{}, err
	}
	tenants := []map[string]any{tenant(first), tenant(second)}
	if err := d.configure([]map[string]any{batchRoute(route)}, tenants); err != nil {
		return verdict{}, err
	}
	if err := d.awaitReady(ctx); err != nil {
		return verdict{}, err
	}
	pause(ctx, 2*time.Second)
	a, b := d.daemons[0], d.daemons[1]
	one, two := d.client(first), d.client(second)
	if answer := one.submit(ctx, b, route, firstJob, items(route, "first", count)); answer.status != http.StatusAccepted {
		return verdict{}, fmt.Errorf("the first job was not accepted: %d", answer.status)
	}
	if results, _, _ := one.awaitAll(ctx, b, firstJob, finish); len(results) != count {
		return verdict{}, fmt.Errorf("the first job was not done: %s", resultNames(results))
	}
	if answer := two.submit(ctx, a, route, secondJob, items(route, "second", count)); answer.status != http.StatusAccepted {
		return verdict{}, fmt.Errorf("the second job was not accepted: %d", answer.status)
	}
	if trouble {
		a.kill()
		pause(ctx, processDown)
		if err := a.start(false); err != nil {
			return verdict{}, err
		}
	}
	results, total, status := two.awaitAll(ctx, b, secondJob, finish)
	d.record.note("second job: %d of %d listed (status %d): %s", len(results), total, status, resultNames(results))
	var broken []string
	for _, r := range d.allRuns() {
		sender := first
		if strings.HasPrefix(r.id, "second") {
			sender = second
		}
		if r.tenant != sender {
			broken = append(broken, fmt.Sprintf("item %s of tenant %s ran for tenant %s", r.id, sender, r.tenant))
		}
	}
	for _, r := range results {
		if !strings.HasPrefix(r.ID, "second") {
			broken = append(broken, fmt.Sprintf("tenant %s was given a result of item %s", second, r.ID))
		}
	}
	if len(broken) > 0 {
		return verdict{true, strings.Join(broken, "; ")}, nil
	}
	return verdict{false, "each tenant has got the results of its own items"}, nil
}

// slow starts two daemons and four workers whose items take three seconds.
func (d *deployment) slow(ctx context.Context) error {
	const eventTime = 300 * time.Millisecond
	if err := d.small(ctx); err != nil {
		return err
	}
	for _, w := range d.workers {
		w.eventTime = eventTime
	}
	return nil
}
