package scheduler

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/oriolepond/oriolepond/internal/eventlog"
	"github.com/oriolepond/oriolepond/internal/lease"
	"github.com/oriolepond/oriolepond/internal/store"
)

const (
	// holderTTL is how long the holder's key outlives it: short, since nothing
	// is decided meanwhile, and long enough for three renewals at a slow store.
	holderTTL = 1500 * time.Millisecond
	// renewEvery lets two renewals fail before the lease lapses.
	renewEvery = holderTTL / 3
	// renewTimeout bounds one renewal; a slow store answers within 300 ms.
	renewTimeout = 450 * time.Millisecond
	// standTimeout bounds one call of an election.
	standTimeout = 700 * time.Millisecond
	// standPause is the wait between two tries to become holder.
	standPause = 150 * time.Millisecond
	// rttWeight and shareWeight delay a node that is far from the store, or that
	// has less processor than others: a holder spends most of it.
	rttWeight   = 12
	shareWeight = 500 * time.Millisecond
	// termWeight delays a node for each term that it has, so that the cells spread
	// over the nodes with the most processor first.
	termWeight = 150 * time.Millisecond
	// standSpread keeps nodes of one kind from standing at the same moment.
	standSpread = 20 * time.Millisecond
	// firstWait lets all nodes of a new deployment tell their share before the cells
	// are decided on, and so before the first election.
	firstWait = 1500 * time.Millisecond
)

// stand tries to become holder whenever there is none, and holds until the term ends.
func (d *Desk) stand(ctx context.Context) error {
	for {
		ref, changed := d.who()
		if ref.Token != 0 || !d.maySeek() {
			select {
			case <-ctx.Done():
				return nil
			case <-changed:
			case <-time.After(holderTTL):
			}
			continue
		}
		if !d.plane.awaitTurn(ctx, changed) {
			continue
		}
		d.plane.seek(1)
		d.tryTerm(ctx)
		d.plane.seek(-1)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(standPause):
		}
	}
}

// maySeek reports whether the node knows enough to become holder.
func (d *Desk) maySeek() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.leaving && d.table.Queues != nil
}

// awaitTurn waits for the node's turn to stand: nodes near the store, with much
// processor and with few terms come first. It reports whether there is still no
// holder then. The terms are looked at again, since they may end in a lost election.
func (p *Scheduler) awaitTurn(ctx context.Context, changed <-chan struct{}) bool {
	jitter := time.Duration(rand.Int64N(int64(standSpread)))
	for began := p.now(); ; {
		left := p.standDelay() + jitter - p.now().Sub(began)
		if left <= 0 {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-changed:
			return false
		case <-time.After(min(left, standSpread)):
		}
	}
}

// standDelay returns how much later than others the node stands.
func (p *Scheduler) standDelay() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	delay := rttWeight*p.rtt + termWeight*time.Duration(p.terms)
	if p.best > p.CPUShare {
		delay += time.Duration(float64(shareWeight) * (1 - p.CPUShare/p.best))
	}
	return delay
}

// seek counts a term that the node has or seeks.
func (p *Scheduler) seek(more int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.terms += more
}

// tryTerm takes the holder's key if it is free, and holds until the term ends.
func (d *Desk) tryTerm(ctx context.Context) {
	asked := d.plane.now()
	id, err := d.grant(ctx)
	if err != nil {
		return
	}
	token, ok := d.take(ctx, id)
	if !ok {
		d.end(id)
		return
	}
	d.serve(ctx, id, token, asked)
}

func (d *Desk) grant(ctx context.Context) (store.LeaseID, error) {
	ctx, cancel := context.WithTimeout(ctx, standTimeout)
	defer cancel()
	return d.plane.Store.GrantLease(ctx, holderTTL)
}

// take writes the holder's key if there is none. After a lost answer it looks who holds.
func (d *Desk) take(ctx context.Context, id store.LeaseID) (token int64, ok bool) {
	value, err := json.Marshal(wireHolder{ID: d.plane.ID, Address: d.plane.Address})
	if err != nil {
		return 0, false
	}
	call, cancel := context.WithTimeout(ctx, standTimeout)
	defer cancel()
	result, err := d.plane.Store.Commit(call, store.Txn{
		If:   []store.Condition{{Key: d.keys.holder}},
		Then: []store.Op{store.Put(d.keys.holder, value).WithLease(id)},
	})
	if err == nil {
		return result.Revision, result.Done
	}
	again, stop := context.WithTimeout(ctx, standTimeout)
	defer stop()
	e, found, err := d.plane.Store.Read(again, d.keys.holder)
	if err != nil || !found || e.Lease != id {
		return 0, false
	}
	return e.Revision, true
}

// end gives a lease back, so that a late commit under it fails.
func (d *Desk) end(id store.LeaseID) {
	ctx, cancel := context.WithTimeout(context.Background(), renewTimeout)
	defer cancel()
	if err := d.plane.Store.RevokeLease(ctx, id); err != nil {
		// The lease lapses by itself within holderTTL.
		d.Log.Emit(eventlog.StoreUnavailable, zap.String("use", "end of lease"), zap.Error(err))
	}
}

// serve holds one term.
func (d *Desk) serve(ctx context.Context, id store.LeaseID, token int64, asked time.Time) {
	d.mu.Lock()
	former := d.last
	d.held = token
	table := d.table
	d.mu.Unlock()
	h := &Holder{
		Token: token, Cell: d.Cell, keys: d.keys, ID: d.plane.ID, Store: d.plane.Store, Workers: d.plane.Workers, Timing: d.plane.Timing,
		WorkerPrefix: d.plane.WorkerPrefix, DecodeWorker: d.plane.DecodeWorker, Log: d.Log, Meter: d.plane.Metrics, Now: d.plane.now,
	}
	h.renewed(asked)
	term, cancel := context.WithCancel(ctx)
	defer cancel()
	h.stop = cancel
	go d.renew(term, h, id)
	began := d.plane.now()
	d.Log.Emit(eventlog.TermBegun, zap.Int64("token", token), zap.String("former", former.ID))
	err := h.load(term, table, d.unheard())
	if err == nil {
		d.mu.Lock()
		d.current = h
		newer := d.table
		d.mu.Unlock()
		h.setTable(newer)
		go d.askFormers(term, h)
		d.Log.Emit(eventlog.TermServing, zap.Int64("token", token), zap.Duration("loaded", d.plane.now().Sub(began)),
			zap.Int("jobs", h.size()))
		err = h.run(term)
	}
	d.mu.Lock()
	d.current = nil
	d.retired = token
	if d.holder.Token == token {
		d.holder = holderRef{}
	}
	d.mu.Unlock()
	d.end(id)
	d.Log.Emit(eventlog.TermEnded, zap.Int64("token", token), zap.Error(err))
}

// unheard returns how long runs may go on at workers that this holder never
// reaches: the lease there, and the time for which an earlier holder without
// the store may renew it.
func (d *Desk) unheard() time.Duration {
	return lease.Longer(d.plane.Timing.MaxLease+d.plane.Timing.RenewGrace) + time.Second
}

// renewsFor is how long a holder may renew leases at workers after another node
// has heard that its key is gone.
func (p *Scheduler) renewsFor() time.Duration {
	return lease.Longer(p.Timing.RenewGrace+holderTTL) + watchLag
}

// watchLag is how late a node may hear of a key: the watch ends when it is silent for 3 s.
const watchLag = 3 * time.Second

// askFormers shortens that time once the earlier holders say that they renew
// nothing any more. One that the store turned away hears of its successor from
// the first question, and may end its term only after that.
func (d *Desk) askFormers(ctx context.Context, h *Holder) {
	began := d.plane.now()
	// Until then there may be one that this node has not heard of.
	known := d.plane.began().Add(d.plane.renewsFor())
	for until := began.Add(d.unheard()); d.plane.now().Before(until); {
		if !d.plane.now().Before(known) && d.formersRetired(ctx, h.Token) {
			h.locked(func() { h.core.ShortenUncontactedExpiry(h.Now()) })
			d.Log.Emit(eventlog.PreviousLeadersStopped, zap.Int64("token", h.Token), zap.Duration("after", d.plane.now().Sub(began)))
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(askAgain):
		}
	}
}

// askAgain is the pause between two questions to the earlier holders.
const askAgain = time.Second

// formersRetired reports whether each earlier holder that may renew leases yet
// says that it does not. Without an answer the longer time holds.
func (d *Desk) formersRetired(ctx context.Context, token int64) bool {
	now := d.plane.now()
	d.mu.Lock()
	d.formers = slices.DeleteFunc(d.formers, func(f formerHolder) bool { return now.After(f.until) })
	formers := slices.Clone(d.formers)
	d.mu.Unlock()
	for _, f := range formers {
		if f.Token < token && !d.isFormerRetired(ctx, f.holderRef) {
			return false
		}
	}
	return true
}

func (d *Desk) isFormerRetired(ctx context.Context, former holderRef) bool {
	if former.Address == d.plane.Address {
		return true
	}
	c, err := d.plane.Peer(former.Address, d.Cell.Index)
	if err != nil {
		return false
	}
	bounded, cancel := context.WithTimeout(ctx, passTimeout)
	defer cancel()
	retired, err := c.Retired(bounded, former.Token)
	return err == nil && retired
}

// renew keeps the lease of a term until it ends.
func (d *Desk) renew(ctx context.Context, h *Holder, id store.LeaseID) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(renewEvery):
		}
		asked := d.plane.now()
		call, cancel := context.WithTimeout(ctx, renewTimeout)
		err := d.plane.Store.KeepAlive(call, id)
		cancel()
		var lapsed *store.LeaseExpiredError
		switch {
		case err == nil:
			h.renewed(asked)
		case errors.As(err, &lapsed):
			h.lose("the store no longer knows the lease")
			return
		case ctx.Err() == nil && d.plane.now().After(h.graceEnds()):
			h.lose("the store was away for too long")
			return
		}
	}
}
