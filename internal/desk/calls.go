package desk

import (
	"context"
	"errors"
	"fmt"
	"slices"
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

// NotHolderError says that a node does not hold the jobs.
type NotHolderError struct{}

// Error says so.
func (e *NotHolderError) Error() string { return "this node does not hold the jobs" }

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

// submit accepts a job; it returns once the job is durable. An
// *UnavailableError means that the job will never run, an *UnknownError that it
// may be accepted. If neither the holder nor the store serves this node,
// another node is asked before the job is refused or its fate is left open:
// wherever it arrives again, it stays one job.
func (d *Desk) submit(ctx context.Context, j batch.Job) error {
	err := d.submitHere(ctx, j)
	if !mayRelay(err) {
		return err
	}
	for _, address := range d.relays() {
		if remaining(ctx) < relayTimeout {
			break
		}
		c, peerErr := d.plane.Peer(address, d.Cell.Index)
		if peerErr != nil {
			continue
		}
		bounded, cancel := context.WithTimeout(ctx, relayTimeout)
		relayed := c.Relay(bounded, j)
		cancel()
		d.Log.Emit(eventlog.Relayed, zap.String("job", j.ID), zap.String("peer", address), zap.Error(relayed))
		switch {
		case relayed == nil:
			return nil
		case errors.As(err, new(*UnknownError)):
			// Its fate is open, so that no refusal would be true.
		case !mayRelay(relayed):
			return relayed
		case errors.As(relayed, new(*UnknownError)):
			err = relayed
		}
	}
	return err
}

// relays returns the nodes that may take a job in for this one: those that the
// settings name, and the holders of other cells, which the store serves.
func (d *Desk) relays() []string {
	home, _ := d.who()
	all := slices.Clone(d.plane.Peers)
	for _, o := range d.plane.all() {
		if ref, _ := o.who(); o != d && ref.Address != "" {
			all = append(all, ref.Address)
		}
	}
	slices.Sort(all)
	return slices.DeleteFunc(slices.Compact(all), func(address string) bool {
		return address == d.plane.Address || address == home.Address
	})
}

// mayRelay reports whether another node may still accept a job.
func mayRelay(err error) bool {
	return errors.As(err, new(*UnavailableError)) || errors.As(err, new(*UnknownError))
}

// relayTimeout bounds a submission through another node.
const relayTimeout = 800 * time.Millisecond

// submitHere accepts a job through the holder or the store.
func (d *Desk) submitHere(ctx context.Context, j batch.Job) error {
	if err := j.Check(); err != nil {
		return err
	}
	var uncertain error
	err := d.pass(ctx, func(ctx context.Context, c *Calls) error {
		err := c.Submit(ctx, j)
		if isUncertain(err) {
			uncertain = err
		}
		return err
	})
	away := errors.As(err, new(*UnavailableError))
	if err == nil || isAnswer(err) && !away && uncertain == nil {
		return err
	}
	// The store may serve this node although it does not serve the holder.
	value, encodeErr := batch.EncodeJob(j)
	if encodeErr != nil {
		return encodeErr
	}
	if uncertain == nil {
		if err := d.probe(ctx, j.ID); err != nil {
			return err
		}
	}
	err = d.leave(ctx, j.ID, d.keys.inbox+j.ID, value)
	d.Log.Emit(eventlog.LeftInInbox, zap.String("job", j.ID), zap.Error(err))
	if uncertain != nil && err != nil && !errors.As(err, new(*UnknownError)) {
		return &UnknownError{Err: uncertain}
	}
	return err
}

// probeTimeout bounds a look whether the store serves this node; a slow one
// answers within 300 ms.
const probeTimeout = 350 * time.Millisecond

// probe returns an *UnavailableError if the store does not serve this node. A
// write without an answer might take effect later, so that no true refusal
// could follow it.
func (d *Desk) probe(ctx context.Context, id string) error {
	bounded, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if _, _, err := d.plane.Store.Read(bounded, d.keys.inbox+id); err != nil {
		return &UnavailableError{Reason: err.Error(), RetryAfter: retryAfter}
	}
	return nil
}

// leave writes a key for the next holder to find, unless the job is known already.
func (d *Desk) leave(ctx context.Context, id, key string, value []byte) error {
	txn := store.Txn{
		If:   []store.Condition{{Key: key}, {Key: d.keys.jobs + id}},
		Then: []store.Op{store.Put(key, value)},
	}
	uncertain := false
	for {
		call, cancel := context.WithTimeout(ctx, commitTimeout)
		_, err := d.plane.Store.Commit(call, txn)
		cancel()
		var not *store.RefusedError
		switch {
		case err == nil:
			// Written now, or there already.
			return nil
		case !errors.As(err, &not):
			uncertain = true
		case !uncertain:
			return &UnavailableError{Reason: err.Error(), RetryAfter: retryAfter}
		}
		if remaining(ctx) < commitTimeout {
			return &UnknownError{Err: err}
		}
		select {
		case <-ctx.Done():
			return &UnknownError{Err: err}
		case <-time.After(settlePause):
		}
	}
}

func remaining(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return time.Hour
	}
	return time.Until(deadline)
}

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
	return err != nil && !isAnswer(err) && !errors.As(err, new(*NotHolderError))
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
		if !errors.As(err, new(*NotHolderError)) {
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
	forget := silent && d.plane.Forget != nil && address != d.plane.Address && d.heard[address].Before(asked)
	d.mu.Unlock()
	if forget {
		d.Log.Emit(eventlog.PeerSilent, zap.String("address", address))
		d.plane.Forget(address)
	}
}

// callsOf returns the calls of a holder, which may be this node.
func (d *Desk) callsOf(ref holderRef) (*Calls, error) {
	if h := d.local(); h != nil {
		return h.calls(), nil
	}
	if ref.Address == "" || ref.Address == d.plane.Address {
		return nil, &NotHolderError{}
	}
	return d.plane.Peer(ref.Address, d.Cell.Index)
}

// localCalls answers the calls of peers.
func (d *Desk) localCalls() *Calls {
	local := func() (*Calls, error) {
		h := d.local()
		if h == nil {
			return nil, &NotHolderError{}
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

// calls returns what the holder answers.
func (h *Holder) calls() *Calls {
	return &Calls{Submit: h.submit, Cancel: h.cancel, State: h.state, Pending: h.pending}
}

func (h *Holder) submit(ctx context.Context, j batch.Job) error {
	if h.isAway(h.Now()) {
		return h.whileAway(j.ID)
	}
	done := make(chan batch.State, 1)
	h.mu.Lock()
	err := h.core.Submit(j, h.Now(), func(s batch.State) { done <- s })
	h.mu.Unlock()
	if err != nil {
		return err
	}
	h.kick(h.plan)
	select {
	case s := <-done:
		if s == batch.Dropped {
			return &UnavailableError{Reason: "the store does not answer", RetryAfter: retryAfter}
		}
		return nil
	case <-ctx.Done():
		return &UnknownError{Err: ctx.Err()}
	}
}

// whileAway answers a submission while the store does not answer: one that
// came before may be on its way into the store.
func (h *Holder) whileAway(id string) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.core.Has(id) {
		return &UnknownError{Err: errors.New("the store does not answer")}
	}
	return &UnavailableError{Reason: "the store does not answer", RetryAfter: retryAfter}
}

func (h *Holder) cancel(ctx context.Context, id string) (bool, error) {
	done := make(chan batch.State, 1)
	h.mu.Lock()
	known := h.core.Cancel(id, h.Now(), func(s batch.State) { done <- s })
	h.mu.Unlock()
	if !known {
		return false, nil
	}
	h.kick(h.plan)
	select {
	case s := <-done:
		if s == batch.Dropped {
			// Whether the inbox has the job is not known here.
			return true, &NotHolderError{}
		}
		if s == batch.Moved {
			return true, h.movedTo(id)
		}
		return true, nil
	case <-ctx.Done():
		return true, &UnknownError{Err: ctx.Err()}
	}
}

func (h *Holder) state(_ context.Context, id string) (batch.State, bool, error) {
	now := h.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if cell, moved := h.core.MovedTo(id); moved {
		return "", true, &MovedError{Cell: cell}
	}
	state, known := h.core.State(id)
	if !state.Final() && !now.Before(h.validUntil) {
		// Another holder may have gone on with the job; what has ended stays so.
		return "", false, &NotHolderError{}
	}
	if !known && h.core.Has(id) {
		// It is being committed.
		return batch.Queued, true, nil
	}
	return state, known, nil
}

// movedTo returns where a job was handed, as an error.
func (h *Holder) movedTo(id string) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	cell, _ := h.core.MovedTo(id)
	return &MovedError{Cell: cell}
}

// pendingAge is how old a count of waiting jobs may be: callers are promised 2 s.
const pendingAge = 2 * time.Second

func (h *Holder) pending(_ context.Context, queue string) (int, error) {
	now := h.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if !now.Before(h.validUntil.Add(pendingAge)) {
		return 0, &NotHolderError{}
	}
	return h.core.Pending(queue), nil
}
