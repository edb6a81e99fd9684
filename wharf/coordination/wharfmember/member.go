package wharfmember

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"wagtailwharf.example/wharf/coordination/wharfcontrol"
	"wagtailwharf.example/wharf/coordination/wharflease"
	"wagtailwharf.example/wharf/coordination/wharfstorage"
	"wagtailwharf.example/wharf/state/wharfrank"
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

func (m *Member) renewRound(ctx context.Context) {
	if m.needsJoin(ctx) {
		m.joinUntilDone(ctx)
	}
	view := m.refresh(ctx)
	if view == nil {
		return
	}
	m.promised.Store(m.renew(ctx, view))
}

// tendRound does what needs the platform: the table's vote, and changes of membership.
func (m *Member) tendRound(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, m.options.Term)
	defer cancel()
	m.renewByWitness(ctx)
	view := m.refresh(ctx)
	if view == nil {
		return
	}
	if m.promised.Load() {
		m.change(ctx, func(zone *wharfzone.Zone) wharfzone.Zone { return zone.Reaffirmed() })
	}
	m.reclaimSilent(ctx, view)
	m.fitWitness(ctx, view)
}

func (m *Member) needsJoin(ctx context.Context) bool {
	join := false
	_ = m.options.Loop.Do(ctx, func() {
		join = m.machine == nil || m.machine.Lost()
		if join && m.machine != nil {
			m.machine = nil
			m.view.Store(nil)
		}
	})
	return join && !m.leaving.Load()
}

func (m *Member) joinUntilDone(ctx context.Context) {
	backoff := firstBackoff
	for ctx.Err() == nil && !m.leaving.Load() {
		err := m.join(ctx)
		if err == nil {
			return
		}
		klog.V(1).InfoS("join failed", "availability-zone", m.options.Zone, "error", err.Error())
		pause(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, largestBackoff)
	}
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// join commits a generation in which this host stands, once a quorum has adopted the one before.
func (m *Member) join(ctx context.Context) error {
	zone, version, err := m.read(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	if version != 0 && !m.adopted(ctx, &zone) {
		return trace.Wrap(ErrNoQuorum)
	}
	next, self := zone.With(wharfzone.Member{Host: m.options.Host, Peer: m.options.Peer, Caller: m.options.Caller})
	next.Name = m.options.Zone
	if version == 0 {
		next.Witness = next.WantsWitness()
	}
	if err := m.write(ctx, &next, version); err != nil {
		return trace.Wrap(err)
	}
	klog.InfoS("joined", "availability-zone", m.options.Zone, "host", self.Host, "epoch", self.Epoch, "generation", next.Generation)
	return trace.Wrap(m.options.Loop.Do(ctx, func() {
		m.machine = wharflease.New(self, next, m.options.Term, m.options.Margin, time.Now())
		m.publish()
	}))
}

func (m *Member) read(ctx context.Context) (zone wharfzone.Zone, version uint64, err error) {
	return wharfstorage.Read[wharfzone.Zone](ctx, m.options.Storage, wharfzone.Key(m.options.Zone))
}

func (m *Member) write(ctx context.Context, zone *wharfzone.Zone, version uint64) error {
	key := wharfzone.Key(m.options.Zone)
	conditions := []wharfrow.Condition{wharfstorage.At(key, version)}
	return trace.Wrap(wharfstorage.Commit(ctx, m.options.Storage, conditions, wharfstorage.Put(key, zone)))
}

// adopted tells all voters of a generation and reports whether a quorum knows no later one.
func (m *Member) adopted(ctx context.Context, zone *wharfzone.Zone) bool {
	if len(zone.Members) == 0 {
		return true
	}
	count := 0
	if zone.Witness {
		count++
	}
	answers := m.ask(ctx, zone, func(ctx context.Context, to netip.AddrPort) bool {
		reply, err := m.options.Peers.Adopt(ctx, to, AdoptRequest{Zone: *zone})
		return err == nil && reply.Generation == zone.Generation
	})
	return count+answers >= zone.Quorum()
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
		until: m.machine.Until(),
	})
}

// renew asks every other member for its vote and reports whether one has promised this host's reclaim.
func (m *Member) renew(ctx context.Context, view *View) bool {
	request := RenewRequest{Host: view.Self.Host, Epoch: view.Self.Epoch, Generation: view.Zone.Generation}
	ctx, cancel := context.WithTimeout(ctx, m.callTimeout())
	defer cancel()
	var calls sync.WaitGroup
	var promised atomic.Bool
	for _, member := range view.Zone.Members {
		if member.Host == view.Self.Host {
			continue
		}
		calls.Go(func() {
			if m.renewWith(ctx, member, request, &view.Zone) {
				promised.Store(true)
			}
		})
	}
	calls.Wait()
	return promised.Load()
}

func (m *Member) renewWith(ctx context.Context, member wharfzone.Member, request RenewRequest, zone *wharfzone.Zone) bool {
	sentAt := time.Now()
	reply, err := m.options.Peers.Renew(ctx, member.Peer, request)
	if err != nil {
		return false
	}
	vote := wharflease.Vote{Granted: reply.Granted, Promised: reply.Promised, Generation: reply.Generation}
	_ = m.options.Loop.Do(ctx, func() {
		if m.machine == nil || m.machine.Self().Epoch != request.Epoch {
			return
		}
		if reply.Zone != nil {
			m.machine.Adopt(*reply.Zone, time.Now())
		}
		m.machine.Receive(member.Host, sentAt, vote)
		m.publish()
	})
	if reply.Generation < zone.Generation {
		_, _ = m.options.Peers.Adopt(ctx, member.Peer, AdoptRequest{Zone: *zone})
	}
	return reply.Promised
}

// renewByWitness asks for the table's vote where the hosts' votes will not do.
func (m *Member) renewByWitness(ctx context.Context) {
	needed := false
	_ = m.options.Loop.Do(ctx, func() {
		needed = m.machine != nil && m.machine.NeedsWitness(m.options.Term/2, time.Now())
	})
	if !needed {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, m.options.Term/renewalsPerTerm)
	defer cancel()
	zone, version, err := m.read(ctx)
	if err != nil || version == 0 {
		return
	}
	view := m.view.Load()
	if view == nil || !m.adopt(ctx, &zone) || !zone.Holds(view.Self.Host, view.Self.Epoch) {
		return
	}
	sentAt := time.Now()
	voted := zone.Voted(view.Self.Host)
	if err := m.write(ctx, &voted, version); err != nil {
		return
	}
	_ = m.options.Loop.Do(ctx, func() {
		if m.machine != nil && m.machine.Self().Epoch == view.Self.Epoch {
			m.machine.ReceiveWitness(sentAt, zone.Generation)
			m.publish()
		}
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

// change commits the next generation if a quorum has adopted the present one.
func (m *Member) change(ctx context.Context, next func(*wharfzone.Zone) wharfzone.Zone) {
	zone, version, err := m.read(ctx)
	if err != nil || version == 0 || !m.adopt(ctx, &zone) || !m.adopted(ctx, &zone) {
		return
	}
	changed := next(&zone)
	if err := m.write(ctx, &changed, version); err != nil {
		return
	}
	m.adopt(ctx, &changed)
	m.spread(ctx, &changed)
}

func (m *Member) spread(ctx context.Context, zone *wharfzone.Zone) {
	m.ask(ctx, zone, func(ctx context.Context, to netip.AddrPort) bool {
		_, err := m.options.Peers.Adopt(ctx, to, AdoptRequest{Zone: *zone})
		return err == nil
	})
}

// fitWitness has the first live host add the table's vote or take it away, one voter at a time.
func (m *Member) fitWitness(ctx context.Context, view *View) {
	wanted := view.Zone.WantsWitness()
	if wanted == view.Zone.Witness || wharfrank.First("witness", view.LiveHosts()) != view.Self.Host {
		return
	}
	m.change(ctx, func(zone *wharfzone.Zone) wharfzone.Zone {
		return zone.WithWitness(zone.WantsWitness())
	})
}

// reclaimSilent has the first live host reclaim each silent member.
func (m *Member) reclaimSilent(ctx context.Context, view *View) {
	var silent []wharfzone.Member
	_ = m.options.Loop.Do(ctx, func() {
		if m.machine != nil {
			silent = m.machine.Silent(time.Now())
		}
	})
	for _, target := range silent {
		if wharfrank.First(target.Host, view.LiveHosts()) != view.Self.Host {
			continue
		}
		if err := m.reclaim(ctx, target); err != nil {
			klog.V(1).InfoS("reclaim failed", "host", target.Host, "epoch", target.Epoch, "error", err.Error())
			continue
		}
		klog.InfoS("reclaimed", "host", target.Host, "epoch", target.Epoch)
		return
	}
}

func (m *Member) reclaim(ctx context.Context, target wharfzone.Member) error {
	zone, version, err := m.read(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	if !m.mayReclaim(ctx, &zone, target) {
		return trace.Wrap(ErrNoQuorum)
	}
	count := 0
	if zone.Witness && m.witnessAgrees(&zone, target) {
		count++
	}
	request := AgreeRequest{Host: target.Host, Epoch: target.Epoch, Zone: zone}
	count += m.ask(ctx, &zone, func(ctx context.Context, to netip.AddrPort) bool {
		reply, err := m.options.Peers.Agree(ctx, to, request)
		return err == nil && reply.Agreed
	})
	if count < zone.Quorum() {
		return trace.Wrap(ErrNoQuorum)
	}
	next := zone.Without(target.Host)
	if err := m.write(ctx, &next, version); err != nil {
		return trace.Wrap(err)
	}
	m.adopt(ctx, &next)
	m.spread(ctx, &next)
	return nil
}

// mayReclaim reports that this host knows just this generation, for a whole term, and gives its own promise.
func (m *Member) mayReclaim(ctx context.Context, zone *wharfzone.Zone, target wharfzone.Member) bool {
	if !m.adopt(ctx, zone) {
		return false
	}
	promised := false
	_ = m.options.Loop.Do(ctx, func() {
		if m.machine == nil || len(m.machine.Silent(time.Now())) == 0 {
			return
		}
		promised = m.machine.Promise(target.Host, target.Epoch, zone.Generation, time.Now())
	})
	return promised
}

// witnessAgrees reports that the table's votes for a host have not changed for longer than a vote lasts.
func (m *Member) witnessAgrees(zone *wharfzone.Zone, target wharfzone.Member) bool {
	now := time.Now()
	seen, ok := m.observed[target.Host]
	votes := zone.Votes[target.Host]
	if !ok || seen.epoch != target.Epoch || seen.votes != votes {
		m.observed[target.Host] = observation{epoch: target.Epoch, votes: votes, since: now}
		return false
	}
	return now.Sub(seen.since) > m.options.Term+m.options.Margin
}

// Leave gives the host's place up; the host must use nothing that hangs on its lease any more.
func (m *Member) Leave(ctx context.Context) error {
	m.leaving.Store(true)
	if err := m.fence(ctx); err != nil {
		return trace.Wrap(err)
	}
	backoff := firstBackoff
	for {
		err := m.leave(ctx)
		if err == nil || ctx.Err() != nil {
			return trace.Wrap(err)
		}
		pause(ctx, backoff)
		backoff = min(2*backoff, largestBackoff)
	}
}

func (m *Member) fence(ctx context.Context) error {
	return trace.Wrap(m.options.Loop.Do(ctx, func() {
		m.machine = nil
		m.view.Store(nil)
	}))
}

func (m *Member) leave(ctx context.Context) error {
	zone, version, err := m.read(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	if _, ok := zone.Find(m.options.Host); !ok {
		return nil
	}
	if !m.adopted(ctx, &zone) {
		return trace.Wrap(ErrNoQuorum)
	}
	next := zone.Without(m.options.Host)
	if err := m.write(ctx, &next, version); err != nil {
		return trace.Wrap(err)
	}
	m.spread(ctx, &next)
	return nil
}

// HandleRenew answers another host's renewal.
func (m *Member) HandleRenew(ctx context.Context, request RenewRequest) (RenewReply, error) {
	var reply RenewReply
	err := m.options.Loop.Do(ctx, func() {
		if m.machine == nil {
			return
		}
		vote := m.machine.Grant(request.Host, request.Epoch, request.Generation, time.Now())
		reply = RenewReply{Granted: vote.Granted, Promised: vote.Promised, Generation: vote.Generation}
		if request.Generation < vote.Generation {
			zone := m.machine.Zone()
			reply.Zone = &zone
		}
	})
	return reply, trace.Wrap(err)
}

// HandleAgree answers whether this host agrees that a silent one be reclaimed.
func (m *Member) HandleAgree(ctx context.Context, request AgreeRequest) (AgreeReply, error) {
	var reply AgreeReply
	err := m.options.Loop.Do(ctx, func() {
		if m.machine == nil {
			return
		}
		now := time.Now()
		m.machine.Adopt(request.Zone, now)
		reply.Agreed = m.machine.Promise(request.Host, request.Epoch, request.Zone.Generation, now)
		m.publish()
	})
	return reply, trace.Wrap(err)
}

// HandleAdopt takes a membership in; a host that holds no place knows the generation and votes for nobody.
func (m *Member) HandleAdopt(ctx context.Context, request AdoptRequest) (AdoptReply, error) {
	reply := AdoptReply{Generation: request.Zone.Generation}
	err := m.options.Loop.Do(ctx, func() {
		if m.machine == nil {
			return
		}
		m.machine.Adopt(request.Zone, time.Now())
		m.publish()
		reply.Generation = m.machine.Zone().Generation
	})
	return reply, trace.Wrap(err)
}

// Host returns the name of this host.
func (m *Member) Host() string {
	return m.options.Host
}
