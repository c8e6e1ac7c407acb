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

// wake lets the next exchange with a worker begin at once; h.mu is held.
func (h *Leader) wake(id string) {
	if ch, ok := h.wakeExchange[id]; ok {
		select {
		case ch <- struct{}{}:
		default:
		}
	}
}

// exchangeLoop makes one exchange with a worker after the other. A worker that is
// slow or dead delays only itself.
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

// exchangeInterval returns how soon a worker is to be spoken to again.
func (h *Leader) exchangeInterval(id string) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.core.ExchangeInterval(id, h.Interval, time.Now())
}

// jitter returns a time about a pace, so that the exchanges with many workers do not fall together.
func jitter(interval time.Duration) time.Duration {
	return time.Duration(float64(interval) * (1 - intervalJitter + 2*intervalJitter*rand.Float64()))
}

// exchange makes one exchange and reports whether the next is to follow at once.
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

// exchangeFailed takes the failure of an exchange. A worker that has seen a higher
// epoch shows that the shard is lost.
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
