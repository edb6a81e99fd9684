package wharfmember

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"wagtailwharf.example/wharf/coordination/wharfcontrol"
	"wagtailwharf.example/wharf/state/wharfrow"
	"wagtailwharf.example/wharf/state/wharftable"
)

const (
	term   = 4 * time.Second
	margin = 250 * time.Millisecond
)

var errUnreachable = errors.New("host is unreachable")

// zone is an availability zone whose hosts call each other directly and share a synctest bubble's clock.
type zone struct {
	table   *wharftable.Table
	mu      sync.Mutex
	down    bool
	hosts   map[netip.AddrPort]*testHost
	silent  map[string]bool
	commits int
}

type testHost struct {
	member     *Member
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

func newZone() *zone {
	return &zone{table: wharftable.New(), hosts: map[netip.AddrPort]*testHost{}, silent: map[string]bool{}}
}

func address(number int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(number)}), 1)
}

func (z *zone) start(number int) *testHost {
	name := fmt.Sprintf("h%d", number)
	loop := wharfcontrol.New()
	h := &testHost{}
	h.member = New(Options{
		Host: name, Zone: "z", Peer: address(number), Term: term, Margin: margin,
		Storage: storage{zone: z}, Peers: peers{zone: z, from: name}, Loop: loop,
	})
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	z.mu.Lock()
	z.hosts[address(number)] = h
	z.mu.Unlock()
	h.goroutines.Go(func() { _ = loop.Serve(ctx) })
	h.goroutines.Go(func() { _ = h.member.Serve(ctx) })
	return h
}

func (h *testHost) stop() {
	h.cancel()
	h.goroutines.Wait()
}

func (z *zone) setDown(down bool) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.down = down
}

func (z *zone) setSilent(name string, silent bool) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.silent[name] = silent
}

// storage gives the zone's hosts access to the table.
type storage struct {
	zone *zone
}

func (s storage) checkReachable() error {
	s.zone.mu.Lock()
	defer s.zone.mu.Unlock()
	if s.zone.down {
		return wharfrow.ErrUnavailable
	}
	return nil
}

func (s storage) Get(_ context.Context, key string) (wharfrow.Row, error) {
	return s.zone.table.Get(key), s.checkReachable()
}

func (s storage) Scan(_ context.Context, prefix, after string, limit int) ([]wharfrow.Row, error) {
	return s.zone.table.Scan(prefix, after, limit), s.checkReachable()
}

func (s storage) Commit(_ context.Context, commit wharfrow.Commit) error {
	if err := s.checkReachable(); err != nil {
		return err
	}
	s.zone.mu.Lock()
	s.zone.commits++
	s.zone.mu.Unlock()
	return s.zone.table.Commit(commit)
}

func (s storage) PutObject(context.Context, string, []byte) error   { return nil }
func (s storage) GetObject(context.Context, string) ([]byte, error) { return nil, wharfrow.ErrNotFound }

// peers implements the calls from one host to the others of its zone.
type peers struct {
	zone *zone
	from string
}

func (p peers) find(ctx context.Context, to netip.AddrPort) (*Member, error) {
	p.zone.mu.Lock()
	h := p.zone.hosts[to]
	unreachable := h == nil || p.zone.silent[p.from] || p.zone.silent[h.member.Host()]
	p.zone.mu.Unlock()
	if unreachable {
		<-ctx.Done()
		return nil, errUnreachable
	}
	return h.member, nil
}

func (p peers) Renew(ctx context.Context, to netip.AddrPort, request RenewRequest) (RenewReply, error) {
	m, err := p.find(ctx, to)
	if err != nil {
		return RenewReply{}, err
	}
	return m.HandleRenew(ctx, request)
}

func (p peers) Agree(ctx context.Context, to netip.AddrPort, request AgreeRequest) (AgreeReply, error) {
	m, err := p.find(ctx, to)
	if err != nil {
		return AgreeReply{}, err
	}
	return m.HandleAgree(ctx, request)
}

func (p peers) Adopt(ctx context.Context, to netip.AddrPort, request AdoptRequest) (AdoptReply, error) {
	m, err := p.find(ctx, to)
	if err != nil {
		return AdoptReply{}, err
	}
	return m.HandleAdopt(ctx, request)
}

func runInZone(t *testing.T, count int, run func(t *testing.T, z *zone, hosts []*testHost)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		z := newZone()
		var hosts []*testHost
		for number := range count {
			hosts = append(hosts, z.start(number+1))
		}
		time.Sleep(5 * term)
		for _, h := range hosts {
			assert.Assert(t, h.member.InForce())
		}
		run(t, z, hosts)
		for _, h := range hosts {
			h.stop()
		}
	})
}

func TestSteadyZoneCommitsNothing(t *testing.T) {
	runInZone(t, 3, func(t *testing.T, z *zone, hosts []*testHost) {
		before := z.commits
		time.Sleep(time.Hour)
		assert.Equal(t, z.commits, before)
		assert.Equal(t, len(hosts[0].member.View().Live), 3)
	})
}

func TestLeasesSurviveLongStoreOutage(t *testing.T) {
	for _, count := range []int{2, 3, 4} {
		runInZone(t, count, func(t *testing.T, z *zone, hosts []*testHost) {
			z.setDown(true)
			for range 100 {
				time.Sleep(time.Minute)
				for _, h := range hosts {
					assert.Assert(t, h.member.InForce())
				}
			}
			z.setDown(false)
			time.Sleep(term)
		})
	}
}

func TestSilentHostLosesLeaseBeforeReclaim(t *testing.T) {
	for _, count := range []int{3, 4, 5} {
		runInZone(t, count, func(t *testing.T, z *zone, hosts []*testHost) {
			epoch := hosts[0].member.View().Self.Epoch
			z.setSilent("h1", true)
			reclaimed := false
			for range 400 {
				time.Sleep(50 * time.Millisecond)
				view := hosts[1].member.View()
				reclaimed = reclaimed || !view.Zone.HasMember("h1", epoch)
				current := hosts[0].member.View()
				if reclaimed && current != nil && current.Self.Epoch == epoch {
					assert.Assert(t, !hosts[0].member.InForce())
				}
			}
			assert.Assert(t, reclaimed, "within %v", 400*50*time.Millisecond)
			z.setSilent("h1", false)
			time.Sleep(5 * term)
			assert.Assert(t, hosts[0].member.InForce())
			assert.Assert(t, hosts[0].member.View().Self.Epoch > epoch)
		})
	}
}

func TestWitnessKeepsSurvivorOfTwoInForce(t *testing.T) {
	runInZone(t, 2, func(t *testing.T, z *zone, hosts []*testHost) {
		z.setSilent("h2", true)
		for range 200 {
			time.Sleep(50 * time.Millisecond)
			assert.Assert(t, hosts[0].member.InForce())
		}
		z.setSilent("h2", false)
		time.Sleep(5 * term)
		assert.Assert(t, hosts[1].member.InForce())
	})
}

func TestLeaveRemovesMember(t *testing.T) {
	runInZone(t, 3, func(t *testing.T, _ *zone, hosts []*testHost) {
		assert.NilError(t, hosts[2].member.Leave(context.Background()))
		assert.Assert(t, !hosts[2].member.InForce())
		time.Sleep(term)
		assert.Equal(t, len(hosts[0].member.View().Zone.Members), 2)
		assert.Assert(t, hosts[0].member.InForce())
	})
}
