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
	// moveInterval is how often a shard looks for tasks that another one may take, and tells of the tasks that it took.
	moveInterval = time.Second
	// moveTimeout bounds what is said to one other shard at a time.
	moveTimeout = 5 * time.Second
)

// moveLoop hands tasks to other shards and reports on those of others until the context ends.
func (h *Holder) moveLoop(ctx context.Context) {
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

// moveOnce speaks to each other shard that it has something for; one that is slow delays no other.
func (h *Holder) moveOnce(ctx context.Context) {
	now := time.Now()
	if !h.MayStart(now) {
		return
	}
	h.mu.Lock()
	families, takers := h.core.Surplus(now)
	others := h.core.Links()
	h.announce()
	h.mu.Unlock()
	var calls sync.WaitGroup
	for _, id := range takers {
		if !slices.Contains(others, id) {
			others = append(others, id)
		}
	}
	for _, id := range others {
		calls.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, moveTimeout)
			defer cancel()
			if slices.Contains(takers, id) {
				h.give(ctx, id, families)
			}
			h.transfer(ctx, id)
			h.report(ctx, id)
		})
	}
	calls.Wait()
}

// give asks a shard for room and commits a transfer of what it has room for.
func (h *Holder) give(ctx context.Context, to string, families []string) {
	rooms, err := h.Others.FreeCapacity(ctx, to, h.Shard, families)
	if err != nil {
		return
	}
	h.mu.Lock()
	given := h.core.Give(to, rooms, time.Now())
	number := h.core.PendingBatch()
	h.announce()
	h.mu.Unlock()
	if given > 0 {
		_ = h.await(ctx, number)
	}
}

// transfer sends what is committed for a shard. Without an answer it is sent again later.
func (h *Holder) transfer(ctx context.Context, to string) {
	h.mu.Lock()
	t, ok := h.core.Outgoing(to)
	h.mu.Unlock()
	if !ok {
		return
	}
	t.Epoch = h.Epoch
	if err := h.Others.Transfer(ctx, to, t); err != nil {
		h.Log.Emit(eventlog.HandOverUnconfirmed, zap.String("shard", h.Shard), zap.String("to", to), zap.Error(err))
		return
	}
	h.mu.Lock()
	h.core.Confirmed(to, t)
	h.mu.Unlock()
	if moved := t.tasks(); moved > 0 {
		h.Log.Emit(eventlog.TasksHandedOver, zap.String("shard", h.Shard), zap.String("to", to),
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

// report tells a shard what has become of its tasks here. Without an answer it is told again later.
func (h *Holder) report(ctx context.Context, to string) {
	h.mu.Lock()
	r, ok := h.core.Report(to)
	h.mu.Unlock()
	if !ok || h.Others.Report(ctx, to, r) != nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.core.Reported(to, r)
	h.announce()
}

// Room tells another shard of which job families this one could take tasks.
func (h *Holder) Room(from string, families []string) ([]FreeCapacity, error) {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ended || !h.MayStart(now) {
		return nil, &NotLeaderError{Shard: h.Shard}
	}
	return h.core.Room(from, families, now), nil
}

// Transfer takes tasks from another shard once they are committed.
func (h *Holder) Transfer(ctx context.Context, t Transfer) error {
	return h.change(ctx, func(c *Core, now time.Time) error { return c.Accept(t, now) })
}

// Report takes what has become of tasks in another shard once their ends are committed.
func (h *Holder) Report(ctx context.Context, r Report) error {
	return h.change(ctx, func(c *Core, now time.Time) error { return c.Settle(r, now) })
}
