package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"wagtailwharf.example/platform/wharfstandin"
)

const (
	// storeLimit is the size of all objects from which the store refuses further ones.
	storeLimit = 400_000_000
	// refusedPerSecond is the rate of the hot tenant's batch jobs, refusedBytes the size of their items.
	refusedPerSecond = 40
	refusedBytes     = 430_000
)

// objects is the store with its times and its limit of the size of all objects.
type objects struct {
	store    http.Handler
	mu       sync.Mutex
	sizes    map[string]int64
	total    atomic.Int64
	rejected atomic.Int64
}

func (o *objects) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	name, put := strings.CutPrefix(r.URL.Path, wire("put-path"))
	if put {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return // it has not arrived whole, and is not stored
		}
		time.Sleep(blobTime + wayTime)
		o.mu.Lock()
		full := o.total.Load()+int64(len(body)) > storeLimit
		if !full && o.sizes[name] == 0 {
			o.sizes[name] = int64(len(body))
			o.total.Add(int64(len(body)))
		}
		o.mu.Unlock()
		if full {
			o.rejected.Add(1)
			rw.WriteHeader(http.StatusInsufficientStorage)
			return
		}
		r = r.WithContext(context.WithoutCancel(r.Context())) // a call that was received is performed
		r.Body = io.NopCloser(bytes.NewReader(body))
		o.store.ServeHTTP(rw, r)
		return
	}
	took := answerTime
	if strings.HasPrefix(r.URL.Path, wire("object-path")) {
		took = blobTime
	}
	time.Sleep(took + wayTime)
	if dropped, ok := strings.CutPrefix(r.URL.Path, wire("drop-path")); ok {
		o.mu.Lock()
		o.total.Add(-o.sizes[dropped])
		delete(o.sizes, dropped)
		o.mu.Unlock()
	}
	o.store.ServeHTTP(rw, r)
}

// fullStore has a tenant whose waiting tokens are at its cap send more batch jobs, each of which is refused with 429.
func fullStore(d *deployment, trouble bool) (string, error) {
	online := route("online", "/online/", "streaming", map[string]any{"resumable": true})
	batch := batchRoute("batch", "/batch/")
	batch["cap"] = 1_200_000
	tenants := append(oneTenant(), map[string]any{"name": "tenant-b", wire("keys"): []string{"key-b"}, wire("rate"): 10000, "burst": 10000})
	if err := d.configure(1, []map[string]any{online, batch}, tenants); err != nil {
		return "", err
	}
	w := &streamingWorker{id: "worker-0", eventBytes: 190}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = (&http.Server{Handler: w}).Serve(listener) }()
	go d.beat(d.ctx, &wharfstandin.Endpoint{
		ID: w.id, Address: listener.Addr().String(), Service: service, Zone: "zone-a", Version: "v1", Slots: 8,
	})
	o := &objects{store: d.store, sizes: map[string]int64{}}
	storeListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = (&http.Server{Handler: o}).Serve(storeListener) }()
	d.address = netip.MustParseAddrPort(storeListener.Addr().String())
	for _, name := range []string{"a", "b", "c", "d"} {
		if _, err := d.addDaemon("host-"+name, "zone-"+map[bool]string{true: "a", false: "b"}[name < "c"], 314); err != nil {
			return "", err
		}
	}
	if err := d.awaitReady(); err != nil {
		return "", err
	}
	time.Sleep(4 * time.Second)
	job := func(id string, count, bodyBytes, tokens int) string {
		var list []map[string]any
		for i := range count {
			list = append(list, map[string]any{
				"id": fmt.Sprintf("%s-%d", id, i), "path": fmt.Sprintf("/batch/%s/%d", id, i), "body": bytes.Repeat([]byte("b"), bodyBytes/count),
				"headers": map[string]string{"Model": "m"}, "tokens": tokens,
			})
		}
		return compact(map[string]any{"requests": list})
	}
	send := func(key, id, body string, to int) int {
		r := wharfstandin.NewCaller(host, key).Send(d.ctx, d.daemons[to%len(d.daemons)].callers.String(), http.MethodPost, "/batch/"+id, id, body)
		return r.Status
	}
	statuses := map[int]int{}
	var mu sync.Mutex
	var clients sync.WaitGroup
	if trouble {
		start := time.Now()
		for k := 0; o.total.Load() < storeLimit-2*refusedBytes && time.Since(start) < 60*time.Second; k++ {
			clients.Go(func() {
				id := fmt.Sprintf("hot-%d", k)
				status := send(key, id, job(id, 10, refusedBytes, 130_000), k) // 1,300,000 tokens, over the cap
				mu.Lock()
				statuses[status]++
				mu.Unlock()
			})
			time.Sleep(time.Second / refusedPerSecond)
		}
		clients.Wait()
		d.record.add("batch jobs of the hot tenant, over its cap: answers by status %v; objects in the store %d bytes", statuses, o.total.Load())
	}
	caller := wharfstandin.NewCaller(host, "key-b")
	status := send("key-b", "job-b", job("job-b", 30, 30_000, 350+eventsOut), 0)
	d.record.add("batch job job-b of the other tenant with 30 items: status %d", status)
	if status != http.StatusAccepted {
		return "", fmt.Errorf("%w: job-b is not accepted: %d", errUnplayable, status)
	}
	listed := 0
	for start := time.Now(); time.Since(start) < 40*time.Second && listed < 30; time.Sleep(4 * time.Second) {
		page, r := caller.ReadResults(d.ctx, d.daemons[1].callers.String(), "job-b", listed, time.Second)
		if r.Status == http.StatusOK && page.Next > listed {
			listed = page.Next
		}
		d.record.add("read of job-b: status %d, %d results so far; objects %d bytes, %d writes refused with 507", r.Status, listed, o.total.Load(), o.rejected.Load())
	}
	if listed < 30 {
		return fmt.Sprintf("LOST: 40 s after its 202, %d of 30 items of the other tenant's batch job are listed; the store is full of objects of jobs that were refused", listed), nil
	}
	return "", nil
}
