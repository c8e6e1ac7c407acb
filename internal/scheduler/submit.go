package scheduler

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/oriolepond/oriolepond/internal/batch"
	"github.com/oriolepond/oriolepond/internal/eventlog"
	"github.com/oriolepond/oriolepond/internal/store"
)

// submit accepts a job; it returns once the job is durable. An
// *UnavailableError means that the job will never run, an *UnknownOutcomeError that
// it may have been accepted. If this node reaches neither a leader nor the store, it
// relays the job through another node before it reports one of these errors. A
// job that arrives several times this way is still one job.
func (m *cellMember) submit(ctx context.Context, j batch.Job) error {
	j = m.withPolicy(j)
	err := m.submitLocally(ctx, j)
	if mayRelay(err) {
		err = m.relay(ctx, j, err)
	}
	m.scheduler.Metrics.Submission(err)
	return err
}

// submitLocally accepts a job through the leader or the store, without other nodes.
func (m *cellMember) submitLocally(ctx context.Context, j batch.Job) error {
	if err := j.Check(); err != nil {
		return err
	}
	var uncertain error
	err := m.callLeader(ctx, func(ctx context.Context, c *Calls) error {
		err := c.Submit(ctx, j)
		if isUncertain(err) {
			uncertain = err
		}
		return err
	})
	unavailable := errors.As(err, new(*UnavailableError))
	if err == nil || isAnswer(err) && !unavailable && uncertain == nil {
		return err
	}
	if err := j.CheckSize(m.scheduler.MaxStoreValue); err != nil {
		return err
	}
	// The store may serve this node although it does not serve the leader.
	value, encodeErr := batch.EncodeJob(j)
	if encodeErr != nil {
		return encodeErr
	}
	if uncertain == nil {
		if err := m.checkStore(ctx, j.ID); err != nil {
			return err
		}
	}
	err = m.writeInbox(ctx, j.ID, m.keys.inbox+j.ID, value)
	m.Log.Emit(eventlog.SubmissionInInbox, zap.String("job", j.ID), zap.Error(err))
	if uncertain != nil && err != nil && !errors.As(err, new(*UnknownOutcomeError)) {
		return &UnknownOutcomeError{Err: uncertain}
	}
	return err
}

// withPolicy returns a job that has no policy with that of its queue, if this node knows the queue.
// Later, neither this node nor the leader may know it any more.
func (m *cellMember) withPolicy(j batch.Job) batch.Job {
	if j.Policy.Name != "" {
		return j
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if q, known := m.table.Queues[j.Queue]; known {
		return j.WithPolicy(q)
	}
	return j
}

// storeCheckTimeout bounds the check whether the store serves this node; a slow
// store answers within 300 ms.
const storeCheckTimeout = 350 * time.Millisecond

// checkStore returns an *UnavailableError if the store does not serve this node in time. It
// precedes a write because an unanswered write might take effect later, so that
// the submission could no longer be refused.
func (m *cellMember) checkStore(ctx context.Context, id string) error {
	bounded, cancel := context.WithTimeout(ctx, storeCheckTimeout)
	defer cancel()
	sent := m.scheduler.now()
	_, _, err := m.scheduler.Store.Read(bounded, m.keys.inbox+id)
	now := m.scheduler.now()
	if ctx.Err() == nil {
		m.scheduler.outage.observe(err, now)
	}
	if err == nil && remaining(ctx) < writeTimeFactor*now.Sub(sent) {
		err = errTooLate
	}
	if err != nil {
		return m.storeError(ctx, err)
	}
	return nil
}

// writeTimeFactor is how many times as long as the check a write may take. It does not begin with less
// time left, since a write without an answer could no longer be refused.
const writeTimeFactor = 2

var errTooLate = errors.New("the caller has too little time left for a write to the store")

// storeError returns the error for a submission that the store has not taken.
func (m *cellMember) storeError(ctx context.Context, err error) error {
	return &UnavailableError{Reason: err.Error(), RetryAfter: m.scheduler.outage.retryAfter(m.scheduler.now(), remaining(ctx))}
}

// writeInbox writes an inbox key for the next leader to find, unless the job is already known.
func (m *cellMember) writeInbox(ctx context.Context, id, key string, value []byte) error {
	txn := store.Txn{
		If:   []store.Condition{{Key: key}, {Key: m.keys.jobs + id}},
		Then: []store.Op{store.Put(key, value)},
	}
	uncertain := false
	for {
		call, cancel := context.WithTimeout(ctx, commitTimeout)
		_, err := m.scheduler.Store.Commit(call, txn)
		cancel()
		var refused *store.RefusedError
		switch {
		case err == nil:
			// The key was written now, or it or the job was already there.
			return nil
		case !errors.As(err, &refused):
			uncertain = true
		case !uncertain:
			return m.storeError(ctx, err)
		}
		if remaining(ctx) < commitTimeout {
			return &UnknownOutcomeError{Err: err}
		}
		select {
		case <-ctx.Done():
			return &UnknownOutcomeError{Err: err}
		case <-time.After(retryInterval):
		}
	}
}

// remaining returns the time until the context's deadline, or an hour if it has none.
func remaining(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return time.Hour
	}
	return time.Until(deadline)
}
