package wharflimiter

import (
	"cmp"
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"

	"wagtailwharf.example/wharf/coordination/wharfgossip"
	"wagtailwharf.example/wharf/state/wharfpause"
	"wagtailwharf.example/wharf/state/wharfroute"
	"wagtailwharf.example/wharf/state/wharfshare"
)

const (
	// initialHostCount is the least number of hosts assumed until the actual number is known, so that a newly started
	// host does not refill whole buckets.
	initialHostCount = 16
	// restartTokens is what a restarted host has in each share: enough for one request, which with ten hosts stays
	// within a tenth of typical bursts.
	restartTokens = 1.0
	// pullTimeout bounds one pull from another host: several round trips between zones.
	pullTimeout = 60 * time.Millisecond
	// maxPullPeers is the maximum number of hosts asked in parallel, and maxPullRounds the maximum number of rounds.
	// Small rates are split into fractions of a token over many hosts, and the known levels are slightly stale.
	maxPullPeers  = 5
	maxPullRounds = 3
	// minPullTokens is the smallest fraction of a token worth pulling.
	minPullTokens = 0.1
	// emptyBackoff is how long requests are rejected without another pull after no host had a token.
	emptyBackoff = 100 * time.Millisecond
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
	retryAfterJitter = 300 * time.Millisecond
)

// Options configures a Limiter.
type Options struct {
	// Fresh is true on the first start of the whole system, when all buckets are full.
	Fresh bool
	// Peers returns the other hosts.
	Peers func() []wharfgossip.Peer
	// Pull requests tokens from a host and returns how many it granted.
	Pull func(ctx context.Context, peer wharfgossip.Peer, organisation string, wanted float64) (float64, error)
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
	pulls         singleflight.Group
}

// bucket is this host's share of an organisation's bucket.
type bucket struct {
	name       string
	share      *wharfshare.Share
	requests   float64 // since the last call of updateDemand
	demandRate float64 // smoothed, in requests per second
	emptyUntil time.Time
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
	l.hostsCounted = true
	if hosts != l.hostCount {
		l.hostCount = hosts
		l.resizeBuckets()
	}
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
			b = &bucket{name: o.Name, share: wharfshare.New(l.initialTokens(), now)}
			l.buckets[o.Name] = b
		}
		rate, burst := l.limitsOf(o)
		b.share.Resize(rate, burst, now)
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

func (l *Limiter) initialTokens() float64 {
	if l.options.Fresh {
		return math.MaxFloat64
	}
	return restartTokens
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

// AdmitHere takes one token of an organisation from this host's share, pulling tokens from other hosts if it is empty.
func (l *Limiter) AdmitHere(ctx context.Context, a Admission) Decision {
	organisation := a.Organisation
	d, wanted, final := l.admitLocally(a)
	if final {
		return d
	}
	pulled, _, _ := l.pulls.Do(organisation, func() (any, error) {
		return l.pull(ctx, organisation, wanted), nil
	})
	return l.admitAfterPull(organisation, pulled.(float64))
}

// admitLocally tries this host's share. final reports whether the decision stands without a pull; otherwise wanted is
// the number of tokens to pull.
func (l *Limiter) admitLocally(a Admission) (d Decision, wanted float64, final bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[a.Organisation]
	if b == nil {
		return Decision{Admitted: true}, 0, true
	}
	now := time.Now()
	b.requests++
	d = Decision{HostCount: l.hostCount}
	if b.share.Take(now) || a.Continues && b.share.Overdraw(overdraft, now) {
		d.Admitted = true
		d.Level = b.share.Level(now)
		return d, 0, true
	}
	d.Level = b.share.Level(now)
	d.RetryAfter = l.retryAfter(b, now)
	return d, max(1, b.demandRate*prefetchWindow.Seconds()), now.Before(b.emptyUntil)
}

func (l *Limiter) admitAfterPull(organisation string, pulled float64) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := Decision{HostCount: l.hostCount, Pulled: pulled}
	b := l.buckets[organisation]
	if b == nil {
		d.Admitted = true
		return d
	}
	now := time.Now()
	d.Admitted = b.share.Take(now)
	d.Level = b.share.Level(now)
	if !d.Admitted {
		b.emptyUntil = now.Add(emptyBackoff)
		d.RetryAfter = l.retryAfter(b, now)
	}
	return d
}

func (l *Limiter) retryAfter(b *bucket, now time.Time) time.Duration {
	return max(minRetryAfter, b.share.Wait(now)) + rand.N(retryAfterJitter)
}

// pull requests tokens from the hosts that have the most left and returns the total granted.
func (l *Limiter) pull(ctx context.Context, organisation string, wanted float64) float64 {
	peers := l.pullCandidates(organisation)
	pulled := 0.0
	for range maxPullRounds {
		var round []pullCandidate
		round, peers = nextPullRound(peers, wanted-pulled)
		if len(round) == 0 {
			break
		}
		pulled += l.pullFrom(ctx, round, organisation, wanted-pulled)
		if pulled >= min(1, wanted) {
			break
		}
	}
	return pulled
}

// pullFrom requests tokens from several hosts in parallel and adds what they grant to this host's share.
func (l *Limiter) pullFrom(ctx context.Context, peers []pullCandidate, organisation string, wanted float64) float64 {
	pullCtx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	granted := make([]float64, len(peers))
	var pulls sync.WaitGroup
	for i, p := range peers {
		pulls.Go(func() {
			tokens, err := l.options.Pull(pullCtx, p.peer, organisation, wanted)
			if err == nil { // Pull logs its errors
				granted[i] = tokens
			}
		})
	}
	pulls.Wait()
	pulled := 0.0
	for _, tokens := range granted {
		pulled += tokens
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.buckets[organisation]; b != nil && pulled > 0 {
		b.share.Deposit(pulled, time.Now())
	}
	return pulled
}

// pullCandidate is a host and the level it last announced.
type pullCandidate struct {
	peer   wharfgossip.Peer
	tokens float64
}

// nextPullRound returns the candidates to ask in parallel for the wanted tokens, and the remaining ones.
func nextPullRound(peers []pullCandidate, wanted float64) (round, rest []pullCandidate) {
	for i, p := range peers {
		if i == maxPullPeers || wanted <= 0 {
			return peers[:i], peers[i:]
		}
		wanted -= p.tokens
	}
	return peers, nil
}

// remoteCandidates returns the first allocators of the other zones in random order. Their levels are not known.
func (l *Limiter) remoteCandidates() []pullCandidate {
	var candidates []pullCandidate
	for _, p := range l.options.RemoteAllocators() {
		candidates = append(candidates, pullCandidate{p, minPullTokens})
	}
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return candidates
}

// pullCandidates returns the live hosts with at least minPullTokens, highest level first, or in a large fleet the
// allocators of the other zones.
func (l *Limiter) pullCandidates(organisation string) []pullCandidate {
	if len(l.options.Allocators()) > 0 {
		return l.remoteCandidates()
	}
	l.mu.Lock()
	codec := l.codec
	l.mu.Unlock()
	var peers []pullCandidate
	for _, p := range l.options.Peers() {
		if p.Presence != wharfgossip.Alive {
			continue
		}
		if level := codec.decode(p.Levels, organisation); level >= minPullTokens {
			peers = append(peers, pullCandidate{p, level})
		}
	}
	slices.SortFunc(peers, func(a, b pullCandidate) int { return cmp.Compare(b.tokens, a.tokens) })
	return peers
}

// Give removes up to wanted tokens of an organisation from this host's share for another host and returns the number.
func (l *Limiter) Give(organisation string, wanted float64) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[organisation]
	if b == nil {
		return 0
	}
	return b.share.Withdraw(wanted, time.Now())
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
		for name, wanted := range l.updateDemand() {
			_, _, _ = l.pulls.Do(name, func() (any, error) { return l.pull(ctx, name, wanted), nil })
		}
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
	if shares != l.shares || hosts != l.hostCount {
		l.shares, l.hostCount = shares, hosts
		l.resizeBuckets()
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

// updateDemand updates the smoothed demand of each organisation. It returns the organisations whose share does not
// cover the demand of the prefetch window, with the tokens to pull.
func (l *Limiter) updateDemand() map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	shortfalls := map[string]float64{}
	for name, b := range l.buckets {
		b.demandRate = demandSmoothing*b.demandRate + (1-demandSmoothing)*b.requests/prefetchInterval.Seconds()
		b.requests = 0
		needed := b.demandRate * prefetchWindow.Seconds()
		if level := b.share.Level(now); needed >= 1 && level < needed && !now.Before(b.emptyUntil) {
			shortfalls[name] = needed - level
		}
	}
	return shortfalls
}
