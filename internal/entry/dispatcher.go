package entry

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oriolepond/oriolepond/internal/eventlog"
	"github.com/oriolepond/oriolepond/internal/exchange"
	"github.com/oriolepond/oriolepond/internal/link"
	"github.com/oriolepond/oriolepond/internal/target"
	"github.com/oriolepond/oriolepond/pkg/release"
)

// Dispatcher sends requests to runners, directly or through a peer. Its fields are set before the
// first request; each function may be nil.
type Dispatcher struct {
	Targets  *target.Table
	Exchange *exchange.Pool
	// QueuedPerTarget, times the number of a service's targets, limits the service's waiting requests.
	QueuedPerTarget int
	// WeightOf returns the weight of a neighbour in the fair queue of waiting requests.
	WeightOf func(neighbour string) int
	// IdlePeer returns a peer of this region, other than exclude, that has idle slots of the service.
	IdlePeer func(service, exclude string) (Peer, bool)
	// AnyPeer returns a peer of this region, other than exclude, that has slots of the service, idle
	// or not.
	AnyPeer func(service, exclude string) (Peer, bool)
	// RemotePeer returns a peer of another region that has idle slots of the service.
	RemotePeer func(service string) (Peer, bool)
	// Link limits and counts the traffic to the other region.
	Link *link.Link
	// OnLinkBytes is called with the number of bytes that a request used on the link, its neighbour
	// and the share of its service.
	OnLinkBytes func(neighbour, share string, bytes int64)
	// Keys records the keys of non-idempotent requests, so that a repeat does not run.
	Keys *Keys
	// StreamContext derives the context of a stream, by which the stream can be ended early.
	StreamContext func(ctx context.Context) (context.Context, context.CancelFunc)
	// Log receives events; nil discards them.
	Log *eventlog.Log
	// OnSample is called once for each caller's request: at its end, or when the header of a stream is
	// delivered.
	OnSample func(Sample)
	// Slowed reports whether batch work currently slows a target.
	Slowed func(target string) bool

	mu       sync.Mutex
	services map[string]*serviceState
	running  atomic.Int64
}

// Do runs a request and returns its complete response. The error is an *OutcomeError.
func (d *Dispatcher) Do(ctx context.Context, q Request) (Response, error) {
	d.running.Add(1)
	defer d.running.Add(-1)
	ctx, cancel := context.WithDeadline(ctx, q.Deadline)
	defer cancel()
	r := &requestRun{dispatcher: d, service: d.serviceState(q.Service.Name), request: q, stats: requestStats{start: time.Now()}}
	r.service.earn()
	response, err := r.do(ctx)
	r.finishKey(err)
	stats := r.statsSnapshot()
	d.record(q, stats, response.Status, err)
	response.Slowed = stats.slowed
	return response, stats.withSlowed(err)
}

// Stream runs a request and delivers its response piece by piece. An error before the header is an
// *OutcomeError, one after it a *CutError.
func (d *Dispatcher) Stream(ctx context.Context, q Request, to Sink) error {
	d.running.Add(1)
	defer d.running.Add(-1)
	r := &requestRun{dispatcher: d, service: d.serviceState(q.Service.Name), request: q, stats: requestStats{start: time.Now()}}
	r.service.earn()
	status := 0
	head := to.Head
	to.Head = func(s int, h http.Header) error {
		status = s
		d.record(q, r.statsSnapshot(), s, nil)
		return head(s, h)
	}
	if d.StreamContext != nil {
		var cancel context.CancelFunc
		ctx, cancel = d.StreamContext(ctx)
		defer cancel()
	}
	err := r.stream(ctx, to)
	r.finishKey(err)
	if status != 0 {
		return err
	}
	stats := r.statsSnapshot()
	d.record(q, stats, 0, err)
	return stats.withSlowed(err)
}

// drainPoll is the interval at which Drain checks for requests in flight.
const drainPoll = 50 * time.Millisecond

// Drain waits until no request runs and every attempt has ended at its target.
func (d *Dispatcher) Drain(ctx context.Context) error {
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for d.running.Load() > 0 || d.Targets.InFlight() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

// requestRun is the state of one request while it is dispatched.
type requestRun struct {
	dispatcher *Dispatcher
	service    *serviceState
	request    Request

	mu    sync.Mutex
	stats requestStats
	// mayHaveRun is set once an attempt has ended with the outcome Unknown.
	mayHaveRun bool
	// keyBegun is set once Keys.Begin has recorded the key for this request.
	keyBegun bool
}

// statsSnapshot returns a copy of the statistics collected so far.
func (r *requestRun) statsSnapshot() requestStats {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stats
}

// beginKey records the key of the request with Keys.Begin before the first attempt, so that a
// repeat of the request does not run. It does nothing if the request needs no key or has already
// recorded it.
func (r *requestRun) beginKey(ctx context.Context) *OutcomeError {
	key, needed := r.dispatcher.keyOf(r.request)
	if !needed || r.keyBegun {
		return nil
	}
	err := r.dispatcher.Keys.Begin(ctx, key)
	var taken *KeyTakenError
	switch {
	case err == nil:
		r.keyBegun = true
		return nil
	case errors.As(err, &taken):
		r.mayHaveRun = true
		return unknown(http.StatusConflict, "a request with this key may have run").WithCause(CauseCaller)
	}
	return notRun(http.StatusServiceUnavailable, "the key cannot be remembered now: %v", err).
		WithRetryAfter(minRetryAfter).WithCause(CauseRefusal)
}

// finishKey reports to Keys.Finish how the request ended, unless beginKey recorded no key.
func (r *requestRun) finishKey(err error) {
	if !r.keyBegun || r.dispatcher.Keys.Finish == nil {
		return
	}
	key, _ := r.dispatcher.keyOf(r.request)
	var outcome *OutcomeError
	var cutError *CutError
	switch {
	case errors.As(err, &outcome):
		r.dispatcher.Keys.Finish(key, outcome.Outcome)
	case errors.As(err, &cutError):
		r.dispatcher.Keys.Finish(key, Unknown)
	default:
		r.dispatcher.Keys.Finish(key, "")
	}
}

// acquire finds the destination of the next attempt. It adds the time that this took to the
// queueing time.
func (r *requestRun) acquire(ctx context.Context, filter destinationFilter) (destination, *OutcomeError) {
	start := time.Now()
	dest, err := r.dispatcher.acquire(ctx, r.service, r.request, filter)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stats.queued += time.Since(start)
	if err == nil {
		r.stats.attempts++
	}
	return dest, err
}

// isIdempotent reports whether the request may run more than once.
func (r *requestRun) isIdempotent() bool { return r.request.Route.Class == release.Idempotent }

// finalOutcome returns the error of the last attempt as the outcome of the whole request: NotRun
// becomes Unknown if an earlier attempt may have run.
func (r *requestRun) finalOutcome(e *OutcomeError) *OutcomeError {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e.Outcome == NotRun && r.mayHaveRun {
		e.Outcome = Unknown
		return e
	}
	return e
}
