package wharfdaemon

import (
	"context"
	"sync"
)

// background runs short calls that nobody waits for, until the daemon ends.
type background struct {
	mu    sync.Mutex
	ctx   context.Context
	calls sync.WaitGroup
}

func (b *background) start(ctx context.Context) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ctx = ctx
}

func (b *background) run(call func(context.Context)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ctx == nil || b.ctx.Err() != nil {
		return
	}
	ctx := b.ctx
	b.calls.Go(func() { call(ctx) })
}

func (b *background) wait() {
	b.calls.Wait()
}
