package wharfdaemon

import (
	"context"
	"sync"
)

// background runs short fire-and-forget calls until the daemon stops.
type background struct {
	mu    sync.Mutex
	ctx   context.Context
	calls sync.WaitGroup
}

// start allows calls; they are cancelled when ctx is done.
func (b *background) start(ctx context.Context) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ctx = ctx
}

// run starts call in a goroutine. It does nothing before start or after the context is done.
func (b *background) run(call func(context.Context)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ctx == nil || b.ctx.Err() != nil {
		return
	}
	ctx := b.ctx
	b.calls.Go(func() { call(ctx) })
}

// wait blocks until all started calls have returned.
func (b *background) wait() {
	b.calls.Wait()
}
