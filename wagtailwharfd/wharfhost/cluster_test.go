package wharfhost

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wagtailwharf.example/platform/wharfstandin"
	"wagtailwharf.example/wharf/coordination/wharfgossip"
	"wagtailwharf.example/wharf/protocol/wharfhostsettings"
	"wagtailwharf.example/wharf/protocol/wharfsettings"
)

const (
	assistant   = "assistant"
	callerHost  = "callers.example"
	keyA        = "key-of-a"
	keyB        = "key-of-b"
	waitTimeout = 10 * time.Second
)

// cluster runs a store, endpoints and daemons in the test process.
type cluster struct {
	t             testing.TB
	store         *wharfstandin.Store
	server        *httptest.Server
	endpoints     []*wharfstandin.Endpoint
	hosts         []*runningHost
	version       uint64
	configuration wharfstandin.Configuration
	maxMeshPeers  int
	setRegions    func(*wharfhostsettings.Settings) // of hosts that are started from now on; may be nil
}

// runningHost is a started daemon; done receives the result of its Run.
type runningHost struct {
	*Host
	stop context.CancelFunc
	done chan error
	once sync.Once
}

// newCluster starts a cluster and waits until all hosts are ready and know each other.
func newCluster(t testing.TB, hosts, endpoints int) *cluster {
	t.Helper()
	return newClusterOf(t, hosts, endpoints, wharfgossip.DefaultMaxMeshPeers)
}

// newLargeCluster starts a cluster whose hosts consider it a large fleet, with allocators.
func newLargeCluster(t testing.TB, hosts, endpoints int) *cluster {
	t.Helper()
	c := newClusterOf(t, hosts, endpoints, 1)
	c.await("all hosts have the same allocators", func() bool {
		for _, h := range c.hosts {
			allocators := h.gossip.Allocators()
			if len(allocators) != 2 || allocators[0].Host != c.hosts[0].gossip.Allocators()[0].Host {
				return false
			}
		}
		return true
	})
	return c
}

func newClusterOf(t testing.TB, hosts, endpoints, maxMeshPeers int) *cluster {
	t.Helper()
	store := wharfstandin.NewStore()
	c := &cluster{t: t, store: store, server: httptest.NewServer(store), maxMeshPeers: maxMeshPeers}
	t.Cleanup(c.server.Close)
	c.configuration = wharfstandin.Configuration{
		Host: callerHost, Service: assistant, Organisations: []wharfstandin.Organisation{
			{Name: "a", Keys: []string{keyA}, Rate: 1000, Burst: 1000},
			{Name: "b", Keys: []string{keyB}, Rate: 1000, Burst: 1000},
		},
	}
	c.applyConfiguration()
	for i := range endpoints {
		c.addEndpoint(fmt.Sprintf("e%d", i))
	}
	for i := range hosts {
		c.start(fmt.Sprintf("host-%d", i))
	}
	c.await("all hosts are ready and know each other", func() bool {
		for _, h := range c.hosts {
			for _, p := range h.gossip.Peers() {
				if p.Presence != wharfgossip.Alive {
					return false
				}
			}
			if len(h.gossip.Peers()) != hosts-1 || len(h.directory.View().Endpoints) != endpoints || h.table() == nil {
				return false
			}
		}
		return true
	})
	return c
}

// applyConfiguration writes c.settings to the store as a new version.
func (c *cluster) applyConfiguration() {
	c.version++
	c.configuration.Version = c.version
	assert.NilError(c.t, c.store.PutConfiguration(c.configuration))
}

func (c *cluster) addEndpoint(id string) *wharfstandin.Endpoint {
	c.t.Helper()
	e, err := wharfstandin.StartEndpoint(c.store, id, assistant, "zone", 4)
	assert.NilError(c.t, err)
	c.t.Cleanup(e.Stop)
	c.endpoints = append(c.endpoints, e)
	return e
}

// The test port range lies below the kernel's ephemeral port range, so that no other process's connection takes a port
// between the check that it is free and the daemon's start.
const (
	portRangeStart = 20000
	portRangeSize  = 12000
)

var nextPort atomic.Int64

// freePort returns a loopback port that is free for both TCP and UDP.
func freePort(t testing.TB) netip.AddrPort {
	t.Helper()
	for range portRangeSize {
		port := portRangeStart + (int64(os.Getpid())*100+nextPort.Add(1))%portRangeSize
		address := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(port))
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
	t.Fatal("no free port in the test port range")
	return netip.AddrPort{}
}

// start starts a new host.
func (c *cluster) start(name string) *runningHost {
	c.t.Helper()
	return c.startIn("zone", name)
}

// startIn starts a new host of an availability zone.
func (c *cluster) startIn(zone, name string) *runningHost {
	c.t.Helper()
	settings := wharfhostsettings.Default()
	settings.Host, settings.Zone = name, zone
	settings.Callers, settings.Readiness = freePort(c.t), freePort(c.t)
	settings.Peers, settings.Metrics = freePort(c.t), freePort(c.t)
	settings.Store = netip.MustParseAddrPort(c.server.Listener.Addr().String())
	settings.FirstStart = true
	settings.MaxMeshPeers = c.maxMeshPeers
	settings.Stop.Limit = wharfsettings.Duration(8 * time.Second)
	if c.setRegions != nil {
		c.setRegions(&settings)
	}
	return c.run(settings)
}

// run starts a daemon with the given settings and adds it to c.hosts.
func (c *cluster) run(settings wharfhostsettings.Settings) *runningHost {
	ctx, cancel := context.WithCancel(context.Background())
	h := &runningHost{Host: New(settings), stop: cancel, done: make(chan error, 1)}
	go func() {
		err := h.Run(ctx)
		if err != nil && ctx.Err() == nil {
			c.t.Errorf("%s: Run returned an error: %v", settings.Host, err)
		}
		h.done <- err
	}()
	c.hosts = append(c.hosts, h)
	c.t.Cleanup(h.kill)
	return h
}

// kill stops a daemon without a graceful shutdown.
func (h *runningHost) kill() {
	h.once.Do(func() {
		h.stop()
		<-h.done
	})
}

// restart starts a killed daemon again with the same addresses.
func (c *cluster) restart(h *runningHost) *runningHost {
	settings := h.Host.settings
	settings.FirstStart = false
	return c.run(settings)
}

// await polls until condition holds and fails the test after waitTimeout.
func (c *cluster) await(what string, condition func() bool) {
	c.t.Helper()
	for deadline := time.Now().Add(waitTimeout); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			c.t.Fatalf("timed out after %v waiting until %s", waitTimeout, what)
		}
	}
}

func (h *runningHost) address() string { return h.Host.settings.Callers.String() }

// send sends a request to a host as a caller.
func (c *cluster) send(h *runningHost, key, method, target, id, body string) wharfstandin.Response {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	return wharfstandin.NewCaller(callerHost, key).Send(ctx, h.address(), method, target, id, body)
}

// executions returns the runs of a request on all endpoints.
func (c *cluster) executions(id string) []wharfstandin.Run {
	var runs []wharfstandin.Run
	for _, e := range c.endpoints {
		for _, r := range e.Runs() {
			if r.ID == id {
				runs = append(runs, r)
			}
		}
	}
	return runs
}

// assertComplete checks that resp is the complete response of an endpoint to request id.
func (c *cluster) assertComplete(resp wharfstandin.Response, id string) {
	c.t.Helper()
	assert.NilError(c.t, resp.Err)
	assert.Equal(c.t, resp.Status, http.StatusOK, resp.Body)
	assert.Equal(c.t, resp.Body, wharfstandin.StreamBody(id, c.endpoints[0].Events))
	assert.Equal(c.t, resp.Signature, "signed-"+id)
}
