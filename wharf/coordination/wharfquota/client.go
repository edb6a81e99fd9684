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
	ownerTimeout         = NeedTerm / 2                          // per owner; longer than the owner waits for a loan
	drawTimeout          = (rankedCandidates + 1) * ownerTimeout // for all candidate owners together
	ownerBackoff         = 100 * time.Millisecond
	ownerScanInterval    = 20 * time.Second
	minOwnerScanInterval = time.Second
	demandWindow         = 100 * time.Millisecond
	maxPrefetch          = 64
	maxRefillAttempts    = 8
	rankedCandidates     = 2
	minRefusalBackoff    = 5 * time.Millisecond   // time for which requests are rejected without a draw
	maxRefusalBackoff    = 200 * time.Millisecond // the same after many consecutive rejections
)

// Errors returned by Admit and Draw.
var (
	// ErrOverRate means that the organisation has no tokens left in any reachable zone.
	ErrOverRate = errors.New("organisation is over its rate")
	// ErrNoOwner means that no owner of the organisation's bucket could be reached.
	ErrNoOwner = errors.New("no owner of the organisation's rate could be reached")
)

// Client admits requests with tokens drawn from the owners of the organisations' buckets: first its own zone's owner,
// then those of other zones. It is safe for concurrent use.
type Client struct {
	zone       string
	self       netip.AddrPort
	storage    wharfstorage.Storage
	owner      *Owner
	peers      Peers
	live       func() []wharfzone.Member
	allowances sync.Map // organisation → *allowance
	owners     sync.Map // shard's row key → netip.AddrPort
	scanMu     sync.Mutex
	lastScan   time.Time
}

// allowance holds the tokens drawn for one organisation.
type allowance struct {
	grant         wharfgrant.Grant
	waiting       atomic.Int64
	mu            sync.Mutex
	refuseUntil   time.Time // time until which requests are rejected without a draw
	refusalErr    error     // the error returned until then
	backoff       time.Duration
	zoneRetryAt   map[string]time.Time
	windowStart   time.Time
	windowRefills int
}

// NewClient returns a Client for a host with the peer address self. Live returns the live members of its zone.
func NewClient(
	zone string, self netip.AddrPort, storage wharfstorage.Storage, owner *Owner, peers Peers,
	live func() []wharfzone.Member,
) *Client {
	return &Client{zone: zone, self: self, storage: storage, owner: owner, peers: peers, live: live}
}

// Serve periodically reads the owners of all shards until ctx is done.
func (c *Client) Serve(ctx context.Context) error {
	ticker := time.NewTicker(ownerScanInterval)
	defer ticker.Stop()
	for {
		c.scanOwners(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Admit takes one token of an organisation. With ErrOverRate and ErrNoOwner it returns how long the caller should wait
// before a retry.
func (c *Client) Admit(ctx context.Context, organisation *wharfsnapshot.Organisation) (time.Duration, error) {
	a := c.allowanceOf(organisation.Name)
	if a.grant.Spend(time.Now()) {
		return 0, nil
	}
	a.waiting.Add(1)
	defer a.waiting.Add(-1)
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.grant.Spend(time.Now()) {
		return 0, nil
	}
	return c.refillWithRetry(ctx, a, organisation)
}

// refillWithRetry retries while no owner is found, because shards have no owner for a moment while they move.
func (c *Client) refillWithRetry(
	ctx context.Context, a *allowance, organisation *wharfsnapshot.Organisation,
) (time.Duration, error) {
	for attempt := 1; ; attempt++ {
		wait, err := c.refill(ctx, a, organisation)
		if attempt == maxRefillAttempts || !errors.Is(err, ErrNoOwner) {
			return wait, err
		}
		select {
		case <-time.After(ownerBackoff):
		case <-ctx.Done():
			return wait, err
		}
	}
}

func (c *Client) allowanceOf(organisation string) *allowance {
	if a, ok := c.allowances.Load(organisation); ok {
		return a.(*allowance)
	}
	a, _ := c.allowances.LoadOrStore(organisation, &allowance{zoneRetryAt: map[string]time.Time{}})
	return a.(*allowance)
}

// refill draws a token for each waiting request. The caller holds a.mu. The owner in this host's zone answers for all
// zones because it borrows from them; the owners of other zones are asked only if it can't be reached.
func (c *Client) refill(
	ctx context.Context, a *allowance, organisation *wharfsnapshot.Organisation,
) (time.Duration, error) {
	now := time.Now()
	if wait := a.refuseUntil.Sub(now); wait > 0 {
		return wait, a.refusalErr
	}
	request := DrawRequest{Organisation: organisation.Name, Need: float64(a.waiting.Load()), Ahead: a.prefetch(now)}
	for _, zone := range c.zones(organisation) {
		if now.Before(a.zoneRetryAt[zone]) {
			continue
		}
		sent := time.Now()
		reply, err := c.Draw(ctx, zone, request)
		if err != nil {
			klog.V(1).InfoS("failed to draw tokens",
				"organisation", organisation.Name, "availability-zone", zone, "error", err.Error())
			a.zoneRetryAt[zone] = sent.Add(ownerBackoff)
			continue
		}
		if reply.Tokens >= 1 {
			a.grant.Refill(int(reply.Tokens), sent.Add(reply.Term))
		}
		if a.grant.Spend(time.Now()) {
			a.backoff = 0
			return 0, nil
		}
		return a.recordRefusal(reply.Wait, ErrOverRate)
	}
	return a.recordRefusal(ownerBackoff/2, ErrNoOwner)
}

// recordRefusal makes later requests fail immediately for the shorter of the backoff and the wait.
func (a *allowance) recordRefusal(wait time.Duration, err error) (time.Duration, error) {
	a.backoff = min(max(2*a.backoff, minRefusalBackoff), maxRefusalBackoff)
	a.refuseUntil = time.Now().Add(min(wait, a.backoff))
	a.refusalErr = err
	return wait, err
}

// prefetch returns the number of tokens to draw in advance: the number of refills in the current demand window, up to
// maxPrefetch.
func (a *allowance) prefetch(now time.Time) float64 {
	if now.Sub(a.windowStart) > demandWindow {
		a.windowStart = now
		a.windowRefills = 0
	}
	a.windowRefills++
	return float64(min(a.windowRefills-1, maxPrefetch))
}

// zones returns the zones in which an organisation has a share, this host's zone first.
func (c *Client) zones(organisation *wharfsnapshot.Organisation) []string {
	zones := make([]string, 0, len(organisation.ZoneShares))
	for zone := range organisation.ZoneShares {
		zones = append(zones, zone)
	}
	slices.Sort(zones)
	own := slices.Index(zones, c.zone)
	if own < 0 {
		return zones
	}
	return slices.Concat(zones[own:], zones[:own])
}

// Draw asks the last known owner of the organisation's shard in a zone, then the likely current owners. The term of
// the tokens counts from the call of Draw.
func (c *Client) Draw(ctx context.Context, zone string, request DrawRequest) (DrawReply, error) {
	called := time.Now()
	ctx, cancel := context.WithTimeout(ctx, drawTimeout)
	defer cancel()
	key := ShardKey(zone, ShardOf(request.Organisation))
	asked := map[netip.AddrPort]bool{}
	for _, address := range c.candidates(zone, key) {
		sent := time.Now()
		if reply, ok := c.drawFrom(ctx, key, address, request, asked); ok {
			reply.Term += sent.Sub(called)
			return reply, nil
		}
	}
	if c.scanOwners(ctx) {
		sent := time.Now()
		if address, ok := c.owners.Load(key); ok {
			if reply, ok := c.drawFrom(ctx, key, address.(netip.AddrPort), request, asked); ok {
				reply.Term += sent.Sub(called)
				return reply, nil
			}
		}
	}
	return DrawReply{}, ErrNoOwner
}

// candidates returns the last known owner and, for this host's zone, the hosts ranked first for the shard, which are
// known without the platform.
func (c *Client) candidates(zone, key string) []netip.AddrPort {
	var candidates []netip.AddrPort
	if address, ok := c.owners.Load(key); ok {
		candidates = append(candidates, address.(netip.AddrPort))
	}
	if zone != c.zone {
		return candidates
	}
	live := c.live()
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

// drawFrom asks one address, with a timeout of its own so that a silent host leaves time for the next one.
func (c *Client) drawFrom(
	ctx context.Context, key string, address netip.AddrPort, request DrawRequest, asked map[netip.AddrPort]bool,
) (DrawReply, bool) {
	if asked[address] {
		return DrawReply{}, false
	}
	asked[address] = true
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	reply, err := c.call(ctx, address, request)
	if err != nil {
		klog.V(1).InfoS("quota shard owner did not answer",
			"shard", key, "peer", address.String(), "error", err.Error())
		return DrawReply{}, false
	}
	if reply.NotOwner {
		return DrawReply{}, false
	}
	c.owners.Store(key, address)
	return reply, true
}

func (c *Client) call(ctx context.Context, address netip.AddrPort, request DrawRequest) (DrawReply, error) {
	if address == c.self {
		return c.owner.HandleDraw(ctx, request)
	}
	return c.peers.Draw(ctx, address, request)
}

// scanOwners reads the owners of all shards unless it did so recently, and reports whether it read them.
func (c *Client) scanOwners(ctx context.Context) bool {
	c.scanMu.Lock()
	defer c.scanMu.Unlock()
	if time.Since(c.lastScan) < minOwnerScanInterval {
		return false
	}
	c.lastScan = time.Now()
	err := wharfstorage.ScanAll(ctx, c.storage, "quota/", func(row wharfrow.Row) error {
		var shard Shard
		if err := json.Unmarshal(row.Value, &shard); err != nil {
			return err
		}
		if shard.Host != "" {
			c.owners.Store(row.Key, shard.Peer)
		}
		return nil
	})
	return err == nil
}
