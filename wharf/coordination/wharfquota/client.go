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

	"k8s.io/klog/v2"

	"wagtailwharf.example/wharf/coordination/wharfstorage"
	"wagtailwharf.example/wharf/state/wharfgrant"
	"wagtailwharf.example/wharf/state/wharfrank"
	"wagtailwharf.example/wharf/state/wharfrow"
	"wagtailwharf.example/wharf/state/wharfsnapshot"
	"wagtailwharf.example/wharf/state/wharfzone"
)

const (
	askTimeout     = NeedTerm / 2                    // for one owner's answer: more than that owner waits for a loan
	drawTimeout    = (rankedOwners + 1) * askTimeout // for the answers of all that may be the owner
	ownerBackoff   = 100 * time.Millisecond
	directoryAge   = 20 * time.Second
	directoryRetry = time.Second
	demandWindow   = 100 * time.Millisecond
	largestDraw    = 64
	ownerTries     = 8
	rankedOwners   = 2
	firstRefusal   = 5 * time.Millisecond   // for which refusals are answered without asking the owner again
	longestRefusal = 200 * time.Millisecond // the same, after many refusals in a row
)

// Sentinel errors of admission by rate.
var (
	// ErrOverRate says that the organisation has no tokens left in any reachable zone.
	ErrOverRate = errors.New("organisation is over its rate")
	// ErrNoOwner says that no owner of the organisation's bucket could be reached.
	ErrNoOwner = errors.New("no owner of the organisation's rate could be reached")
)

// Client admits requests by tokens drawn from the owners of the organisations' buckets: its own zone's first,
// then those of other zones. It is safe for concurrent use.
type Client struct {
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
}

type purse struct {
	grant   wharfgrant.Grant
	waiting atomic.Int64
	mu      sync.Mutex
	closed  time.Time // until which requests are refused without asking
	refused error     // why
	backoff time.Duration
	rests   map[string]time.Time
	window  time.Time
	recent  int
}

// NewClient returns a drawer for a host at the peer address self; live returns the members heard in its zone.
func NewClient(zone string, self netip.AddrPort, storage wharfstorage.Storage, owner *Owner, peers Peers, live func() []wharfzone.Member) *Client {
	return &Client{zone: zone, self: self, storage: storage, owner: owner, peers: peers, live: live}
}

// Serve reads the owners of all shards anew now and then, until ctx ends.
func (d *Client) Serve(ctx context.Context) error {
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
func (d *Client) Admit(ctx context.Context, organisation *wharfsnapshot.Organisation) (time.Duration, error) {
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
	return d.refillSoon(ctx, p, organisation)
}

// refillSoon tries a few times while no owner is found, since shards that move are without one for a moment.
func (d *Client) refillSoon(ctx context.Context, p *purse, organisation *wharfsnapshot.Organisation) (time.Duration, error) {
	for try := 1; ; try++ {
		wait, err := d.refill(ctx, p, organisation)
		if try == ownerTries || !errors.Is(err, ErrNoOwner) {
			return wait, err
		}
		select {
		case <-time.After(ownerBackoff):
		case <-ctx.Done():
			return wait, err
		}
	}
}

func (d *Client) purse(organisation string) *purse {
	if p, ok := d.purses.Load(organisation); ok {
		return p.(*purse)
	}
	p, _ := d.purses.LoadOrStore(organisation, &purse{rests: map[string]time.Time{}})
	return p.(*purse)
}

// refill draws a token for each request that waits; the caller holds the purse. The own zone's owner answers for all
// zones, since it borrows from them; another zone's is asked only where that one can't be reached.
func (d *Client) refill(ctx context.Context, p *purse, organisation *wharfsnapshot.Organisation) (time.Duration, error) {
	now := time.Now()
	if wait := p.closed.Sub(now); wait > 0 {
		return wait, p.refused
	}
	request := DrawRequest{Organisation: organisation.Name, Need: float64(p.waiting.Load()), Ahead: p.ahead(now)}
	for _, zone := range d.zones(organisation) {
		if now.Before(p.rests[zone]) {
			continue
		}
		sent := time.Now()
		reply, err := d.Draw(ctx, zone, request)
		if err != nil {
			klog.V(1).InfoS("no tokens drawn", "organisation", organisation.Name, "availability-zone", zone, "error", err.Error())
			p.rests[zone] = sent.Add(ownerBackoff)
			continue
		}
		if reply.Tokens >= 1 {
			p.grant.Refill(int(reply.Tokens), sent.Add(reply.Term))
		}
		if p.grant.Spend(time.Now()) {
			p.backoff = 0
			return 0, nil
		}
		return p.refuse(reply.Wait, ErrOverRate)
	}
	return p.refuse(ownerBackoff/2, ErrNoOwner)
}

// refuse has later requests refused at once until it is worth asking again.
func (p *purse) refuse(wait time.Duration, err error) (time.Duration, error) {
	p.backoff = min(max(2*p.backoff, firstRefusal), longestRefusal)
	p.closed = time.Now().Add(min(wait, p.backoff))
	p.refused = err
	return wait, err
}

// ahead is as many tokens as were used in a short window, beyond those that are waited for.
func (p *purse) ahead(now time.Time) float64 {
	if now.Sub(p.window) > demandWindow {
		p.window = now
		p.recent = 0
	}
	p.recent++
	return float64(min(p.recent-1, largestDraw))
}

// zones returns the zones in which an organisation has a share, this one first.
func (d *Client) zones(organisation *wharfsnapshot.Organisation) []string {
	zones := make([]string, 0, len(organisation.ZoneShares))
	for zone := range organisation.ZoneShares {
		zones = append(zones, zone)
	}
	slices.Sort(zones)
	own := slices.Index(zones, d.zone)
	if own < 0 {
		return zones
	}
	return slices.Concat(zones[own:], zones[:own])
}

// Draw asks the known owner of the organisation's shard in a zone, then those that are likely to own it by now. The term
// of the tokens counts from the call of Draw.
func (d *Client) Draw(ctx context.Context, zone string, request DrawRequest) (DrawReply, error) {
	called := time.Now()
	ctx, cancel := context.WithTimeout(ctx, drawTimeout)
	defer cancel()
	key := ShardKey(zone, ShardOf(request.Organisation))
	asked := map[netip.AddrPort]bool{}
	for _, address := range d.candidates(zone, key) {
		sent := time.Now()
		if reply, ok := d.ask(ctx, key, address, request, asked); ok {
			reply.Term += sent.Sub(called)
			return reply, nil
		}
	}
	if d.scan(ctx) {
		sent := time.Now()
		if address, ok := d.owners.Load(key); ok {
			if reply, ok := d.ask(ctx, key, address.(netip.AddrPort), request, asked); ok {
				reply.Term += sent.Sub(called)
				return reply, nil
			}
		}
	}
	return DrawReply{}, ErrNoOwner
}

// candidates returns the owner that was known last, and for the own zone the hosts that rank first for the shard,
// which need no platform to be found.
func (d *Client) candidates(zone, key string) []netip.AddrPort {
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

// ask gives each address a time of its own, so that a silent one does not use up that of the next.
func (d *Client) ask(ctx context.Context, key string, address netip.AddrPort, request DrawRequest, asked map[netip.AddrPort]bool) (DrawReply, bool) {
	if asked[address] {
		return DrawReply{}, false
	}
	asked[address] = true
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	reply, err := d.call(ctx, address, request)
	if err != nil {
		klog.V(1).InfoS("owner of a quota shard gave no answer", "shard", key, "peer", address.String(), "error", err.Error())
		return DrawReply{}, false
	}
	if reply.NotOwner {
		return DrawReply{}, false
	}
	d.owners.Store(key, address)
	return reply, true
}

func (d *Client) call(ctx context.Context, address netip.AddrPort, request DrawRequest) (DrawReply, error) {
	if address == d.self {
		return d.owner.HandleDraw(ctx, request)
	}
	return d.peers.Draw(ctx, address, request)
}

// scan reads the owners of all shards anew, unless that was done a moment ago, and reports whether it did.
func (d *Client) scan(ctx context.Context) bool {
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
