package wharfpause

import (
	"context"
	"time"
)

// For waits for a duration, and reports whether it passed before ctx was done.
func For(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
