package shard

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/internal/journal"
	"github.com/oriolepond/oriolepond/internal/task"
	"github.com/oriolepond/oriolepond/internal/worker"
)

// readings are the last readings of the incarnations of each task.
type readings map[string]map[int64]worker.Usage

func (r readings) clone() readings {
	all := readings{}
	for id, incarnations := range r {
		all[id] = maps.Clone(incarnations)
	}
	return all
}

// take notes what a report says.
func (r readings) take(report worker.Report) {
	for _, row := range report.Tasks {
		if r[row.Task] == nil {
			r[row.Task] = map[int64]worker.Usage{}
		}
		r[row.Task][row.Incarnation] = row.Usage
	}
}

// keep notes what a holder's batch makes durable: the readings of the tasks
// that it names, and of the ended tasks of the jobs that it names.
func (w *world) keep(h *worldHolder, b journal.Batch) {
	keep := func(id string) { w.durable[id] = maps.Clone(h.heard[id]) }
	for _, t := range b.Tasks {
		handedBack := t.Origin.Shard != "" && t.State == task.Moved
		w.final[t.ID()] = t.State.Final() || t.State == task.Released || handedBack
		keep(t.ID())
	}
	for _, f := range b.Found {
		if w.final[f.Task] {
			// The usage of a task that another shard has back went to the account.
			keep(f.Task)
		}
	}
	for _, j := range b.Jobs {
		for n := range j.Tasks {
			id := task.ID(j.ID, j.First+n)
			if !j.EndedAt.IsZero() || w.final[id] {
				keep(id)
			}
		}
	}
}

// checkAccounts fails unless a holder counts all that it or the journal was
// told, once, and what it does not know yet is within the stated bound.
func (w *world) checkAccounts(t require.TestingT, h *worldHolder) {
	var counted, told worker.Total
	var open worker.Usage
	for _, a := range h.core.Accounts(w.now) {
		counted = counted.Sum(a.Usage)
		open = open.Plus(a.OpenAtMost)
	}
	for _, incarnations := range h.heard {
		for _, u := range incarnations {
			told = told.Plus(u)
		}
	}
	require.Equal(t, told.Processor, counted.Processor, "processor time that was reported")
	require.InEpsilon(t, 1+told.MemoryTime, 1+counted.MemoryTime, 1e-9, "memory that was reported")
	if h.epoch != w.epoch {
		return
	}
	var missing worker.Usage
	for i, u := range w.ledger.Spent() {
		if !w.sent[i] {
			// It ran in another shard.
			continue
		}
		missing = missing.Plus(u.Minus(h.heard[i.Task][i.Incarnation]))
	}
	require.LessOrEqual(t, missing.Processor, open.Processor, "processor time that was not reported")
	require.LessOrEqual(t, missing.MemoryTime, open.MemoryTime, "memory that was not reported")
}

// A task whose incarnation lapsed does not start again on the worker that may
// still report the end of that incarnation: the worker would forget it.
func TestLapsedTaskLeavesItsLastReadingToBeRead(t *testing.T) {
	w := newWorld()
	h := w.holders[0]
	w.coast(2, 0)
	for i := range worldWorkers - 1 {
		w.replace(i)
	}
	w.submit(h, "batch", 1)
	w.coast(2, 0)
	w.advance(13500 * time.Millisecond)
	for range 30 {
		w.advance(time.Second)
		w.round(h)
		w.check(t)
	}
	require.Equal(t, 2, w.ledger.Starts(), "it runs again once the end was read")
}

// What a share has used does not overflow, however large the pool.
func TestAccountHoldsMoreThanOneDuration(t *testing.T) {
	w := newWorld()
	years := 200 * 365 * 24 * time.Hour
	batch := journal.Batch{}
	for n := range 3 {
		batch.Jobs = append(batch.Jobs, task.Job{
			Part:    task.Part{ID: fmt.Sprint("old", n), Neighbour: "n", Share: "s", Name: "batch", Tasks: 1},
			EndedAt: w.now,
			Usage:   worker.Usage{Processor: years, Accelerator: years},
		})
	}
	w.batches = append(w.batches, batch)
	w.handOver(w.holders[0])
	h := w.holders[0]
	for range 2 {
		a := h.core.Accounts(w.now)[0]
		require.InEpsilon(t, 3*years.Seconds(), a.Usage.Processor.Seconds(), 1e-9)
		require.InEpsilon(t, 3*years.Seconds(), a.Usage.Accelerator.Seconds(), 1e-9)
		w.advance(w.timing.Retention + sweepEvery)
		w.coast(1, 0)
		require.Empty(t, h.core.jobs, "the usage has moved to the account")
	}
}

// The lost incarnations that are kept are bounded: the oldest go first, and
// all go after the retention.
func TestLostIncarnationsAreBounded(t *testing.T) {
	w := newWorld()
	h := w.holders[0]
	for n := range maxLost {
		h.core.setLost(journal.Lost{Ack: worker.Ack{Task: fmt.Sprint(n)}, Worker: "away", LostAt: w.now.Add(time.Duration(n))})
	}
	w.submit(h, "batch", 1)
	w.coast(3, 0)
	w.cut[[2]int64{h.epoch, 0}], w.cut[[2]int64{h.epoch, 1}], w.cut[[2]int64{h.epoch, 2}] = true, true, true
	w.coast(20, 0)
	require.Len(t, h.core.lost, maxLost)
	require.Contains(t, h.core.lost, worker.Ack{Task: "j1-0", Incarnation: 1})
	require.NotContains(t, h.core.lost, worker.Ack{Task: "0"})
	w.advance(w.timing.Retention)
	w.coast(1, 0)
	require.Empty(t, h.core.lost)
}
