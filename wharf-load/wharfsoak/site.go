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
	"sync/atomic"
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
	// lasting is the key of an organisation without a limit that matters, limited that of one that sends more than it
	// may, passing a key that the operator withdraws and gives again.
	lasting = "lasting-key"
	limited = "limited-key"
	passing = "passing-key"
	// limitRate and limitBurst are the limited organisation's requests a second and at once.
	limitRate  = 20
	limitBurst = 20
	// memoryMegabytes is the limit that small hosts of the users have.
	memoryMegabytes = 154
	stopLimit       = 8 * time.Second
	keepJobs        = 2 * time.Minute
	startLimit      = 20 * time.Second
	dirMode         = 0o700
	fileMode        = 0o600
	// impossible is the body of items that no endpoint can do.
	impossible = "impossible"
)

// ErrNotReady says that the daemons did not serve at the start of a run.
var ErrNotReady = errors.New("daemons do not serve")

// site is a store and endpoints in this process, and daemons in processes of their own, each behind proxies.
type site struct {
	options     Options
	block       byte
	store       *wharfstandin.Store
	server      *http.Server
	hosts       []*host
	endpoints   []*endpoint
	storeFaults faultSpans // of the whole store
	findings    findings

	mu            sync.Mutex
	configuration wharfstandin.Configuration
	withdrawn     []span // when the passing key was away, from the store's answer on
}

// host is a daemon with its way to the store, and that of other hosts to it.
type host struct {
	*wharfprocess.Process
	name    string
	ip      netip.Addr
	file    string
	text    string
	callers string
	ready   string
	store   *wharfproxy.Proxy
	peers   *wharfproxy.Proxy
	faults  faultSpans  // kills, pauses, cuts
	stops   faultSpans  // planned stops
	ending  atomic.Bool // it was told to end
	start   sync.Mutex  // held while it is started
}

// endpoint is a place where stand-in endpoints run, one after another.
type endpoint struct {
	proxy  *wharfproxy.Proxy
	faults faultSpans
	mu     sync.Mutex
	runs   []*wharfstandin.Endpoint // the last one runs
	down   bool
}

func start(ctx context.Context, options Options) (*site, error) {
	s := &site{options: options, block: byte(2 + options.Seed%250), store: wharfstandin.NewStore()}
	if err := os.MkdirAll(options.WorkDir, dirMode); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.server = &http.Server{Handler: s.store, ReadHeaderTimeout: startLimit}
	go func() { _ = s.server.Serve(listener) }() // it ends with the site
	s.configuration = wharfstandin.Configuration{Version: 1, Host: callersHost, Service: service, Organisations: []wharfstandin.Organisation{
		{Name: "lasting", Keys: []string{lasting}, Rate: 10000, Burst: 10000},
		{Name: "limited", Keys: []string{limited}, Rate: limitRate, Burst: limitBurst},
		{Name: "passing", Keys: []string{passing}, Rate: 10000, Burst: 10000},
	}}
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
			s.end()
			return nil, err
		}
	}
	if err := s.awaitReady(ctx); err != nil {
		s.end()
		return nil, err
	}
	return s, nil
}

func (s *site) addEndpoint(ctx context.Context, index int) error {
	proxy, err := wharfproxy.Start(ctx, netip.MustParseAddrPort("127.0.0.1:0"), netip.AddrPort{})
	if err != nil {
		return err
	}
	e := &endpoint{proxy: proxy}
	s.endpoints = append(s.endpoints, e)
	return s.startEndpoint(e, index)
}

// startEndpoint starts an endpoint with an identity of its own at the address of the place.
func (s *site) startEndpoint(e *endpoint, index int) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	id := fmt.Sprintf("e%d-%d", index, len(e.runs)+1)
	run, err := wharfstandin.StartEndpoint(s.store, id, service, zoneOf(index), slots)
	if err != nil {
		return err
	}
	run.SetFaults(wharfstandin.Faults{RejectBody: impossible})
	e.proxy.SetTarget(netip.MustParseAddrPort(run.Address))
	e.runs = append(e.runs, run)
	e.down = false
	return run.Advertise(e.proxy.Address().String())
}

func zoneOf(index int) string {
	return fmt.Sprint("zone-", index%zones)
}

func (s *site) addHost(ctx context.Context, index int, store netip.AddrPort) error {
	ip := netip.AddrFrom4([4]byte{127, s.block, byte(index >> 8), byte(index + 1)})
	proxy, err := wharfproxy.Start(ctx, netip.AddrPortFrom(ip, 0), store)
	if err != nil {
		return err
	}
	var ports [4]netip.AddrPort
	for i := range ports {
		ports[i] = netip.AddrPortFrom(ip, uint16(firstPort+i))
	}
	peers, err := wharfproxy.Start(ctx, netip.AddrPortFrom(ip, 0), ports[2])
	if err != nil {
		return err
	}
	if err := peers.RelayDatagrams(ctx); err != nil {
		return err
	}
	name := fmt.Sprint("host-", index)
	h := &host{
		name: name, ip: ip, file: filepath.Join(s.options.WorkDir, name+".toml"), callers: ports[0].String(), ready: ports[1].String(),
		store: proxy, peers: peers,
	}
	h.text = fmt.Sprintf(settings, name, zoneOf(index), ports[0], ports[1], ports[2], peers.Address(), ports[3], proxy.Address(),
		memoryMegabytes, stopLimit, keepJobs)
	h.Process = wharfprocess.New(filepath.Join(s.options.WorkDir, name+".log"), filepath.Join(s.options.BinDir, "wagtailwharfd"),
		"routes", "--settings", h.file)
	s.hosts = append(s.hosts, h)
	return s.startHost(ctx, h, true)
}

const settings = `host = %q
availability-zone = %q
callers = %q
readiness = %q
peers = %q
peers-advertised = %q
metrics = %q
store = %q
memory-mb = %d

[stop]
limit = %q

[jobs]
keep = %q
`

// firstPort is a host's first port on its own address, below the range from which the kernel takes those of connections.
const firstPort = 20000

// startHost starts a daemon unless it runs, and reports if it ends untold.
func (s *site) startHost(ctx context.Context, h *host, first bool) error {
	h.start.Lock()
	defer h.start.Unlock()
	if h.Running() {
		return nil // the end of another fault has started it
	}
	text := fmt.Sprintf("first-start = %v\n%s", first, h.text)
	if err := os.WriteFile(h.file, []byte(text), fileMode); err != nil {
		return err
	}
	if err := h.Start(); err != nil {
		return err
	}
	h.ending.Store(false)
	if err := h.peers.Listen(ctx); err != nil {
		return err
	}
	done := h.Done()
	go func() {
		<-done
		h.peers.StopListening()
		if !h.ending.Load() {
			s.findings.add("%s ended by itself with exit code %d", h.name, h.ExitCode())
		}
	}()
	return nil
}

// kill ends a daemon at once.
func (h *host) kill() {
	h.ending.Store(true)
	h.Kill()
}

func (s *site) awaitReady(ctx context.Context) error {
	deadline := time.Now().Add(startLimit)
	for _, h := range s.hosts {
		for !wharfstandin.Ready(ctx, h.ready) {
			if time.Now().After(deadline) || !wharfpause.For(ctx, lookPause) {
				return fmt.Errorf("%w: %s is not ready after %v", ErrNotReady, h.name, startLimit)
			}
		}
	}
	return nil
}

// clearFaults ends what faults have left behind.
func (s *site) clearFaults(ctx context.Context) {
	s.store.SetFault(nil)
	for i, e := range s.endpoints {
		e.proxy.SetFaults(wharfproxy.Faults{})
		e.mu.Lock()
		down := e.down
		e.mu.Unlock()
		if down {
			if err := s.startEndpoint(e, i); err != nil {
				s.findings.add("endpoint %d could not be started again: %v", i, err)
			}
		}
		e.last().SetFaults(wharfstandin.Faults{RejectBody: impossible})
	}
	for _, h := range s.hosts {
		h.store.SetFaults(wharfproxy.Faults{})
		h.peers.SetFaults(wharfproxy.Faults{})
		_ = h.Signal(syscall.SIGCONT) // one that has ended is started
		s.startAgain(ctx, h)
	}
}

func (e *endpoint) last() *wharfstandin.Endpoint {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[len(e.runs)-1]
}

// end ends all processes and servers of the site.
func (s *site) end() {
	for _, h := range s.hosts {
		h.kill()
	}
	for _, e := range s.endpoints {
		e.last().Stop()
	}
	_ = s.server.Close() // nothing is left to ask it
}

func (s *site) caller(key string) *wharfstandin.Caller {
	return wharfstandin.NewCaller(callersHost, key)
}

// endpointFaulty reports whether any endpoint was faulty from one time to another.
func (s *site) endpointFaulty(from, to time.Time) bool {
	for _, e := range s.endpoints {
		if e.faults.within(from, to) {
			return true
		}
	}
	return false
}

// withdraw takes the passing key away, or gives it again.
func (s *site) withdraw(away bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.configuration.Version++
	keys := []string{passing}
	if away {
		keys = []string{"another-key"}
	}
	s.configuration.Organisations[2].Keys = keys
	last := len(s.withdrawn) - 1
	if !away && last >= 0 && s.withdrawn[last].to.IsZero() {
		s.withdrawn[last].to = time.Now() // hosts may know as soon as it is written
	}
	if err := s.store.PutConfiguration(s.configuration); err != nil {
		return err
	}
	if away && (last < 0 || !s.withdrawn[last].to.IsZero()) {
		s.withdrawn = append(s.withdrawn, span{from: time.Now()})
	}
	return nil
}
