package wharfquota

import (
	"context"
	"encoding/json"
	"errors"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"wagtailwharf.example/wharf/coordination/wharfstorage"
	"wagtailwharf.example/wharf/state/wharfgrant"
	"wagtailwharf.example/wharf/state/wharfrank"
	"wagtailwharf.example/wharf/state/wharfrow"
	"wagtailwharf.example/wharf/state/wharfsnapshot"
	"wagtailwharf.example/wharf/state/wharfzone"
)

const (
	drawTimeout    = 300 * time.Millisecond
	ownerBackoff   = 500 * time.Millisecond
	directoryAge   = 20 * time.Second
	directoryRetry = time.Second
	demandWindow   = 100 * time.Millisecond
	largestDraw    = 64
	rankedOwners   = 2
)

// Sentinel errors of admission by rate.
var (
	// ErrOverRate says that the organisation has no tokens left in any reachable zone.
	ErrOverRate = errors.New("organisation is over its rate")
	// ErrNoOwner says that no owner of the organisation's bucket could be reached.
	ErrNoOwner = errors.New("no owner of the organisation's rate could be reached")
)

// Drawer admits requests by tokens drawn from the owners of the organisations' buckets: its own zone's first,
// then those of other zones. It is safe for concurrent use.
type Drawer struct {
	zone    string
	self    netip.AddrPort
	storage wharfstorage.Storage
	owner   *Owner
	peers   Peers
	live    func() []wharfzone.Member
	purses  sync.Map // organisation → *purse
	owners  sync.Map // shard's row key → netip.AddrPort
	scanMu  sync.Mutex
	scanned time.Time
	static  bool
}

// Static has the drawer keep to its own zone's share, as a static split does.
func (d *Drawer) Static() {
	d.static = true
}

type purse struct {
	grant   wharfgrant.Grant
	waiting atomic.Int64
	mu      sync.Mutex
	closed  map[string]time.Time
	window  time.Time
	recent  int
}

// NewDrawer returns a drawer for a host at the peer address self; live returns the members heard in its zone.
func NewDrawer(zone string, self netip.AddrPort, storage wharfstorage.Storage, owner *Owner, peers Peers, live func() []wharfzone.Member) *Drawer {
	return &Drawer{zone: zone, self: self, storage: storage, owner: owner, peers: peers, live: live}
}

// Serve reads the owners of all shards anew now and then, until ctx ends.
func (d *Drawer) Serve(ctx context.Context) error {
	ticker := time.NewTicker(directoryAge)
	defer ticker.Stop()
	for {
		d.scan(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Admit takes one token of an organisation; on ErrOverRate and ErrNoOwner it says when to come back.
func (d *Drawer) Admit(ctx context.Context, organisation *wharfsnapshot.Organisation) (time.Duration, error) {
	p := d.purse(organisation.Name)
	if p.grant.Spend(time.Now()) {
		return 0, nil
	}
	p.waiting.Add(1)
	defer p.waiting.Add(-1)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.grant.Spend(time.Now()) {
		return 0, nil
	}
	return d.refill(ctx, p, organisation)
}

func (d *Drawer) purse(organisation string) *purse {
	if p, ok := d.purses.Load(organisation); ok {
		return p.(*purse)
	}
	p, _ := d.purses.LoadOrStore(organisation, &purse{closed: map[string]time.Time{}})
	return p.(*purse)
}

// refill draws from the first zone that grants; the caller holds the purse.
func (d *Drawer) refill(ctx context.Context, p *purse, organisation *wharfsnapshot.Organisation) (time.Duration, error) {
	want := p.want(time.Now())
	shortest := time.Duration(0)
	reached := false
	for _, zone := range d.zones(organisation) {
		now := time.Now()
		if wait := p.closed[zone].Sub(now); wait > 0 {
			shortest = shorter(shortest, wait)
			reached = true
			continue
		}
		reply, err := d.draw(ctx, zone, DrawRequest{Organisation: organisation.Name, Want: want})
		if err != nil {
			p.closed[zone] = now.Add(ownerBackoff)
			shortest = shorter(shortest, ownerBackoff)
			continue
		}
		reached = true
		if reply.Tokens > 0 {
			p.grant.Refill(reply.Tokens, now.Add(GrantTerm))
			if p.grant.Spend(time.Now()) {
				return 0, nil
			}
			continue
		}
		p.closed[zone] = now.Add(reply.Wait)
		shortest = shorter(shortest, reply.Wait)
	}
	if !reached {
		return shortest, ErrNoOwner
	}
	return shortest, ErrOverRate
}

func shorter(a, b time.Duration) time.Duration {
	if a == 0 {
		return b
	}
	return min(a, b)
}

// want is as many tokens as were used or are waited for in a short window.
func (p *purse) want(now time.Time) int {
	if now.Sub(p.window) > demandWindow {
		p.window = now
		p.recent = 0
	}
	p.recent++
	want := max(p.recent, int(p.waiting.Load()))
	return min(want, largestDraw)
}

// zones returns the zones in which an organisation has a share, this one first.
func (d *Drawer) zones(organisation *wharfsnapshot.Organisation) []string {
	zones := make([]string, 0, len(organisation.Split))
	for zone := range organisation.Split {
		zones = append(zones, zone)
	}
	slices.Sort(zones)
	own := slices.Index(zones, d.zone)
	if own < 0 {
		return zones
	}
	if d.static {
		return zones[own : own+1]
	}
	return slices.Concat(zones[own:], zones[:own])
}

// draw asks the known owner of the organisation's shard in a zone, then those that are likely to own it by now.
func (d *Drawer) draw(ctx context.Context, zone string, request DrawRequest) (DrawReply, error) {
	ctx, cancel := context.WithTimeout(ctx, drawTimeout)
	defer cancel()
	key := ShardKey(zone, ShardOf(request.Organisation))
	asked := map[netip.AddrPort]bool{}
	for _, address := range d.candidates(zone, key) {
		if reply, ok := d.ask(ctx, key, address, request, asked); ok {
			return reply, nil
		}
	}
	if d.scan(ctx) {
		if address, ok := d.owners.Load(key); ok {
			if reply, ok := d.ask(ctx, key, address.(netip.AddrPort), request, asked); ok {
				return reply, nil
			}
		}
	}
	return DrawReply{}, ErrNoOwner
}

// candidates returns the owner that was known last, and for the own zone the hosts that rank first for the shard,
// which need no platform to be found.
func (d *Drawer) candidates(zone, key string) []netip.AddrPort {
	var candidates []netip.AddrPort
	if address, ok := d.owners.Load(key); ok {
		candidates = append(candidates, address.(netip.AddrPort))
	}
	if zone != d.zone {
		return candidates
	}
	live := d.live()
	addresses := make(map[string]netip.AddrPort, len(live))
	hosts := make([]string, 0, len(live))
	for _, member := range live {
		addresses[member.Host] = member.Peer
		hosts = append(hosts, member.Host)
	}
	order := wharfrank.Order(key, hosts)
	for _, host := range order[:min(len(order), rankedOwners)] {
		candidates = append(candidates, addresses[host])
	}
	return candidates
}

func (d *Drawer) ask(ctx context.Context, key string, address netip.AddrPort, request DrawRequest, asked map[netip.AddrPort]bool) (DrawReply, bool) {
	if asked[address] {
		return DrawReply{}, false
	}
	asked[address] = true
	reply, err := d.call(ctx, address, request)
	if err != nil || reply.NotOwner {
		return DrawReply{}, false
	}
	d.owners.Store(key, address)
	return reply, true
}

func (d *Drawer) call(ctx context.Context, address netip.AddrPort, request DrawRequest) (DrawReply, error) {
	if address == d.self {
		return d.owner.HandleDraw(ctx, request)
	}
	return d.peers.Draw(ctx, address, request)
}

// scan reads the owners of all shards anew, unless that was done a moment ago, and reports whether it did.
func (d *Drawer) scan(ctx context.Context) bool {
	d.scanMu.Lock()
	defer d.scanMu.Unlock()
	if time.Since(d.scanned) < directoryRetry {
		return false
	}
	d.scanned = time.Now()
	err := wharfstorage.ScanAll(ctx, d.storage, "quota/", func(row wharfrow.Row) error {
		var shard Shard
		if err := json.Unmarshal(row.Value, &shard); err != nil {
			return err
		}
		if shard.Host != "" {
			d.owners.Store(row.Key, shard.Peer)
		}
		return nil
	})
	return err == nil
}
