package wharfmember

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"wagtailwharf.example/wharf/coordination/wharfcontrol"
	"wagtailwharf.example/wharf/coordination/wharflease"
	"wagtailwharf.example/wharf/coordination/wharfstorage"
	"wagtailwharf.example/wharf/state/wharfrow"
	"wagtailwharf.example/wharf/state/wharfzone"
)

const (
	renewalsPerTerm = 3
	firstBackoff    = 50 * time.Millisecond
	largestBackoff  = 2 * time.Second
)

// Sentinel errors of a change of membership.
var (
	// ErrNoQuorum says that too few voters answered for a change of membership.
	ErrNoQuorum = errors.New("too few voters of the availability zone answered")
	// ErrNotMember says that this host holds no place in its zone at present.
	ErrNotMember = errors.New("host is not a member of its availability zone")
)

// Options are the identity of a host and the times of its lease.
type Options struct {
	Host    string
	Zone    string
	Peer    netip.AddrPort
	Caller  netip.AddrPort
	Term    time.Duration // of a granted vote
	Margin  time.Duration // by which voters wait longer than holders, for clocks of unequal rate
	Storage wharfstorage.Storage
	Peers   Peers
	Loop    *wharfcontrol.Loop
}

// Member keeps one host in the membership of its zone, and its lease in force.
type Member struct {
	options  Options
	machine  *wharflease.Machine // owned by the control goroutine
	view     atomic.Pointer[View]
	observed map[string]observation
	leaving  atomic.Bool
	promised atomic.Bool // a voter has promised this host's reclaim
}

// View is an immutable picture of the membership and the lease.
type View struct {
	Self  wharfzone.Member
	Zone  wharfzone.Zone
	Live  []wharfzone.Member
	until time.Time
}

// InForce reports whether the host's lease holds now.
func (v *View) InForce(now time.Time) bool {
	return v != nil && now.Before(v.until)
}

// LiveHosts returns the names of the members that were heard lately.
func (v *View) LiveHosts() []string {
	hosts := make([]string, 0, len(v.Live))
	for _, m := range v.Live {
		hosts = append(hosts, m.Host)
	}
	return hosts
}

type observation struct {
	epoch uint64
	votes uint64
	since time.Time
}

// New returns a member that joins when Serve runs.
func New(options Options) *Member {
	return &Member{options: options, observed: map[string]observation{}}
}

// View returns the present picture, or nil before the host has joined.
func (m *Member) View() *View {
	return m.view.Load()
}

// Live returns the members of the zone that were heard lately, none before the host has joined.
func (m *Member) Live() []wharfzone.Member {
	if view := m.view.Load(); view != nil {
		return view.Live
	}
	return nil
}

// InForce reports whether the lease holds now; a holder that was paused finds out here.
func (m *Member) InForce() bool {
	return m.view.Load().InForce(time.Now())
}

// Serve joins the zone and keeps the lease until ctx ends; it joins anew after it was reclaimed.
// Renewals run apart from whatever waits for the platform.
func (m *Member) Serve(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return m.every(ctx, m.renewRound) })
	group.Go(func() error { return m.every(ctx, m.tendRound) })
	return group.Wait()
}

func (m *Member) every(ctx context.Context, round func(context.Context)) error {
	ticker := time.NewTicker(m.options.Term / renewalsPerTerm)
	defer ticker.Stop()
	for {
		round(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (m *Member) read(ctx context.Context) (zone wharfzone.Zone, version uint64, err error) {
	return wharfstorage.Read[wharfzone.Zone](ctx, m.options.Storage, wharfzone.Key(m.options.Zone))
}

func (m *Member) write(ctx context.Context, zone *wharfzone.Zone, version uint64) error {
	key := wharfzone.Key(m.options.Zone)
	conditions := []wharfrow.Condition{wharfstorage.At(key, version)}
	return trace.Wrap(wharfstorage.Commit(ctx, m.options.Storage, conditions, wharfstorage.Put(key, zone)))
}

// ask calls all members of a generation at once and counts the true answers; this host counts as one if it stands in it.
func (m *Member) ask(ctx context.Context, zone *wharfzone.Zone, call func(context.Context, netip.AddrPort) bool) int {
	ctx, cancel := context.WithTimeout(ctx, m.callTimeout())
	defer cancel()
	var calls sync.WaitGroup
	var count atomic.Int64
	for _, member := range zone.Members {
		if member.Host == m.options.Host {
			count.Add(1)
			continue
		}
		calls.Go(func() {
			if call(ctx, member.Peer) {
				count.Add(1)
			}
		})
	}
	calls.Wait()
	return int(count.Load())
}

func (m *Member) callTimeout() time.Duration {
	return m.options.Term / (2 * renewalsPerTerm)
}

func (m *Member) refresh(ctx context.Context) *View {
	_ = m.options.Loop.Do(ctx, func() {
		if m.machine != nil {
			m.publish()
		}
	})
	return m.view.Load()
}

// publish runs on the control goroutine.
func (m *Member) publish() {
	now := time.Now()
	m.view.Store(&View{
		Self:  m.machine.Self(),
		Zone:  m.machine.Zone(),
		Live:  m.machine.Live(now),
		until: m.machine.Expiry(),
	})
}

// adopt takes a membership that was read and reports whether this host now knows just that generation.
func (m *Member) adopt(ctx context.Context, zone *wharfzone.Zone) bool {
	same := false
	_ = m.options.Loop.Do(ctx, func() {
		if m.machine == nil {
			return
		}
		m.machine.Adopt(*zone, time.Now())
		m.publish()
		same = m.machine.Zone().Generation == zone.Generation
	})
	return same
}

// Host returns the name of this host.
func (m *Member) Host() string {
	return m.options.Host
}
