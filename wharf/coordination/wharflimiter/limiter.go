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
	// initialHostCount is the number of hosts assumed until the number is known, so that a host that has just started
	// does not refill the whole of each bucket.
	initialHostCount = 16
	// restartTokens is what a restarted host has of each bucket: one request, which with ten hosts stays within a tenth of
	// usual bursts.
	restartTokens = 1.0
	// pullTimeout bounds the question to one other host: several round trips between zones.
	pullTimeout = 60 * time.Millisecond
	// maxPullPeers is the largest number of hosts asked at once, and pullRounds the number of times: small rates are spread
	// over many hosts in parts of a token, and what is known of their levels is a little old.
	maxPullPeers  = 5
	maxPullRounds = 3
	// minPullTokens is the smallest part of a token that is worth asking for.
	minPullTokens = 0.1
	// emptyBackoff is how long requests are refused without asking again once no host had a token.
	emptyBackoff = 100 * time.Millisecond
	// prefetchWindow is the demand that a host asks tokens for: the time between two looks at its level, and as much again.
	prefetchWindow = 200 * time.Millisecond
	// prefetchInterval is the time between two looks at the levels.
	prefetchInterval = 100 * time.Millisecond
	// demandSmoothing is the weight of the past in the smoothed demand, for each look.
	demandSmoothing = 0.8
	// minRetryAfter and returnSpread are the shortest time after which a refused caller may return, and its random part.
	minRetryAfter    = 200 * time.Millisecond
	retryAfterJitter = 300 * time.Millisecond
)

// Options are a limiter's parts.
type Options struct {
	// Fresh is true if the whole system starts for the first time, so that all buckets are full.
	Fresh bool
	// Peers returns the other hosts.
	Peers func() []wharfgossip.Peer
	// Pull asks a host for tokens and returns how many it gave.
	Pull func(ctx context.Context, peer wharfgossip.Peer, organisation string, wanted float64) (float64, error)
}

// Limiter admits requests; it is safe for concurrent use.
type Limiter struct {
	options       Options
	mu            sync.Mutex
	buckets       map[string]*bucket
	hostCount     int
	organisations []wharfroute.Organisation
	codec         *levelCodec
	pulls         singleflight.Group
}

type bucket struct {
	name       string
	share      *wharfshare.Share
	requests   float64 // since the last look
	demandRate float64 // smoothed, requests a second
	emptyUntil time.Time
}

// New returns a limiter without organisations.
func New(options Options) *Limiter {
	return &Limiter{options: options, buckets: map[string]*bucket{}, hostCount: initialHostCount, codec: newLevelCodec(nil)}
}

// Configure takes over the organisations' limits.
func (l *Limiter) Configure(organisations []wharfroute.Organisation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.organisations = organisations
	l.codec = newLevelCodec(organisations)
	l.resizeBuckets()
}

// SetHostCount sets the number of hosts that the buckets are shared out to, this one included; 0 says that it is not known.
func (l *Limiter) SetHostCount(holders int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if holders > 0 && holders != l.hostCount {
		l.hostCount = holders
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
		p := l.buckets[o.Name]
		if p == nil {
			p = &bucket{name: o.Name, share: wharfshare.New(l.initialTokens(), now)}
			l.buckets[o.Name] = p
		}
		p.share.Resize(o.Rate/float64(l.hostCount), max(1, o.Burst/float64(l.hostCount)), now)
	}
	for name := range l.buckets {
		if !known[name] {
			delete(l.buckets, name)
		}
	}
}

func (l *Limiter) initialTokens() float64 {
	if l.options.Fresh {
		return math.MaxFloat64
	}
	return restartTokens
}

// Decision says how a request was admitted or why not.
type Decision struct {
	Admitted   bool
	Pulled     float64       // tokens got from other hosts for it
	Level      float64       // tokens left here
	HostCount  int           // hosts that share the bucket
	RetryAfter time.Duration // when a refused caller should come back
}

// Admit spends a token of an organisation, if need be one of another host's.
func (l *Limiter) Admit(ctx context.Context, organisation string) Decision {
	d, wanted, final := l.admitLocally(organisation)
	if final {
		return d
	}
	pulled, _, _ := l.pulls.Do(organisation, func() (any, error) {
		return l.pull(ctx, organisation, wanted), nil
	})
	return l.admitAfterPull(organisation, pulled.(float64))
}

// admitLocally reports whether the decision is final without asking others.
func (l *Limiter) admitLocally(organisation string) (d Decision, wanted float64, final bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.buckets[organisation]
	if p == nil {
		return Decision{Admitted: true}, 0, true
	}
	now := time.Now()
	p.requests++
	d = Decision{HostCount: l.hostCount}
	if p.share.Take(now) {
		d.Admitted = true
		d.Level = p.share.Level(now)
		return d, 0, true
	}
	d.Level = p.share.Level(now)
	d.RetryAfter = l.retryAfter(p, now)
	return d, max(1, p.demandRate*prefetchWindow.Seconds()), now.Before(p.emptyUntil)
}

func (l *Limiter) admitAfterPull(organisation string, pulled float64) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := Decision{HostCount: l.hostCount, Pulled: pulled}
	p := l.buckets[organisation]
	if p == nil {
		d.Admitted = true
		return d
	}
	now := time.Now()
	d.Admitted = p.share.Take(now)
	d.Level = p.share.Level(now)
	if !d.Admitted {
		p.emptyUntil = now.Add(emptyBackoff)
		d.RetryAfter = l.retryAfter(p, now)
	}
	return d
}

func (l *Limiter) retryAfter(p *bucket, now time.Time) time.Duration {
	return max(minRetryAfter, p.share.Wait(now)) + rand.N(retryAfterJitter)
}

// pull asks the hosts that have most left, and returns what they gave.
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

// pullFrom asks several hosts at once and takes what they give.
func (l *Limiter) pullFrom(ctx context.Context, peers []pullCandidate, organisation string, wanted float64) float64 {
	asked, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	given := make([]float64, len(peers))
	var pulls sync.WaitGroup
	for i, p := range peers {
		pulls.Go(func() {
			tokens, err := l.options.Pull(asked, p.peer, organisation, wanted)
			if err == nil { // Pull logs its failures
				given[i] = tokens
			}
		})
	}
	pulls.Wait()
	pulled := 0.0
	for _, tokens := range given {
		pulled += tokens
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if p := l.buckets[organisation]; p != nil && pulled > 0 {
		p.share.Receive(pulled, time.Now())
	}
	return pulled
}

// pullCandidate is a host with the tokens that it has said it has.
type pullCandidate struct {
	peer   wharfgossip.Peer
	tokens float64
}

// nextPullRound returns the hosts to ask for what is wanted, and those that are left.
func nextPullRound(peers []pullCandidate, wanted float64) (round, rest []pullCandidate) {
	for i, p := range peers {
		if i == maxPullPeers || wanted <= 0 {
			return peers[:i], peers[i:]
		}
		wanted -= p.tokens
	}
	return peers, nil
}

// pullCandidates returns the hosts that have tokens, those with the highest levels first.
func (l *Limiter) pullCandidates(organisation string) []pullCandidate {
	l.mu.Lock()
	roll := l.codec
	l.mu.Unlock()
	var peers []pullCandidate
	for _, p := range l.options.Peers() {
		if p.Presence != wharfgossip.Alive {
			continue
		}
		if level := roll.decode(p.LastMessage.Levels, organisation); level >= minPullTokens {
			peers = append(peers, pullCandidate{p, level})
		}
	}
	slices.SortFunc(peers, func(a, b pullCandidate) int { return cmp.Compare(b.tokens, a.tokens) })
	return peers
}

// Give hands tokens over to another host.
func (l *Limiter) Give(organisation string, wanted float64) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.buckets[organisation]
	if p == nil {
		return 0
	}
	return p.share.Give(wanted, time.Now())
}

// Levels returns what is left of each part.
func (l *Limiter) Levels() wharfgossip.Levels {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	return l.codec.encode(func(name string) float64 { return l.buckets[name].share.Level(now) })
}

// Serve asks for tokens ahead of demand until ctx ends.
func (l *Limiter) Serve(ctx context.Context) error {
	for wharfpause.For(ctx, prefetchInterval) {
		for name, wanted := range l.updateDemand() {
			_, _, _ = l.pulls.Do(name, func() (any, error) { return l.pull(ctx, name, wanted), nil })
		}
	}
	return ctx.Err()
}

// updateDemand smooths the demand and returns the organisations that will run out before the next look.
func (l *Limiter) updateDemand() map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	short := map[string]float64{}
	for name, p := range l.buckets {
		p.demandRate = demandSmoothing*p.demandRate + (1-demandSmoothing)*p.requests/prefetchInterval.Seconds()
		p.requests = 0
		ahead := p.demandRate * prefetchWindow.Seconds()
		if level := p.share.Level(now); ahead >= 1 && level < ahead && !now.Before(p.emptyUntil) {
			short[name] = ahead - level
		}
	}
	return short
}
