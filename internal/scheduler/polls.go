package scheduler

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/oriolepond/oriolepond/internal/batch"
	"github.com/oriolepond/oriolepond/internal/eventlog"
)

// poller polls one worker until the core forgets it, and pauses while the worker need not be polled.
type poller struct {
	wakeUp chan struct{}
	// extraPoll is true while pollNow polls the worker in addition to the poller.
	extraPoll bool
	// acknowledged is the number up to which run ends were last acknowledged.
	acknowledged int64
}

const (
	// pollWait is how long a worker may wait for a run to end before it answers a poll: a fraction of the lease.
	pollWait = 1500 * time.Millisecond
	// shortPollWait is the same for a worker with filler tasks whose serving tasks' tail
	// latency is near its limit; the worker measures this latency over half a second.
	shortPollWait = 400 * time.Millisecond
	// pollRetryInterval is the wait after a failed poll.
	pollRetryInterval = 250 * time.Millisecond
	// durableEndsTimeout bounds the delay of a poll until the run ends that the worker reported earlier are committed.
	durableEndsTimeout = 300 * time.Millisecond
)

// syncPollers starts a poller for each worker that has none.
func (l *Leader) syncPollers() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, id := range l.core.WorkerIDs() {
		if l.pollers[id] != nil {
			continue
		}
		p := &poller{wakeUp: make(chan struct{}, 1)}
		l.pollers[id] = p
		l.startPoller(id, p)
	}
}

// wakePoller wakes a worker's poller from a wait.
func (l *Leader) wakePoller(id string) {
	l.mu.Lock()
	p := l.pollers[id]
	l.mu.Unlock()
	if p != nil {
		l.signal(p.wakeUp)
	}
}

// startPolling polls a worker in a goroutine until the term ends or the worker is forgotten.
func (l *Leader) startPolling(ctx context.Context, id string, p *poller) {
	l.goGuarded("look", func() {
		for ctx.Err() == nil {
			if !l.pollStep(ctx, id, p) {
				return
			}
		}
	})
}

// pollStep makes one poll, or waits if none is needed. It reports whether the worker is still known.
func (l *Leader) pollStep(ctx context.Context, id string, p *poller) bool {
	l.mu.Lock()
	now := l.Now()
	// Without the store's lease, the answers of idle workers count, too.
	known, needed, settled := l.core.HasWorker(id), l.core.NeedsPoll(id, now) || !l.isLeaseValid(now), l.core.IsSettled(id)
	if !known {
		delete(l.pollers, id)
	}
	l.mu.Unlock()
	switch {
	case !known:
		return false
	case !needed:
		l.awaitWakeUp(ctx, p, pollWait)
		return true
	case !settled:
		l.awaitDurableEnds(ctx, id, p)
	}
	waited, answered := l.poll(ctx, id)
	switch {
	case !answered:
		l.awaitWakeUp(ctx, p, pollRetryInterval)
	case !waited:
		l.sleep(ctx, minPollInterval)
	}
	return true
}

// minPollInterval is the pause after an answered poll of a suspect worker (batch.Core.IsSuspect),
// since such a poll usually does not wait for a run to end.
const minPollInterval = 100 * time.Millisecond

// sleep waits for a duration, or until the context ends.
func (l *Leader) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// awaitDurableEnds waits until the ends of runs that a worker has reported are durable.
func (l *Leader) awaitDurableEnds(ctx context.Context, id string, p *poller) {
	timeout := time.NewTimer(durableEndsTimeout)
	defer timeout.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timeout.C:
			return
		case <-p.wakeUp:
		}
		l.mu.Lock()
		settled := l.core.IsSettled(id)
		l.mu.Unlock()
		if settled {
			return
		}
	}
}

// awaitWakeUp waits until the poller is woken, a duration has passed or the context ends.
func (l *Leader) awaitWakeUp(ctx context.Context, p *poller, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-p.wakeUp:
	case <-t.C:
	}
}

// pollNow polls a worker at once, in addition to its poller. It does nothing while such a poll is under way.
func (l *Leader) pollNow(ctx context.Context, id string) {
	l.mu.Lock()
	p := l.pollers[id]
	if p == nil || p.extraPoll {
		l.mu.Unlock()
		return
	}
	p.extraPoll = true
	l.mu.Unlock()
	l.goGuarded("look", func() {
		l.poll(ctx, id)
		l.withLock(func() { p.extraPoll = false })
		l.signal(p.wakeUp)
	})
}

// poll makes one poll. It reports whether the worker was allowed to wait for a run to end
// before it answered, and whether it answered.
func (l *Leader) poll(ctx context.Context, id string) (waited, answered bool) {
	sent := l.Now()
	if sent.After(l.renewalsEnd()) {
		return false, false
	}
	renew := l.mayRenew(sent)
	l.logSuspension(!renew)
	l.mu.Lock()
	request, ok := l.core.BeginPoll(id, sent, renew)
	commit := l.lastCommit
	isNewAck := ok && l.noteAcknowledged(request)
	l.mu.Unlock()
	if isNewAck {
		l.Log.Emit(eventlog.EndsAcknowledged, zap.String("worker", id), zap.Int64("upTo", request.Ack), zap.String("commit", commit), zap.Int64("token", l.Token))
	}
	if !ok {
		return false, false
	}
	var wait time.Duration
	switch {
	case request.ShortWait:
		wait = shortPollWait
	case request.Wait:
		wait = pollWait
	}
	if !l.isLeaseValid(sent) {
		wait = min(wait, outagePollWait)
	}
	call, cancel := context.WithTimeout(ctx, l.timeouts.timeout(request.DataCentre)+wait)
	defer cancel()
	var report batch.Report
	var err error
	if l.callPanicked(id, func() { report, err = l.Workers.Poll(call, request, wait, l.Token) }) {
		err = &PollError{Worker: id, Answer: batch.AnswerNone}
	}
	if ctx.Err() != nil {
		return false, false
	}
	received := l.Now()
	l.Metrics.Poll(received.Sub(sent))
	answer := batch.AnswerNone
	var pollErr *PollError
	if errors.As(err, &pollErr) {
		answer = pollErr.Answer
	}
	fenced := false
	l.withLock(func() {
		if err == nil {
			startedAt := l.Now()
			l.core.ApplyReport(id, report, sent, received)
			l.Metrics.MissedTargets(l.core.TakeMissedTargets())
			l.spent.applying += l.Now().Sub(startedAt)
			l.spent.reports++
		} else {
			l.core.PollFailed(id, answer, sent, received)
		}
		l.fenced = l.fenced || answer == batch.AnswerFenced
		fenced = l.fenced
	})
	if fenced {
		l.endTerm("worker " + id + " has seen a newer leader")
	}
	l.signal(l.planNeeded)
	return request.Wait, err == nil
}

// noteAcknowledged records which run ends a poll acknowledges, and reports whether they are others than before; l.mu is
// held.
func (l *Leader) noteAcknowledged(request batch.Poll) bool {
	p := l.pollers[request.Worker]
	if p == nil || request.Ack == 0 || request.Ack == p.acknowledged {
		return false
	}
	p.acknowledged = request.Ack
	return true
}

// sendCommand sends one command to a worker and gives the result to the core.
func (l *Leader) sendCommand(ctx context.Context, command batch.Command) {
	l.goGuarded("order", func() {
		if command.Kind == batch.CommandStart {
			// Stop and throttle commands relieve a worker, so they do not wait for start commands.
			select {
			case l.startSlots <- struct{}{}:
			case <-ctx.Done():
				return
			}
			defer func() { <-l.startSlots }()
		}
		sent := l.Now()
		if command.Kind == batch.CommandStart && !l.isLeaseValid(sent) {
			l.withLock(func() { l.core.WithdrawStart(command, sent) })
			return
		}
		var call batch.Call
		var ok bool
		l.withLock(func() {
			if call, ok = l.core.PrepareCall(command, sent); ok && call.Kind == batch.CommandStart {
				l.spent.starts++
			}
		})
		if !ok {
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, l.timeouts.timeout(call.DataCentre))
		defer cancel()
		result := batch.Result{Answer: batch.AnswerNone}
		l.callPanicked(call.Worker, func() { result = l.Workers.Execute(callCtx, call, l.Token) })
		received := l.Now()
		latency := received.Sub(sent)
		l.timeouts.observe(call.DataCentre, latency)
		l.Metrics.Command(call.Kind, result.Answer, latency)
		l.withLock(func() { l.core.HandleAnswer(command, result, sent, received) })
		if result.Answer == batch.AnswerFenced {
			l.endTerm("worker " + call.Worker + " has seen a newer leader")
		}
		if call.Kind == batch.CommandStart {
			l.wakePoller(call.Worker)
		}
		if result.Answer != batch.AnswerDone {
			l.Log.Emit(eventlog.CommandFailed, zap.String("kind", string(call.Kind)), zap.Stringer("task", call.Task),
				zap.Int64("run", call.Run), zap.String("worker", call.Worker), zap.String("address", call.Address),
				zap.Duration("took", latency), zap.String("answer", string(result.Answer)))
			l.signal(l.planNeeded)
		}
	})
}

// queryAdviser sends a query to the adviser and gives the answer to the core.
func (l *Leader) queryAdviser(ctx context.Context, query batch.AdviserQuery) {
	l.goGuarded("advice", func() {
		sent := l.Now()
		call, cancel := context.WithTimeout(ctx, adviserTimeout)
		defer cancel()
		admitted, valid, err := l.Workers.QueryAdviser(call, query.Step, query.Workers)
		l.withLock(func() { l.core.HandleAdvice(query, admitted, valid, err, sent, l.Now()) })
		if err != nil {
			l.Log.Emit(eventlog.AdviserUnavailable, zap.String("step", query.Step), zap.Error(err))
		}
		l.signal(l.planNeeded)
	})
}

// adviserTimeout bounds an adviser query: the platform queues up to 32 of them.
const adviserTimeout = 3 * time.Second
