package wharfbucket

import (
	"slices"
	"time"
)

// Bucket is a token bucket whose outstanding grants count against its burst until they expire, so that the tokens spent
// in any window stay within burst + rate × window. It is not safe for concurrent use.
type Bucket struct {
	rate        float64
	burst       float64
	level       float64
	outstanding float64
	updated     time.Time
	grants      []grant
	closedUntil time.Time
}

type grant struct {
	tokens  float64
	expires time.Time
}

// New returns a full bucket with a rate in tokens per second and a burst in tokens.
func New(rate, burst float64, now time.Time) *Bucket {
	return &Bucket{rate: rate, burst: burst, level: burst, updated: now}
}

// Inherit returns the bucket of a new owner whose predecessor has not released it. It is empty and grants nothing until
// hold has passed, after which no grant of the previous owner can be spent any more.
func Inherit(rate, burst float64, now time.Time, hold time.Duration) *Bucket {
	return &Bucket{rate: rate, burst: burst, updated: now.Add(hold), closedUntil: now.Add(hold)}
}

// Restore returns a bucket that its previous owner has released with level and outstanding tokens. The outstanding
// tokens expire after hold.
func Restore(rate, burst, level, outstanding float64, now time.Time, hold time.Duration) *Bucket {
	b := &Bucket{rate: rate, burst: burst, updated: now, outstanding: outstanding}
	b.level = min(level, max(0, burst-outstanding))
	b.grants = []grant{{tokens: outstanding, expires: now.Add(hold)}}
	return b
}

// Release returns the level and the outstanding tokens, for the next owner to pass to Restore.
func (b *Bucket) Release(now time.Time) (level, outstanding float64) {
	b.advance(now)
	if now.Before(b.closedUntil) {
		return 0, b.burst
	}
	return b.level, b.outstanding
}

// Resize changes the rate and burst. It never raises the level.
func (b *Bucket) Resize(rate, burst float64, now time.Time) {
	b.advance(now)
	b.rate = rate
	b.burst = burst
	b.level = min(b.level, max(0, burst-b.outstanding))
}

// Take grants tokens that may be spent until term from now, and reports whether enough were available.
func (b *Bucket) Take(tokens float64, term time.Duration, now time.Time) bool {
	b.advance(now)
	if now.Before(b.closedUntil) || tokens <= 0 || tokens > b.level+roundingError {
		return false
	}
	b.level = max(0, b.level-tokens)
	b.outstanding += tokens
	b.insert(grant{tokens: tokens, expires: now.Add(term)})
	return true
}

// roundingError is the number of tokens that floating-point addition may lose.
const roundingError = 1e-9

// Add adds tokens that were taken from another zone's bucket and have not expired, up to the burst less the outstanding
// tokens.
func (b *Bucket) Add(tokens float64, now time.Time) {
	b.advance(now)
	if now.Before(b.closedUntil) {
		return
	}
	room := max(0, b.burst-b.outstanding)
	b.level = min(room, b.level+tokens)
}

// insert adds a grant and keeps the grants sorted by expiry.
func (b *Bucket) insert(g grant) {
	i, _ := slices.BinarySearchFunc(b.grants, g, func(a, b grant) int { return a.expires.Compare(b.expires) })
	b.grants = slices.Insert(b.grants, i, g)
}

// Wait returns the time until a whole token is available.
func (b *Bucket) Wait(now time.Time) time.Duration {
	b.advance(now)
	if now.Before(b.closedUntil) {
		return b.closedUntil.Sub(now)
	}
	if b.level >= 1 {
		return 0
	}
	return time.Duration((1 - b.level) / b.rate * float64(time.Second))
}

// Level returns the number of tokens that can be taken now.
func (b *Bucket) Level(now time.Time) float64 {
	b.advance(now)
	if now.Before(b.closedUntil) {
		return 0
	}
	return b.level
}

// advance refills the bucket in steps, one for each expired grant, because each expiry raises the limit of the level.
func (b *Bucket) advance(now time.Time) {
	for len(b.grants) > 0 && !b.grants[0].expires.After(now) {
		expired := b.grants[0]
		b.refill(expired.expires)
		b.outstanding -= expired.tokens
		b.grants = b.grants[1:]
	}
	b.refill(now)
}

func (b *Bucket) refill(now time.Time) {
	if !now.After(b.updated) {
		return
	}
	room := max(0, b.burst-b.outstanding)
	b.level = min(room, b.level+b.rate*now.Sub(b.updated).Seconds())
	b.updated = now
}
