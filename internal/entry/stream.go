package entry

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/oriolepond/oriolepond/internal/attempt"
	"github.com/oriolepond/oriolepond/internal/exchange"
)

// streamBuffer is the size of the pieces in which a stream is passed on.
const streamBuffer = 16 << 10

// stream makes attempts until one has a head, and passes that answer on.
func (r *requestRun) stream(ctx context.Context, to Sink) error {
	filter := destinationFilter{}
	for n := 0; ; n++ {
		t, done := r.streamOnce(ctx, filter, to, n > 0)
		if done != nil || t.err == nil {
			return done
		}
		result := r.recordOutcome(t.err)
		again := n < r.request.Route.Retries && t.attempted && ctx.Err() == nil &&
			attempt.MayRetry(r.request.Route.Class, result) && r.service.spend()
		if !again {
			return r.finalOutcome(t.err)
		}
		filter.excludeTarget, filter.excludePeer = t.target, t.target
	}
}

// streamOnce makes one attempt. An error of the try came before the head, the other one after it.
func (r *requestRun) streamOnce(ctx context.Context, filter destinationFilter, to Sink, repeated bool) (attemptResult, error) {
	waiting, cancel := context.WithDeadline(ctx, r.request.Deadline)
	defer cancel()
	dest, refused := r.acquire(waiting, filter)
	if refused != nil {
		return attemptResult{err: refused}, nil
	}
	if refused := r.beginKey(waiting); refused != nil {
		r.releaseUnused(dest)
		return attemptResult{err: refused}, nil
	}
	if dest.peer.ID != "" {
		return r.streamForward(ctx, dest, filter, to, repeated)
	}
	reply, refused := r.send(ctx, dest, repeated)
	if refused != nil {
		return attemptResult{err: refused, target: dest.slot.Target, attempted: true}, nil
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

// streamForward runs the stream at a peer; if that refuses, here.
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
	r.recordPeerSlowed(Answer{}, err)
	var cut *CutError
	if err == nil || errors.As(err, &cut) {
		return attemptResult{}, err
	}
	outcome := outcomeOf(err)
	if outcome.Outcome == NotRun && time.Now().Before(q.Deadline) {
		r.recordRefusal(dest, &filter)
		return r.streamOnce(ctx, filter, to, repeated)
	}
	return attemptResult{err: outcome, target: dest.peer.ID, attempted: true}, nil
}

// copyStream copies a stream piece by piece.
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
