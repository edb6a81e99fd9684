package wharfuntrusted

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wagtailwharf.example/platform/wharfstandin"
	"wagtailwharf.example/wharf-load/wharfprocess"
)

const (
	callerHost = "callers.example"
	service    = "assistant"
	key        = "key-of-a"
	// memoryMB is the daemon's memory limit, and the bound of its peak resident memory.
	memoryMB = 96
	// maxOpenFiles is the limit of the daemon's open descriptors, and maxDescriptors the bound that leaves some for
	// endpoints, other hosts and the store.
	maxOpenFiles   = 160
	maxDescriptors = 144
	// maxBodyBytes is the limit of a body in all deployments.
	maxBodyBytes = 4 << 20
	waitLimit    = time.Minute
	pollPause    = 20 * time.Millisecond
)

// binaries is the folder of the executables, of which wagtailwharfd starts the daemon with a limit of open descriptors.
var binaries string

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

// runTests builds the daemon and runs the tests.
func runTests(m *testing.M) int {
	if runtime.GOOS != "linux" {
		fmt.Fprintln(os.Stderr, "these tests read /proc/PID/status and /proc/PID/fd, which only Linux has")
		return 1
	}
	folder, err := os.MkdirTemp("", "wharfuntrusted")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(folder) }()
	if err := buildAll(folder); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	binaries = folder
	return m.Run()
}

// buildAll builds the executables of a deployment in a folder.
func buildAll(folder string) error {
	daemon := filepath.Join(folder, "daemon")
	for file, pattern := range map[string]string{
		daemon:                                 "wagtailwharf.example/wagtailwharfd",
		filepath.Join(folder, "wagtailwharf"):  "wagtailwharf.example/wagtailwharf",
		filepath.Join(folder, "wharf-standin"): "wagtailwharf.example/wharf-standin",
	} {
		if output, err := exec.Command("go", "build", "-o", file, pattern).CombinedOutput(); err != nil {
			return fmt.Errorf("failed to build %s: %w\n%s", pattern, err, output)
		}
	}
	script := fmt.Sprintf("#!/bin/sh\nulimit -n %d && exec %q \"$@\"\n", maxOpenFiles, daemon)
	return os.WriteFile(filepath.Join(folder, "wagtailwharfd"), []byte(script), 0o700)
}

// daemon is a running daemon with a store and endpoints.
type daemon struct {
	t         *testing.T
	process   *wharfprocess.Process
	logs      string
	callers   netip.AddrPort
	readiness netip.AddrPort
	metrics   netip.AddrPort
	memoryMB  float64             // bound of its peak resident memory
	mostOpen  int                 // largest number of open descriptors that was seen
	ordinary  func(try int) error // sends an ordinary request and reads its response
}

// nextPort is the next loopback port to try, below the kernel's ephemeral range.
var nextPort = 20000 + os.Getpid()*100%12000

// freePort returns a loopback port that is free for both TCP and UDP.
func freePort(t *testing.T) netip.AddrPort {
	t.Helper()
	for range 1000 {
		nextPort++
		address := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(nextPort))
		listener, err := net.Listen("tcp", address.String())
		if err != nil {
			continue
		}
		_ = listener.Close()
		conn, err := net.ListenPacket("udp", address.String())
		if err != nil {
			continue
		}
		_ = conn.Close()
		return address
	}
	t.Fatal("no free port")
	return netip.AddrPort{}
}

// start starts a daemon with two endpoints and waits until it is ready.
func start(t *testing.T) *daemon {
	t.Helper()
	return startWith(t, memoryMB)
}

// startWith starts a daemon as start does, with another memory limit.
func startWith(t *testing.T, memoryMB int) *daemon {
	t.Helper()
	store := wharfstandin.NewStore()
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	assert.NilError(t, store.PutConfiguration(wharfstandin.Configuration{
		Version: 1, Host: callerHost, Service: service,
		Organisations: []wharfstandin.Organisation{{Name: "a", Keys: []string{key}, Rate: 10000, Burst: 10000}},
	}))
	for i := range 2 {
		e, err := wharfstandin.StartEndpoint(store, fmt.Sprint("e", i), service, "zone", 8)
		assert.NilError(t, err)
		t.Cleanup(e.Stop)
	}
	d := &daemon{t: t, callers: freePort(t), readiness: freePort(t), metrics: freePort(t), memoryMB: float64(memoryMB)}
	d.ordinary = d.sendOrdinary
	settings := filepath.Join(t.TempDir(), "host.toml")
	text := fmt.Sprintf("host = \"host\"\navailability-zone = \"zone\"\ncallers = %q\nreadiness = %q\npeers = %q\nmetrics = %q\n"+
		"store = %q\nfirst-start = true\nmemory-mb = %d\n",
		d.callers, d.readiness, freePort(t), d.metrics, server.Listener.Addr().String(), memoryMB)
	assert.NilError(t, os.WriteFile(settings, []byte(text), 0o600))
	d.logs = filepath.Join(t.TempDir(), "log")
	d.process = wharfprocess.New(d.logs, filepath.Join(binaries, "wagtailwharfd"), "routes", "--settings", settings)
	assert.NilError(t, d.process.Start())
	t.Cleanup(d.process.Kill)
	d.await("the daemon is ready", func() bool {
		return wharfstandin.Ready(t.Context(), d.readiness.String())
	})
	return d
}

// await polls until condition holds and fails the test after waitLimit or if the daemon has ended.
func (d *daemon) await(what string, condition func() bool) {
	d.t.Helper()
	for deadline := time.Now().Add(waitLimit); !condition(); time.Sleep(pollPause) {
		d.assertAlive()
		d.countDescriptors()
		if time.Now().After(deadline) {
			d.t.Fatalf("timed out after %v waiting until %s", waitLimit, what)
		}
	}
}

func (d *daemon) assertAlive() {
	d.t.Helper()
	if !d.process.Running() {
		logs, err := os.ReadFile(d.logs)
		d.t.Fatalf("the daemon has ended, exit code %d: %s", d.process.ExitCode(), errors.Join(err, errors.New(tail(logs))))
	}
}

// tail returns the end of the logs, which says why a daemon has ended.
func tail(logs []byte) string {
	const limit = 2000
	return string(logs[max(0, len(logs)-limit):])
}

// peakMemoryMB returns the peak resident memory of the daemon in MB (2^20 bytes).
func (d *daemon) peakMemoryMB() float64 {
	d.t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.process.PID()))
	assert.NilError(d.t, err)
	_, rest, found := strings.Cut(string(status), "VmHWM:")
	assert.Assert(d.t, found, "no VmHWM in %s", status)
	text, _, _ := strings.Cut(strings.TrimSpace(rest), " ")
	kilobytes, err := strconv.ParseFloat(text, 64)
	assert.NilError(d.t, err)
	return kilobytes / 1024
}

// countDescriptors updates the largest number of open descriptors.
func (d *daemon) countDescriptors() {
	d.t.Helper()
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", d.process.PID()))
	assert.NilError(d.t, err)
	d.mostOpen = max(d.mostOpen, len(entries))
}

// assertServes checks that the daemon lives, keeps to its bounds and answers an ordinary request.
func (d *daemon) assertServes() {
	d.t.Helper()
	d.checkBounds()
	tries := 0
	d.await("an ordinary request is answered", func() bool {
		tries++
		err := d.ordinary(tries)
		if err != nil {
			d.t.Logf("ordinary request %d: %v", tries, err)
		}
		return err == nil
	})
	d.checkBounds()
	d.t.Logf("peak memory %.0f MB, %d descriptors, ordinary request answered at try %d", d.peakMemoryMB(), d.mostOpen, tries)
}

// errNotServed means that an ordinary request was refused.
var errNotServed = errors.New("not served")

// sendOrdinary sends an ordinary request to a daemon on the platform.
func (d *daemon) sendOrdinary(try int) error {
	ctx, cancel := context.WithTimeout(d.t.Context(), 5*time.Second)
	defer cancel()
	response := wharfstandin.NewCaller(callerHost, key).Send(ctx, d.callers.String(), "POST", "/resume/x", fmt.Sprint("ordinary-", try), "prompt")
	if response.Err == nil && response.Status != 200 {
		return fmt.Errorf("%w: %d %s", errNotServed, response.Status, response.Body)
	}
	return response.Err
}

func (d *daemon) checkBounds() {
	d.t.Helper()
	d.assertAlive()
	d.countDescriptors()
	peak := d.peakMemoryMB()
	assert.Check(d.t, peak <= d.memoryMB, "peak memory is %.0f MB, at most %.0f allowed", peak, d.memoryMB)
	assert.Check(d.t, d.mostOpen <= maxDescriptors, "%d descriptors were open, at most %d allowed", d.mostOpen, maxDescriptors)
}
