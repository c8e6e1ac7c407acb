package shard

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/oriolepond/oriolepond/internal/eventlog"
)

const (
	// moveInterval is how often a shard looks for tasks that another shard may take over, and
	// reports on the tasks that it took over itself.
	moveInterval = time.Second
	// moveTimeout bounds the calls to one other shard in one round.
	moveTimeout = 5 * time.Second
)

// moveLoop hands tasks over to other shards, and reports on foreign tasks, until the context ends.
func (l *Leader) moveLoop(ctx context.Context) {
	ticker := time.NewTicker(moveInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		l.moveOnce(ctx)
	}
}

// moveOnce calls each shard for which there is something to send, concurrently, so that a slow one
// delays no other.
func (l *Leader) moveOnce(ctx context.Context) {
	now := time.Now()
	if !l.MayStart(now) {
		return
	}
	l.mu.Lock()
	families, receivers := l.core.Surplus(now)
	others := l.core.PendingLinks()
	l.signalPlan()
	l.mu.Unlock()
	var calls sync.WaitGroup
	for _, id := range receivers {
		if !slices.Contains(others, id) {
			others = append(others, id)
		}
	}
	for _, id := range others {
		calls.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, moveTimeout)
			defer cancel()
			if slices.Contains(receivers, id) {
				l.offerTasks(ctx, id, families)
			}
			l.sendTransfer(ctx, id)
			l.sendReport(ctx, id)
		})
	}
	calls.Wait()
}

// offerTasks asks a shard for its free capacity, and commits a transfer of as many tasks as fit.
func (l *Leader) offerTasks(ctx context.Context, to string, families []string) {
	free, err := l.OtherShards.FreeCapacity(ctx, to, l.Shard, families)
	if err != nil {
		return
	}
	l.mu.Lock()
	handedOver := l.core.HandOver(to, free, time.Now())
	number := l.core.PendingBatch()
	l.signalPlan()
	l.mu.Unlock()
	if handedOver > 0 {
		_ = l.awaitBatch(ctx, number)
	}
}

// sendTransfer sends the committed transfer to a shard. Without a response it is sent again later.
func (l *Leader) sendTransfer(ctx context.Context, to string) {
	l.mu.Lock()
	t, ok := l.core.Outgoing(to)
	l.mu.Unlock()
	if !ok {
		return
	}
	t.Epoch = l.Epoch
	if err := l.OtherShards.Transfer(ctx, to, t); err != nil {
		l.Log.Emit(eventlog.HandOverUnconfirmed, zap.String("shard", l.Shard), zap.String("to", to), zap.Error(err))
		return
	}
	l.mu.Lock()
	l.core.TransferCommitted(to, t)
	l.mu.Unlock()
	if moved := t.tasks(); moved > 0 {
		l.Log.Emit(eventlog.TasksHandedOver, zap.String("shard", l.Shard), zap.String("to", to),
			zap.Int64("transfer", t.Number), zap.Int("tasks", moved))
	}
}

// tasks returns the number of tasks in a transfer.
func (t Transfer) tasks() int {
	n := 0
	for _, j := range t.Jobs {
		n += len(j.Tasks)
	}
	return n
}

// sendReport sends a shard the states of its tasks that were handed over to this one. Without a
// response they are sent again later.
func (l *Leader) sendReport(ctx context.Context, to string) {
	l.mu.Lock()
	r, ok := l.core.Report(to)
	l.mu.Unlock()
	if !ok || l.OtherShards.Report(ctx, to, r) != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.core.ReportCommitted(to, r)
	l.signalPlan()
}

// FreeCapacity returns this shard's free capacity for job families with waiting tasks in another
// shard, from.
func (l *Leader) FreeCapacity(from string, families []string) ([]FreeCapacity, error) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended || !l.MayStart(now) {
		return nil, &NotLeaderError{Shard: l.Shard}
	}
	return l.core.FreeCapacity(from, families, now), nil
}

// Transfer accepts tasks from another shard. It returns once they are committed.
func (l *Leader) Transfer(ctx context.Context, t Transfer) error {
	return l.change(ctx, func(c *Core, now time.Time) error { return c.Accept(t, now) })
}

// Report applies a report on this shard's tasks in another one. It returns once the reported ends
// are committed.
func (l *Leader) Report(ctx context.Context, r Report) error {
	return l.change(ctx, func(c *Core, now time.Time) error { return c.ApplyMovedReport(r, now) })
}
