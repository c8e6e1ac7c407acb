package scheduler

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/oriolepond/oriolepond/internal/batch"
	"github.com/oriolepond/oriolepond/internal/eventlog"
)

// answerMargin is how long before the caller's deadline a submission is answered, so that the answer
// reaches the caller: without one, the caller does not know whether the job was accepted. It is at
// most a third of the caller's time.
const answerMargin = 100 * time.Millisecond

// withAnswerMargin returns a context that ends answerMargin before the caller's deadline.
func withAnswerMargin(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, deadline.Add(-min(answerMargin, time.Until(deadline)/3)))
}

// submit accepts a job. If the store does not answer, a submission that is not part of a commit when
// the time for its answer, or the term, is over is dropped, so that its refusal is true; the outcome
// of one in a commit without an answer is unknown.
func (l *Leader) submit(ctx context.Context, j batch.Job) error {
	ctx, cancel := withAnswerMargin(ctx)
	defer cancel()
	done := make(chan batch.State, 1)
	var err error = &UnknownOutcomeError{Err: errTermPanicked}
	l.guarded("submission", func() {
		l.withLock(func() { err = l.accept(ctx, j, func(s batch.State) { done <- s }) })
	})
	if err != nil {
		return err
	}
	l.signal(l.planNeeded)
	select {
	case s := <-done:
		return submissionError(s)
	case <-l.ended:
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			l.guarded("submission", func() { l.withLock(func() { l.dropStalled(j.ID) }) })
		}
	}
	if s, called := l.lastState(done); called {
		return submissionError(s)
	}
	return l.openOutcome(j.ID)
}

// lastState returns the state with which the core has called a waiter, if it has. It looks with l.mu
// locked, as the core does when it calls waiters: the end of a term is visible before its last calls.
func (l *Leader) lastState(done <-chan batch.State) (batch.State, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case s := <-done:
		return s, true
	default:
		return "", false
	}
}

// dropStalled drops a submission if the store carries out no commit that could contain it; l.mu is
// held. A store that is only slow will: until then, the caller's node tries the inbox.
func (l *Leader) dropStalled(id string) {
	now := l.Now()
	if l.isStoreUnavailable(now) || !l.commitStartedAt.IsZero() && now.Sub(l.commitStartedAt) >= commitStalledAfter {
		l.core.DropSubmission(id, now)
	}
}

// commitStalledAfter is how long a commit may be in progress before the submissions behind it are
// dropped when the time for their answers is over; a slow store carries one out in less.
const commitStalledAfter = 600 * time.Millisecond

// accept passes a submission to the core, unless it cannot be committed; l.mu is held.
func (l *Leader) accept(ctx context.Context, j batch.Job, waiter func(batch.State)) error {
	now := l.Now()
	unavailable := l.isStoreUnavailable(now)
	switch {
	case l.core.IsDurable(j.ID):
	case l.core.HasJob(j.ID) && (l.hasEnded() || unavailable || ctx.Err() != nil):
		// An earlier submission of the job may be accepted yet.
		return &UnknownOutcomeError{Err: l.unansweredError()}
	case l.hasEnded():
		return &NotLeaderError{}
	case unavailable:
		return &UnavailableError{Reason: "the store does not answer", RetryAfter: retryAfter}
	case ctx.Err() != nil:
		return &UnavailableError{Reason: "the leader was busy until the time for an answer was over", RetryAfter: retryAfter}
	}
	err := l.core.Submit(j, now, waiter)
	if errors.As(err, new(*batch.UnreadableJobError)) {
		// The caller's node finds the job in the store.
		return &UnavailableError{Reason: err.Error(), RetryAfter: retryAfter}
	}
	return err
}

// submissionError returns the error for the state with which the waiter of a submission was called.
func submissionError(s batch.State) error {
	switch s {
	case batch.Dropped:
		return &UnavailableError{Reason: "the store does not answer", RetryAfter: retryAfter}
	case batch.Refused:
		return &batch.InvalidError{Reason: "the store refuses its record"}
	}
	return nil
}

// openOutcome returns the error for a submission in a commit whose outcome is not known.
func (l *Leader) openOutcome(id string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Log.Emit(eventlog.SubmissionOutcomeUnknown, zap.String("job", id), zap.Int64("token", l.Token), zap.String("commit", l.unansweredCommit))
	return &UnknownOutcomeError{Err: l.unansweredError()}
}

// unansweredError returns the reason why the outcome of a submission is not known; l.mu is held.
func (l *Leader) unansweredError() error {
	if l.unansweredCommit == "" {
		return errCommitInProgress
	}
	return fmt.Errorf("commit %s has no answer", l.unansweredCommit)
}

var errCommitInProgress = errors.New("its commit is in progress")

// endSubmissions answers the submissions of a term that has ended: those that are not part of a
// commit are dropped. It is called once no commit is in progress any more.
func (l *Leader) endSubmissions() {
	l.guarded("submission", func() {
		l.withLock(func() {
			close(l.ended)
			l.core.DropUncommitted(l.Now())
		})
	})
}

// hasEnded reports whether the term has ended and accepts nothing any more.
func (l *Leader) hasEnded() bool {
	select {
	case <-l.ended:
		return true
	default:
		return false
	}
}
