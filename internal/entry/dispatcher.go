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

// Dispatcher runs requests on runners, here or through a peer. Its fields are
// set before the first request; each function may be nil.
type Dispatcher struct {
	Targets  *target.Table
	Exchange *exchange.Pool
	// QueuedPerTarget bounds the waiting requests of a service, for each of its targets.
	QueuedPerTarget int
	// WeightOf returns the weight of a neighbour's waiting requests.
	WeightOf func(neighbour string) int
	// IdlePeer returns a peer of this region with idle slots of the service, other than exclude.
	IdlePeer func(service, exclude string) (Peer, bool)
	// AnyPeer returns a peer of this region that holds slots of the service, idle or not.
	AnyPeer func(service, exclude string) (Peer, bool)
	// RemotePeer returns a peer of another region with idle slots of the service.
	RemotePeer func(service string) (Peer, bool)
	// Link bounds and accounts what goes to the other region.
	Link *link.Link
	// OnLinkBytes is told the bytes that a request of a neighbour took on the link, and the share of its service; nil means nobody asks.
	OnLinkBytes func(neighbour, share string, bytes int64)
	// Keys remembers the keys of non-idempotent requests.
	Keys *Keys
	// StreamContext returns the context of a stream, which may end it early.
	StreamContext func(ctx context.Context) (context.Context, context.CancelFunc)
	// Log takes events; nil means that nobody reads them.
	Log *eventlog.Log
	// OnSample takes the end of each caller's request.
	OnSample func(Sample)
	// Slowed reports whether batch work slows a target now.
	Slowed func(target string) bool

	mu      sync.Mutex
	lanes   map[string]*lane
	running atomic.Int64
}

// Do runs a request and returns its whole answer. The error is an *OutcomeError.
func (d *Dispatcher) Do(ctx context.Context, q Request) (Response, error) {
	d.running.Add(1)
	defer d.running.Add(-1)
	ctx, cancel := context.WithDeadline(ctx, q.Deadline)
	defer cancel()
	r := &run{dispatcher: d, lane: d.lane(q.Service.Name), request: q, trip: trip{begun: time.Now()}}
	r.lane.earn()
	a, err := r.whole(ctx)
	r.finishKey(err)
	t := r.tripSoFar()
	d.record(q, t, a.Status, err)
	a.Slowed = t.slowed
	return a, t.tell(err)
}

// Stream runs a request and passes its answer on as it comes. An error before
// the head is an *OutcomeError, one after it a *CutError.
func (d *Dispatcher) Stream(ctx context.Context, q Request, to Sink) error {
	d.running.Add(1)
	defer d.running.Add(-1)
	r := &run{dispatcher: d, lane: d.lane(q.Service.Name), request: q, trip: trip{begun: time.Now()}}
	r.lane.earn()
	status := 0
	head := to.Head
	to.Head = func(s int, h http.Header) error {
		status = s
		d.record(q, r.tripSoFar(), s, nil)
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
	t := r.tripSoFar()
	d.record(q, t, 0, err)
	return t.tell(err)
}

// drainPoll is how often a planned stop looks for requests in flight.
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

// run is one request on its way.
type run struct {
	dispatcher *Dispatcher
	lane       *lane
	request    Request

	mu   sync.Mutex
	trip trip
	// mayHaveRun is set once an attempt ended without a certain outcome.
	mayHaveRun bool
	begun      bool
}

// tripSoFar returns a copy of what is known of the request's way.
func (r *run) tripSoFar() trip {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.trip
}

// beginKey marks the request's key as started, once.
func (r *run) beginKey(ctx context.Context) *OutcomeError {
	key, needed := r.dispatcher.keyOf(r.request)
	if !needed || r.begun {
		return nil
	}
	err := r.dispatcher.Keys.Begin(ctx, key)
	var taken *KeyTakenError
	switch {
	case err == nil:
		r.begun = true
		return nil
	case errors.As(err, &taken):
		r.mayHaveRun = true
		return unknown(http.StatusConflict, "a request with this key may have run").WithCause(CauseCaller)
	}
	return notRun(http.StatusServiceUnavailable, "the key cannot be remembered now: %v", err).
		WithRetryAfter(minRetryAfter).WithCause(CauseRefusal)
}

// finishKey tells how a request that began its key has ended.
func (r *run) finishKey(err error) {
	if !r.begun || r.dispatcher.Keys.Finish == nil {
		return
	}
	key, _ := r.dispatcher.keyOf(r.request)
	var outcome *OutcomeError
	var cut *CutError
	switch {
	case errors.As(err, &outcome):
		r.dispatcher.Keys.Finish(key, outcome.Outcome)
	case errors.As(err, &cut):
		r.dispatcher.Keys.Finish(key, Unknown)
	default:
		r.dispatcher.Keys.Finish(key, "")
	}
}

// seek finds a place for the next attempt and counts the time that it took.
func (r *run) seek(ctx context.Context, s search) (place, *OutcomeError) {
	begun := time.Now()
	p, err := r.dispatcher.acquire(ctx, r.lane, r.request, s)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.trip.queued += time.Since(begun)
	if err == nil {
		r.trip.attempts++
	}
	return p, err
}

// isSafe reports whether the request may run more than once.
func (r *run) isSafe() bool { return r.request.Route.Class == release.Idempotent }

// certain returns an error that holds for all attempts of the request.
func (r *run) certain(e *OutcomeError) *OutcomeError {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e.Outcome == NotRun && r.mayHaveRun {
		e.Outcome = Unknown
		return e
	}
	return e
}
