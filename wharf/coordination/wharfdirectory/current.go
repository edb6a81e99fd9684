package wharfdirectory

import (
	"context"
	"time"

	"wagtailwharf.example/wharf/coordination/wharffollower"
)

const (
	// maxPollTime is the longest time that a poll for configuration changes takes, with a margin for a busy machine. One that
	// took longer was suspended with this process.
	maxPollTime = configurationPollWait + replyTimeout + 300*time.Millisecond
	// maxPollGap is the longest time between the ends of two such polls: a backoff and a poll that fails. It is less than the
	// 5 s within which an evacuation must be in force.
	maxPollGap = maxPollTime + 3*wharffollower.MaxBackoff/2
	// currentWait is how long a request waits for the first poll after a suspension to end. A store in reach answers within
	// it, after the backoff that follows the poll that was suspended.
	currentWait = 300 * time.Millisecond
)

// pollEnded records the end of a poll for configuration changes. One that took so long that this process must have been
// suspended says nothing: its failure is not the store's, and its answer may have arrived long ago.
func (d *Directory) pollEnded(took time.Duration) {
	if took > maxPollTime {
		return
	}
	now := time.Now()
	d.polledAt.Store(&now)
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.polled)
	d.polled = make(chan struct{})
}

// Current reports whether this host follows the configuration and the evacuated zones, or knows that it can't because the
// store does not answer. It is false after this process was suspended, until a poll has ended.
func (d *Directory) Current() bool {
	at := d.polledAt.Load()
	return at == nil || time.Since(*at) <= maxPollGap
}

// AwaitCurrent waits a short time until Current holds and reports whether it does.
func (d *Directory) AwaitCurrent(ctx context.Context) bool {
	if d.Current() {
		return true
	}
	timeout := time.NewTimer(currentWait)
	defer timeout.Stop()
	for {
		d.mu.Lock()
		polled := d.polled
		d.mu.Unlock()
		if d.Current() {
			return true
		}
		select {
		case <-polled:
		case <-timeout.C:
			return d.Current()
		case <-ctx.Done():
			return false
		}
	}
}
