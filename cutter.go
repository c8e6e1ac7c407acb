package oriolepond

import (
	"context"
	"sync"
)

// cutter ends streams whose instance has lost its part of the targets.
type cutter struct {
	mu     sync.Mutex
	ctx    context.Context
	cancel context.CancelFunc
}

// Cut ends the contexts that With returned so far.
func (c *cutter) Cut() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancel != nil {
		c.cancel()
	}
	c.ctx, c.cancel = nil, nil
}

// With returns a context that ends with the given one, and at the next Cut.
func (c *cutter) With(ctx context.Context) (context.Context, context.CancelFunc) {
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
