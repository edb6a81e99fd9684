package main

import (
	"context"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

// replacementAfter is how long the machine that replaces a lost one takes to come: replace_core, x = 4.
const replacementAfter = 4 * time.Second

// lostMachine submits a job that takes all slots of the workers, and loses the machine that runs it for good.
func lostMachine(ctx context.Context, d *deployment, trouble bool) (verdict, error) {
	const route, online, job, count = "lot", "query", "7c41e09b52d6a3f8", 60
	if err := d.slow(ctx); err != nil {
		return verdict{}, err
	}
	if _, err := d.addDaemon("frontend-gh-south-a-3", "gh-south-a"); err != nil {
		return verdict{}, err
	}
	routes := []map[string]any{batchRoute(route), streamRoute(online)}
	if err := d.configure(routes, []map[string]any{tenant("kaje80")}); err != nil {
		return verdict{}, err
	}
	if err := d.awaitReady(ctx); err != nil {
		return verdict{}, err
	}
	pause(ctx, 2*time.Second)
	c := d.client("kaje80")
	lost, other := d.daemons[0], d.daemons[1]
	if a := c.submit(ctx, lost, route, job, items(route, "item", count)); a.status != http.StatusAccepted {
		return verdict{}, fmt.Errorf("the job was not accepted: %d", a.status)
	}
	pause(ctx, 2*time.Second)
	if trouble {
		lost.goDark()
		pause(ctx, replacementAfter)
		if _, err := d.addDaemon("frontend-gh-south-a-4", "gh-south-a"); err != nil {
			return verdict{}, err
		}
	}
	results, total, status := c.awaitAll(ctx, other, job, calmFinish)
	d.record.note("listed %d of %d (status %d); workers have finished %d items and are at work on %d",
		len(results), total, status, d.completedRuns(), d.running())
	d.askOnline(other, online)
	if len(results) < count {
		return verdict{true, fmt.Sprintf("%d of %d items are listed neither as done nor as given up %v after the replacement came",
			count-len(results), count, calmFinish)}, nil
	}
	return verdict{false, "all items are listed"}, nil
}

// askOnline sends ten online requests one after the other and records what comes back, which is not judged.
func (d *deployment) askOnline(to *daemon, route string) {
	const count = 10
	statuses := map[int]int{}
	for i := range count {
		s := sent{id: fmt.Sprintf("aaaa%012x", i), at: time.Now()}
		d.ask(&http.Transport{DisableKeepAlives: true}, to, route, d.workers[0].events, &s)
		statuses[s.status]++
	}
	d.record.note("online requests at %s, by status: %v", to.name, statuses)
}

// goDark stops the daemon's process for good: it sends nothing any more and answers nothing, and its connections stay open.
func (x *daemon) goDark() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.killed = true
	_ = x.process.Process.Signal(syscall.SIGSTOP)
	x.deployment.record.note("daemon %s: dark for good", x.name)
}

// running returns the number of requests that workers are at work on.
func (d *deployment) running() int {
	count := 0
	for _, w := range d.workers {
		count += len(w.slots)
	}
	return count
}
