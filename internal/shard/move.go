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
func (h *Leader) moveLoop(ctx context.Context) {
	ticker := time.NewTicker(moveInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		h.moveOnce(ctx)
	}
}

// moveOnce calls each shard for which there is something to send, concurrently, so that a slow one
// delays no other.
func (h *Leader) moveOnce(ctx context.Context) {
	now := time.Now()
	if !h.MayStart(now) {
		return
	}
	h.mu.Lock()
	families, receivers := h.core.Surplus(now)
	others := h.core.PendingLinks()
	h.signalPlan()
	h.mu.Unlock()
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
				h.offerTasks(ctx, id, families)
			}
			h.sendTransfer(ctx, id)
			h.sendReport(ctx, id)
		})
	}
	calls.Wait()
}

// offerTasks asks a shard for its free capacity, and commits a transfer of as many tasks as fit.
func (h *Leader) offerTasks(ctx context.Context, to string, families []string) {
	free, err := h.OtherShards.Room(ctx, to, h.Shard, families)
	if err != nil {
		return
	}
	h.mu.Lock()
	handedOver := h.core.HandOver(to, free, time.Now())
	number := h.core.PendingBatch()
	h.signalPlan()
	h.mu.Unlock()
	if handedOver > 0 {
		_ = h.awaitBatch(ctx, number)
	}
}

// sendTransfer sends the committed transfer to a shard. Without a response it is sent again later.
func (h *Leader) sendTransfer(ctx context.Context, to string) {
	h.mu.Lock()
	t, ok := h.core.Outgoing(to)
	h.mu.Unlock()
	if !ok {
		return
	}
	t.Epoch = h.Epoch
	if err := h.OtherShards.Transfer(ctx, to, t); err != nil {
		h.Log.Emit(eventlog.TasksNotMoved, zap.String("shard", h.Shard), zap.String("to", to), zap.Error(err))
		return
	}
	h.mu.Lock()
	h.core.TransferCommitted(to, t)
	h.mu.Unlock()
	if moved := t.tasks(); moved > 0 {
		h.Log.Emit(eventlog.TasksMoved, zap.String("shard", h.Shard), zap.String("to", to),
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

// sendReport reports to a shard on its tasks here. Without a response it is sent again later.
func (h *Leader) sendReport(ctx context.Context, to string) {
	h.mu.Lock()
	r, ok := h.core.Report(to)
	h.mu.Unlock()
	if !ok || h.OtherShards.Report(ctx, to, r) != nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.core.ReportCommitted(to, r)
	h.signalPlan()
}

// FreeCapacity returns for which job families this shard could take tasks of another one.
func (h *Leader) FreeCapacity(from string, families []string) ([]Room, error) {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ended || !h.MayStart(now) {
		return nil, &NotHolderError{Shard: h.Shard}
	}
	return h.core.FreeCapacity(from, families, now), nil
}

// Transfer accepts tasks from another shard. It returns once they are committed.
func (h *Leader) Transfer(ctx context.Context, t Transfer) error {
	return h.change(ctx, func(c *Core, now time.Time) error { return c.Accept(t, now) })
}

// Report applies a report on tasks in another shard. It returns once the ends that it reports are
// committed.
func (h *Leader) Report(ctx context.Context, r Report) error {
	return h.change(ctx, func(c *Core, now time.Time) error { return c.ApplyMovedReport(r, now) })
}
