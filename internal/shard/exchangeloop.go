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
// longer listed. l.mu must be held.
func (l *Leader) reconcile(ctx context.Context) {
	workers := l.core.Workers()
	for id, stop := range l.stopExchange {
		if _, ok := workers[id]; !ok {
			stop()
			delete(l.stopExchange, id)
			delete(l.wakeExchange, id)
		}
	}
	for id := range workers {
		if _, ok := l.stopExchange[id]; ok {
			continue
		}
		running, stop := context.WithCancel(ctx)
		wake := make(chan struct{}, 1)
		l.stopExchange[id] = stop
		l.wakeExchange[id] = wake
		l.loops.Go(func() { l.exchangeLoop(running, id, wake) })
	}
}

// wake makes the next exchange with a worker begin at once. l.mu must be held.
func (l *Leader) wake(id string) {
	if ch, ok := l.wakeExchange[id]; ok {
		select {
		case ch <- struct{}{}:
		default:
		}
	}
}

// exchangeLoop makes exchanges with one worker until the context ends. Each worker has a loop of
// its own, so a slow or failed worker delays no other.
func (l *Leader) exchangeLoop(ctx context.Context, id string, wake chan struct{}) {
	first := time.Duration(rand.Int64N(int64(l.Interval)))
	timer := time.NewTimer(min(first, commitInterval))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-wake:
		case <-timer.C:
		}
		again := l.exchange(ctx, id)
		wait := jitter(l.exchangeInterval(id))
		if again {
			wait = 0
		}
		timer.Reset(wait)
	}
}

// exchangeInterval returns how long to wait before the next exchange with a worker.
func (l *Leader) exchangeInterval(id string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.core.ExchangeInterval(id, l.Interval, time.Now())
}

// jitter varies an interval at random, so that the exchanges with many workers don't coincide.
func jitter(interval time.Duration) time.Duration {
	return time.Duration(float64(interval) * (1 - intervalJitter + 2*intervalJitter*rand.Float64()))
}

// exchange makes one exchange with a worker. It returns true if the next one should follow at once,
// because the worker has restarted since the last one or was contacted for the first time.
func (l *Leader) exchange(ctx context.Context, id string) bool {
	now := time.Now()
	if !l.MayRenew(now) {
		return false
	}
	l.mu.Lock()
	e, ok := l.core.NextExchange(id, l.MayStart(now), now)
	address := l.core.Address(id)
	l.mu.Unlock()
	if !ok || address == "" {
		return false
	}
	e.Leader = l.ID
	e.Epoch = l.Epoch
	report, err := l.Workers.Exchange(ctx, address, e)
	if err != nil {
		l.exchangeFailed(ctx, id, err)
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.core.ApplyReport(report, time.Now())
	l.logNotices()
	l.signalPlan()
	return e.Boot != report.Boot
}

// exchangeFailed handles the failure of an exchange. If the worker has seen a higher epoch, another
// instance has taken over the shard, and this leader stops.
func (l *Leader) exchangeFailed(ctx context.Context, id string, err error) {
	var fenced *worker.EpochError
	switch {
	case ctx.Err() != nil:
	case errors.As(err, &fenced) && fenced.Seen > l.Epoch:
		l.Log.Emit(eventlog.ShardLost, zap.String("shard", l.Shard), zap.Error(err))
		l.stopLeading()
	case !errors.As(err, &fenced):
		l.Log.Emit(eventlog.WorkerUnresponsive, zap.String("worker", id), zap.Error(err))
	}
}
