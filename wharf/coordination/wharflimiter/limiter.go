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
	// provisionalHolders is the number of hosts assumed until the number is known, so that a host that has just started
	// does not refill the whole of each bucket.
	provisionalHolders = 16
	// startLevel is what a restarted host has of each bucket: one request, which with ten hosts stays within a tenth of
	// usual bursts.
	startLevel = 1.0
	// pullLimit bounds the question to one other host: several round trips between zones.
	pullLimit = 60 * time.Millisecond
	// pullPeers is the largest number of hosts asked at once, and pullRounds the number of times: small rates are spread
	// over many hosts in parts of a token, and what is known of their levels is a little old.
	pullPeers  = 5
	pullRounds = 3
	// leastLevel is the smallest part of a token that is worth asking for.
	leastLevel = 0.1
	// dryPeriod is how long requests are refused without asking again once no host had a token.
	dryPeriod = 100 * time.Millisecond
	// lookAhead is the demand that a host asks tokens for: the time between two looks at its level, and as much again.
	lookAhead = 200 * time.Millisecond
	// lookPeriod is the time between two looks at the levels.
	lookPeriod = 100 * time.Millisecond
	// demandKept is the weight of the past in the smoothed demand, for each look.
	demandKept = 0.8
	// leastReturn and returnSpread are the shortest time after which a refused caller may return, and its random part.
	leastReturn  = 200 * time.Millisecond
	returnSpread = 300 * time.Millisecond
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
	options Options
	mu      sync.Mutex
	parts   map[string]*part
	holders int
	known   []wharfroute.Organisation
	roll    *roll
	pulls   singleflight.Group
}

type part struct {
	name   string
	share  *wharfshare.Share
	asked  float64 // since the last look
	demand float64 // smoothed, requests a second
	dry    time.Time
}

// New returns a limiter without organisations.
func New(options Options) *Limiter {
	return &Limiter{options: options, parts: map[string]*part{}, holders: provisionalHolders, roll: newRoll(nil)}
}

// Configure takes over the organisations' limits.
func (l *Limiter) Configure(organisations []wharfroute.Organisation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.known = organisations
	l.roll = newRoll(organisations)
	l.resize()
}

// SetHostCount sets the number of hosts that the buckets are shared out to, this one included; 0 says that it is not known.
func (l *Limiter) SetHostCount(holders int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if holders > 0 && holders != l.holders {
		l.holders = holders
		l.resize()
	}
}

func (l *Limiter) resize() {
	now := time.Now()
	known := map[string]bool{}
	for _, o := range l.known {
		if o.Rate <= 0 {
			continue
		}
		known[o.Name] = true
		p := l.parts[o.Name]
		if p == nil {
			p = &part{name: o.Name, share: wharfshare.New(l.firstLevel(), now)}
			l.parts[o.Name] = p
		}
		p.share.Resize(o.Rate/float64(l.holders), max(1, o.Burst/float64(l.holders)), now)
	}
	for name := range l.parts {
		if !known[name] {
			delete(l.parts, name)
		}
	}
}

func (l *Limiter) firstLevel() float64 {
	if l.options.Fresh {
		return math.MaxFloat64
	}
	return startLevel
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
	d, wanted, final := l.admitHere(organisation)
	if final {
		return d
	}
	pulled, _, _ := l.pulls.Do(organisation, func() (any, error) {
		return l.pull(ctx, organisation, wanted), nil
	})
	return l.admitPulled(organisation, pulled.(float64))
}

// admitHere reports whether the decision is final without asking others.
func (l *Limiter) admitHere(organisation string) (d Decision, wanted float64, final bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.parts[organisation]
	if p == nil {
		return Decision{Admitted: true}, 0, true
	}
	now := time.Now()
	p.asked++
	d = Decision{HostCount: l.holders}
	if p.share.Take(now) {
		d.Admitted = true
		d.Level = p.share.Level(now)
		return d, 0, true
	}
	d.Level = p.share.Level(now)
	d.RetryAfter = l.returnIn(p, now)
	return d, max(1, p.demand*lookAhead.Seconds()), now.Before(p.dry)
}

func (l *Limiter) admitPulled(organisation string, pulled float64) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := Decision{HostCount: l.holders, Pulled: pulled}
	p := l.parts[organisation]
	if p == nil {
		d.Admitted = true
		return d
	}
	now := time.Now()
	d.Admitted = p.share.Take(now)
	d.Level = p.share.Level(now)
	if !d.Admitted {
		p.dry = now.Add(dryPeriod)
		d.RetryAfter = l.returnIn(p, now)
	}
	return d
}

func (l *Limiter) returnIn(p *part, now time.Time) time.Duration {
	return max(leastReturn, p.share.Wait(now)) + rand.N(returnSpread)
}

// pull asks the hosts that have most left, and returns what they gave.
func (l *Limiter) pull(ctx context.Context, organisation string, wanted float64) float64 {
	peers := l.richest(organisation)
	pulled := 0.0
	for range pullRounds {
		var round []richPeer
		round, peers = forRound(peers, wanted-pulled)
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
func (l *Limiter) pullFrom(ctx context.Context, peers []richPeer, organisation string, wanted float64) float64 {
	asked, cancel := context.WithTimeout(ctx, pullLimit)
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
	if p := l.parts[organisation]; p != nil && pulled > 0 {
		p.share.Deposit(pulled, time.Now())
	}
	return pulled
}

// richPeer is a host with the tokens that it has said it has.
type richPeer struct {
	peer   wharfgossip.Peer
	tokens float64
}

// forRound returns the hosts to ask for what is wanted, and those that are left.
func forRound(peers []richPeer, wanted float64) (round, rest []richPeer) {
	for i, p := range peers {
		if i == pullPeers || wanted <= 0 {
			return peers[:i], peers[i:]
		}
		wanted -= p.tokens
	}
	return peers, nil
}

// richest returns the hosts that have tokens, those with the highest levels first.
func (l *Limiter) richest(organisation string) []richPeer {
	l.mu.Lock()
	roll := l.roll
	l.mu.Unlock()
	var peers []richPeer
	for _, p := range l.options.Peers() {
		if p.Presence != wharfgossip.Alive {
			continue
		}
		if level := roll.read(p.LastMessage.Levels, organisation); level >= leastLevel {
			peers = append(peers, richPeer{p, level})
		}
	}
	slices.SortFunc(peers, func(a, b richPeer) int { return cmp.Compare(b.tokens, a.tokens) })
	return peers
}

// Give hands tokens over to another host.
func (l *Limiter) Give(organisation string, wanted float64) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.parts[organisation]
	if p == nil {
		return 0
	}
	return p.share.Withdraw(wanted, time.Now())
}

// Levels returns what is left of each part.
func (l *Limiter) Levels() wharfgossip.Levels {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	return l.roll.pack(func(name string) float64 { return l.parts[name].share.Level(now) })
}

// Serve asks for tokens ahead of demand until ctx ends.
func (l *Limiter) Serve(ctx context.Context) error {
	for wharfpause.For(ctx, lookPeriod) {
		for name, wanted := range l.look() {
			_, _, _ = l.pulls.Do(name, func() (any, error) { return l.pull(ctx, name, wanted), nil })
		}
	}
	return ctx.Err()
}

// look smooths the demand and returns the organisations that will run out before the next look.
func (l *Limiter) look() map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	short := map[string]float64{}
	for name, p := range l.parts {
		p.demand = demandKept*p.demand + (1-demandKept)*p.asked/lookPeriod.Seconds()
		p.asked = 0
		ahead := p.demand * lookAhead.Seconds()
		if level := p.share.Level(now); ahead >= 1 && level < ahead && !now.Before(p.dry) {
			short[name] = ahead - level
		}
	}
	return short
}
