package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// maxThink is four fifths of the configuration's idle timeout, for which clients reuse a connection.
	maxThink = 12 * time.Second
	// stopGrace is the platform's grace_s, after which it kills a process that it has asked to stop.
	stopGrace = 8 * time.Second
	// lateFrom is the time after SIGTERM from which a sent request counts, however long its worker is at work on it.
	lateFrom = 3 * time.Second
)

// sent is a request of a client with a kept connection.
type sent struct {
	id       string
	at, end  time.Time
	complete bool
	status   int
	err      error
}

// plannedStop has clients use kept connections to a daemon and asks it to stop.
func plannedStop(ctx context.Context, d *deployment, trouble bool) (verdict, error) {
	const clients, route, events, eventTime = 150, "query", 32, 25 * time.Millisecond
	if err := d.small(ctx); err != nil {
		return verdict{}, err
	}
	for _, w := range d.workers {
		w.events, w.eventTime = events, eventTime
	}
	if err := d.configure([]map[string]any{streamRoute(route)}, []map[string]any{tenant("kaje80")}); err != nil {
		return verdict{}, err
	}
	if err := d.awaitReady(ctx); err != nil {
		return verdict{}, err
	}
	pause(ctx, 2*time.Second)
	stopped := d.daemons[0]
	traffic, endTraffic := context.WithCancel(ctx)
	defer endTraffic()
	var mu sync.Mutex
	var requests []sent
	var running sync.WaitGroup
	for i := range clients {
		running.Go(func() {
			d.keepAsking(traffic, stopped, route, events, fmt.Sprintf("%04x", i), func(s sent) {
				mu.Lock()
				defer mu.Unlock()
				requests = append(requests, s)
			})
		})
	}
	pause(ctx, maxThink+time.Second)
	stop := time.Now()
	if trouble {
		stopped.terminate()
	}
	pause(ctx, stopGrace)
	if trouble {
		stopped.kill()
	}
	pause(ctx, time.Second)
	endTraffic()
	running.Wait()
	ran := map[string]bool{}
	for _, r := range d.allRuns() {
		ran[r.id] = true
	}
	cut := 0
	for _, s := range requests {
		after := s.at.Sub(stop)
		if s.complete || !ran[s.id] || after < lateFrom {
			continue
		}
		cut++
		d.record.note("request %s, sent %.3f s after SIGTERM and run by a worker, ended %.3f s after it without a whole answer: status %d, %v",
			s.id, after.Seconds(), s.end.Sub(stop).Seconds(), s.status, s.err)
	}
	d.record.note("%d requests sent", len(requests))
	if cut > 0 {
		return verdict{true, fmt.Sprintf("%d requests that the stopping daemon had read and passed on were cut off", cut)}, nil
	}
	return verdict{false, "every request that was read has got a whole answer"}, nil
}

// keepAsking sends requests on a kept connection, with pauses, until the daemon closes it or ctx ends.
func (d *deployment) keepAsking(
	ctx context.Context, to *daemon, route string, events int, name string, report func(sent),
) {
	transport := &http.Transport{MaxConnsPerHost: 1, DisableCompression: true}
	defer transport.CloseIdleConnections()
	pause(ctx, rand.N(maxThink))
	for i := 0; ctx.Err() == nil; i++ {
		s := sent{id: fmt.Sprintf("%s%012x", name, i), at: time.Now()}
		closes := d.ask(transport, to, route, events, &s)
		report(s)
		if closes || s.err != nil {
			return // the platform leads new connections to other daemons
		}
		pause(ctx, rand.N(maxThink))
	}
}

// ask sends a request and reads its answer. It reports whether the daemon closes the connection.
func (d *deployment) ask(transport http.RoundTripper, to *daemon, route string, events int, s *sent) (closes bool) {
	ctx, cancel := context.WithTimeout(context.Background(), streamDeadline)
	defer cancel()
	defer func() { s.end = time.Now() }()
	request, err := http.NewRequestWithContext(
		ctx, http.MethodPost, "http://"+to.callers+"/"+route+"/"+s.id, bytes.NewReader([]byte("question "+s.id)))
	if err != nil {
		s.err = err
		return true
	}
	request.Host = hostName
	for name, value := range map[string]string{
		wire("attempt-id"): s.id, "Authorization": "Token " + keyOf("kaje80"), "Model": "m", wire("token-usage"): "250,32",
		wire("prompt-prefix"): "5c1e07a2:100," + s.id + ":150", wire("deadline"): fmt.Sprint(streamDeadline.Milliseconds()),
	} {
		request.Header.Set(name, value)
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		s.err = err
		return true
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	s.status, s.err = response.StatusCode, err
	s.complete = err == nil &&
		(s.status != http.StatusOK || strings.Count(string(data), "\n\n") == events)
	return response.Close
}

// streamDeadline is the deadline and the time-out of requests for streams.
const streamDeadline = 5 * time.Second

// streamRoute returns a route for streams that can't be resumed, as of the deployment's sheet.
func streamRoute(name string) map[string]any {
	return map[string]any{
		"name": name, "host": hostName, wire("prefix"): "/" + name + "/", "kind": "streaming", "service": serviceName,
		"timeout_ms": streamDeadline.Milliseconds(), wire("latency-objective"): 300, wire("gap-objective"): 250, "priority": 0,
		wire("attempts"): 1,
	}
}
