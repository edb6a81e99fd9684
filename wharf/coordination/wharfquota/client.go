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
	ownerTimeout         = NeedTerm / 2                          // for one owner's answer: more than that owner waits for a loan
	drawTimeout          = (rankedCandidates + 1) * ownerTimeout // for the answers of all that may be the owner
	ownerBackoff         = 100 * time.Millisecond
	ownerScanInterval    = 20 * time.Second
	minOwnerScanInterval = time.Second
	demandWindow         = 100 * time.Millisecond
	maxPrefetch          = 64
	maxRefillAttempts    = 8
	rankedCandidates     = 2
	minRefusalBackoff    = 5 * time.Millisecond   // for which refusals are answered without asking the owner again
	maxRefusalBackoff    = 200 * time.Millisecond // the same, after many refusals in a row
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
	zone       string
	self       netip.AddrPort
	storage    wharfstorage.Storage
	owner      *Owner
	peers      Peers
	live       func() []wharfzone.Member
	allowances sync.Map // organisation → *purse
	owners     sync.Map // shard's row key → netip.AddrPort
	scanMu     sync.Mutex
	lastScan   time.Time
}

type allowance struct {
	grant          wharfgrant.Grant
	waiting        atomic.Int64
	mu             sync.Mutex
	refuseUntil    time.Time // until which requests are refused without asking
	refusalErr     error     // why
	backoff        time.Duration
	zoneRetryAt    map[string]time.Time
	windowStart    time.Time
	windowRequests int
}

// NewClient returns a drawer for a host at the peer address self; live returns the members heard in its zone.
func NewClient(zone string, self netip.AddrPort, storage wharfstorage.Storage, owner *Owner, peers Peers, live func() []wharfzone.Member) *Client {
	return &Client{zone: zone, self: self, storage: storage, owner: owner, peers: peers, live: live}
}

// Serve reads the owners of all shards anew now and then, until ctx ends.
func (d *Client) Serve(ctx context.Context) error {
	ticker := time.NewTicker(ownerScanInterval)
	defer ticker.Stop()
	for {
		d.scanOwners(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Admit takes one token of an organisation; on ErrOverRate and ErrNoOwner it says when to come back.
func (d *Client) Admit(ctx context.Context, organisation *wharfsnapshot.Organisation) (time.Duration, error) {
	p := d.allowanceOf(organisation.Name)
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
	return d.refillWithRetry(ctx, p, organisation)
}

// refillWithRetry tries a few times while no owner is found, since shards that move are without one for a moment.
func (d *Client) refillWithRetry(ctx context.Context, p *allowance, organisation *wharfsnapshot.Organisation) (time.Duration, error) {
	for try := 1; ; try++ {
		wait, err := d.refill(ctx, p, organisation)
		if try == maxRefillAttempts || !errors.Is(err, ErrNoOwner) {
			return wait, err
		}
		select {
		case <-time.After(ownerBackoff):
		case <-ctx.Done():
			return wait, err
		}
	}
}

func (d *Client) allowanceOf(organisation string) *allowance {
	if p, ok := d.allowances.Load(organisation); ok {
		return p.(*allowance)
	}
	p, _ := d.allowances.LoadOrStore(organisation, &allowance{zoneRetryAt: map[string]time.Time{}})
	return p.(*allowance)
}

// refill draws a token for each request that waits; the caller holds the purse. The own zone's owner answers for all
// zones, since it borrows from them; another zone's is asked only where that one can't be reached.
func (d *Client) refill(ctx context.Context, p *allowance, organisation *wharfsnapshot.Organisation) (time.Duration, error) {
	now := time.Now()
	if wait := p.refuseUntil.Sub(now); wait > 0 {
		return wait, p.refusalErr
	}
	request := DrawRequest{Organisation: organisation.Name, Need: float64(p.waiting.Load()), Ahead: p.prefetch(now)}
	for _, zone := range d.zones(organisation) {
		if now.Before(p.zoneRetryAt[zone]) {
			continue
		}
		sent := time.Now()
		reply, err := d.Draw(ctx, zone, request)
		if err != nil {
			klog.V(1).InfoS("no tokens drawn", "organisation", organisation.Name, "availability-zone", zone, "error", err.Error())
			p.zoneRetryAt[zone] = sent.Add(ownerBackoff)
			continue
		}
		if reply.Tokens >= 1 {
			p.grant.Refill(int(reply.Tokens), sent.Add(reply.Term))
		}
		if p.grant.Spend(time.Now()) {
			p.backoff = 0
			return 0, nil
		}
		return p.recordRefusal(reply.Wait, ErrOverRate)
	}
	return p.recordRefusal(ownerBackoff/2, ErrNoOwner)
}

// recordRefusal has later requests refused at once until it is worth asking again.
func (p *allowance) recordRefusal(wait time.Duration, err error) (time.Duration, error) {
	p.backoff = min(max(2*p.backoff, minRefusalBackoff), maxRefusalBackoff)
	p.refuseUntil = time.Now().Add(min(wait, p.backoff))
	p.refusalErr = err
	return wait, err
}

// prefetch is as many tokens as were used in a short window, beyond those that are waited for.
func (p *allowance) prefetch(now time.Time) float64 {
	if now.Sub(p.windowStart) > demandWindow {
		p.windowStart = now
		p.windowRequests = 0
	}
	p.windowRequests++
	return float64(min(p.windowRequests-1, maxPrefetch))
}

// zones returns the zones in which an organisation has a share, this one first.
func (d *Client) zones(organisation *wharfsnapshot.Organisation) []string {
	zones := make([]string, 0, len(organisation.Split))
	for zone := range organisation.Split {
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
		if reply, ok := d.drawFrom(ctx, key, address, request, asked); ok {
			reply.Term += sent.Sub(called)
			return reply, nil
		}
	}
	if d.scanOwners(ctx) {
		sent := time.Now()
		if address, ok := d.owners.Load(key); ok {
			if reply, ok := d.drawFrom(ctx, key, address.(netip.AddrPort), request, asked); ok {
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
	for _, host := range order[:min(len(order), rankedCandidates)] {
		candidates = append(candidates, addresses[host])
	}
	return candidates
}

// drawFrom gives each address a time of its own, so that a silent one does not use up that of the next.
func (d *Client) drawFrom(ctx context.Context, key string, address netip.AddrPort, request DrawRequest, asked map[netip.AddrPort]bool) (DrawReply, bool) {
	if asked[address] {
		return DrawReply{}, false
	}
	asked[address] = true
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
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

// scanOwners reads the owners of all shards anew, unless that was done a moment ago, and reports whether it did.
func (d *Client) scanOwners(ctx context.Context) bool {
	d.scanMu.Lock()
	defer d.scanMu.Unlock()
	if time.Since(d.lastScan) < minOwnerScanInterval {
		return false
	}
	d.lastScan = time.Now()
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
