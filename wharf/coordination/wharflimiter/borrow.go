package wharflimiter

import (
	"cmp"
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"wagtailwharf.example/wharf/coordination/wharfgossip"
)

const (
	// pullTimeout bounds one pull from another host, many round trips between zones. What arrives later is lost.
	pullTimeout = 100 * time.Millisecond
	// roundTimeout bounds the time for which requests wait for the replies of one round. Later ones are still used.
	roundTimeout = 60 * time.Millisecond
	// decidedTimeout is the time for which a request that is admitted already waits for further replies, so that most rounds
	// end with it.
	decidedTimeout = time.Millisecond
	// silence is how long a host that did not answer is not asked again.
	silence = time.Second
	// maxPullPeers is the maximum number of hosts asked in parallel.
	maxPullPeers = 8
	// tokensPerLender is the number of wanted tokens for which one more host is asked: shares that are taken from evenly are
	// full for the least time, in which they refill nothing.
	tokensPerLender = 2
	// ampleLenders is the number of hosts asked that are only known to have had enough.
	ampleLenders = 2
	// lenderMemory is how long a host's last answer is remembered.
	lenderMemory = time.Minute
	// estimatePeriod is the time for which a host's answer is used as its number of tokens.
	estimatePeriod = 100 * time.Millisecond
	// minPullTokens is the smallest fraction of a token worth pulling.
	minPullTokens = 0.03
)

// lender is the state of a host that was asked for tokens.
type lender struct {
	answered    time.Time
	given       float64 // by its last answer
	exhausted   bool    // it gave less than it was asked for
	pending     bool    // it has been asked and has not answered
	silentUntil time.Time
	claimSince  time.Time // for what is older, claims have been made
}

// candidate is a host that may be asked for tokens.
type candidate struct {
	peer   wharfgossip.Peer
	tokens float64 // that it has, as far as is known
	refill float64 // tokens per second
}

// Loan asks a host for tokens.
type Loan struct {
	Organisation string
	Wanted       float64
	// Claims are those of them that the host may give beside its own, because it could not refill as many when its share was
	// full: by age, each for a slot of wharfshare.
	Claims []float64
}

// loan is a Loan to ask a host for.
type loan struct {
	Loan
	peer wharfgossip.Peer
}

// borrow asks other hosts for tokens until no request waits and the expected demand is covered, or until they have none.
func (l *Limiter) borrow(ctx context.Context, b *bucket) {
	for {
		loans := l.planRound(b, l.candidates(b.name))
		if len(loans) == 0 {
			return
		}
		l.ask(ctx, b, loans, nil)
	}
}

// borrowFor asks other hosts for tokens until a request is decided. If others wait then, it goes on without it.
func (l *Limiter) borrowFor(ctx context.Context, b *bucket, w *waiter) {
	for {
		loans := l.planRound(b, l.candidates(b.name))
		if len(loans) == 0 {
			return
		}
		l.ask(ctx, b, loans, w.decided)
		if l.endBorrowing(ctx, b, w) {
			return
		}
	}
}

// endBorrowing reports whether a request is decided. It then has others that wait served by another goroutine.
func (l *Limiter) endBorrowing(ctx context.Context, b *bucket, w *waiter) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-w.decided:
	default:
		return false
	}
	b.borrowing = len(b.waiters) > 0
	if b.borrowing {
		go l.borrow(ctx, b)
	}
	return true
}

// planRound returns whom to ask next. If there is nothing to ask for, or nobody has it, it ends the borrowing and
// returns nothing; in the latter case it rejects the waiting requests, unless hosts that were asked before may still have it.
func (l *Limiter) planRound(b *bucket, candidates []candidate) []loan {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	b.serve(now, l.hostCount)
	wanted := b.shortfall(now)
	candidates, refill := b.selectLenders(candidates, wanted, now)
	obtainable := b.share.Level(now)
	for _, c := range candidates {
		obtainable += c.tokens
		if c.tokens < 0 {
			obtainable = wanted + 1
		}
	}
	atMost := obtainable + levelUnit/2*float64(len(candidates))
	if wanted <= 0 || atMost < 1 || len(candidates) == 0 {
		b.borrowing = false
		if len(b.waiters) > 0 && !b.awaitsAnswers() {
			b.noteEmpty(obtainable, refill, now)
			b.rejectWaiters(now, l.hostCount, func(*waiter) bool { return true })
		}
		return nil
	}
	b.rejectWaiters(now, l.hostCount, func(w *waiter) bool { return w.rounds >= maxRounds || now.Sub(w.arrived) > maxWait })
	if wanted = b.shortfall(now); wanted <= 0 {
		b.borrowing = false
		return nil
	}
	for _, w := range b.waiters {
		w.rounds++
	}
	return b.divide(candidates, wanted, now)
}

// awaitsAnswers reports whether a host that has been asked has not answered yet.
func (b *bucket) awaitsAnswers() bool {
	for _, known := range b.lenders {
		if known.pending {
			return true
		}
	}
	return false
}

// selectLenders returns the candidates that have enough tokens to ask for, and the refill of all that are not known to be
// silent and of this share.
func (b *bucket) selectLenders(candidates []candidate, wanted float64, now time.Time) (selected []candidate, refill float64) {
	refill = b.share.Rate()
	for _, c := range candidates {
		known := b.lenders[c.peer.Host]
		if known != nil && now.Before(known.silentUntil) {
			continue
		}
		refill += c.refill
		if known != nil && known.pending {
			continue
		}
		if c.tokens = b.estimate(c, now); c.tokens < 0 || c.tokens >= min(minPullTokens, wanted) {
			selected = append(selected, c)
		}
	}
	return selected, refill
}

// estimate returns how many tokens a host probably has now, or -1 if that is not known: it had enough when it was asked, or
// other hosts may have taken from it or given it some since.
func (b *bucket) estimate(c candidate, now time.Time) float64 {
	tokens, heard := c.tokens, c.peer.LastHeard
	if tokens >= 0 {
		tokens += levelUnit / 2 // levels are rounded down
	}
	if tokens >= 0 && !heard.IsZero() {
		tokens += c.refill * now.Sub(heard).Seconds()
	}
	known := b.lenders[c.peer.Host]
	if known == nil || now.Sub(known.answered) > estimatePeriod {
		return tokens
	}
	if known.exhausted {
		return c.refill * now.Sub(known.answered).Seconds()
	}
	if tokens >= 0 && known.answered.After(heard) {
		return max(0, tokens-known.given)
	}
	return tokens
}

// divide divides the wanted tokens among the hosts that have most.
func (b *bucket) divide(candidates []candidate, wanted float64, now time.Time) []loan {
	asked := ampleLenders
	if len(b.waiters) > 0 && b.waiters[0].rounds > 1 {
		asked = maxPullPeers // the first ones had too little
	}
	for i := range candidates {
		if candidates[i].tokens < 0 {
			candidates[i].tokens = wanted / float64(asked)
		}
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(b.tokens, a.tokens) })
	total, n := 0.0, 0
	for n < min(maxPullPeers, len(candidates)) && (total < wanted || float64(n) < wanted/tokensPerLender) {
		total += candidates[n].tokens
		n++
	}
	var loans []loan
	for _, c := range candidates[:n] {
		known := b.lenders[c.peer.Host]
		if known == nil {
			known = &lender{}
			b.lenders[c.peer.Host] = known
		}
		known.pending = true
		b.usage.calls++
		asked := loan{Loan{Organisation: b.name, Wanted: max(minPullTokens, wanted*c.tokens/total)}, c.peer}
		asked.Claims, known.claimSince = b.share.Claim(asked.Wanted, c.refill, known.claimSince, now)
		loans = append(loans, asked)
	}
	return loans
}

// ask asks several hosts in parallel. It returns once all have answered, after roundTimeout, or soon after a request is
// decided.
func (l *Limiter) ask(ctx context.Context, b *bucket, loans []loan, decided <-chan struct{}) {
	answers := make(chan struct{}, len(loans))
	for _, asked := range loans {
		go func() {
			pullCtx, cancel := context.WithTimeout(ctx, pullTimeout)
			defer cancel()
			tokens, err := l.pull(pullCtx, asked)
			l.deposit(ctx, b, asked, tokens, err)
			answers <- struct{}{}
		}()
	}
	late := time.NewTimer(roundTimeout)
	defer late.Stop()
	for missing := len(loans); missing > 0; {
		select {
		case <-answers:
			missing--
		case <-decided:
			decided = nil
			late.Reset(decidedTimeout)
		case <-late.C:
			return
		}
	}
}

func (l *Limiter) pull(ctx context.Context, asked loan) (float64, error) {
	if l.options.Borrow != nil {
		return l.options.Borrow(ctx, asked.peer, asked.Loan)
	}
	return l.options.Pull(ctx, asked.peer, asked.Organisation, asked.Wanted)
}

// deposit adds what a host has given, and admits waiting requests with it. Pull logs its errors.
func (l *Limiter) deposit(ctx context.Context, b *bucket, asked loan, tokens float64, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now, known := time.Now(), b.lenders[asked.peer.Host]
	known.pending = false
	if err != nil {
		known.silentUntil = now.Add(silence)
	} else {
		known.answered, known.given, known.exhausted = now, tokens, tokens < asked.Wanted
		b.share.Deposit(tokens, now)
		b.usage.pulled += tokens
		for _, w := range b.waiters {
			w.decision.Pulled += tokens
		}
		b.serve(now, l.hostCount)
	}
	if len(b.waiters) > 0 && !b.borrowing { // they wait for this answer
		b.borrowing = true
		go l.borrow(ctx, b)
	}
}

// candidates returns the hosts that may be asked for tokens: the live ones of a small fleet with the levels that they
// have reported, or in a large fleet allocators in random order, whose levels are not known and set to -1.
func (l *Limiter) candidates(organisation string) []candidate {
	allocators := l.options.Allocators()
	l.mu.Lock()
	codec, rate, hosts := l.codec, 0.0, l.hostCount
	if b := l.buckets[organisation]; b != nil {
		rate = b.limit.Rate
	}
	l.mu.Unlock()
	var found []candidate
	if len(allocators) == 0 {
		for _, p := range l.options.Peers() {
			if p.Presence == wharfgossip.Alive {
				found = append(found, candidate{p, codec.decode(p.Levels, organisation), rate / float64(hosts)})
			}
		}
		return found
	}
	for _, p := range l.options.RemoteAllocators() {
		found = append(found, candidate{peer: p, tokens: -1})
	}
	refill := rate / float64(len(found)+1)
	// The second allocator of a zone admits requests while hosts get no answer of the first, which may have tokens.
	for i, a := range allocators {
		if a.Self && i > 0 {
			found = append(found, candidate{peer: wharfgossip.Peer{Host: allocators[0].Host, Address: allocators[0].Address}, tokens: -1})
		}
	}
	for i := range found {
		found[i].refill = refill
	}
	rand.Shuffle(len(found), func(i, j int) { found[i], found[j] = found[j], found[i] })
	return found
}

// updateDemand updates the smoothed demand of each organisation, and pulls tokens for those whose share does not cover the
// demand of the prefetch window.
func (l *Limiter) updateDemand(ctx context.Context) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for _, b := range l.buckets {
		b.demandRate = demandSmoothing*b.demandRate + (1-demandSmoothing)*b.requests/prefetchInterval.Seconds()
		b.admittedRate = demandSmoothing*b.admittedRate + (1-demandSmoothing)*b.admitted/prefetchInterval.Seconds()
		b.requests, b.admitted = 0, 0
		b.logUsage(now, l.hostCount)
		maps.DeleteFunc(b.lenders, func(_ string, known *lender) bool {
			return !known.pending && now.Sub(known.answered) > lenderMemory && now.After(known.silentUntil)
		})
		if !b.borrowing && b.shortfall(now) > 0 && !now.Before(b.emptyUntil) {
			b.borrowing = true
			go l.borrow(context.WithoutCancel(ctx), b)
		}
	}
}
