package wharffollower

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"wagtailwharf.example/wharf/coordination/wharfrecords"
	"wagtailwharf.example/wharf/state/wharfpause"
)

// firstPause is the mean pause after the first question that the store has not answered; it doubles from failure to
// failure.
const firstPause = 50 * time.Millisecond

// MaxBackoff bounds the mean pause after questions that the store has not answered: hosts must know of changes within
// some seconds of its return.
const MaxBackoff = 800 * time.Millisecond

// Follower asks the store for changes again and again; Down may be called from any goroutine.
type Follower struct {
	what    string
	period  time.Duration
	version func() uint64
	down    atomic.Bool
}

// New returns a follower of what, as the log calls it; two questions that are answered begin at least a period apart.
// Version returns the version of the store up to which all is known, for the log.
func New(what string, period time.Duration, version func() uint64) *Follower {
	return &Follower{what: what, period: period, version: version}
}

// Down reports whether the last question that has ended got no answer.
func (f *Follower) Down() bool {
	return f.down.Load()
}

// Serve calls ask until ctx ends, with full while the whole table has to be read: at first, and once the store has
// forgotten changes, which ask says by wharfrecords.ErrHistory.
func (f *Follower) Serve(ctx context.Context, ask func(ctx context.Context, full bool) error) error {
	pause := firstPause
	for full := true; ; {
		asked := time.Now()
		err := ask(ctx, full)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		forgotten := errors.Is(err, wharfrecords.ErrHistoryDropped)
		full = forgotten || (full && err != nil)
		f.note(err, forgotten)
		wait := f.period - time.Since(asked)
		if err != nil && !forgotten {
			wait = pause/2 + rand.N(pause)
			pause = min(2*pause, MaxBackoff)
		} else {
			pause = firstPause
		}
		if !wharfpause.For(ctx, wait) {
			return ctx.Err()
		}
	}
}

// note logs when the store is lost and when it is found again.
func (f *Follower) note(err error, forgotten bool) {
	lost := err != nil && !forgotten
	if f.down.Swap(lost) == lost {
		return
	}
	if lost {
		klog.InfoS("dependency lost", "dependency", "store", "for", f.what, "version", f.version(), "error", err.Error())
		return
	}
	klog.InfoS("dependency regained", "dependency", "store", "for", f.what, "version", f.version())
}
