package scheduler

import (
	"context"
	"errors"
	"time"

	"github.com/oriolepond/oriolepond/internal/batch"
)

// calls returns the calls that peers make to this leader.
func (l *Leader) calls() *Calls {
	return &Calls{Submit: l.submit, Cancel: l.cancel, State: l.state, Pending: l.pending}
}

// errTermPanicked means that a call panicked, which ends the term.
var errTermPanicked = errors.New("the leader panicked")

func (l *Leader) cancel(ctx context.Context, id string) (bool, error) {
	done := make(chan batch.State, 1)
	known := false
	var err error = &UnknownOutcomeError{Err: errTermPanicked}
	l.guarded("cancel", func() {
		l.withLock(func() { known, err = l.core.Cancel(id, l.Now(), func(s batch.State) { done <- s }), nil })
	})
	if err != nil || !known {
		return false, err
	}
	l.signal(l.planNeeded)
	var s batch.State
	select {
	case s = <-done:
	case <-ctx.Done():
		var called bool
		if s, called = l.lastState(done); !called {
			return true, &UnknownOutcomeError{Err: ctx.Err()}
		}
	}
	switch s {
	case batch.Dropped, batch.Refused:
		// This leader does not know whether the inbox still contains the job.
		return true, &NotLeaderError{}
	case batch.Moved:
		return l.movedAnswer(id)
	}
	return true, nil
}

func (l *Leader) state(_ context.Context, id string) (batch.State, bool, error) {
	now := l.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if cell, moved := l.core.ForwardedTo(id); moved {
		return "", true, &MovedError{Cell: cell}
	}
	state, known := l.core.State(id)
	if !state.Final() && !l.isLeaseValid(now) {
		// Another leader may have continued the job; only a final state cannot change.
		return "", false, &NotLeaderError{}
	}
	if !known && l.core.HasJob(id) {
		// The first commit of the job is under way.
		return batch.Queued, true, nil
	}
	return state, known, nil
}

// movedAnswer returns an error with the cell to which a job was handed over. If that cell has forgotten the job since
// then, so that its forwarding record was removed, the job is not known.
func (l *Leader) movedAnswer(id string) (known bool, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	cell, known := l.core.ForwardedTo(id)
	if !known {
		return false, nil
	}
	return true, &MovedError{Cell: cell}
}

// maxPendingAge is how old a count of pending jobs may be: callers are promised that it is at most 2 s old.
const maxPendingAge = 2 * time.Second

func (l *Leader) pending(_ context.Context, queue string) (int, error) {
	now := l.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if !now.Before(l.leaseEnd().Add(maxPendingAge)) {
		return 0, &NotLeaderError{}
	}
	return l.core.Pending(queue), nil
}
