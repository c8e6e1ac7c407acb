package scheduler

import (
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/oriolepond/oriolepond/internal/batch"
	"github.com/oriolepond/oriolepond/internal/eventlog"
	"github.com/oriolepond/oriolepond/internal/store"
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
		d.Log.Emit(eventlog.SubmissionRelayed, zap.String("job", j.ID), zap.String("peer", address), zap.Error(relayed))
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
	d.Log.Emit(eventlog.SubmissionInInbox, zap.String("job", j.ID), zap.Error(err))
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
