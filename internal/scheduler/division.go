package scheduler

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/oriolepond/oriolepond/internal/batch"
	"github.com/oriolepond/oriolepond/internal/eventlog"
	"github.com/oriolepond/oriolepond/internal/store"
)

// setBest takes the greatest share that a node is known to have.
func (p *Scheduler) setBest(value []byte) {
	share, err := strconv.ParseFloat(string(value), 64)
	if err != nil {
		p.Log.Emit(eventlog.RecordUnreadable, zap.String("key", bestKey), zap.Error(err))
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.best = share
}

// introduce measures how far the store is, and tells the node's share if it is
// the greatest so far.
func (p *Scheduler) introduce(ctx context.Context) {
	asked := p.now()
	call, cancel := context.WithTimeout(ctx, standTimeout)
	defer cancel()
	e, found, err := p.Store.Read(call, bestKey)
	if err != nil {
		p.Log.Emit(eventlog.StoreUnavailable, zap.String("use", "share"), zap.Error(err))
		return
	}
	p.mu.Lock()
	p.rtt = p.now().Sub(asked)
	p.mu.Unlock()
	if found {
		p.setBest(e.Value)
	}
	p.mu.Lock()
	best := p.best
	p.mu.Unlock()
	if best < p.CPUShare {
		value := strconv.FormatFloat(p.CPUShare, 'f', -1, 64)
		if _, err := p.Store.Commit(call, store.Txn{
			If: []store.Condition{{Key: bestKey, Revision: e.Revision}}, Then: []store.Op{store.Put(bestKey, []byte(value))},
		}); err != nil {
			p.Log.Emit(eventlog.StoreUnavailable, zap.String("use", "share"), zap.Error(err))
		}
	}
}

const (
	// dividePause is the wait between two counts of the workers: they register
	// about every 1.5 s.
	dividePause = 1500 * time.Millisecond
	// settledCounts is how many counts in a row have to agree until all workers have registered.
	settledCounts = 2
	// divideSpread is how much later the nodes with little processor count the
	// workers: one of the others decides, and they hear of it.
	divideSpread = 8 * time.Second
	// emptyWait is how long a deployment without workers is waited for until it
	// counts as one that is not divided.
	emptyWait = 10 * time.Second
)

// divide decides into how many cells a new deployment is divided, unless
// another node does before.
func (p *Scheduler) divide(ctx context.Context) {
	opened := p.whenOpened()
	began, wait := p.now(), firstWait
	p.mu.Lock()
	if p.best > p.CPUShare {
		wait += time.Duration((1 - p.CPUShare/p.best) * float64(divideSpread))
	}
	p.mu.Unlock()
	last, same := -1, 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-opened:
			return
		case <-time.After(wait + time.Duration(rand.Int64N(int64(standSpread)))):
		}
		wait = dividePause
		workers, divided, err := p.countWorkers(ctx)
		if err != nil {
			p.Log.Emit(eventlog.StoreUnavailable, zap.String("use", "cells"), zap.Error(err))
			wait = standPause
			continue
		}
		if same++; workers != last {
			last, same = workers, 1
		}
		count := 1
		switch {
		case divided:
		case workers == 0 && p.now().Sub(began) < emptyWait, same < settledCounts:
			continue
		default:
			p.mu.Lock()
			count = batch.CellCount(workers, max(p.best, p.CPUShare))
			p.mu.Unlock()
		}
		p.writeCells(ctx, count)
	}
}

// writeCells records the number of cells if no node has. Whatever becomes of
// it, the watch tells what was decided.
func (p *Scheduler) writeCells(ctx context.Context, count int) {
	call, cancel := context.WithTimeout(ctx, standTimeout)
	defer cancel()
	if _, err := p.Store.Commit(call, store.Txn{
		If: []store.Condition{{Key: CellsKey}}, Then: []store.Op{store.Put(CellsKey, []byte(strconv.Itoa(count)))},
	}); err != nil {
		p.Log.Emit(eventlog.StoreUnavailable, zap.String("use", "cells"), zap.Error(err))
	}
}

// countWorkers returns how many workers are registered, and whether the
// deployment ran before there were cells: then it has one.
func (p *Scheduler) countWorkers(ctx context.Context) (workers int, divided bool, err error) {
	if _, divided, err = p.Store.Read(ctx, keysOf(0).head); err != nil || divided {
		return 0, divided, err
	}
	s, err := p.Store.List(ctx, p.WorkerPrefix)
	return len(s.Entries), false, err
}
