package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/oriolepond/oriolepond/internal/attempt"
)

// attemptResult is the result of one attempt.
type attemptResult struct {
	response Response
	err      *OutcomeError
	// target is the id of the target or the peer.
	target string
	// attempted is false if no destination was found, if a limit of this instance was reached, or if the
	// key by which repeats of the request are detected could not be recorded.
	attempted bool
}

// do makes attempts, in sequence or hedged, until one succeeds or no further one is allowed.
func (r *requestRun) do(ctx context.Context) (Response, error) {
	if r.request.Route.HedgeAfter <= 0 || !r.isIdempotent() {
		return r.attemptInSequence(ctx, destinationFilter{}, nil)
	}
	return r.hedged(ctx)
}

// attemptInSequence makes one attempt after the other. It calls onTarget, unless nil, with the id
// of each target before the attempt there.
func (r *requestRun) attemptInSequence(ctx context.Context, filter destinationFilter, onTarget func(string)) (Response, error) {
	var fallback *Response
	for n := 0; ; n++ {
		res := r.attemptOnce(ctx, filter, n > 0, onTarget)
		if res.err == nil && !r.worthRetrying(res.response) {
			return res.response, nil
		}
		result := attempt.Answered
		if res.err == nil {
			fallback = &res.response
		} else {
			result = r.recordOutcome(res.err)
		}
		retry := n < r.request.Route.Retries && res.attempted && ctx.Err() == nil &&
			(res.err == nil || attempt.MayRetry(r.request.Route.Class, result)) && r.service.spend()
		if retry {
			filter.excludeTarget, filter.excludePeer = res.target, res.target
			continue
		}
		if fallback != nil {
			return *fallback, nil
		}
		return Response{}, r.finalOutcome(res.err)
	}
}

// worthRetrying reports whether a response is a server error that another target might not return.
func (r *requestRun) worthRetrying(response Response) bool {
	return response.Status >= http.StatusInternalServerError && r.isIdempotent() && !r.request.Forwarded
}

// recordOutcome records that the request may have run, unless the outcome of the attempt is
// NotRun.
func (r *requestRun) recordOutcome(e *OutcomeError) attempt.Result {
	if e.Outcome == NotRun {
		return attempt.NotRun
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mayHaveRun = true
	return attempt.Unknown
}

// attemptOnce finds a destination and makes one attempt there. If a peer refuses the request, it
// tries another destination; the refusal does not count as an attempt.
func (r *requestRun) attemptOnce(ctx context.Context, filter destinationFilter, repeated bool, onTarget func(string)) attemptResult {
	dest, err := r.acquire(ctx, filter)
	if err != nil {
		return attemptResult{err: err}
	}
	if err := r.beginKey(ctx); err != nil {
		r.releaseUnused(dest)
		return attemptResult{err: err}
	}
	if dest.peer.ID != "" {
		response, err := r.forward(ctx, dest)
		if err != nil && err.Outcome == NotRun && ctx.Err() == nil {
			r.recordRefusal(dest, &filter)
			return r.attemptOnce(ctx, filter, repeated, onTarget)
		}
		r.dispatcher.Wake(r.request.Service.Name)
		return attemptResult{response: response, err: err, target: dest.peer.ID, attempted: true}
	}
	if onTarget != nil {
		onTarget(dest.slot.Target)
	}
	response, err := r.attemptLocal(ctx, dest, repeated)
	// Another target's answer would meet the same limit of this instance.
	attempted := err == nil || err.Cause != CauseRefusal
	return attemptResult{response: response, err: err, target: dest.slot.Target, attempted: attempted}
}

// maxPeerRefusals is the number of peers that may refuse a request before it is restricted to
// local targets.
const maxPeerRefusals = 4

// recordRefusal excludes a peer that refused the request from the next choice. After a refusal by
// a remote peer, or after maxPeerRefusals, it excludes all peers.
func (r *requestRun) recordRefusal(dest destination, filter *destinationFilter) {
	filter.refusals++
	filter.excludePeer = dest.peer.ID
	filter.localOnly = filter.localOnly || dest.remote || filter.refusals >= maxPeerRefusals
}

// releaseUnused releases the slot of a destination to which nothing was sent.
func (r *requestRun) releaseUnused(dest destination) {
	if dest.peer.ID == "" {
		r.dispatcher.release(r.service, dest, false)
	}
}

// forward runs the request at a peer.
func (r *requestRun) forward(ctx context.Context, dest destination) (Response, *OutcomeError) {
	if dest.remote {
		r.dispatcher.countLinkSent(r.request)
	}
	q := r.request
	q.MayQueue = dest.remote || r.dispatcher.Targets.Capacity(q.Service.Name) == 0
	forwardedTotal.Inc()
	response, err := dest.peer.Do(ctx, q)
	r.recordPeerSlowed(response, err)
	if dest.remote {
		r.dispatcher.countLinkReceived(r.request, len(response.Body)+requestOverheadBytes)
	}
	if err != nil {
		return Response{}, outcomeOf(err)
	}
	return response, nil
}

// hedged makes a second attempt if the first one takes longer than the route's HedgeAfter and the
// retry budget allows it. The first response wins and the other attempt is cancelled.
func (r *requestRun) hedged(ctx context.Context) (Response, error) {
	results := make(chan hedgeResult, 2)
	first, cancelFirst := context.WithCancelCause(ctx)
	defer cancelFirst(errLostToHedge)
	second, cancelSecond := context.WithCancel(ctx)
	defer cancelSecond()
	targets := make(chan string, 1+r.request.Route.Retries)
	go r.runHedgeSide(first, destinationFilter{}, func(target string) { targets <- target }, results)
	running, hedges := 1, 0
	timer := time.NewTimer(r.request.Route.HedgeAfter)
	defer timer.Stop()
	var failure error
	for running > 0 {
		select {
		case res := <-results:
			running--
			if res.err == nil {
				return res.response, nil
			}
			if failure == nil || res.first {
				failure = res.err
			}
		case <-timer.C:
			if hedges == 0 && r.service.spend() {
				hedges++
				running++
				filter := destinationFilter{noWait: true, excludeTarget: newestTarget(targets)}
				go r.runHedgeSide(second, filter, nil, results)
			}
		}
	}
	return Response{}, r.finalOutcome(outcomeOf(failure))
}

// hedgeResult is the result of one side of a hedged request: the original attempts or the hedge.
type hedgeResult struct {
	response Response
	err      error
	first    bool
}

// runHedgeSide makes the attempts of one side. Only the original side retries; the hedge is the
// side whose filter has noWait set.
func (r *requestRun) runHedgeSide(ctx context.Context, filter destinationFilter, onTarget func(string), results chan<- hedgeResult) {
	if !filter.noWait {
		response, err := r.attemptInSequence(ctx, filter, onTarget)
		results <- hedgeResult{response: response, err: err, first: true}
		return
	}
	res := r.attemptOnce(ctx, filter, true, nil)
	if res.err != nil {
		r.recordOutcome(res.err)
		results <- hedgeResult{err: res.err}
		return
	}
	results <- hedgeResult{response: res.response}
}

// newestTarget drains a channel and returns its last value, or "" if it was empty.
func newestTarget(targets <-chan string) string {
	last := ""
	for {
		select {
		case last = <-targets:
		default:
			return last
		}
	}
}
