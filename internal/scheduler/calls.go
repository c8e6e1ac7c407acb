package scheduler

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/oriolepond/oriolepond/internal/batch"
	"github.com/oriolepond/oriolepond/internal/eventlog"
	"github.com/oriolepond/oriolepond/internal/store"
)

// Calls are the calls from node to node about one cell. All but Relay and Retired
// fail with a *NotLeaderError unless the called node leads the cell.
type Calls struct {
	Submit func(ctx context.Context, j batch.Job) error
	// Relay submits a job through a node that need not be the leader.
	Relay   func(ctx context.Context, j batch.Job) error
	Cancel  func(ctx context.Context, id string) (known bool, err error)
	State   func(ctx context.Context, id string) (batch.State, bool, error)
	Pending func(ctx context.Context, queue string) (int, error)
	// Retired reports whether the node has stopped renewing workers' leases under all fencing tokens up to the given one.
	Retired func(ctx context.Context, token int64) (bool, error)
}

// UnavailableError means that a call was not carried out, and when to retry it.
type UnavailableError struct {
	Reason     string
	RetryAfter time.Duration
}

// Error returns the reason.
func (e *UnavailableError) Error() string { return "unavailable: " + e.Reason }

// UnknownOutcomeError means that it is unknown whether a call was carried out.
type UnknownOutcomeError struct {
	Err error
}

// Error returns the cause.
func (e *UnknownOutcomeError) Error() string { return fmt.Sprintf("outcome not known: %v", e.Err) }

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Err }

// UnreachableError means that a call was not sent, because there is no connection to the node.
type UnreachableError struct {
	Err error
}

// Error returns the cause.
func (e *UnreachableError) Error() string { return fmt.Sprintf("node not reachable: %v", e.Err) }

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Err }

// MovedError means that the job was handed over to another cell.
type MovedError struct {
	Cell int
}

// Error names the cell that has the job.
func (e *MovedError) Error() string { return fmt.Sprintf("the job is in cell %d", e.Cell) }

// NotLeaderError means that the called node does not lead the job's cell.
type NotLeaderError struct{}

// Error implements error.
func (e *NotLeaderError) Error() string { return "this node does not hold the jobs" }

const (
	// retryAfter is when callers are told to retry while there is no leader or no
	// store: a takeover takes about two seconds.
	retryAfter = time.Second
	// leaderCallTimeout bounds one call to the leader, so that time remains to use the store instead.
	leaderCallTimeout = 900 * time.Millisecond
	// storeReserve is how much of a caller's time, up to half of it, is left for a write to the store in
	// case that the leader does not answer.
	storeReserve = 150 * time.Millisecond
	// suspectConnectionAfter is how long a call must have waited before its timeout counts as a
	// sign that the connection hangs.
	suspectConnectionAfter = leaderCallTimeout / 2
	// leaderWait is how long a call waits for a leader if there is none. retryInterval is
	// the pause before a call is repeated because the called node does not lead yet or no
	// longer leads, and between the tries of writeInbox.
	leaderWait    = 400 * time.Millisecond
	retryInterval = 60 * time.Millisecond
)

// cancel withdraws a job and reports whether it is known; it returns once that is durable.
func (m *cellMember) cancel(ctx context.Context, id string) (bool, error) {
	known := false
	err := m.callLeader(ctx, func(ctx context.Context, c *Calls) error {
		var err error
		known, err = c.Cancel(ctx, id)
		return err
	})
	if err == nil && known || isAnswer(err) {
		return known, err
	}
	callErr := err
	state, known, err := m.storedState(ctx, id)
	if err == nil && !known && isUncertain(callErr) {
		// A commit in progress may contain the job.
		return false, &UnknownOutcomeError{Err: callErr}
	}
	if err != nil || !known || state.Final() {
		return known, err
	}
	call, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	if _, err := m.scheduler.Store.Commit(call, store.Txn{
		If:   []store.Condition{{Key: m.keys.inbox + id + cancelSuffix}},
		Then: []store.Op{store.Put(m.keys.inbox+id+cancelSuffix, cancelValue)},
	}); err != nil {
		return true, &UnknownOutcomeError{Err: err}
	}
	return true, nil
}

// state returns the state of a job, and whether the job is known.
func (m *cellMember) state(ctx context.Context, id string) (batch.State, bool, error) {
	var state batch.State
	known := false
	err := m.callLeader(ctx, func(ctx context.Context, c *Calls) error {
		var err error
		state, known, err = c.State(ctx, id)
		return err
	})
	if err == nil && known || errors.As(err, new(*MovedError)) {
		return state, true, err
	}
	// A leader that the store refuses may not know the jobs in the inbox.
	bounded, cancel := context.WithTimeout(ctx, storedStateTimeout)
	defer cancel()
	return m.storedState(bounded, id)
}

// storedStateTimeout bounds how long state waits for the store after it has called the leader.
const storedStateTimeout = leaderCallTimeout

// storedState returns the state of a job according to the store.
func (m *cellMember) storedState(ctx context.Context, id string) (batch.State, bool, error) {
	state, found, err := m.recordedState(ctx, id)
	if err != nil || found {
		return state, found, err
	}
	_, inInbox, err := m.scheduler.Store.Read(ctx, m.keys.inbox+id)
	switch {
	case err != nil:
		return "", false, &UnavailableError{Reason: err.Error(), RetryAfter: retryAfter}
	case inInbox:
		return batch.Queued, true, nil
	}
	// The leader may have moved the job out of the inbox between the two reads.
	return m.recordedState(ctx, id)
}

// recordedState returns the state of a job from its record, which a leader writes when it accepts the job.
func (m *cellMember) recordedState(ctx context.Context, id string) (batch.State, bool, error) {
	e, found, err := m.scheduler.Store.Read(ctx, m.keys.jobs+id)
	if err != nil {
		return "", false, &UnavailableError{Reason: err.Error(), RetryAfter: retryAfter}
	}
	if !found {
		return "", false, nil
	}
	state, cell, err := batch.DecodeState(e.Value)
	if err == nil && state == batch.Moved {
		return "", true, &MovedError{Cell: cell}
	}
	return state, true, err
}

// pending counts the jobs of a queue in this cell, none of whose tasks has started.
func (m *cellMember) pending(ctx context.Context, queue string) (int, error) {
	n := 0
	err := m.callLeader(ctx, func(ctx context.Context, c *Calls) error {
		var err error
		n, err = c.Pending(ctx, queue)
		return err
	})
	if err != nil && !isAnswer(err) {
		err = &UnavailableError{Reason: err.Error(), RetryAfter: retryAfter}
	}
	return n, err
}

// isAnswer reports whether an error is the leader's answer rather than a failure to get one.
func isAnswer(err error) bool {
	return errors.As(err, new(*UnavailableError)) || errors.As(err, new(*batch.InvalidError)) ||
		errors.As(err, new(*batch.NoQueueError)) || errors.As(err, new(*MovedError))
}

// isUncertain reports whether a call that failed may have been carried out.
func isUncertain(err error) bool {
	return err != nil && !isAnswer(err) && !errors.As(err, new(*NotLeaderError)) && !isUnreachable(err)
}

// isUnreachable reports whether a call failed because the node cannot be reached.
func isUnreachable(err error) bool { return errors.As(err, new(*UnreachableError)) }

// callLeader makes a call to the current leader, which may be this node. If there is
// none, it waits up to leaderWait for the next one. Part of the caller's time is left for the store.
func (m *cellMember) callLeader(ctx context.Context, call func(context.Context, *Calls) error) error {
	wait, cancel := context.WithTimeout(ctx, min(leaderWait, remaining(ctx)/2))
	defer cancel()
	for {
		ref, changed := m.currentLeader()
		c, err := m.leaderCalls(ref)
		if err == nil {
			left := remaining(ctx)
			callCtx, stop := context.WithTimeout(ctx, min(leaderCallTimeout, max(left/2, left-storeReserve)))
			sent := m.scheduler.now()
			err = call(callCtx, c)
			timedOut := m.scheduler.now().Sub(sent) >= suspectConnectionAfter && errors.Is(callCtx.Err(), context.DeadlineExceeded)
			stop()
			if unanswered := isUncertain(err) || isUnreachable(err); !unanswered || timedOut {
				m.recordAnswer(ref.Address, sent, unanswered)
			}
		}
		if !errors.As(err, new(*NotLeaderError)) {
			return err
		}
		select {
		case <-wait.Done():
			return err
		case <-changed:
		case <-time.After(retryInterval):
		}
	}
}

// recordAnswer records whether a call sent at the given time was answered. A
// connection may hang for good while new ones work: if the peer has answered no
// call since then, its connection is dropped and the next call opens a new one.
func (m *cellMember) recordAnswer(address string, sent time.Time, unanswered bool) {
	m.mu.Lock()
	if m.lastContact == nil {
		m.lastContact = map[string]time.Time{}
	}
	if !unanswered {
		m.lastContact[address] = m.scheduler.now()
	}
	drop := unanswered && m.scheduler.DropConnection != nil && address != m.scheduler.Address && m.lastContact[address].Before(sent)
	m.mu.Unlock()
	if drop {
		m.Log.Emit(eventlog.PeerUnresponsive, zap.String("address", address))
		m.scheduler.DropConnection(address)
	}
}

// leaderCalls returns the calls to a leader, which may be this node.
func (m *cellMember) leaderCalls(ref leaderRef) (*Calls, error) {
	if term := m.localLeader(); term != nil {
		return term.calls(), nil
	}
	if ref.Address == "" || ref.Address == m.scheduler.Address {
		return nil, &NotLeaderError{}
	}
	return m.scheduler.Peer(ref.Address, m.Cell.Index)
}

// localCalls returns the calls about the cell that peers make to this node.
func (m *cellMember) localCalls() *Calls {
	termCalls := func() (*Calls, error) {
		term := m.localLeader()
		if term == nil {
			return nil, &NotLeaderError{}
		}
		return term.calls(), nil
	}
	return &Calls{
		Submit: func(ctx context.Context, j batch.Job) error {
			c, err := termCalls()
			if err != nil {
				return err
			}
			return c.Submit(ctx, j)
		},
		Relay: m.acceptRelayed,
		Cancel: func(ctx context.Context, id string) (bool, error) {
			c, err := termCalls()
			if err != nil {
				return false, err
			}
			return c.Cancel(ctx, id)
		},
		State: func(ctx context.Context, id string) (batch.State, bool, error) {
			c, err := termCalls()
			if err != nil {
				return "", false, err
			}
			return c.State(ctx, id)
		},
		Pending: func(ctx context.Context, queue string) (int, error) {
			c, err := termCalls()
			if err != nil {
				return 0, err
			}
			return c.Pending(ctx, queue)
		},
		Retired: func(_ context.Context, token int64) (bool, error) { return m.isRetired(token), nil },
	}
}
