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

// readings are the last reported usages, by task and incarnation.
type readings map[string]map[int64]worker.Usage

func (r readings) clone() readings {
	cloned := readings{}
	for id, incarnations := range r {
		cloned[id] = maps.Clone(incarnations)
	}
	return cloned
}

// record applies the usages in a report.
func (r readings) record(report worker.Report) {
	for _, row := range report.Tasks {
		if r[row.Task] == nil {
			r[row.Task] = map[int64]worker.Usage{}
		}
		r[row.Task][row.Incarnation] = row.Usage
	}
}

// recordDurable records which of the readings that a leader had received a batch makes durable: those
// of the tasks in the batch, and of the ended tasks of the jobs in the batch.
func (w *simulation) recordDurable(received readings, b journal.Batch) {
	keep := func(id string) { w.durableReadings[id] = maps.Clone(received[id]) }
	for _, t := range b.Tasks {
		handedBack := t.Origin.Shard != "" && t.State == task.Moved
		w.endedTasks[t.ID()] = t.State.Final() || t.State == task.Released || handedBack
		keep(t.ID())
	}
	for _, f := range b.Resolved {
		if w.endedTasks[f.Task] {
			// The usage of a task that was handed back to its shard went to the account.
			keep(f.Task)
		}
	}
	for _, j := range b.Jobs {
		for n := range j.Tasks {
			id := task.ID(j.ID, j.First+n)
			if !j.EndedAt.IsZero() || w.endedTasks[id] {
				keep(id)
			}
		}
	}
}

// checkAccounts fails unless a leader counts all usage that was reported to it or is in the journal
// exactly once, and the usage that was not reported is within the bound in the leader's accounts.
func (w *simulation) checkAccounts(t require.TestingT, leader *simLeader) {
	var counted, reported worker.Total
	var open worker.Usage
	for _, a := range leader.core.Accounts(w.now) {
		counted = counted.Sum(a.Usage)
		open = open.Plus(a.OpenAtMost)
	}
	for _, incarnations := range leader.received {
		for _, u := range incarnations {
			reported = reported.Plus(u)
		}
	}
	require.Equal(t, reported.Processor, counted.Processor, "reported processor time is not counted exactly once")
	require.InEpsilon(t, 1+reported.MemoryTime, 1+counted.MemoryTime, 1e-9, "reported memory use is not counted exactly once")
	if leader.epoch != w.epoch {
		return
	}
	var missing worker.Usage
	for i, u := range w.ledger.Spent() {
		if !w.sent[i] {
			// The incarnation ran in another shard, whose accounts count it.
			continue
		}
		missing = missing.Plus(u.Minus(leader.received[i.Task][i.Incarnation]))
	}
	require.LessOrEqual(t, missing.Processor, open.Processor, "unreported processor time exceeds the stated bound")
	require.LessOrEqual(t, missing.MemoryTime, open.MemoryTime, "unreported memory use exceeds the stated bound")
}

// Guards against losing usage: a worker that starts the next incarnation of a task forgets the last
// one. So a task whose lease has expired must not start again on the worker that may still report
// the end of the last incarnation.
func TestExpiredTaskAvoidsWorkerWithUnreadUsage(t *testing.T) {
	w := newSimulation()
	leader := w.leaders[0]
	w.run(2, 0)
	for i := range simWorkers - 1 {
		w.toggleWorker(i)
	}
	w.submit(leader, "batch", 1)
	w.run(2, 0)
	w.advance(13500 * time.Millisecond)
	for range 30 {
		w.advance(time.Second)
		w.leaderRound(leader)
		w.checkInvariants(t)
	}
	require.Equal(t, 2, w.ledger.Starts(), "the task must run again once the end was reported")
}

// Guards against overflow of a share's usage: 600 years of processor time exceed a time.Duration.
func TestAccountDoesNotOverflow(t *testing.T) {
	w := newSimulation()
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
	w.handOver(w.leaders[0])
	leader := w.leaders[0]
	for range 2 {
		a := leader.core.Accounts(w.now)[0]
		require.InEpsilon(t, 3*years.Seconds(), a.Usage.Processor.Seconds(), 1e-9)
		require.InEpsilon(t, 3*years.Seconds(), a.Usage.Accelerator.Seconds(), 1e-9)
		w.advance(w.timing.Retention + sweepInterval)
		w.run(1, 0)
		require.Empty(t, leader.core.jobs, "the jobs must have been dropped, and their usage moved to the account")
	}
}

// Guards against state that grows without bound: at most maxLost lost incarnations are kept, of
// which the oldest are dropped first, and none is kept longer than the retention.
func TestLostIncarnationsAreBounded(t *testing.T) {
	w := newSimulation()
	leader := w.leaders[0]
	for n := range maxLost {
		leader.core.setLost(journal.Lost{Ack: worker.Ack{Task: fmt.Sprint(n)}, Worker: "away", LostAt: w.now.Add(time.Duration(n))})
	}
	w.submit(leader, "batch", 1)
	w.run(3, 0)
	w.partitioned[[2]int64{leader.epoch, 0}], w.partitioned[[2]int64{leader.epoch, 1}], w.partitioned[[2]int64{leader.epoch, 2}] = true, true, true
	w.run(20, 0)
	require.Len(t, leader.core.lost, maxLost)
	require.Contains(t, leader.core.lost, worker.Ack{Task: "j1-0", Incarnation: 1})
	require.NotContains(t, leader.core.lost, worker.Ack{Task: "0"})
	w.advance(w.timing.Retention)
	w.run(1, 0)
	require.Empty(t, leader.core.lost)
}
