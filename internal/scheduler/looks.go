package scheduler

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/oriolepond/oriolepond/internal/batch"
	"github.com/oriolepond/oriolepond/internal/eventlog"
)

// looker keeps looking at one worker while that has anything to look at.
type looker struct {
	kick chan struct{}
	// single is true while a look besides the regular one is under way.
	single bool
}

const (
	// lookWait is how long a worker may wait for an end before it answers: a part of the lease.
	lookWait = 1500 * time.Millisecond
	// soonWait is the same for a worker whose serving tasks are near their targets:
	// it measures them over half a second.
	soonWait = 400 * time.Millisecond
	// lookPause is the wait after a look that failed.
	lookPause = 250 * time.Millisecond
	// settleTimeout is how long a look waits for the commit of ends that were listed.
	settleTimeout = 300 * time.Millisecond
)

// syncLookers starts a looker for each worker that has none.
func (h *Holder) syncLookers() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, id := range h.core.WorkerIDs() {
		if h.lookers[id] != nil {
			continue
		}
		l := &looker{kick: make(chan struct{}, 1)}
		h.lookers[id] = l
		h.spawn(id, l)
	}
}

// wake lets a worker's looker go on.
func (h *Holder) wake(id string) {
	h.mu.Lock()
	l := h.lookers[id]
	h.mu.Unlock()
	if l != nil {
		h.kick(l.kick)
	}
}

// startLooker looks at a worker until the term ends or the worker is forgotten.
func (h *Holder) startLooker(ctx context.Context, id string, l *looker) {
	h.spawnGuarded("look", func() {
		for ctx.Err() == nil {
			if !h.lookTurn(ctx, id, l) {
				return
			}
		}
	})
}

// lookTurn makes one look, or waits until one is needed. It reports whether the worker is still known.
func (h *Holder) lookTurn(ctx context.Context, id string, l *looker) bool {
	h.mu.Lock()
	known, needed, settled := h.core.HasWorker(id), h.core.NeedsPoll(id), h.core.IsSettled(id)
	if !known {
		delete(h.lookers, id)
	}
	h.mu.Unlock()
	switch {
	case !known:
		return false
	case !needed:
		h.pause(ctx, l, lookWait)
		return true
	case !settled:
		h.settle(ctx, id, l)
	}
	waited, answered := h.look(ctx, id)
	switch {
	case !answered:
		h.pause(ctx, l, lookPause)
	case !waited:
		h.pauseFor(ctx, repeatPause)
	}
	return true
}

// repeatPause spaces looks that do not wait for an end, while a run is unclear.
const repeatPause = 100 * time.Millisecond

// pauseFor waits for a time.
func (h *Holder) pauseFor(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// settle waits until the ends that a worker has listed are durable.
func (h *Holder) settle(ctx context.Context, id string, l *looker) {
	timeout := time.NewTimer(settleTimeout)
	defer timeout.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timeout.C:
			return
		case <-l.kick:
		}
		h.mu.Lock()
		settled := h.core.IsSettled(id)
		h.mu.Unlock()
		if settled {
			return
		}
	}
}

// pause waits until the looker is woken or a time has passed.
func (h *Holder) pause(ctx context.Context, l *looker, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-l.kick:
	case <-t.C:
	}
}

// lookNow looks at a worker besides the regular looks.
func (h *Holder) lookNow(ctx context.Context, id string) {
	h.mu.Lock()
	l := h.lookers[id]
	if l == nil || l.single {
		h.mu.Unlock()
		return
	}
	l.single = true
	h.mu.Unlock()
	h.spawnGuarded("look", func() {
		h.look(ctx, id)
		h.locked(func() { l.single = false })
		h.kick(l.kick)
	})
}

// look makes one look, and reports whether the worker might wait for an end, and whether it answered.
func (h *Holder) look(ctx context.Context, id string) (waited, answered bool) {
	sent := h.Now()
	if sent.After(h.graceEnds()) {
		return false, false
	}
	h.mu.Lock()
	l, ok := h.core.BeginPoll(id, sent)
	h.mu.Unlock()
	if !ok {
		return false, false
	}
	var wait time.Duration
	switch {
	case l.Soon:
		wait = soonWait
	case l.Wait:
		wait = lookWait
	}
	call, cancel := context.WithTimeout(ctx, h.patience.of(l.DataCentre)+wait)
	defer cancel()
	var report batch.Report
	var err error
	if h.fails(id, func() { report, err = h.Workers.Poll(call, l, wait, h.Token) }) {
		err = &PollError{Worker: id, Answer: batch.AnswerNone}
	}
	if ctx.Err() != nil {
		return false, false
	}
	got := h.Now()
	h.Meter.Look(got.Sub(sent))
	answer, refused := batch.AnswerNone, false
	var failed *PollError
	if errors.As(err, &failed) {
		answer, refused = failed.Answer, failed.Refused
	}
	fenced := false
	h.locked(func() {
		if err == nil {
			h.core.ApplyReport(id, report, sent, got)
		} else {
			h.core.PollFailed(id, answer, refused, sent, got)
		}
		h.fenced = h.fenced || answer == batch.AnswerFenced
		fenced = h.fenced
	})
	if fenced {
		h.lose("worker " + id + " has heard a newer holder")
	}
	h.kick(h.plan)
	return l.Wait, err == nil
}

// send carries out one order.
func (h *Holder) send(ctx context.Context, o batch.Command) {
	h.spawnGuarded("order", func() {
		if o.Kind == batch.CommandStart {
			// Stops and paces relieve a worker, and never wait behind starts.
			select {
			case h.orders <- struct{}{}:
			case <-ctx.Done():
				return
			}
			defer func() { <-h.orders }()
		}
		sent := h.Now()
		if o.Kind == batch.CommandStart && !h.holds(sent) {
			h.locked(func() { h.core.WithdrawStart(o, sent) })
			return
		}
		var call batch.Call
		var ok bool
		h.locked(func() { call, ok = h.core.PrepareCall(o, sent) })
		if !ok {
			return
		}
		bounded, cancel := context.WithTimeout(ctx, h.patience.of(call.DataCentre))
		defer cancel()
		result := batch.Result{Answer: batch.AnswerNone}
		h.fails(call.Worker, func() { result = h.Workers.Execute(bounded, call, h.Token) })
		took := h.Now().Sub(sent)
		h.patience.observe(call.DataCentre, took)
		h.Meter.Order(call.Kind, result.Answer, took)
		h.locked(func() { h.core.HandleAnswer(o, result, sent, h.Now()) })
		if result.Answer == batch.AnswerFenced {
			h.lose("worker " + call.Worker + " has heard a newer holder")
		}
		if call.Kind == batch.CommandStart {
			h.wake(call.Worker)
		}
		if result.Answer != batch.AnswerDone {
			h.Log.Emit(eventlog.CommandFailed, zap.String("kind", string(call.Kind)), zap.Stringer("task", call.Task),
				zap.Int64("run", call.Run), zap.String("worker", call.Worker), zap.String("address", call.Address),
				zap.Duration("took", took), zap.String("answer", string(result.Answer)))
			h.kick(h.plan)
		}
	})
}

// ask puts a question to the adviser.
func (h *Holder) ask(ctx context.Context, q batch.AdviserQuery) {
	h.spawnGuarded("advice", func() {
		sent := h.Now()
		call, cancel := context.WithTimeout(ctx, askTimeout)
		defer cancel()
		admitted, valid, err := h.Workers.QueryAdviser(call, q.Step, q.Workers)
		h.locked(func() { h.core.HandleAdvice(q, admitted, valid, err, sent, h.Now()) })
		if err != nil {
			h.Log.Emit(eventlog.AdviserUnavailable, zap.String("step", q.Step), zap.Error(err))
		}
		h.kick(h.plan)
	})
}

// askTimeout bounds a question: the platform lets up to 32 wait in turn.
const askTimeout = 3 * time.Second
