package scheduler

import (
	"context"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/oriolepond/oriolepond/internal/batch"
	"github.com/oriolepond/oriolepond/internal/eventlog"
	"github.com/oriolepond/oriolepond/internal/store"
)

// setBestShare records the greatest CPU share of any node, as read from the store.
func (s *Scheduler) setBestShare(value []byte) {
	share, err := strconv.ParseFloat(string(value), 64)
	if err != nil {
		s.Log.Emit(eventlog.RecordUnreadable, zap.String("key", bestShareKey), zap.Error(err))
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bestShare = share
}

// publishShare measures the round-trip time to the store, and writes the node's
// CPU share to the store if it is the greatest so far.
func (s *Scheduler) publishShare(ctx context.Context) {
	sent := s.now()
	call, cancel := context.WithTimeout(ctx, electionCallTimeout)
	defer cancel()
	e, found, err := s.Store.Read(call, bestShareKey)
	if err != nil {
		s.Log.Emit(eventlog.StoreUnavailable, zap.String("use", "share"), zap.Error(err))
		return
	}
	s.recordRTT(s.now().Sub(sent))
	if found {
		s.setBestShare(e.Value)
	}
	s.mu.Lock()
	bestShare := s.bestShare
	s.mu.Unlock()
	if bestShare < s.CPUShare {
		value := strconv.FormatFloat(s.CPUShare, 'f', -1, 64)
		if _, err := s.Store.Commit(call, store.Txn{
			If: []store.Condition{{Key: bestShareKey, Revision: e.Revision}}, Then: []store.Op{store.Put(bestShareKey, []byte(value))},
		}); err != nil {
			s.Log.Emit(eventlog.StoreUnavailable, zap.String("use", "share"), zap.Error(err))
		}
	}
}

const (
	// countInterval is the wait between two counts of the workers, which register
	// about every 1.5 s.
	countInterval = 1500 * time.Millisecond
	// requiredEqualCounts is how many equal counts in a row mean that all workers have registered.
	requiredEqualCounts = 2
	// maxCountDelay bounds the extra delay of nodes with a small CPU share before they count
	// the workers: a node with a greater share decides first, and the others learn of it.
	maxCountDelay = 8 * time.Second
	// noWorkersTimeout is how long a node waits for a first worker before it decides
	// on a single cell.
	noWorkersTimeout = 10 * time.Second
)

// decideCellCount decides on the number of cells of a new deployment, unless
// another node does so first.
func (s *Scheduler) decideCellCount(ctx context.Context) {
	cellsKnown := s.whenCellsKnown()
	startedAt, wait := s.now(), firstCountDelay
	s.mu.Lock()
	if s.bestShare > s.CPUShare {
		wait += time.Duration((1 - s.CPUShare/s.bestShare) * float64(maxCountDelay))
	}
	s.mu.Unlock()
	lastCount, equalCounts := -1, 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-cellsKnown:
			return
		case <-time.After(wait + time.Duration(rand.Int64N(int64(electionJitter)))):
		}
		wait = countInterval
		workers, predatesCells, err := s.countWorkers(ctx)
		if err != nil {
			s.Log.Emit(eventlog.StoreUnavailable, zap.String("use", "cells"), zap.Error(err))
			wait = electionRetryInterval
			continue
		}
		if equalCounts++; workers != lastCount {
			lastCount, equalCounts = workers, 1
		}
		count := 1
		switch {
		case predatesCells:
		case workers == 0 && s.now().Sub(startedAt) < noWorkersTimeout, equalCounts < requiredEqualCounts:
			continue
		default:
			s.mu.Lock()
			count = batch.CellCount(workers, max(s.bestShare, s.CPUShare))
			s.mu.Unlock()
		}
		s.writeCellCount(ctx, count)
	}
}

// writeCellCount records the number of cells unless a node already has. In either
// case the watch delivers the recorded number.
func (s *Scheduler) writeCellCount(ctx context.Context, count int) {
	call, cancel := context.WithTimeout(ctx, electionCallTimeout)
	defer cancel()
	if _, err := s.Store.Commit(call, store.Txn{
		If: []store.Condition{{Key: CellsKey}}, Then: []store.Op{store.Put(CellsKey, []byte(strconv.Itoa(count)))},
	}); err != nil {
		s.Log.Emit(eventlog.StoreUnavailable, zap.String("use", "cells"), zap.Error(err))
	}
}

// countWorkers returns the number of registered workers, without entries that
// cannot be decoded, and whether the deployment is older than cells, in which
// case it keeps a single cell.
func (s *Scheduler) countWorkers(ctx context.Context) (workers int, predatesCells bool, err error) {
	if _, predatesCells, err = s.Store.Read(ctx, keysOfCell(0).head); err != nil || predatesCells {
		return 0, predatesCells, err
	}
	snapshot, err := s.Store.List(ctx, s.WorkerPrefix)
	if err != nil {
		return 0, false, err
	}
	for _, e := range snapshot.Entries {
		if _, err := s.DecodeWorker(strings.TrimPrefix(e.Key, s.WorkerPrefix), e.Value); err == nil {
			workers++
		}
	}
	return workers, false, nil
}
