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

// Calls are the calls to a holder.
type Calls struct {
	Submit func(ctx context.Context, j batch.Job) error
	// Relay submits a job through a node that need not be the holder.
	Relay   func(ctx context.Context, j batch.Job) error
	Cancel  func(ctx context.Context, id string) (known bool, err error)
	State   func(ctx context.Context, id string) (batch.State, bool, error)
	Pending func(ctx context.Context, queue string) (int, error)
	// Retired reports whether the node renews nothing under tokens up to the given one.
	Retired func(ctx context.Context, token int64) (bool, error)
}

// UnavailableError says that a call was surely not carried out, and when to come back.
type UnavailableError struct {
	Reason     string
	RetryAfter time.Duration
}

// Error returns the reason.
func (e *UnavailableError) Error() string { return "unavailable: " + e.Reason }

// UnknownError says that a call may have been carried out.
type UnknownError struct {
	Err error
}

// Error returns the cause.
func (e *UnknownError) Error() string { return fmt.Sprintf("outcome not known: %v", e.Err) }

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Err }

// MovedError says that another cell has a job.
type MovedError struct {
	Cell int
}

// Error returns the cell.
func (e *MovedError) Error() string { return fmt.Sprintf("the job is in cell %d", e.Cell) }

// NotLeaderError says that a node does not hold the jobs.
type NotLeaderError struct{}

// Error says so.
func (e *NotLeaderError) Error() string { return "this node does not hold the jobs" }

const (
	// retryAfter is when a caller is told to come back while there is no holder
	// or no store: a take-over takes about two seconds.
	retryAfter = time.Second
	// passTimeout bounds one try at the holder, so that time is left for the store.
	passTimeout = 900 * time.Millisecond
	// silentAfter is how long a call has to be without an answer until its connection is in doubt.
	silentAfter = passTimeout / 2
	// settleWait is how long a call waits for a holder when there is none, and
	// settlePause how long after a node that does not hold any more.
	settleWait  = 400 * time.Millisecond
	settlePause = 60 * time.Millisecond
)

// cancel withdraws a job and reports whether it is known; it returns once that is durable.
func (d *Desk) cancel(ctx context.Context, id string) (bool, error) {
	known := false
	err := d.pass(ctx, func(ctx context.Context, c *Calls) error {
		var err error
		known, err = c.Cancel(ctx, id)
		return err
	})
	if err == nil && known || isAnswer(err) {
		return known, err
	}
	state, known, err := d.stored(ctx, id)
	if err != nil || !known || state.Final() {
		return known, err
	}
	call, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	if _, err := d.plane.Store.Commit(call, store.Txn{
		If:   []store.Condition{{Key: d.keys.inbox + id + cancelSuffix}},
		Then: []store.Op{store.Put(d.keys.inbox+id+cancelSuffix, cancelValue)},
	}); err != nil {
		return true, &UnknownError{Err: err}
	}
	return true, nil
}

// state returns the state of a job, and whether the job is known.
func (d *Desk) state(ctx context.Context, id string) (batch.State, bool, error) {
	var state batch.State
	known := false
	err := d.pass(ctx, func(ctx context.Context, c *Calls) error {
		var err error
		state, known, err = c.State(ctx, id)
		return err
	})
	if err == nil && known || errors.As(err, new(*MovedError)) {
		return state, true, err
	}
	// A holder that the store turns away may not know what waits in the inbox.
	bounded, cancel := context.WithTimeout(ctx, storedTimeout)
	defer cancel()
	return d.stored(bounded, id)
}

// storedTimeout bounds the reading of a job's state, as a call to the holder is bounded.
const storedTimeout = passTimeout

// stored returns the state of a job as the store has it.
func (d *Desk) stored(ctx context.Context, id string) (batch.State, bool, error) {
	state, found, err := d.recorded(ctx, id)
	if err != nil || found {
		return state, found, err
	}
	_, waits, err := d.plane.Store.Read(ctx, d.keys.inbox+id)
	switch {
	case err != nil:
		return "", false, &UnavailableError{Reason: err.Error(), RetryAfter: retryAfter}
	case waits:
		return batch.Queued, true, nil
	}
	// The holder may have taken it out of the inbox between the two reads.
	return d.recorded(ctx, id)
}

// recorded returns the state of a job that a holder has taken in.
func (d *Desk) recorded(ctx context.Context, id string) (batch.State, bool, error) {
	e, found, err := d.plane.Store.Read(ctx, d.keys.jobs+id)
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

// pending counts the jobs of a queue of which no task has started.
func (d *Desk) pending(ctx context.Context, queue string) (int, error) {
	n := 0
	err := d.pass(ctx, func(ctx context.Context, c *Calls) error {
		var err error
		n, err = c.Pending(ctx, queue)
		return err
	})
	if err != nil && !isAnswer(err) {
		err = &UnavailableError{Reason: err.Error(), RetryAfter: retryAfter}
	}
	return n, err
}

// isAnswer reports whether an error is the holder's answer rather than the lack of one.
func isAnswer(err error) bool {
	return errors.As(err, new(*UnavailableError)) || errors.As(err, new(*batch.InvalidError)) ||
		errors.As(err, new(*batch.NoQueueError)) || errors.As(err, new(*MovedError))
}

// isUncertain reports whether a call that failed may have been carried out.
func isUncertain(err error) bool {
	return err != nil && !isAnswer(err) && !errors.As(err, new(*NotLeaderError))
}

// pass makes a call at the holder, wherever it is. Without one it waits a
// while for the next.
func (d *Desk) pass(ctx context.Context, call func(context.Context, *Calls) error) error {
	wait, cancel := context.WithTimeout(ctx, settleWait)
	defer cancel()
	for {
		ref, changed := d.who()
		c, err := d.callsOf(ref)
		if err == nil {
			bounded, stop := context.WithTimeout(ctx, passTimeout)
			asked := d.plane.now()
			err = call(bounded, c)
			late := d.plane.now().Sub(asked) >= silentAfter && errors.Is(bounded.Err(), context.DeadlineExceeded)
			stop()
			if !isUncertain(err) || late {
				d.noteAnswer(ref.Address, asked, isUncertain(err))
			}
		}
		if !errors.As(err, new(*NotLeaderError)) {
			return err
		}
		select {
		case <-wait.Done():
			return err
		case <-changed:
		case <-time.After(settlePause):
		}
	}
}

// noteAnswer takes whether a call that was made at a time had no answer. A
// connection may be silent for good while new ones work: if the node answered
// nothing since, the next call makes a new one.
func (d *Desk) noteAnswer(address string, asked time.Time, silent bool) {
	d.mu.Lock()
	if d.heard == nil {
		d.heard = map[string]time.Time{}
	}
	if !silent {
		d.heard[address] = d.plane.now()
	}
	forget := silent && d.plane.DropConnection != nil && address != d.plane.Address && d.heard[address].Before(asked)
	d.mu.Unlock()
	if forget {
		d.Log.Emit(eventlog.PeerUnresponsive, zap.String("address", address))
		d.plane.DropConnection(address)
	}
}

// callsOf returns the calls of a holder, which may be this node.
func (d *Desk) callsOf(ref holderRef) (*Calls, error) {
	if h := d.local(); h != nil {
		return h.calls(), nil
	}
	if ref.Address == "" || ref.Address == d.plane.Address {
		return nil, &NotLeaderError{}
	}
	return d.plane.Peer(ref.Address, d.Cell.Index)
}

// localCalls answers the calls of peers.
func (d *Desk) localCalls() *Calls {
	local := func() (*Calls, error) {
		h := d.local()
		if h == nil {
			return nil, &NotLeaderError{}
		}
		return h.calls(), nil
	}
	return &Calls{
		Submit: func(ctx context.Context, j batch.Job) error {
			c, err := local()
			if err != nil {
				return err
			}
			return c.Submit(ctx, j)
		},
		Relay: d.submitHere,
		Cancel: func(ctx context.Context, id string) (bool, error) {
			c, err := local()
			if err != nil {
				return false, err
			}
			return c.Cancel(ctx, id)
		},
		State: func(ctx context.Context, id string) (batch.State, bool, error) {
			c, err := local()
			if err != nil {
				return "", false, err
			}
			return c.State(ctx, id)
		},
		Pending: func(ctx context.Context, queue string) (int, error) {
			c, err := local()
			if err != nil {
				return 0, err
			}
			return c.Pending(ctx, queue)
		},
		Retired: func(_ context.Context, token int64) (bool, error) { return d.isRetired(token), nil },
	}
}
