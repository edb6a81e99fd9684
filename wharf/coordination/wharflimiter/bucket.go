package wharflimiter

import (
	"math"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"wagtailwharf.example/wharf/state/wharfroute"
	"wagtailwharf.example/wharf/state/wharfshare"
)

const (
	// minSurplusPeriod is how long tokens above a share's burst last, and surplusTokens how many tokens of the whole rate
	// they last for if that takes longer: tokens of small rates are gathered in parts, which takes a while.
	minSurplusPeriod = 100 * time.Millisecond
	surplusTokens    = 4.0
	maxSurplusPeriod = 2 * time.Second
	// lenderWindow is the demand of a host that it does not lend tokens of, because it would soon have to pull them back.
	lenderWindow = 50 * time.Millisecond
	// minEmptyPeriod and maxEmptyPeriod bound the time in which requests are rejected at once after no host had a token.
	// The tokens that other hosts refill meanwhile are had in one pull; requests get them within a tenth of a second.
	minEmptyPeriod = 15 * time.Millisecond
	maxEmptyPeriod = 100 * time.Millisecond
	// maxPromise is the longest delay until a rejected caller should come back, but for the jitter, and minPromisedRate the
	// part of a rate that callers at one host are always expected to get.
	maxPromise      = 4 * time.Second
	minPromisedRate = 2.0
	// spareToken is the part of a token that rejected callers wait for beside one, since levels are not exactly known.
	spareToken = 0.15
	// usagePeriod is the time between two log lines of an organisation.
	usagePeriod = time.Second
	// maxWait and maxRounds bound how long and how often other hosts are asked for one request. Together with a last
	// round, maxWait is less than the time in which an allocator has to answer.
	maxWait   = 60 * time.Millisecond
	maxRounds = 5
)

// bucket is this host's share of an organisation's bucket. The limiter's mutex guards it.
type bucket struct {
	name       string
	limit      wharfroute.Organisation
	share      *wharfshare.Share
	requests   float64 // since the last call of updateDemand
	demandRate float64 // smoothed, in requests per second
	emptyUntil time.Time
	tokenAt    time.Time // when this host can get a token again, as found when it last got none
	promised   time.Time // when the caller that was rejected last should come back
	// admitted is the number of admitted requests since the last call of updateDemand, and admittedRate its smoothed rate.
	admitted, admittedRate float64
	usage                  usage
	waiters                []*waiter // in order of arrival
	borrowing              bool      // other hosts are being asked
	lenders                map[string]*lender
}

// usage counts what has become of an organisation's requests at this host since a time.
type usage struct {
	since              time.Time
	requests, rejected int
	calls              int // to other hosts
	pulled             float64
}

// waiter is a request that waits for tokens of other hosts.
type waiter struct {
	arrived  time.Time
	rounds   int
	decided  chan struct{}
	decision Decision
}

// surplusPeriod returns how long tokens above a share's burst last.
func surplusPeriod(rate float64) time.Duration {
	if rate <= 0 {
		return minSurplusPeriod
	}
	return min(maxSurplusPeriod, max(minSurplusPeriod, time.Duration(surplusTokens/rate*float64(time.Second))))
}

// wait adds a request that waits.
func (b *bucket) wait(now time.Time) *waiter {
	w := &waiter{arrived: now, decided: make(chan struct{})}
	b.waiters = append(b.waiters, w)
	return w
}

// serve admits waiting requests as long as there are tokens.
func (b *bucket) serve(now time.Time, hostCount int) {
	for len(b.waiters) > 0 && b.share.Take(now) {
		b.admitted++
		b.decide(b.waiters[0], Decision{Admitted: true, Level: b.share.Level(now), HostCount: hostCount})
		b.waiters = b.waiters[1:]
	}
}

// decide ends the wait of a request.
func (b *bucket) decide(w *waiter, d Decision) {
	d.Pulled = w.decision.Pulled
	w.decision = d
	close(w.decided)
}

// rejectWaiters rejects the waiting requests that reject selects.
func (b *bucket) rejectWaiters(now time.Time, hostCount int, reject func(*waiter) bool) {
	var kept []*waiter
	for _, w := range b.waiters {
		if !reject(w) {
			kept = append(kept, w)
			continue
		}
		b.decide(w, Decision{Level: b.share.Level(now), HostCount: hostCount, RetryAfter: b.retryAfter(now)})
	}
	b.waiters = kept
}

// shortfall returns how many tokens are missing for the waiting requests and the demand of the prefetch window, of which no
// more than the burst is held. Less than half of that demand is pulled with other tokens only.
func (b *bucket) shortfall(now time.Time) float64 {
	expected, level := min(b.demandRate*prefetchWindow.Seconds(), b.share.Burst()), b.share.Level(now)
	if len(b.waiters) == 0 && (expected < 1 || level > expected/2) {
		return 0
	}
	return float64(len(b.waiters)) + expected - level
}

// lend removes tokens for another host: those that overflowed and that it claims, then those that this host does not
// need for its own demand.
func (b *bucket) lend(loan Loan, now time.Time) float64 {
	claimed := b.share.Grant(loan.Claims, now)
	kept := math.Floor(b.demandRate * lenderWindow.Seconds())
	return claimed + b.share.Withdraw(max(0, min(loan.Wanted-claimed, b.share.Level(now)-kept)), now)
}

// logUsage logs once a second how an organisation is served of which requests were rejected.
func (b *bucket) logUsage(now time.Time, hostCount int) {
	if now.Sub(b.usage.since) < usagePeriod {
		return
	}
	if u := b.usage; u.rejected > 0 {
		klog.InfoS("organisation over its rate", "organisation", b.name, "requests", u.requests, "rejected", u.rejected,
			"calls", u.calls, "pulled", u.pulled, "level", b.share.Level(now), "share-rate", b.share.Rate(),
			"holders", hostCount, "token-in", max(0, b.tokenAt.Sub(now)).String())
	}
	b.usage = usage{since: now}
}

// noteEmpty counts that this host can get no more than a part of a token now, and how much is refilled where it can get it.
func (b *bucket) noteEmpty(obtainable, refill float64, now time.Time) {
	missing := time.Duration(min(maxPromise.Seconds(), max(0, 1+spareToken-obtainable)/max(refill, 1e-9)) * float64(time.Second))
	b.tokenAt = now.Add(missing)
	b.emptyUntil = now.Add(min(maxEmptyPeriod, max(minEmptyPeriod, missing)))
}

// retryAfter returns when a rejected caller should come back: when there will be a token, and after those that were
// rejected before. Beyond maxPromise, callers are spread over that time.
func (b *bucket) retryAfter(now time.Time) time.Duration {
	b.usage.rejected++
	earliest := now.Add(minRetryAfter)
	if b.tokenAt.After(earliest) {
		earliest = b.tokenAt
	}
	at := b.promised.Add(time.Duration(float64(time.Second) / max(b.share.Rate(), b.admittedRate, min(b.limit.Rate, minPromisedRate))))
	switch {
	case !b.promised.After(now) || at.Before(earliest):
		at = earliest
	case at.Sub(now) > maxPromise:
		return max(earliest.Sub(now), minRetryAfter+rand.N(maxPromise-minRetryAfter))
	}
	b.promised = at
	return at.Sub(now) + rand.N(retryAfterJitter)
}
