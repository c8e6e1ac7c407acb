package desk

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"strconv"
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
	// firstWait lets all nodes of a new deployment tell their share before the first election.
	firstWait = 1500 * time.Millisecond
	// loadTimeout bounds the reading of all jobs.
	loadTimeout = 4 * time.Second
)

// wireHolder is the value of the holder's key.
type wireHolder struct {
	ID      string `json:"id"`
	Address string `json:"address"`
}

func decodeHolder(e store.Entry) holderRef {
	var w wireHolder
	if err := json.Unmarshal(e.Value, &w); err != nil {
		// A key that cannot be read still keeps others from the term.
		return holderRef{ID: "unreadable", Token: e.Revision}
	}
	return holderRef{ID: w.ID, Address: w.Address, Token: e.Revision}
}

// setBest takes the greatest share that a node is known to have.
func (d *Desk) setBest(value []byte) {
	share, err := strconv.ParseFloat(string(value), 64)
	if err != nil {
		d.Log.Emit(eventlog.RecordUnreadable, zap.String("key", bestKey), zap.Error(err))
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.best = share
}

// introduce measures how far the store is, and tells the node's share if it is
// the greatest so far. It returns how long to wait before the first election.
func (d *Desk) introduce(ctx context.Context) time.Duration {
	asked := d.now()
	call, cancel := context.WithTimeout(ctx, standTimeout)
	defer cancel()
	e, found, err := d.Store.Read(call, bestKey)
	if err != nil {
		return 0
	}
	d.mu.Lock()
	d.rtt = d.now().Sub(asked)
	d.mu.Unlock()
	if found {
		d.setBest(e.Value)
	}
	d.mu.Lock()
	best := d.best
	d.mu.Unlock()
	if best < d.Share {
		value := strconv.FormatFloat(d.Share, 'f', -1, 64)
		if _, err := d.Store.Commit(call, store.Txn{
			If: []store.Condition{{Key: bestKey, Revision: e.Revision}}, Then: []store.Op{store.Put(bestKey, []byte(value))},
		}); err != nil {
			d.Log.Emit(eventlog.StoreUnavailable, zap.String("use", "share"), zap.Error(err))
		}
	}
	if found {
		return 0
	}
	return firstWait
}

// stand tries to become holder whenever there is none, and holds until the term ends.
func (d *Desk) stand(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-time.After(d.introduce(ctx)):
	}
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
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
			continue
		case <-time.After(d.standDelay()):
		}
		d.tryTerm(ctx)
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
	return d.seen && !d.leaving && d.table.Queues != nil
}

// standDelay lets nodes near the store, and with much processor, come first.
func (d *Desk) standDelay() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	delay := rttWeight * d.rtt
	if d.best > d.Share {
		delay += time.Duration(float64(shareWeight) * (1 - d.Share/d.best))
	}
	return delay + time.Duration(rand.Int64N(int64(20*time.Millisecond)))
}

// tryTerm takes the holder's key if it is free, and holds until the term ends.
func (d *Desk) tryTerm(ctx context.Context) {
	asked := d.now()
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
	return d.Store.GrantLease(ctx, holderTTL)
}

// take writes the holder's key if there is none. After a lost answer it looks who holds.
func (d *Desk) take(ctx context.Context, id store.LeaseID) (token int64, ok bool) {
	value, err := json.Marshal(wireHolder{ID: d.ID, Address: d.Address})
	if err != nil {
		return 0, false
	}
	call, cancel := context.WithTimeout(ctx, standTimeout)
	defer cancel()
	result, err := d.Store.Commit(call, store.Txn{
		If:   []store.Condition{{Key: holderKey}},
		Then: []store.Op{store.Put(holderKey, value).WithLease(id)},
	})
	if err == nil {
		return result.Revision, result.Done
	}
	again, stop := context.WithTimeout(ctx, standTimeout)
	defer stop()
	e, found, err := d.Store.Read(again, holderKey)
	if err != nil || !found || e.Lease != id {
		return 0, false
	}
	return e.Revision, true
}

// end gives a lease back, so that a late commit under it fails.
func (d *Desk) end(id store.LeaseID) {
	ctx, cancel := context.WithTimeout(context.Background(), renewTimeout)
	defer cancel()
	if err := d.Store.RevokeLease(ctx, id); err != nil {
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
		Token: token, ID: d.ID, Store: d.Store, Workers: d.Workers, Timing: d.Timing,
		WorkerPrefix: d.WorkerPrefix, DecodeWorker: d.DecodeWorker, Log: d.Log, Meter: d.Meter, Now: d.now,
	}
	h.renewed(asked)
	term, cancel := context.WithCancel(ctx)
	defer cancel()
	h.stop = cancel
	go d.renew(term, h, id)
	began := d.now()
	d.Log.Emit(eventlog.TermBegun, zap.Int64("token", token), zap.String("former", former.ID))
	err := h.load(term, table, d.unheard())
	if err == nil {
		d.mu.Lock()
		d.current = h
		newer := d.table
		d.mu.Unlock()
		h.setTable(newer)
		go d.askFormer(term, h, former)
		d.Log.Emit(eventlog.TermServing, zap.Int64("token", token), zap.Duration("loaded", d.now().Sub(began)),
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
	return lease.Longer(d.Timing.MaxLease+d.Timing.RenewGrace) + time.Second
}

// askFormer shortens that time if the earlier holder says that it renews nothing any more.
func (d *Desk) askFormer(ctx context.Context, h *Holder, former holderRef) {
	if former.Address == "" || former.Token >= h.Token {
		return
	}
	retired := former.Address == d.Address
	if !retired {
		c, err := d.Peer(former.Address)
		if err != nil {
			return
		}
		bounded, cancel := context.WithTimeout(ctx, passTimeout)
		defer cancel()
		// Without an answer the longer time holds.
		retired, err = c.Retired(bounded, former.Token)
		if err != nil {
			return
		}
	}
	if retired {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.core.ShortenUnheard(h.Now())
	}
}

// renew keeps the lease of a term until it ends.
func (d *Desk) renew(ctx context.Context, h *Holder, id store.LeaseID) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(renewEvery):
		}
		asked := d.now()
		call, cancel := context.WithTimeout(ctx, renewTimeout)
		err := d.Store.KeepAlive(call, id)
		cancel()
		var lapsed *store.LeaseLapsedError
		switch {
		case err == nil:
			h.renewed(asked)
		case errors.As(err, &lapsed):
			h.lose("the store no longer knows the lease")
			return
		case ctx.Err() == nil && d.now().After(h.graceEnds()):
			h.lose("the store was away for too long")
			return
		}
	}
}
