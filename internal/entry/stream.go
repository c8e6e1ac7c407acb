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
func (r *run) stream(ctx context.Context, to Sink) error {
	s := search{}
	for n := 0; ; n++ {
		t, done := r.streamOnce(ctx, s, to, n > 0)
		if done != nil || t.err == nil {
			return done
		}
		result := r.note(t.err)
		again := n < r.request.Route.Retries && t.attempt && ctx.Err() == nil &&
			attempt.MayRepeat(r.request.Route.Class, result) && r.lane.spend()
		if !again {
			return r.certain(t.err)
		}
		s.exclude, s.excludePeer = t.target, t.target
	}
}

// streamOnce makes one attempt. An error of the try came before the head, the other one after it.
func (r *run) streamOnce(ctx context.Context, s search, to Sink, repeated bool) (try, error) {
	waiting, cancel := context.WithDeadline(ctx, r.request.Deadline)
	defer cancel()
	p, refused := r.seek(waiting, s)
	if refused != nil {
		return try{err: refused}, nil
	}
	if refused := r.beginKey(waiting); refused != nil {
		r.drop(p)
		return try{err: refused}, nil
	}
	if p.peer.ID != "" {
		return r.streamForward(ctx, p, s, to, repeated)
	}
	reply, refused := r.send(ctx, p, repeated)
	if refused != nil {
		return try{err: refused, target: p.slot.Target, attempt: true}, nil
	}
	defer reply.Close()
	r.judge(ctx, p, reply.StatusCode, nil)
	if to.Slowed != nil && r.tripSoFar().slowed {
		to.Slowed()
	}
	if err := to.Head(reply.StatusCode, passedOn(reply.Header)); err != nil {
		return try{}, &CutError{Err: err}
	}
	if err := pass(to, reply); err != nil {
		return try{}, &CutError{Err: err}
	}
	return try{}, nil
}

// streamForward runs the stream at a peer; if that refuses, here.
func (r *run) streamForward(ctx context.Context, p place, s search, to Sink, repeated bool) (try, error) {
	if p.remote {
		r.dispatcher.linkOut(r.request)
		write := to.Write
		to.Write = func(piece []byte) error {
			r.dispatcher.linkIn(r.request, len(piece))
			return write(piece)
		}
	}
	q := r.request
	q.MayQueue = p.remote || r.dispatcher.Targets.Capacity(q.Service.Name) == 0
	forwardedTotal.Inc()
	to.Slowed = r.triedSlowed
	err := p.peer.Stream(ctx, q, to)
	r.heardSlowed(Response{}, err)
	var cut *CutError
	if err == nil || errors.As(err, &cut) {
		return try{}, err
	}
	outcome := outcomeOf(err)
	if outcome.Outcome == NotRun && time.Now().Before(q.Deadline) {
		r.refusedBy(p, &s)
		return r.streamOnce(ctx, s, to, repeated)
	}
	return try{err: outcome, target: p.peer.ID, attempt: true}, nil
}

// pass copies a stream piece by piece.
func pass(to Sink, reply *exchange.Reply) error {
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
