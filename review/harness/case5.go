package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

// itemWithARequestInItsPath submits a job with an item whose path holds the head of another tenant's request.
func itemWithARequestInItsPath(ctx context.Context, d *deployment, trouble bool) (verdict, error) {
	const route, job, attacker, victim, smuggled = "lot", "7c41e09b52d6a3f8", "kaje80", "lohu93", "0000000000000001"
	if err := d.small(ctx); err != nil {
		return verdict{}, err
	}
	tenants := []map[string]any{tenant(attacker), tenant(victim)}
	if err := d.configure([]map[string]any{batchRoute(route)}, tenants); err != nil {
		return verdict{}, err
	}
	if err := d.awaitReady(ctx); err != nil {
		return verdict{}, err
	}
	pause(ctx, 2*time.Second)
	list := items(route, "item", 1)
	if trouble {
		list[0].Path = fmt.Sprintf("/%s/a HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nTenant: %s\r\nContent-Length: 0\r\n\r\nPOST %s",
			route, hostName, smuggled, victim, list[0].Path)
	}
	c := d.client(attacker)
	a := c.submit(ctx, d.daemons[0], route, job, list)
	if a.status == http.StatusAccepted {
		c.awaitAll(ctx, d.daemons[1], job, finish)
	}
	for _, r := range d.allRuns() {
		if r.tenant != attacker || r.id != list[0].ID {
			return verdict{true, fmt.Sprintf("a worker ran request %s for tenant %s, which has sent nothing", r.id, r.tenant)}, nil
		}
	}
	return verdict{false, fmt.Sprintf("status %d; workers ran only what was sent", a.status)}, nil
}
