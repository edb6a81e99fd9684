package wharffrontend

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"wagtailwharf.example/wharf/protocol/wharfrefusal"
	"wagtailwharf.example/wharf/state/wharfcall"
)

// TestExpiredRequestIsRefusedWithRetryAfter guards against a refusal without a retry delay when the host was suspended
// for longer than the caller's deadline before the request ran.
func TestExpiredRequestIsRefusedWithRetryAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := &online{request: &request{call: wharfcall.Call{Arrived: time.Now(), Timeout: 5 * time.Second}}}
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		time.Sleep(5500 * time.Millisecond)
		var refusal *wharfrefusal.Refusal
		assert.Assert(t, errors.As(o.refuseExpired(ctx), &refusal))
		assert.Equal(t, refusal.Code, errTooLate.Code)
		assert.Equal(t, refusal.RunState, wharfrefusal.NotRun)
		assert.Assert(t, refusal.RetryAfter > 0)
	})
}
