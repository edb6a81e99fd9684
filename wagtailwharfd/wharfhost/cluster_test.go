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
	assistant  = "assistant"
	callerHost = "callers.example"
	keyA       = "key-of-a"
	keyB       = "key-of-b"
	patience   = 10 * time.Second
)

// cluster is a store, endpoints and daemons in one process.
type cluster struct {
	t         testing.TB
	store     *wharfstandin.Store
	server    *httptest.Server
	endpoints []*wharfstandin.Endpoint
	hosts     []*running
	version   uint64
	settings  wharfstandin.Configuration
}

// running is a daemon and the end of its Run.
type running struct {
	*Host
	stop context.CancelFunc
	done chan error
	once sync.Once
}

func newCluster(t testing.TB, hosts, endpoints int) *cluster {
	t.Helper()
	store := wharfstandin.NewStore()
	c := &cluster{t: t, store: store, server: httptest.NewServer(store)}
	t.Cleanup(c.server.Close)
	c.settings = wharfstandin.Configuration{Host: callerHost, Service: assistant, Organisations: []wharfstandin.Organisation{
		{Name: "a", Keys: []string{keyA}, Rate: 1000, Burst: 1000},
		{Name: "b", Keys: []string{keyB}, Rate: 1000, Burst: 1000},
	}}
	c.configure()
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

func (c *cluster) configure() {
	c.version++
	c.settings.Version = c.version
	assert.NilError(c.t, c.store.PutConfiguration(c.settings))
}

func (c *cluster) addEndpoint(id string) *wharfstandin.Endpoint {
	c.t.Helper()
	e, err := wharfstandin.StartEndpoint(c.store, id, assistant, "zone", 4)
	assert.NilError(c.t, err)
	c.t.Cleanup(e.Stop)
	c.endpoints = append(c.endpoints, e)
	return e
}

// firstPort and ports lie below the range from which the kernel takes the ports of connections, so that nobody else takes
// a port between the look whether it is free and the daemon's start.
const (
	firstPort = 20000
	ports     = 12000
)

var nextPort atomic.Int64

// freePort returns a port of loopback that nothing uses, for connections and datagrams.
func freePort(t testing.TB) netip.AddrPort {
	t.Helper()
	for range ports {
		port := firstPort + (int64(os.Getpid())*100+nextPort.Add(1))%ports
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
	t.Fatal("no port is free")
	return netip.AddrPort{}
}

func (c *cluster) start(name string) *running {
	c.t.Helper()
	settings := wharfhostsettings.Default()
	settings.Host, settings.Zone = name, "zone"
	settings.Callers, settings.Readiness = freePort(c.t), freePort(c.t)
	settings.Peers, settings.Metrics = freePort(c.t), freePort(c.t)
	settings.Store = netip.MustParseAddrPort(c.server.Listener.Addr().String())
	settings.FirstStart = true
	settings.Stop.Limit = wharfsettings.Duration(8 * time.Second)
	return c.run(settings)
}

func (c *cluster) run(settings wharfhostsettings.Settings) *running {
	ctx, cancel := context.WithCancel(context.Background())
	h := &running{Host: New(settings), stop: cancel, done: make(chan error, 1)}
	go func() {
		err := h.Run(ctx)
		if err != nil && ctx.Err() == nil {
			c.t.Errorf("%s ended: %v", settings.Host, err)
		}
		h.done <- err
	}()
	c.hosts = append(c.hosts, h)
	c.t.Cleanup(h.kill)
	return h
}

// kill ends a daemon without a word to anybody.
func (h *running) kill() {
	h.once.Do(func() {
		h.stop()
		<-h.done
	})
}

// restart starts a daemon again that was killed, at the same addresses.
func (c *cluster) restart(h *running) *running {
	settings := h.Host.settings
	settings.FirstStart = false
	return c.run(settings)
}

func (c *cluster) await(what string, condition func() bool) {
	c.t.Helper()
	for deadline := time.Now().Add(patience); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			c.t.Fatalf("not within %v: %s", patience, what)
		}
	}
}

func (h *running) address() string { return h.Host.settings.Callers.String() }

func (c *cluster) send(h *running, key, method, target, id, body string) wharfstandin.Response {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	return wharfstandin.NewCaller(callerHost, key).Send(ctx, h.address(), method, target, id, body)
}

func (c *cluster) runs(id string) []wharfstandin.Run {
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

func (c *cluster) assertWhole(a wharfstandin.Response, id string) {
	c.t.Helper()
	assert.NilError(c.t, a.Err)
	assert.Equal(c.t, a.Status, http.StatusOK, a.Body)
	assert.Equal(c.t, a.Body, wharfstandin.StreamBody(id, c.endpoints[0].Events))
	assert.Equal(c.t, a.Signature, "signed-"+id)
}
