package oriolepond

import (
	"context"
	"sync"
)

// streamCanceller cancels the open streams of an instance that may no longer use its
// allocation of the targets.
type streamCanceller struct {
	mu     sync.Mutex
	ctx    context.Context
	cancel context.CancelFunc
}

// CancelAll cancels all contexts that WithCancel has returned so far.
func (c *streamCanceller) CancelAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancel != nil {
		c.cancel()
	}
	c.ctx, c.cancel = nil, nil
}

// WithCancel returns a context that is cancelled with ctx or by the next call of CancelAll.
func (c *streamCanceller) WithCancel(ctx context.Context) (context.Context, context.CancelFunc) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ctx == nil {
		c.ctx, c.cancel = context.WithCancel(context.Background())
	}
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(c.ctx, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}
