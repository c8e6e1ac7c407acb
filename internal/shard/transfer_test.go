package shard

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/internal/task"
)

// toggleAllWorkers removes all workers of a shard, see toggleWorker.
func (w *simulation) toggleAllWorkers() {
	for i := range w.workers {
		w.toggleWorker(i)
	}
}

// movedTasks returns how many tasks of a shard were handed over to other shards.
func (w *simulation) movedTasks() int {
	n := 0
	for _, l := range w.leaders[len(w.leaders)-1].core.links {
		n += len(l.movedOut)
	}
	return n
}

// Tasks of a shard whose racks are removed must run in another shard, whether that one is idle or
// busy.
func TestTasksOfRemovedRacksRunElsewhere(t *testing.T) {
	tests := []struct {
		name string
		// queued is the number of tasks that the other shard has queued itself.
		queued int
		// limit is the time, in seconds, within which all tasks must be handed over.
		limit int
	}{
		{"other shard is idle", 0, 40},
		{"other shard has a queue of its own", 60, 40},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := newShardPool(2)
			emptied, other := p.shards[0], p.shards[1]
			const tasks = 30
			if test.queued > 0 {
				other.submit(other.leaders[0], "batch", test.queued)
				p.run(3)
			}
			emptied.submit(emptied.leaders[0], "plain", tasks)
			emptied.commit(emptied.leaders[0], false)
			emptied.toggleAllWorkers()
			p.run(test.limit)
			states := emptied.states()
			require.Equal(t, tasks, emptied.movedTasks()+states[task.Finished], "%v", states)
			for range 1200 {
				p.run(1)
				p.checkInvariants(t)
				if emptied.states()[task.Finished] == tasks {
					break
				}
			}
			require.Equal(t, map[task.State]int{task.Finished: tasks}, emptied.states())
			p.run(3)
			require.Empty(t, other.leaders[0].core.link(emptied.shard).foreignJobs, "foreign tasks that have ended must be dropped")
		})
	}
}

// Tasks of a long queue must be handed over to an idle shard, urgent ones first. No task may be
// handed back, and two full shards must not exchange tasks.
func TestQueueImbalanceIsEvenedOut(t *testing.T) {
	p := newShardPool(2)
	long, idle := p.shards[0], p.shards[1]
	long.submit(long.leaders[0], "batch", 12)
	long.submit(long.leaders[0], "urgent", 6)
	p.run(9)
	require.Positive(t, idle.leaders[0].core.link(long.shard).Received)
	for id, j := range idle.leaders[0].core.link(long.shard).foreignJobs {
		require.Equal(t, "urgent", j.Name, "family of moved job %s", id)
	}
	p.run(20)
	require.Positive(t, len(idle.leaders[0].core.Accounts(idle.now)))
	require.True(t, p.runToCompletion())
	p.checkInvariants(t)
	require.Zero(t, idle.leaders[0].core.link(long.shard).Sent, "a task was handed back")

	full := newShardPool(2)
	for _, w := range full.shards {
		w.submit(w.leaders[0], "batch", 60)
	}
	full.run(100)
	for _, w := range full.shards {
		for _, l := range w.leaders[0].core.links {
			require.Zero(t, l.Sent, "two full shards handed tasks to each other")
		}
	}
}

// A cancellation must reach moved tasks wherever they are, and the status must count each task once
// at any time.
func TestCancellationReachesMovedTasks(t *testing.T) {
	const tasks = 4
	tests := []struct {
		name   string
		before func(p *shardPool, from, to *simulation)
	}{
		{"the moved tasks run", func(p *shardPool, _, _ *simulation) { p.run(4) }},
		{"the transfer is not sent yet", func(*shardPool, *simulation, *simulation) {}},
		{"the response to the transfer is lost", func(p *shardPool, from, to *simulation) {
			p.transfer(from.leaders[0], to, answerLost)
			to.commit(to.leaders[0], false)
		}},
		{"the leader that moved them is replaced", func(p *shardPool, from, _ *simulation) {
			p.run(4)
			from.handOver(from.leaders[0])
		}},
		{"the leader that received them is replaced", func(p *shardPool, _, to *simulation) {
			p.run(4)
			to.handOver(to.leaders[0])
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p, from, to := commitTransfer(t, tasks)
			test.before(p, from, to)
			leader := from.leaders[0]
			s, err := leader.core.Cancel("n", "aj1", from.now)
			require.NoError(t, err)
			require.Equal(t, tasks, sum(s.States))
			from.commit(leader, false)
			// The next leader must know of the cancellation.
			from.handOver(leader)
			for range 10 {
				p.run(1)
				require.Equal(t, tasks, sum(from.states()), "%v", from.states())
			}
			require.Equal(t, map[task.State]int{task.Cancelled: tasks}, from.states())
			require.Zero(t, from.ledger.Running())
			require.Zero(t, from.ledger.Finished())
		})
	}
}

// commitTransfer returns a pool whose first shard has committed, but not sent, a transfer of the
// tasks of job aj1.
func commitTransfer(t *testing.T, tasks int) (*shardPool, *simulation, *simulation) {
	t.Helper()
	p := newShardPool(2)
	from, to := p.shards[0], p.shards[1]
	from.toggleAllWorkers()
	p.run(1)
	leader := from.leaders[0]
	from.submit(leader, "batch", tasks)
	from.commit(leader, false)
	from.advance(leader.core.timing.MoveAfter)
	p.run(0)
	require.Equal(t, tasks, leader.core.HandOver(to.shard, []FreeCapacity{{Family: "batch", Fits: true, Startable: tasks}}, from.now))
	from.commit(leader, false)
	return p, from, to
}

func sum(states map[task.State]int) int {
	n := 0
	for _, each := range states {
		n += each
	}
	return n
}

// Tasks of a cancelled job that another shard hands back must not run again.
func TestCancelledTaskThatReturnsStaysCancelled(t *testing.T) {
	p, from, to := commitTransfer(t, 2)
	to.toggleAllWorkers()
	to.commit(to.leaders[0], false)
	p.transfer(from.leaders[0], to, answered)
	to.commit(to.leaders[0], false)
	// The other shard hands the tasks back before it is told of the cancellation.
	_, err := from.leaders[0].core.Cancel("n", "aj1", from.now)
	require.NoError(t, err)
	from.commit(from.leaders[0], false)
	to.leaders[0].core.Surplus(to.now)
	to.advance(to.timing.StrandedAfter)
	to.leaders[0].core.Surplus(to.now)
	to.leaderRound(to.leaders[0])
	require.Len(t, to.leaders[0].core.link(from.shard).unreported, 2)
	p.report(to.leaders[0], from, answered)
	from.leaderRound(from.leaders[0])
	require.Equal(t, map[task.State]int{task.Cancelled: 2}, from.states())
}

// A task that has run before must take its checkpoint along when it is handed over, and its
// incarnation numbers must keep increasing.
func TestMovedTaskResumesFromItsCheckpoint(t *testing.T) {
	p := newShardPool(2)
	from, to := p.shards[0], p.shards[1]
	leader := from.leaders[0]
	from.submit(leader, "batch", 1)
	p.run(20)
	leader.core.Yield("aj1-0", from.now)
	p.run(0)
	for range 5 {
		from.commit(leader, false)
		for i := range from.workers {
			from.exchange(leader, i, answered)
		}
		if e := leader.core.tasks["aj1-0"]; e.State != task.Yielding {
			break
		}
		from.advance(time.Second)
	}
	e := leader.core.tasks["aj1-0"]
	require.Equal(t, task.Queued, e.State)
	require.NotEmpty(t, e.Checkpoint)
	before, used := e.Incarnation, leader.core.Accounts(from.now)[0].Usage
	require.Positive(t, used.Processor.Seconds())
	from.advance(from.timing.MoveAfter)
	require.Equal(t, 1, leader.core.HandOver(to.shard, []FreeCapacity{{Family: "batch", Fits: true, Startable: 1}}, from.now))
	p.run(4)
	foreign := to.leaders[0].core.tasks["aj1-0"]
	require.Equal(t, task.Running, foreign.State)
	require.Equal(t, before+1, foreign.Incarnation)
	require.True(t, p.runToCompletion())
	p.checkInvariants(t)
	total := from.leaders[0].core.Accounts(from.now)[0].Usage.Sum(to.leaders[0].core.Accounts(to.now)[0].Usage)
	require.InDelta(t, from.ledger.Used("batch").Processor.Seconds(), total.Processor.Seconds(), 0.001)
}

// A leader that was replaced, and therefore doesn't know a transfer, must confirm neither the next
// transfer nor the end of a moved task.
func TestReplacedLeaderConfirmsNothing(t *testing.T) {
	p, from, to := commitTransfer(t, 1)
	stale, staleReceiver := NewCore(from.timing, from.now, true), NewCore(to.timing, to.now, true)
	stale.Configure(from.config, from.quotas())
	stale.Restore(from.batches[:1], from.now)
	staleReceiver.Configure(to.config, to.quotas())
	p.transfer(from.leaders[0], to, answered)
	to.commit(to.leaders[0], false)
	var not *NotLeaderError
	row := MovedState{Job: "aj1", Transfer: 1, State: task.Finished}
	require.ErrorAs(t, stale.ApplyMovedReport(Report{From: to.shard, Rows: []MovedState{row}}, from.now), &not)
	require.ErrorAs(t, staleReceiver.Accept(Transfer{From: from.shard, Number: 2, Jobs: []MovedJob{{ID: "aj1"}}}, to.now), &not)
	require.ErrorAs(t, staleReceiver.Accept(Transfer{From: from.shard, Number: 1, Cancelled: []string{"aj1"}}, to.now), &not)
}
