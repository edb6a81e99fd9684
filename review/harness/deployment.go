package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"wagtailwharf.example/platform/wharfstandin"
)

const (
	deployFile   = "deploy/system.toml"
	settingsPath = "deploy/settings.toml"
	settingsEnv  = "WAGTAILWHARF_SETTINGS"
	fileMode     = 0o600
	// readyLimit is how long daemons may take to become ready, and pollPause the time between two questions.
	readyLimit = 20 * time.Second
	pollPause  = 50 * time.Millisecond
	// heartbeat is the interval in which workers renew their registrations.
	heartbeat = 1200 * time.Millisecond
)

// errNotReady means that a daemon did not become ready.
var errNotReady = errors.New("daemon is not ready")

// deployment is the daemons and the stand-ins between which they run.
type deployment struct {
	record      *record
	dir         string
	command     []string
	store       *store
	address     string // of the store
	daemons     []*daemon
	workers     []*worker
	servers     []*http.Server
	version     int    // of the newest configuration
	block       string // first three numbers of the daemons' addresses
	reservation net.Listener
}

func newDeployment(r *record) (*deployment, error) {
	deploy, err := os.ReadFile(deployFile)
	if err != nil {
		return nil, err
	}
	run := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(deploy)
	if run == nil {
		return nil, fmt.Errorf("%s names no program", deployFile)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	d := &deployment{
		record: r, dir: dir, command: strings.Fields(string(run[1])),
		store: &store{Store: wharfstandin.NewStore(), record: r},
	}
	if err := d.reserve(); err != nil {
		return nil, err
	}
	d.address, err = d.serve(d.store)
	return d, err
}

// serve starts an HTTP server at a free loopback port and returns its address.
func (d *deployment) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler}
	d.servers = append(d.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// stop kills all daemons and closes all servers.
func (d *deployment) stop() {
	for _, x := range d.daemons {
		x.kill()
	}
	for _, s := range d.servers {
		_ = s.Close()
	}
	_ = d.reservation.Close()
	_ = os.RemoveAll(d.dir)
}

// unexpectedExit returns an error if a daemon has ended that the case did not kill.
func (d *deployment) unexpectedExit() error {
	for _, x := range d.daemons {
		if !x.killed && !x.running() {
			return fmt.Errorf("%s has ended by itself", x.name)
		}
	}
	return nil
}

// configure writes the next version of the configuration.
func (d *deployment) configure(routes, tenants []map[string]any) error {
	d.version += 3
	d.record.note("operator: configuration %d with %d routes", d.version, len(routes))
	return d.store.PutRow("op", "config", map[string]any{
		"version": d.version, "routes": routes, "tenants": tenants,
		"services": []map[string]any{{"name": serviceName, "health_path": "/health", "max_connections": 230}},
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 4 << 20, "header_timeout_ms": 5000, "idle_timeout_ms": 15000,
		},
	})
}

const (
	hostName    = "lots.example"
	serviceName = "solver-assist"
)

// batchRoute returns a route for batch jobs as of the deployment's sheet.
func batchRoute(name string) map[string]any {
	return map[string]any{
		"name": name, "host": hostName, wire("prefix"): "/" + name + "/", "kind": "batch", "service": serviceName,
		"timeout_ms": 15000, wire("latency-objective"): 500, wire("gap-objective"): 250, "priority": 2, wire("attempts"): 3,
		"resumable": true, wire("completion-objective"): 18000, wire("longest-wait"): 60, "cap": 1200000,
	}
}

// tenant returns a tenant with a key of its own.
func tenant(name string) map[string]any {
	return map[string]any{"name": name, wire("keys"): []string{keyOf(name)}, wire("rate"): 100, "burst": 200}
}

func keyOf(tenant string) string {
	return "key-of-" + tenant
}

// daemon is a daemon in a process of its own.
type daemon struct {
	name, zone, ip                     string
	callers, readiness, peers, metrics string
	deployment                         *deployment
	mu                                 sync.Mutex
	process                            *exec.Cmd
	done                               chan struct{}
	killed                             bool
}

// Ports of a daemon, below the kernel's ephemeral ports, and the port by which a deployment reserves its addresses.
const (
	reservedPort = 19999
	firstPort    = 20000
)

// reserve reserves loopback addresses 127.x.y.* for the deployment, so that cases can be played side by side.
func (d *deployment) reserve() error {
	const tries, least, most = 100, 10, 250
	var err error
	for range tries {
		d.block = fmt.Sprintf("127.%d.%d", least+rand.N(most-least), rand.N(most))
		if d.reservation, err = net.Listen("tcp", fmt.Sprintf("%s.1:%d", d.block, reservedPort)); err == nil {
			return nil
		}
	}
	return err
}

// addDaemon starts a daemon for the first time, at a loopback address of its own.
func (d *deployment) addDaemon(name, zone string) (*daemon, error) {
	const firstHost = 2
	ip := fmt.Sprintf("%s.%d", d.block, firstHost+len(d.daemons))
	address := func(port int) string { return fmt.Sprintf("%s:%d", ip, firstPort+port) }
	x := &daemon{
		name: name, zone: zone, ip: ip, callers: address(0), readiness: address(1), peers: address(2), metrics: address(3),
		deployment: d,
	}
	d.daemons = append(d.daemons, x)
	return x, x.start(true)
}

// start starts the daemon's process with the command and the settings of the deploy file.
func (x *daemon) start(first bool) error {
	template, err := os.ReadFile(settingsPath)
	if err != nil {
		return err
	}
	port := func(address string) string {
		_, number, _ := net.SplitHostPort(address)
		return number
	}
	settings, err := render(string(template), map[string]any{
		"node_name": x.name, "zone": x.zone, "ip": x.ip, "listen.front": x.callers, "listen.ready": x.readiness,
		"internal_ports.0": json.Number(port(x.peers)), "internal_ports.1": json.Number(port(x.metrics)),
		"platform.address": x.deployment.address, "first_start": first, "limits.memory_mb": 314,
		"limits.max_open_files": 4096, "limits.cpu_share": 0.8, "bounds.grace_s": 8, "bounds.status_s": 120,
	})
	if err != nil {
		return err
	}
	file := filepath.Join(x.deployment.dir, x.name+".toml")
	if err := os.WriteFile(file, []byte(settings), fileMode); err != nil {
		return err
	}
	logs, err := os.OpenFile(filepath.Join(x.deployment.dir, x.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, fileMode)
	if err != nil {
		return err
	}
	defer func() { _ = logs.Close() }()
	process := exec.Command(x.deployment.command[0], x.deployment.command[1:]...)
	process.Env = []string{settingsEnv + "=" + file, "PATH=" + os.Getenv("PATH"), "HOME=" + x.deployment.dir}
	process.Stdout, process.Stderr = logs, logs
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	x.mu.Lock()
	x.process, x.done, x.killed = process, done, false
	x.mu.Unlock()
	go func() {
		_ = process.Wait()
		close(done)
	}()
	x.deployment.record.note("daemon %s: started", x.name)
	return nil
}

var placeholder = regexp.MustCompile(`\{\{([a-z0-9_.]+)(\|json)?\}\}`)

// render fills in a settings template.
func render(template string, values map[string]any) (string, error) {
	var missing error
	text := placeholder.ReplaceAllStringFunc(template, func(found string) string {
		match := placeholder.FindStringSubmatch(found)
		value, known := values[match[1]]
		if !known {
			missing = errors.Join(missing, fmt.Errorf("%s: no value for %q", settingsPath, match[1]))
		}
		if match[2] == "" {
			return fmt.Sprint(value)
		}
		data, err := json.Marshal(value)
		missing = errors.Join(missing, err)
		return string(data)
	})
	return text, missing
}

func (x *daemon) running() bool {
	x.mu.Lock()
	done := x.done
	x.mu.Unlock()
	if done == nil {
		return false
	}
	select {
	case <-done:
		return false
	default:
		return true
	}
}

// kill sends SIGKILL to the daemon's process and waits for its end.
func (x *daemon) kill() {
	if !x.running() {
		return
	}
	x.mu.Lock()
	x.killed = true
	process, done := x.process, x.done
	x.mu.Unlock()
	_ = process.Process.Kill()
	<-done
	x.deployment.record.note("daemon %s: killed", x.name)
}

// terminate sends SIGTERM to the daemon's process.
func (x *daemon) terminate() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.killed = true
	_ = x.process.Process.Signal(syscall.SIGTERM)
	x.deployment.record.note("daemon %s: SIGTERM", x.name)
}

// awaitReady waits until all daemons that run are ready.
func (d *deployment) awaitReady(ctx context.Context) error {
	deadline := time.Now().Add(readyLimit)
	for _, x := range d.daemons {
		for x.running() && !wharfstandin.Ready(ctx, x.readiness) {
			if ctx.Err() != nil || time.Now().After(deadline) {
				return fmt.Errorf("%w: %s", errNotReady, x.name)
			}
			time.Sleep(pollPause)
		}
	}
	return nil
}

// pause waits and returns early if ctx ends.
func pause(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}
