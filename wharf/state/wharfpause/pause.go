package wharfpause

import (
	"context"
	"time"
)

// For waits for a length of time and reports whether it passed before ctx ended.
func For(ctx context.Context, length time.Duration) bool {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
