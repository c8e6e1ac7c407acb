package shard

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"
)

// commitAtDeadline is a context that ends when a leader begins to wait for it, with the next batch durable.
type commitAtDeadline struct {
	context.Context
	end    context.CancelFunc
	leader *Leader
}

func (c commitAtDeadline) Done() <-chan struct{} {
	c.leader.durable++
	close(c.leader.changed)
	c.leader.changed = make(chan struct{})
	c.end()
	return c.Context.Done()
}

// Guards against a change that is durable but reported as cut off because its caller's time is over, too.
func TestDurableChangeIsConfirmedAtDeadline(t *testing.T) {
	l := &Leader{changed: make(chan struct{})}
	for number := range uint64(64) {
		ctx, end := context.WithCancel(t.Context())
		require.NoError(t, l.awaitBatch(commitAtDeadline{ctx, end, l}, number+1))
	}
}
