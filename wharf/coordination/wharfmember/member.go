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
	initialBackoff  = 50 * time.Millisecond
	maxBackoff      = 2 * time.Second
)

// Errors of membership changes.
var (
	// ErrNoQuorum means that too few voters answered or agreed for a membership change.
	ErrNoQuorum = errors.New("too few voters of the availability zone answered")
	// ErrNotMember means that this host is currently not a member of its zone.
	ErrNotMember = errors.New("host is not a member of its availability zone")
)

// Options configures a Member.
type Options struct {
	Host    string
	Zone    string
	Peer    netip.AddrPort
	Caller  netip.AddrPort
	Term    time.Duration // lease term granted by a vote
	Margin  time.Duration // extra time that voters wait beyond the term, for clocks that run at different rates
	Storage wharfstorage.Storage
	Peers   Peers
	Loop    *wharfcontrol.Loop
}

// Member maintains one host's membership in its zone and its lease.
type Member struct {
	options             Options
	machine             *wharflease.Machine // owned by the control goroutine
	view                atomic.Pointer[View]
	witnessObservations map[string]witnessObservation
	leaving             atomic.Bool
	reclaimPromised     atomic.Bool // a voter has promised this host's reclaim
}

// View is an immutable snapshot of the membership and the lease.
type View struct {
	Self   wharfzone.Member
	Zone   wharfzone.Zone
	Live   []wharfzone.Member
	expiry time.Time
}

// InForce reports whether the host's lease is valid at the given time. It is false for a nil View.
func (v *View) InForce(now time.Time) bool {
	return v != nil && now.Before(v.expiry)
}

// LiveHosts returns the names of the live members.
func (v *View) LiveHosts() []string {
	hosts := make([]string, 0, len(v.Live))
	for _, m := range v.Live {
		hosts = append(hosts, m.Host)
	}
	return hosts
}

// witnessObservation is the number of votes the witness has given to an incarnation, and when this host first saw it.
type witnessObservation struct {
	epoch uint64
	votes uint64
	since time.Time
}

// New returns a Member that joins its zone when Serve runs.
func New(options Options) *Member {
	return &Member{options: options, witnessObservations: map[string]witnessObservation{}}
}

// View returns the current view, or nil while the host is not a member.
func (m *Member) View() *View {
	return m.view.Load()
}

// Live returns the live members of the zone, or nil while the host is not a member.
func (m *Member) Live() []wharfzone.Member {
	if view := m.view.Load(); view != nil {
		return view.Live
	}
	return nil
}

// InForce reports whether the lease is valid now. A process resumed after a pause must call it before it relies on the
// lease.
func (m *Member) InForce() bool {
	return m.view.Load().InForce(time.Now())
}

// Serve joins the zone and renews the lease until ctx is done, and joins again after a reclaim. Renewals run in their
// own goroutine because calls to the platform may block.
func (m *Member) Serve(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return m.runPeriodically(ctx, m.renewRound) })
	group.Go(func() error { return m.runPeriodically(ctx, m.membershipRound) })
	return group.Wait()
}

func (m *Member) runPeriodically(ctx context.Context, round func(context.Context)) error {
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

func (m *Member) readZone(ctx context.Context) (zone wharfzone.Zone, version uint64, err error) {
	return wharfstorage.Read[wharfzone.Zone](ctx, m.options.Storage, wharfzone.Key(m.options.Zone))
}

func (m *Member) commitZone(ctx context.Context, zone *wharfzone.Zone, version uint64) error {
	key := wharfzone.Key(m.options.Zone)
	conditions := []wharfrow.Condition{wharfstorage.At(key, version)}
	return trace.Wrap(wharfstorage.Commit(ctx, m.options.Storage, conditions, wharfstorage.Put(key, zone)))
}

// callMembers calls all members of a generation in parallel and counts the true answers. This host counts as one if it
// is a member.
func (m *Member) callMembers(
	ctx context.Context, zone *wharfzone.Zone, call func(context.Context, netip.AddrPort) bool,
) int {
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

// publish replaces the view. It runs on the control goroutine.
func (m *Member) publish() {
	now := time.Now()
	m.view.Store(&View{
		Self:   m.machine.Self(),
		Zone:   m.machine.Zone(),
		Live:   m.machine.Live(now),
		expiry: m.machine.Expiry(),
	})
}

// adopt adopts a membership that was read and reports whether this host now knows exactly that generation.
func (m *Member) adopt(ctx context.Context, zone *wharfzone.Zone) bool {
	current := false
	_ = m.options.Loop.Do(ctx, func() {
		if m.machine == nil {
			return
		}
		m.machine.Adopt(*zone, time.Now())
		m.publish()
		current = m.machine.Zone().Generation == zone.Generation
	})
	return current
}

// Host returns this host's name.
func (m *Member) Host() string {
	return m.options.Host
}
