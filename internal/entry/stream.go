package entry

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/oriolepond/oriolepond/internal/attempt"
	"github.com/oriolepond/oriolepond/internal/exchange"
)

// streamBuffer is the maximum size of the pieces in which a stream is copied, in bytes.
const streamBuffer = 16 << 10

// stream makes attempts until one has returned a header, and then copies that response.
func (r *requestRun) stream(ctx context.Context, to Sink) error {
	filter := destinationFilter{}
	for n := 0; ; n++ {
		res, cut := r.streamOnce(ctx, filter, to, n > 0)
		if cut != nil || res.err == nil {
			return cut
		}
		result := r.recordOutcome(res.err)
		retry := n < r.request.Route.Retries && res.attempted && ctx.Err() == nil &&
			attempt.MayRetry(r.request.Route.Class, result) && r.service.spend()
		if !retry {
			return r.finalOutcome(res.err)
		}
		filter.excludeTarget, filter.excludePeer = res.target, res.target
	}
}

// streamOnce makes one attempt. A failure before the header is returned in the attemptResult, one
// after it as a *CutError.
func (r *requestRun) streamOnce(ctx context.Context, filter destinationFilter, to Sink, repeated bool) (attemptResult, error) {
	headerCtx, cancel := context.WithDeadline(ctx, r.request.Deadline)
	defer cancel()
	dest, outcome := r.acquire(headerCtx, filter)
	if outcome != nil {
		return attemptResult{err: outcome}, nil
	}
	if outcome := r.beginKey(headerCtx); outcome != nil {
		r.releaseUnused(dest)
		return attemptResult{err: outcome}, nil
	}
	if dest.peer.ID != "" {
		return r.streamForward(ctx, dest, filter, to, repeated)
	}
	reply, outcome := r.send(ctx, dest, repeated)
	if outcome != nil {
		return attemptResult{err: outcome, target: dest.slot.Target, attempted: true}, nil
	}
	defer reply.Close()
	r.reportResult(ctx, dest, reply.StatusCode, nil)
	if to.Slowed != nil && r.statsSnapshot().slowed {
		to.Slowed()
	}
	if err := to.Head(reply.StatusCode, forwardedHeader(reply.Header)); err != nil {
		return attemptResult{}, &CutError{Err: err}
	}
	if err := copyStream(to, reply); err != nil {
		return attemptResult{}, &CutError{Err: err}
	}
	return attemptResult{}, nil
}

// streamForward runs the stream at a peer. If the peer refuses it, streamOnce tries another
// destination.
func (r *requestRun) streamForward(ctx context.Context, dest destination, filter destinationFilter, to Sink, repeated bool) (attemptResult, error) {
	if dest.remote {
		r.dispatcher.countLinkSent(r.request)
		write := to.Write
		to.Write = func(piece []byte) error {
			r.dispatcher.countLinkReceived(r.request, len(piece))
			return write(piece)
		}
	}
	q := r.request
	q.MayQueue = dest.remote || r.dispatcher.Targets.Capacity(q.Service.Name) == 0
	forwardedTotal.Inc()
	to.Slowed = r.markSlowed
	err := dest.peer.Stream(ctx, q, to)
	r.recordPeerSlowed(Response{}, err)
	var cutError *CutError
	if err == nil || errors.As(err, &cutError) {
		return attemptResult{}, err
	}
	outcome := outcomeOf(err)
	if outcome.Outcome == NotRun && time.Now().Before(q.Deadline) {
		r.recordRefusal(dest, &filter)
		return r.streamOnce(ctx, filter, to, repeated)
	}
	return attemptResult{err: outcome, target: dest.peer.ID, attempted: true}, nil
}

// copyStream copies the body of a response to a Sink piece by piece.
func copyStream(to Sink, reply *exchange.Reply) error {
	buffer := make([]byte, streamBuffer)
	for {
		n, err := reply.Read(buffer)
		if n > 0 {
			if err := to.Write(buffer[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
