package shard

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/oriolepond/oriolepond/internal/eventlog"
	"github.com/oriolepond/oriolepond/internal/worker"
)

// reconcile starts and ends the loops that speak to workers; h.mu is held.
func (h *Holder) reconcile(ctx context.Context) {
	workers := h.core.Workers()
	for id, stop := range h.stops {
		if _, ok := workers[id]; !ok {
			stop()
			delete(h.stops, id)
			delete(h.wakes, id)
		}
	}
	for id := range workers {
		if _, ok := h.stops[id]; ok {
			continue
		}
		running, stop := context.WithCancel(ctx)
		wake := make(chan struct{}, 1)
		h.stops[id] = stop
		h.wakes[id] = wake
		h.loops.Go(func() { h.speak(running, id, wake) })
	}
}

// wake lets the next exchange with a worker begin at once; h.mu is held.
func (h *Holder) wake(id string) {
	if ch, ok := h.wakes[id]; ok {
		select {
		case ch <- struct{}{}:
		default:
		}
	}
}

// speak makes one exchange with a worker after the other. A worker that is
// slow or dead delays only itself.
func (h *Holder) speak(ctx context.Context, id string, wake chan struct{}) {
	first := time.Duration(rand.Int64N(int64(h.Interval)))
	timer := time.NewTimer(min(first, commitInterval))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-wake:
		case <-timer.C:
		}
		again := h.exchange(ctx, id)
		wait := spread(h.pace(id))
		if again {
			wait = 0
		}
		timer.Reset(wait)
	}
}

// pace returns how soon a worker is to be spoken to again.
func (h *Holder) pace(id string) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.core.Pace(id, h.Interval, time.Now())
}

// spread returns a time about a pace, so that the exchanges with many workers do not fall together.
func spread(pace time.Duration) time.Duration {
	return time.Duration(float64(pace) * (1 - paceSpread + 2*paceSpread*rand.Float64()))
}

// exchange makes one exchange and reports whether the next is to follow at once.
func (h *Holder) exchange(ctx context.Context, id string) bool {
	now := time.Now()
	if !h.MayRenew(now) {
		return false
	}
	h.mu.Lock()
	e, ok := h.core.Exchange(id, h.MayStart(now), now)
	address := h.core.Address(id)
	h.mu.Unlock()
	if !ok || address == "" {
		return false
	}
	e.Leader = h.ID
	e.Epoch = h.Epoch
	report, err := h.Workers.Exchange(ctx, address, e)
	if err != nil {
		h.unanswered(ctx, id, err)
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.core.Observe(report, time.Now())
	h.tell()
	h.announce()
	return e.Boot != report.Boot
}

// unanswered takes the failure of an exchange. A worker that has seen a higher
// epoch shows that the shard is lost.
func (h *Holder) unanswered(ctx context.Context, id string, err error) {
	var fenced *worker.EpochError
	switch {
	case ctx.Err() != nil:
	case errors.As(err, &fenced) && fenced.Seen > h.Epoch:
		h.Log.Emit(eventlog.ShardLost, zap.String("shard", h.Shard), zap.Error(err))
		h.lost()
	case !errors.As(err, &fenced):
		h.Log.Emit(eventlog.WorkerUnresponsive, zap.String("worker", id), zap.Error(err))
	}
}
