package scheduler

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// minRetryAfter and maxRetryAfter bound when callers are told to retry while the store is away,
	// the latter without the random share.
	minRetryAfter = time.Second
	maxRetryAfter = 10 * time.Second
	// outageGap is the time between two failures after which the second belongs to another outage:
	// a node calls the store for submissions only while there is no leader that accepts them.
	outageGap = 5 * time.Second
)

// storeOutage is what a node knows about the time for which the store has not served it.
type storeOutage struct {
	mu sync.Mutex
	// since is when the first call failed and lastFailure when the last one did; zero if a call has
	// succeeded since.
	since, lastFailure time.Time
}

// observe records the result of a call to the store.
func (o *storeOutage) observe(err error, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if err == nil {
		o.since, o.lastFailure = time.Time{}, time.Time{}
		return
	}
	if now.Sub(o.lastFailure) >= outageGap {
		o.since = now
	}
	o.lastFailure = now
}

// retryAfter returns when a caller that waits for the given time in all should retry.
func (o *storeOutage) retryAfter(now time.Time, remaining time.Duration) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	var away time.Duration
	if !o.since.IsZero() {
		away = now.Sub(o.since)
	}
	return retryDelay(away, remaining, rand.Float64())
}

// retryDelay returns in how many whole seconds a caller should retry if the store has been away for
// some time: after half of that time, since long outages tend to last, with up to half as much again by
// a random share, so that callers do not return together, and in the first half of the caller's
// remaining time unless that is less than two seconds.
func retryDelay(away, remaining time.Duration, share float64) time.Duration {
	delay := min(away/2, remaining/3, maxRetryAfter)
	delay += time.Duration(share * float64(delay) / 2)
	return max(minRetryAfter, delay.Round(time.Second))
}
