// Command review plays the scripts of the second review: it starts daemons as separate processes on loopback addresses and has
// the project's stand-ins play the platform's store, the workers and the clients.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"wagtailwharf.example/platform/wharfstandin"
)

const (
	host    = "callers.example"
	service = "assistant"
	tenant  = "tenant-a"
	key     = "key-a"
)

// errUnplayable means that the case could not run.
var errUnplayable = errors.New("the case could not run")

// deployment is a store, workers and daemons.
type deployment struct {
	ctx     context.Context
	dir     string
	store   *wharfstandin.Store
	server  *http.Server
	address netip.AddrPort // of the store
	daemons []*daemon
	record  *record
	writers *writers
	stopped bool // no process is started any more
}

// daemon is one daemon with its link to the store.
type daemon struct {
	name                               string
	callers, readiness, peers, metrics netip.AddrPort
	store                              *link
	settings, text                     string
	starts                             int
	startedAt                          atomic.Int64 // in Unix nanoseconds
	command                            *exec.Cmd
	done                               chan struct{}
}

// record writes what was sent, answered and run, with the time since the start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// newDeployment starts the store.
func newDeployment(ctx context.Context, recordFile string) (*deployment, error) {
	file, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &deployment{
		ctx: ctx, dir: dir, store: wharfstandin.NewStore(), record: &record{file: file, start: time.Now()},
		address: netip.MustParseAddrPort(listener.Addr().String()),
	}
	d.server = &http.Server{Handler: d.store}
	go func() { _ = d.server.Serve(listener) }()
	return d, nil
}

// freeAddress returns an address of an IP whose port is free for TCP and UDP.
func freeAddress(ip netip.Addr) (netip.AddrPort, error) {
	for range 20 {
		listener, err := net.Listen("tcp", netip.AddrPortFrom(ip, 0).String())
		if err != nil {
			return netip.AddrPort{}, err
		}
		address := netip.MustParseAddrPort(listener.Addr().String())
		conn, err := net.ListenPacket("udp", address.String())
		_ = listener.Close()
		if err == nil {
			_ = conn.Close()
			return address, nil
		}
	}
	return netip.AddrPort{}, errUnplayable
}

// addDaemon starts a daemon with the command of the deploy file and settings as deploy/settings.toml renders them.
func (d *deployment) addDaemon(name, zone string, memoryMB int) (*daemon, error) {
	// An address of this run: connections from 127.0.0.1 can't take a port that a daemon is about to listen on.
	pid := os.Getpid()
	ip := netip.AddrFrom4([4]byte{127, byte(1 + pid>>16), byte(pid >> 8), byte(1 + pid%250)})
	link, err := newLink(d.ctx, ip, d.address)
	if err != nil {
		return nil, err
	}
	n := &daemon{name: name, store: link}
	for _, to := range []*netip.AddrPort{&n.callers, &n.readiness, &n.peers, &n.metrics} {
		if *to, err = freeAddress(ip); err != nil {
			return nil, err
		}
	}
	n.settings = filepath.Join(d.dir, name+".toml")
	n.text = fmt.Sprintf("host = %q\navailability-zone = %q\ncallers = %q\nreadiness = %q\npeers = %q\nmetrics = %q\nstore = %q\n"+
		"memory-mb = %d\nprocessor-share = 0.8\n\n[stop]\nlimit = \"8s\"\n\n[jobs]\nkeep = \"120s\"\n",
		name, zone, n.callers, n.readiness, n.peers, n.metrics, link.address, memoryMB)
	d.daemons = append(d.daemons, n)
	return n, d.start(n)
}

func (d *deployment) start(n *daemon) error {
	if d.ctx.Err() != nil || d.stopped {
		return d.ctx.Err()
	}
	text := fmt.Sprintf("first-start = %t\n%s", n.starts == 0, n.text)
	n.starts++
	n.startedAt.Store(time.Now().UnixNano())
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
		return err
	}
	logs, err := os.OpenFile(filepath.Join(d.dir, n.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = logs.Close() }()
	n.command = exec.Command("target/wagtailwharfd", "routes")
	n.command.Env = append(os.Environ(), "WAGTAILWHARF_SETTINGS="+n.settings, "WAGTAILWHARF_REGION=region",
		`WAGTAILWHARF_ZONES={"zone-a":"region","zone-b":"region"}`)
	n.command.Stdout, n.command.Stderr = logs, logs
	n.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.command.Start(); err != nil {
		return err
	}
	command, done := n.command, make(chan struct{})
	n.done = done
	go func() {
		_ = command.Wait()
		close(done)
	}()
	return nil
}

// awaitReady waits until all daemons are ready.
func (d *deployment) awaitReady() error {
	for _, n := range d.daemons {
		for deadline := time.Now().Add(15 * time.Second); !wharfstandin.Ready(d.ctx, n.readiness.String()); {
			if time.Now().After(deadline) {
				return fmt.Errorf("%w: %s is not ready", errUnplayable, n.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// stop ends all processes that were started, and removes their files unless KEEP is set.
func (d *deployment) stop() {
	d.stopped = true
	for _, n := range d.daemons {
		if n.command != nil && n.command.Process != nil {
			_ = n.command.Process.Kill()
			<-n.done
		}
	}
	_ = d.server.Close()
	_ = d.record.file.Close()
	if os.Getenv("KEEP") != "" {
		fmt.Println(d.dir)
		return
	}
	_ = os.RemoveAll(d.dir)
}

// route returns a route of the configuration.
func route(name, prefix, kind string, extra map[string]any) map[string]any {
	r := map[string]any{
		"name": name, "host": host, wire("prefix"): prefix, "kind": kind, "timeout_ms": 5000, wire("latency-objective"): 300,
		wire("gap-objective"): 250, "priority": 0, "service": service, wire("attempts"): 2, "public": false,
	}
	for field, value := range extra {
		r[field] = value
	}
	return r
}

func batchRoute(name, prefix string) map[string]any {
	return route(name, prefix, "batch", map[string]any{
		"timeout_ms": 15000, wire("latency-objective"): 500, wire("completion-objective"): 18000, wire("longest-wait"): 30, "cap": 1200000,
		wire("attempts"): 3, "priority": 2,
	})
}

// configure has the operator write a configuration.
func (d *deployment) configure(version int, routes []map[string]any, tenants []map[string]any) error {
	names := []string{}
	for _, r := range routes {
		names = append(names, r["name"].(string))
	}
	err := d.store.PutRow("op", "config", map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{{"name": service, "health_path": "/health", "max_connections": 230}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  tenants,
	})
	d.record.add("operator: version %d acknowledged by the store, routes %s", version, strings.Join(names, " "))
	return err
}

func oneTenant() []map[string]any {
	return []map[string]any{{"name": tenant, wire("keys"): []string{key}, wire("rate"): 10000, "burst": 10000}}
}

// worker starts a worker that writes its entry every heartbeat until stop is called.
func (d *deployment) worker(id, zone string, slots int, events int, pause time.Duration) (w *wharfstandin.Endpoint, stop func(), err error) {
	w, err = wharfstandin.StartEndpoint(d.store, id, service, zone, slots)
	if err != nil {
		return nil, nil, err
	}
	w.Events, w.EventTime = events, pause
	d.record.add("worker %s registered as ready", id)
	ctx, cancel := context.WithCancel(d.ctx)
	go d.beat(ctx, w)
	return w, cancel, nil
}

const heartbeat = 1200 * time.Millisecond

// beat rewrites a worker's entry as it is, with a higher sequence.
func (d *deployment) beat(ctx context.Context, w *wharfstandin.Endpoint) {
	born := time.Now().UnixMilli()
	for sequence := 2; ctx.Err() == nil; sequence++ {
		_ = d.store.PutRow("servers", w.ID, map[string]any{
			"service": w.Service, "address": w.Address, "zone": w.Zone, "version": w.Version, "slots": w.Slots, "state": "ready",
			wire("cold-time"): 0, "sequence": sequence, "born": born,
		})
		select {
		case <-ctx.Done():
		case <-time.After(heartbeat):
		}
	}
}

func (d *deployment) caller() *wharfstandin.Caller { return wharfstandin.NewCaller(host, key) }

func compact(value any) string {
	data, _ := json.Marshal(value)
	return string(data)
}
