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

// reconcile starts an exchange loop for each new worker and stops those of workers that are no
// longer listed. h.mu must be held.
func (h *Leader) reconcile(ctx context.Context) {
	workers := h.core.Workers()
	for id, stop := range h.stopExchange {
		if _, ok := workers[id]; !ok {
			stop()
			delete(h.stopExchange, id)
			delete(h.wakeExchange, id)
		}
	}
	for id := range workers {
		if _, ok := h.stopExchange[id]; ok {
			continue
		}
		running, stop := context.WithCancel(ctx)
		wake := make(chan struct{}, 1)
		h.stopExchange[id] = stop
		h.wakeExchange[id] = wake
		h.loops.Go(func() { h.exchangeLoop(running, id, wake) })
	}
}

// wake makes the next exchange with a worker begin at once. h.mu must be held.
func (h *Leader) wake(id string) {
	if ch, ok := h.wakeExchange[id]; ok {
		select {
		case ch <- struct{}{}:
		default:
		}
	}
}

// exchangeLoop makes exchanges with one worker until the context ends. Each worker has a loop of
// its own, so a slow or failed worker delays no other.
func (h *Leader) exchangeLoop(ctx context.Context, id string, wake chan struct{}) {
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
		wait := jitter(h.exchangeInterval(id))
		if again {
			wait = 0
		}
		timer.Reset(wait)
	}
}

// exchangeInterval returns how long to wait before the next exchange with a worker.
func (h *Leader) exchangeInterval(id string) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.core.ExchangeInterval(id, h.Interval, time.Now())
}

// jitter varies an interval at random, so that the exchanges with many workers don't coincide.
func jitter(interval time.Duration) time.Duration {
	return time.Duration(float64(interval) * (1 - intervalJitter + 2*intervalJitter*rand.Float64()))
}

// exchange makes one exchange with a worker. It returns true if the worker has restarted since the
// last one, or was contacted for the first time, and the next exchange should follow at once.
func (h *Leader) exchange(ctx context.Context, id string) bool {
	now := time.Now()
	if !h.MayRenew(now) {
		return false
	}
	h.mu.Lock()
	e, ok := h.core.NextExchange(id, h.MayStart(now), now)
	address := h.core.Address(id)
	h.mu.Unlock()
	if !ok || address == "" {
		return false
	}
	e.Holder = h.ID
	e.Epoch = h.Epoch
	report, err := h.Workers.Exchange(ctx, address, e)
	if err != nil {
		h.exchangeFailed(ctx, id, err)
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.core.ApplyReport(report, time.Now())
	h.logNotices()
	h.signalPlan()
	return e.Boot != report.Boot
}

// exchangeFailed handles the failure of an exchange. If the worker has seen a higher epoch, another
// instance has taken over the shard, and this leader stops.
func (h *Leader) exchangeFailed(ctx context.Context, id string, err error) {
	var fenced *worker.EpochError
	switch {
	case ctx.Err() != nil:
	case errors.As(err, &fenced) && fenced.Seen > h.Epoch:
		h.Log.Emit(eventlog.ShardLost, zap.String("shard", h.Shard), zap.Error(err))
		h.stopLeading()
	case !errors.As(err, &fenced):
		h.Log.Emit(eventlog.WorkerSilent, zap.String("worker", id), zap.Error(err))
	}
}
