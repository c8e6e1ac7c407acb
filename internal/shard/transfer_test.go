package shard

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/internal/task"
)

// racksGone takes all workers of a shard away for good.
func (w *world) racksGone() {
	for i := range w.workers {
		w.replace(i)
	}
}

// moved returns how many tasks of a shard other ones have.
func (w *world) moved() int {
	n := 0
	for _, l := range w.holders[len(w.holders)-1].core.links {
		n += len(l.out)
	}
	return n
}

// The tasks of a shard whose racks vanish run in another one, whether that one
// is idle or has work of its own.
func TestTasksOfVanishedRacksRunElsewhere(t *testing.T) {
	tests := []struct {
		name string
		own  int
		// within bounds the time, in seconds, until all have been handed over.
		within int
	}{
		{"other shard is idle", 0, 40},
		{"other shard has a queue of its own", 60, 40},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := newPool(2)
			gone, other := p.worlds[0], p.worlds[1]
			const tasks = 30
			if test.own > 0 {
				other.submit(other.holders[0], "batch", test.own)
				p.coast(3)
			}
			gone.submit(gone.holders[0], "plain", tasks)
			gone.commit(gone.holders[0], false)
			gone.racksGone()
			p.coast(test.within)
			states := gone.states()
			require.Equal(t, tasks, gone.moved()+states[task.Finished], "%v", states)
			for range 1200 {
				p.coast(1)
				p.check(t)
				if gone.states()[task.Finished] == tasks {
					break
				}
			}
			require.Equal(t, map[task.State]int{task.Finished: tasks}, gone.states())
			p.coast(3)
			require.Empty(t, other.holders[0].core.link(gone.shard).jobs, "nothing is left of tasks that have ended")
		})
	}
}

// A long queue beside an idle shard levels out, urgent tasks first; no task
// goes a second time, and two shards that are both full hand over nothing.
func TestImbalanceLevelsOut(t *testing.T) {
	p := newPool(2)
	long, idle := p.worlds[0], p.worlds[1]
	long.submit(long.holders[0], "batch", 12)
	long.submit(long.holders[0], "urgent", 6)
	p.coast(9)
	require.Positive(t, idle.holders[0].core.link(long.shard).Received)
	for id, j := range idle.holders[0].core.link(long.shard).jobs {
		require.Equal(t, "urgent", j.Name, "of job %s", id)
	}
	p.coast(20)
	require.Positive(t, len(idle.holders[0].core.Accounts(idle.now)))
	require.True(t, p.heal())
	p.check(t)
	require.Zero(t, idle.holders[0].core.link(long.shard).Sent, "a task came back")

	full := newPool(2)
	for _, w := range full.worlds {
		w.submit(w.holders[0], "batch", 60)
	}
	full.coast(100)
	for _, w := range full.worlds {
		for _, l := range w.holders[0].core.links {
			require.Zero(t, l.Sent, "two full shards hand tasks to each other")
		}
	}
}

// A cancellation reaches moved tasks wherever they are, and the status counts
// each task once at any time.
func TestCancelAndStatusOfMovedTasks(t *testing.T) {
	const tasks = 4
	tests := []struct {
		name   string
		before func(p *pool, from, to *world)
	}{
		{"they run", func(p *pool, _, _ *world) { p.coast(4) }},
		{"the transfer is not sent yet", func(*pool, *world, *world) {}},
		{"the answer to the transfer is lost", func(p *pool, from, to *world) {
			p.transfer(from.holders[0], to, answerLost)
			to.commit(to.holders[0], false)
		}},
		{"the holder that they came from is replaced", func(p *pool, from, _ *world) {
			p.coast(4)
			from.handOver(from.holders[0])
		}},
		{"their holder is replaced", func(p *pool, _, to *world) {
			p.coast(4)
			to.handOver(to.holders[0])
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p, from, to := giveAway(t, tasks)
			test.before(p, from, to)
			h := from.holders[0]
			s, err := h.core.Cancel("n", "aj1", from.now)
			require.NoError(t, err)
			require.Equal(t, tasks, sum(s.States))
			from.commit(h, false)
			// A holder that takes over knows of the cancellation.
			from.handOver(h)
			for range 10 {
				p.coast(1)
				require.Equal(t, tasks, sum(from.states()), "%v", from.states())
			}
			require.Equal(t, map[task.State]int{task.Cancelled: tasks}, from.states())
			require.Zero(t, from.ledger.Running())
			require.Zero(t, from.ledger.Finished())
		})
	}
}

// giveAway returns a pool whose first shard has committed a transfer of the tasks of job aj1.
func giveAway(t *testing.T, tasks int) (*pool, *world, *world) {
	t.Helper()
	p := newPool(2)
	from, to := p.worlds[0], p.worlds[1]
	from.racksGone()
	p.coast(1)
	h := from.holders[0]
	from.submit(h, "batch", tasks)
	from.commit(h, false)
	from.advance(h.core.timing.MoveAfter)
	p.coast(0)
	require.Equal(t, tasks, h.core.Give(to.shard, []FreeCapacity{{Family: "batch", Fits: true, Startable: tasks}}, from.now))
	from.commit(h, false)
	return p, from, to
}

func sum(states map[task.State]int) int {
	n := 0
	for _, each := range states {
		n += each
	}
	return n
}

// Tasks that come back to a shard whose caller has cancelled them do not run again.
func TestCancelledTaskThatReturnsStaysCancelled(t *testing.T) {
	p, from, to := giveAway(t, 2)
	to.racksGone()
	to.commit(to.holders[0], false)
	p.transfer(from.holders[0], to, answered)
	to.commit(to.holders[0], false)
	// The cancellation is not told while the other shard hands the tasks back.
	_, err := from.holders[0].core.Cancel("n", "aj1", from.now)
	require.NoError(t, err)
	from.commit(from.holders[0], false)
	to.holders[0].core.Surplus(to.now)
	to.advance(to.timing.StrandedAfter)
	to.holders[0].core.Surplus(to.now)
	to.round(to.holders[0])
	require.Len(t, to.holders[0].core.link(from.shard).untold, 2)
	p.report(to.holders[0], from, answered)
	from.round(from.holders[0])
	require.Equal(t, map[task.State]int{task.Cancelled: 2}, from.states())
}

// A task that ran before goes with its checkpoint, and its incarnations go on rising.
func TestMovedTaskGoesOnFromItsCheckpoint(t *testing.T) {
	p := newPool(2)
	from, to := p.worlds[0], p.worlds[1]
	h := from.holders[0]
	from.submit(h, "batch", 1)
	p.coast(20)
	h.core.Yield("aj1-0", from.now)
	p.coast(0)
	for range 5 {
		from.commit(h, false)
		for i := range from.workers {
			from.exchange(h, i, answered)
		}
		if e := h.core.tasks["aj1-0"]; e.State != task.Yielding {
			break
		}
		from.advance(time.Second)
	}
	e := h.core.tasks["aj1-0"]
	require.Equal(t, task.Queued, e.State)
	require.NotEmpty(t, e.Checkpoint)
	before, used := e.Incarnation, h.core.Accounts(from.now)[0].Usage
	require.Positive(t, used.Processor.Seconds())
	from.advance(from.timing.MoveAfter)
	require.Equal(t, 1, h.core.Give(to.shard, []FreeCapacity{{Family: "batch", Fits: true, Startable: 1}}, from.now))
	p.coast(4)
	foreign := to.holders[0].core.tasks["aj1-0"]
	require.Equal(t, task.Running, foreign.State)
	require.Equal(t, before+1, foreign.Incarnation)
	require.True(t, p.heal())
	p.check(t)
	all := from.holders[0].core.Accounts(from.now)[0].Usage.Sum(to.holders[0].core.Accounts(to.now)[0].Usage)
	require.InDelta(t, from.ledger.Used("batch").Processor.Seconds(), all.Processor.Seconds(), 0.001)
}

// A holder that was replaced, and so lacks a transfer, says neither that it
// has the next one nor that it has taken an end.
func TestReplacedHolderConfirmsNothing(t *testing.T) {
	p, from, to := giveAway(t, 1)
	stale, staleTaker := NewCore(from.timing, from.now, true), NewCore(to.timing, to.now, true)
	stale.Configure(from.config, from.quotas())
	stale.Restore(from.batches[:1], from.now)
	staleTaker.Configure(to.config, to.quotas())
	p.transfer(from.holders[0], to, answered)
	to.commit(to.holders[0], false)
	var not *NotLeaderError
	row := MovedState{Job: "aj1", Transfer: 1, State: task.Finished}
	require.ErrorAs(t, stale.Settle(Report{From: to.shard, Rows: []MovedState{row}}, from.now), &not)
	require.ErrorAs(t, staleTaker.Accept(Transfer{From: from.shard, Number: 2, Jobs: []MovedJob{{ID: "aj1"}}}, to.now), &not)
	require.ErrorAs(t, staleTaker.Accept(Transfer{From: from.shard, Number: 1, Cancelled: []string{"aj1"}}, to.now), &not)
}
