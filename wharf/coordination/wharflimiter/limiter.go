package wharflimiter

import (
	"context"
	"math"
	"sync"
	"time"

	"wagtailwharf.example/wharf/coordination/wharfgossip"
	"wagtailwharf.example/wharf/state/wharfpause"
	"wagtailwharf.example/wharf/state/wharfroute"
	"wagtailwharf.example/wharf/state/wharfshare"
)

const (
	// initialHostCount is the least number of hosts assumed until the actual number is known, so that a newly started
	// host does not refill whole buckets.
	initialHostCount = 16
	// restartTokens is what a restarted host has at most in each share: enough for one request. All hosts together have no
	// more than a part, restartPart, of what rate and burst allow in restartWindow, and restartRest tokens: they may all
	// have been killed at once, just after the organisation used its rate and burst.
	restartTokens = 1.0
	restartPart   = 0.1
	restartWindow = 5 * time.Second
	restartRest   = 10.0
	// prefetchWindow is the demand for which tokens are pulled in advance: two prefetch intervals.
	prefetchWindow = 200 * time.Millisecond
	// prefetchInterval is the time between two checks of the levels.
	prefetchInterval = 100 * time.Millisecond
	// demandSmoothing is the weight of the previous value in the moving average of the demand.
	demandSmoothing = 0.8
	// reservePeriod is the time whose tokens are kept in reserve by the host that is next to admit a zone's requests: the
	// time it takes to notice that the first has ended. reserveRefill is the part of the rate that refills it. Together
	// they are about a tenth of what a rate gives in five seconds.
	reservePeriod = 500 * time.Millisecond
	reserveRefill = 0.02
	// overdraft is how many tokens below zero streams that are taken up may bring a host's share. They come all at once when
	// hosts are killed, of which each has a few for an organisation.
	overdraft = 1.0
	// minRetryAfter and retryAfterJitter are the minimum delay suggested to a rejected caller, and its random part.
	minRetryAfter    = 200 * time.Millisecond
	retryAfterJitter = 100 * time.Millisecond
)

// Options configures a Limiter.
type Options struct {
	// Fresh is true on the first start of the whole system, when all buckets are full.
	Fresh bool
	// Peers returns the other hosts.
	Peers func() []wharfgossip.Peer
	// Pull requests tokens from a host and returns how many it granted. It is used if Borrow is nil.
	Pull func(ctx context.Context, peer wharfgossip.Peer, organisation string, wanted float64) (float64, error)
	// Borrow requests a loan from a host and returns how many tokens it granted.
	Borrow func(ctx context.Context, peer wharfgossip.Peer, loan Loan) (float64, error)
	// Allocators returns the hosts of this zone that admit requests for all its hosts, first choice first, whether they
	// answer or not. A small fleet has none.
	Allocators func() []wharfgossip.AllocatorHost
	// AdmitAt has an allocator admit a request. It returns an error if the allocator does not answer.
	AdmitAt func(ctx context.Context, to wharfgossip.AllocatorHost, a Admission) (Decision, error)
	// Shares returns what this host may use of each rate.
	Shares func() Shares
	// RemoteAllocators returns the first allocators of the other zones.
	RemoteAllocators func() []wharfgossip.Peer
}

// Shares is what a host may use of each rate, in equal shares of which each host of the fleet has one.
type Shares struct {
	// Used is the number of shares that this host uses: in a large fleet its own and those of the hosts of its zone that
	// have it admit their requests, or 0 if another host admits this host's.
	Used int
	// Reserved is the number of shares of which this host holds a reserve, because it is the next to admit the requests
	// of its zone and is asked before it knows that the first has ended.
	Reserved int
}

// Limiter admits requests by organisation. It is safe for concurrent use.
type Limiter struct {
	options       Options
	mu            sync.Mutex
	buckets       map[string]*bucket
	hostCount     int
	hostsCounted  bool // SetHostCount has been told a number; until then hostCount follows the known peers
	shares        Shares
	organisations []wharfroute.Organisation
	codec         *levelCodec
}

// New returns a Limiter without organisations.
func New(options Options) *Limiter {
	return &Limiter{
		options:   options,
		buckets:   map[string]*bucket{},
		hostCount: initialHostCount,
		shares:    Shares{Used: 1},
		codec:     newLevelCodec(nil),
	}
}

// Configure applies the organisations' limits. Organisations with no positive rate are not limited.
func (l *Limiter) Configure(organisations []wharfroute.Organisation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.organisations = organisations
	l.codec = newLevelCodec(organisations)
	l.resizeBuckets()
}

// SetHostCount sets the number of hosts, including this one, that share the buckets. Zero means unknown and leaves the
// number unchanged.
func (l *Limiter) SetHostCount(hosts int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if hosts == 0 {
		return
	}
	if hosts != l.hostCount {
		l.setHosts(hosts)
		l.resizeBuckets()
	}
	l.hostsCounted = true
}

func (l *Limiter) resizeBuckets() {
	now := time.Now()
	known := map[string]bool{}
	for _, o := range l.organisations {
		if o.Rate <= 0 {
			continue
		}
		known[o.Name] = true
		b := l.buckets[o.Name]
		if b == nil {
			b = &bucket{name: o.Name, share: wharfshare.New(l.initialTokens(o), now), lenders: map[string]*lender{}}
			l.buckets[o.Name] = b
		}
		b.limit = o
		b.share.SetSurplusPeriod(surplusPeriod(o.Rate))
		rate, burst := l.limitsOf(o)
		b.share.Resize(rate, burst, now)
		b.share.SetOtherRate(l.otherRate(o, rate))
	}
	for name := range l.buckets {
		if !known[name] {
			delete(l.buckets, name)
		}
	}
}

// limitsOf returns this host's part of an organisation's rate and burst. The burst is at least one token, since less
// admits no request, unless another host admits this host's requests.
func (l *Limiter) limitsOf(o wharfroute.Organisation) (rate, burst float64) {
	part := func(shares int) float64 { return float64(shares) / float64(max(l.hostCount, shares)) }
	if l.shares.Used > 0 {
		return part(l.shares.Used) * o.Rate, max(1, part(l.shares.Used)*o.Burst)
	}
	reserved := part(l.shares.Reserved)
	return reserveRefill * reserved * o.Rate, reserved * min(o.Burst, o.Rate*reservePeriod.Seconds())
}

// adjustBuckets follows a change of the number of shares. Tokens that exceed a smaller share last a while, because a
// report that is only late soon gives them back.
func (l *Limiter) adjustBuckets() {
	now := time.Now()
	for _, b := range l.buckets {
		rate, burst := l.limitsOf(b.limit)
		b.share.Adjust(rate, burst, now)
		b.share.SetOtherRate(l.otherRate(b.limit, rate))
	}
}

// otherRate returns what the shares of all other hosts refill, as far as this host may claim it.
func (l *Limiter) otherRate(o wharfroute.Organisation, rate float64) float64 {
	if l.shares.Used == 0 {
		return 0
	}
	return max(0, o.Rate-rate)
}

// initialTokens returns how many tokens a started host has in a share.
func (l *Limiter) initialTokens(o wharfroute.Organisation) float64 {
	if l.options.Fresh {
		return math.MaxFloat64
	}
	together := restartPart*(o.Rate*restartWindow.Seconds()+o.Burst) + restartRest
	return min(restartTokens, together/float64(l.hostCount))
}

// setHosts follows the number of hosts. Until they have been counted, a started host has assumed too few: it then had too
// many of the tokens that all started hosts may have together.
func (l *Limiter) setHosts(hosts int) {
	grown := hosts > l.hostCount
	l.hostCount = hosts
	if l.options.Fresh || l.hostsCounted || !grown {
		return
	}
	now := time.Now()
	for _, b := range l.buckets {
		b.share.Cap(l.initialTokens(b.limit), now)
	}
}

// Admission asks to admit one request.
type Admission struct {
	Organisation string
	// Continues is set for a stream that a caller takes up after it broke off. It may overdraw a share: its first attempt was
	// admitted, and new requests wait until the debt is paid.
	Continues bool
}

// Decision is the result of an admission.
type Decision struct {
	Admitted   bool
	Undecided  bool          // not admitted, but the allocators that know the level did not answer
	Pulled     float64       // tokens pulled from other hosts for the request
	Level      float64       // tokens left in this host's share
	HostCount  int           // hosts that share the bucket
	RetryAfter time.Duration // suggested delay for a rejected caller
}

// Admit takes one token of an organisation. In a large fleet, where each host has only a small part of a token, an
// allocator of the zone takes it. If none answers, this host gets one from the allocators of other zones.
func (l *Limiter) Admit(ctx context.Context, a Admission) Decision {
	if !l.limits(a.Organisation) {
		return Decision{Admitted: true}
	}
	unanswered := false
	for _, to := range l.options.Allocators() {
		if to.Self {
			break
		}
		d, err := l.options.AdmitAt(ctx, to, a)
		if err == nil {
			return d
		}
		unanswered = true
	}
	d := l.AdmitHere(ctx, a)
	d.Undecided = unanswered && !d.Admitted
	return d
}

func (l *Limiter) limits(organisation string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buckets[organisation] != nil
}

// AdmitHere takes one token of an organisation from this host's share, or waits for tokens of other hosts if it is empty.
func (l *Limiter) AdmitHere(ctx context.Context, a Admission) Decision {
	d, w, b := l.admitLocally(a)
	if w == nil {
		return d
	}
	if b != nil {
		l.borrowFor(context.WithoutCancel(ctx), b, w)
	}
	select {
	case <-w.decided:
		return w.decision
	case <-ctx.Done():
		return l.abandon(a.Organisation, w)
	}
}

// admitLocally tries this host's share. If it is empty and others may have tokens, the request has to wait, and if no
// others are being asked, this call has to ask them for the returned bucket.
func (l *Limiter) admitLocally(a Admission) (Decision, *waiter, *bucket) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[a.Organisation]
	if b == nil {
		return Decision{Admitted: true}, nil, nil
	}
	now := time.Now()
	b.requests++
	b.usage.requests++
	b.serve(now, l.hostCount)
	d := Decision{HostCount: l.hostCount}
	d.Admitted = b.share.Take(now) || a.Continues && b.share.Overdraw(overdraft, now)
	d.Level = b.share.Level(now)
	if d.Admitted {
		b.admitted++
		return d, nil, nil
	}
	if now.Before(b.emptyUntil) {
		d.RetryAfter = b.retryAfter(now)
		return d, nil, nil
	}
	w := b.wait(now)
	if b.borrowing {
		return d, w, nil
	}
	b.borrowing = true
	return d, w, b
}

// abandon ends the wait of a request whose caller has gone.
func (l *Limiter) abandon(organisation string, w *waiter) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.buckets[organisation]; b != nil {
		b.rejectWaiters(time.Now(), l.hostCount, func(other *waiter) bool { return other == w })
	}
	return w.decision
}

// Give removes up to wanted tokens of an organisation from this host's share for another host and returns the number.
func (l *Limiter) Give(organisation string, wanted float64) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[organisation]
	if b == nil {
		return 0
	}
	return b.lend(Loan{Wanted: wanted}, time.Now())
}

// Lend removes tokens of an organisation from this host's share for another host and returns their number. Reserves are
// not lent.
func (l *Limiter) Lend(loan Loan) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[loan.Organisation]
	if b == nil || l.shares.Used == 0 {
		return 0
	}
	return b.lend(loan, time.Now())
}

// Levels returns the tokens left in each of this host's shares.
func (l *Limiter) Levels() wharfgossip.Levels {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	return l.codec.encode(func(name string) float64 { return max(0, l.buckets[name].share.Level(now)) })
}

// Serve pulls tokens ahead of demand until ctx is done.
func (l *Limiter) Serve(ctx context.Context) error {
	for wharfpause.For(ctx, prefetchInterval) {
		l.updateShares()
		l.updateDemand(ctx)
	}
	return ctx.Err()
}

// updateShares follows the number of shares that this host may use and, until the number of hosts has been counted, the
// number of hosts that it has heard of.
func (l *Limiter) updateShares() {
	shares, hosts := l.options.Shares(), l.knownHosts()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.hostsCounted {
		hosts = l.hostCount
	}
	if hosts != l.hostCount || shares.Used == 0 || l.shares.Used == 0 {
		if shares != l.shares || hosts != l.hostCount {
			l.shares = shares
			l.setHosts(hosts)
			l.resizeBuckets()
		}
		return
	}
	if shares != l.shares {
		l.shares = shares
		l.adjustBuckets()
	}
}

// knownHosts returns the number of hosts: as counted or, before that, at least those that this host has heard of.
func (l *Limiter) knownHosts() int {
	l.mu.Lock()
	hosts, counted := l.hostCount, l.hostsCounted
	l.mu.Unlock()
	if counted {
		return hosts
	}
	return max(hosts, 1+len(l.options.Peers()))
}
