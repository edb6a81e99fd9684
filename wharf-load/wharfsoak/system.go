package wharfsoak

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"wagtailwharf.example/platform/wharfstandin"
	"wagtailwharf.example/wharf-load/wharfprocess"
	"wagtailwharf.example/wharf-load/wharfproxy"
	"wagtailwharf.example/wharf/state/wharfpause"
)

const (
	callersHost = "callers.example"
	service     = "assistant"
	zones       = 2
	slots       = 4
	// unlimitedKey is the API key of an organisation whose limit is never reached, limitedKey that of an organisation
	// that exceeds its rate limit, and revocableKey one that the operator revokes and restores.
	unlimitedKey = "lasting-key"
	limitedKey   = "limited-key"
	revocableKey = "passing-key"
	// limitRate (requests per second) and limitBurst (requests) are the limits of the limited organisation.
	limitRate  = 20
	limitBurst = 20
	// hostMemoryMB is the memory limit, in MB, of the users' small hosts.
	hostMemoryMB = 154
	stopLimit    = 8 * time.Second
	// jobRetention exceeds the longest run, in which 40 hosts are restarted one after the other, so that each accepted job
	// must be known to the end.
	jobRetention = 10 * time.Minute
	startLimit   = 20 * time.Second
	dirMode      = 0o700
	fileMode     = 0o600
	// rejectedBody is the body of items that every endpoint rejects.
	rejectedBody = "impossible"
)

// usualFaults returns what endpoints do to bad requests while they have no fault. They crash before or after the first event,
// depending on the seed.
func (s *system) usualFaults() wharfstandin.Faults {
	return wharfstandin.Faults{RejectBody: rejectedBody, CrashPart: crashingPart, CrashAfter: int(s.options.Seed % 2)}
}

// ErrNotReady is returned when the daemons do not become ready at the start of a run.
var ErrNotReady = errors.New("daemons did not become ready")

// system is the system under test: a store and endpoints in this process, and daemons in their own processes, connected
// through fault-injecting proxies.
type system struct {
	options       Options
	loopbackBlock byte
	store         *wharfstandin.Store
	server        *http.Server
	hosts         []*host
	endpoints     []*endpoint
	storeFaults   faultSpans // faults that affect all hosts' access to the store
	findings      findings
	evacuations   evacuations

	mu            sync.Mutex
	crashing      []*request // requests with crashingPart
	configuration wharfstandin.Configuration
	revocations   []span // when revocableKey was revoked, starting with the store's reply
}

// host is a daemon, its proxy to the store, and the proxy through which its peers reach it.
type host struct {
	*wharfprocess.Process
	name             string
	ip               netip.Addr
	settingsFile     string
	settingsText     string
	callerAddress    string
	readinessAddress string
	storeProxy       *wharfproxy.Proxy
	peerProxy        *wharfproxy.Proxy
	faults           faultSpans // kills, pauses and network faults
	plannedStops     faultSpans // graceful stops
	startMu          sync.Mutex // serializes starts
}

// endpoint is an address at which a series of stand-in endpoints runs, one at a time.
type endpoint struct {
	proxy     *wharfproxy.Proxy
	faults    faultSpans
	mu        sync.Mutex
	instances []*wharfstandin.Endpoint // the last is the current one
	down      bool
}

// startSystem starts the store, the endpoints and the daemons, and waits until all daemons are ready.
func startSystem(ctx context.Context, options Options) (*system, error) {
	s := &system{options: options, loopbackBlock: byte(2 + options.Seed%250), store: wharfstandin.NewStore()}
	if err := os.MkdirAll(options.WorkDir, dirMode); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.server = &http.Server{Handler: s.store, ReadHeaderTimeout: startLimit}
	go func() { _ = s.server.Serve(listener) }() // returns when the system is stopped
	s.configuration = wharfstandin.Configuration{
		Version: 1, Host: callersHost, Service: service, Organisations: []wharfstandin.Organisation{
			{Name: "lasting", Keys: []string{unlimitedKey}, Rate: 10000, Burst: 10000},
			{Name: "limited", Keys: []string{limitedKey}, Rate: limitRate, Burst: limitBurst},
			{Name: "passing", Keys: []string{revocableKey}, Rate: 10000, Burst: 10000},
		},
	}
	if options.Cold {
		s.configuration.ColdPerSecond, s.configuration.ColdStart = coldPerSecond, maxCold
	}
	if err := s.store.PutConfiguration(s.configuration); err != nil {
		return nil, err
	}
	for i := range options.Endpoints {
		if err := s.addEndpoint(ctx, i); err != nil {
			return nil, err
		}
	}
	store := netip.MustParseAddrPort(listener.Addr().String())
	for i := range options.Hosts {
		if err := s.addHost(ctx, i, store); err != nil {
			s.stop()
			return nil, err
		}
	}
	if err := s.awaitReady(ctx); err != nil {
		s.stop()
		return nil, err
	}
	return s, nil
}

// addEndpoint starts a proxy and an endpoint behind it.
func (s *system) addEndpoint(ctx context.Context, index int) error {
	proxy, err := wharfproxy.Start(ctx, netip.MustParseAddrPort("127.0.0.1:0"), netip.AddrPort{})
	if err != nil {
		return err
	}
	e := &endpoint{proxy: proxy}
	s.endpoints = append(s.endpoints, e)
	return s.startEndpoint(e, index)
}

// startEndpoint starts an endpoint with a new ID behind the proxy.
func (s *system) startEndpoint(e *endpoint, index int) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	id := fmt.Sprintf("e%d-%d", index, len(e.instances)+1)
	version := versions[(index+len(e.instances))%len(versions)]
	instance, err := wharfstandin.StartColdEndpoint(s.store, id, service, zoneOf(index), version, slots, s.coldStart())
	if err != nil {
		return err
	}
	instance.SetFaults(s.usualFaults())
	e.proxy.SetTarget(netip.MustParseAddrPort(instance.Address))
	e.instances = append(e.instances, instance)
	e.down = false
	return instance.Advertise(e.proxy.Address().String())
}

// versions are those of the endpoints' software. An endpoint that starts again has the next one.
var versions = []string{"v1", "v2"}

func zoneOf(index int) string {
	return fmt.Sprint("zone-", index%zones)
}

// addHost starts a daemon at an address of its own, with proxies to the store and from its peers.
func (s *system) addHost(ctx context.Context, index int, storeAddress netip.AddrPort) error {
	ip := netip.AddrFrom4([4]byte{127, s.loopbackBlock, byte(index >> 8), byte(index + 1)})
	storeProxy, err := wharfproxy.Start(ctx, netip.AddrPortFrom(ip, 0), storeAddress)
	if err != nil {
		return err
	}
	var addresses [4]netip.AddrPort
	for i := range addresses {
		addresses[i] = netip.AddrPortFrom(ip, uint16(firstPort+i))
	}
	peerProxy, err := wharfproxy.Start(ctx, netip.AddrPortFrom(ip, 0), addresses[2])
	if err != nil {
		return err
	}
	if err := peerProxy.RelayDatagrams(ctx); err != nil {
		return err
	}
	name := fmt.Sprint("host-", index)
	h := &host{
		name: name, ip: ip, settingsFile: filepath.Join(s.options.WorkDir, name+".toml"),
		callerAddress: addresses[0].String(), readinessAddress: addresses[1].String(),
		storeProxy: storeProxy, peerProxy: peerProxy,
	}
	h.settingsText = fmt.Sprintf(settingsFormat, name, zoneOf(index), addresses[0], addresses[1], addresses[2],
		peerProxy.Address(), addresses[3], storeProxy.Address(), hostMemoryMB, s.options.MaxMeshPeers, stopLimit,
		jobRetention)
	h.Process = wharfprocess.New(filepath.Join(s.options.WorkDir, name+".log"),
		filepath.Join(s.options.BinDir, "wagtailwharfd"), "routes", "--settings", h.settingsFile)
	s.hosts = append(s.hosts, h)
	return s.startHost(ctx, h, true)
}

const settingsFormat = `host = %q
availability-zone = %q
callers = %q
readiness = %q
peers = %q
peers-advertised = %q
metrics = %q
store = %q
memory-mb = %d
max-mesh-peers = %d

[stop]
limit = %q

[jobs]
keep = %q
`

// firstPort is the first port of each host's address; it lies below the kernel's ephemeral port range.
const firstPort = 20000

// startHost starts a daemon unless it is running, and adds a finding if it exits without having been stopped.
func (s *system) startHost(ctx context.Context, h *host, firstStart bool) error {
	h.startMu.Lock()
	defer h.startMu.Unlock()
	if h.Running() {
		return nil // already restarted after another fault
	}
	text := fmt.Sprintf("first-start = %v\n%s", firstStart, h.settingsText)
	if err := os.WriteFile(h.settingsFile, []byte(text), fileMode); err != nil {
		return err
	}
	if err := h.Start(); err != nil {
		return err
	}
	run := h.Latest()
	if err := h.peerProxy.Listen(ctx); err != nil {
		return err
	}
	go func() {
		<-run.Done()
		h.stopListening(run)
		if !run.Stopping() {
			s.findings.add("%s exited unexpectedly with code %d", h.name, run.ExitCode())
		}
	}()
	return nil
}

// stopListening closes the host's address for its peers after a run has ended, unless the host has been started again.
func (h *host) stopListening(run *wharfprocess.Run) {
	h.startMu.Lock()
	defer h.startMu.Unlock()
	if h.Latest() == run {
		h.peerProxy.StopListening()
	}
}

// kill kills the daemon with SIGKILL.
func (h *host) kill() {
	if run := h.Latest(); run != nil {
		run.SetStopping()
	}
	h.Kill()
}

func (s *system) awaitReady(ctx context.Context) error {
	deadline := time.Now().Add(startLimit)
	for _, h := range s.hosts {
		for !wharfstandin.Ready(ctx, h.readinessAddress) {
			if time.Now().After(deadline) || !wharfpause.For(ctx, pollInterval) {
				return fmt.Errorf("%w: %s is not ready after %v", ErrNotReady, h.name, startLimit)
			}
		}
	}
	return nil
}

// clearFaults removes all faults and restarts hosts and endpoints that are down.
func (s *system) clearFaults(ctx context.Context) {
	s.store.SetFault(nil)
	for i := range zones {
		s.endEvacuation(zoneOf(i))
	}
	for i, e := range s.endpoints {
		e.proxy.SetFaults(wharfproxy.Faults{})
		e.mu.Lock()
		down := e.down
		e.mu.Unlock()
		if down {
			if err := s.startEndpoint(e, i); err != nil {
				s.findings.add("could not restart endpoint %d: %v", i, err)
			}
		}
		e.current().SetFaults(s.usualFaults())
	}
	for _, h := range s.hosts {
		h.storeProxy.SetFaults(wharfproxy.Faults{})
		h.peerProxy.SetFaults(wharfproxy.Faults{})
		_ = h.Signal(syscall.SIGCONT) // a host that has ended is restarted next
		s.restartHost(ctx, h)
	}
}

func (e *endpoint) current() *wharfstandin.Endpoint {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.instances[len(e.instances)-1]
}

// stop stops all processes and servers.
func (s *system) stop() {
	for _, h := range s.hosts {
		h.kill()
	}
	for _, e := range s.endpoints {
		e.current().Stop()
	}
	_ = s.server.Close() // no clients are left
}

func (s *system) caller(key string) *wharfstandin.Caller {
	return wharfstandin.NewCaller(callersHost, key)
}

// endpointFaulty reports whether any endpoint had a fault between two times.
func (s *system) endpointFaulty(from, to time.Time) bool {
	for _, e := range s.endpoints {
		if e.faults.overlaps(from, to) {
			return true
		}
	}
	return false
}

// setKeyRevoked revokes or restores revocableKey.
func (s *system) setKeyRevoked(revoked bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.configuration.Version++
	keys := []string{revocableKey}
	if revoked {
		keys = []string{"another-key"}
	}
	s.configuration.Organisations[2].Keys = keys
	last := len(s.revocations) - 1
	if !revoked && last >= 0 && s.revocations[last].to.IsZero() {
		s.revocations[last].to = time.Now() // hosts may accept the key as soon as the write is done
	}
	if err := s.store.PutConfiguration(s.configuration); err != nil {
		return err
	}
	if revoked && (last < 0 || !s.revocations[last].to.IsZero()) {
		s.revocations = append(s.revocations, span{from: time.Now()})
	}
	return nil
}
