package batch

import (
	"maps"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/pkg/share"
)

// longRunningJob returns a job of long-running tasks, each of which needs a whole worker of 4
// cores.
func longRunningJob(t *testing.T, tasks int) Job {
	return homeJob(t, 0, Step{Tasks: tasks, Size: share.Resources{Processors: 4000}, LongRunning: true})
}

// coreOfCell returns the core of one of three cells, with four free workers.
func coreOfCell(t *testing.T, index int, now time.Time) *Core {
	c := fourWorkerCore(t, now)
	c.SetCell(Cell{Index: index, Count: 3})
	return c
}

// delegateTwo returns a core that runs four of six long-running tasks, and the changes that
// delegate the other two to cell 1.
func delegateTwo(t *testing.T, now time.Time) (*Core, Job, Changes, time.Time) {
	t.Helper()
	core := firstCellCore(t, now)
	j := longRunningJob(t, 6)
	require.NoError(t, core.Submit(j, now, nil))
	core.Plan(now)
	require.Len(t, commitAndStart(t, core, now), 4)
	core.SetPeers(map[int]Load{1: {Capacity: 16_000, Free: 16_000, LargestFree: 4000}})
	core.Plan(now.Add(starvedAfter / 2))
	require.False(t, core.HasChanges(), "delegated before the tasks have waited")
	later := now.Add(2 * starvedAfter)
	core.Plan(later)
	changes, err := core.TakeChanges(20, later)
	require.NoError(t, err)
	require.Len(t, changes.Records, 1)
	require.NotNil(t, changes.Records[0].Delegation)
	require.Equal(t, 2, changes.Writes())
	core.Committed(changes)
	return core, j, changes, later
}

// Long-running tasks that wait in a full cell are delegated to another cell and run there, once
// each.
func TestStarvedLongRunningTasksAreDelegatedOnce(t *testing.T) {
	now := time.Unix(1_000_000_000, 0)
	core, j, changes, later := delegateTwo(t, now)
	delegation := changes.Records[0].Delegation
	require.Equal(t, 1, delegation.To)
	other := coreOfCell(t, 1, later)
	for range 2 {
		// A leader may find the delegation in its inbox more than once.
		id, err := other.AcceptDelegation(delegation.Value, later)
		require.NoError(t, err)
		require.Equal(t, DelegatedID(j.ID), id)
	}
	other.Plan(later)
	calls := commitAndStart(t, other, later)
	require.Len(t, calls, 2)
	for name := range calls {
		require.Contains(t, []int{4, 5}, name.Index)
	}
	require.Zero(t, other.Pending("check"))
	// Neither the delegating core nor its successor starts the tasks again, even once there is free
	// capacity.
	next := coreOfCell(t, 0, later)
	require.NoError(t, next.Restore(changes.Records[0].Value, later))
	for _, c := range []*Core{core, next} {
		require.Equal(t, 4, len(c.jobs[j.ID].stages[0].runs()))
		c.Plan(later.Add(time.Minute))
		for _, command := range c.TakeCommands() {
			require.NotEqual(t, CommandStart, command.Kind)
		}
		state, known := c.State(j.ID)
		require.True(t, known)
		require.Equal(t, Active, state)
	}
}

// After a leader change in the cell that was delegated tasks, the next leader runs these tasks, and
// no others of the job.
func TestDelegatedTasksSurviveLeaderChange(t *testing.T) {
	now := time.Unix(1_000_000_000, 0)
	_, j, changes, later := delegateTwo(t, now)
	other := coreOfCell(t, 1, later)
	_, err := other.AcceptDelegation(changes.Records[0].Delegation.Value, later)
	require.NoError(t, err)
	_, records := commitAll(t, other, later)
	next := coreOfCell(t, 1, later)
	require.NoError(t, next.Restore(records[len(records)-1], later))
	next.Plan(later)
	require.Len(t, commitAndStart(t, next, later), 2)
	require.Equal(t, 2, next.jobs[DelegatedID(j.ID)].stages[0].unfinished)
}

// Guards against delegated tasks that keep running after their job was cancelled.
func TestCancelReachesDelegatedTasks(t *testing.T) {
	now := time.Unix(1_000_000_000, 0)
	core, j, changes, later := delegateTwo(t, now)
	other := coreOfCell(t, 1, later)
	_, err := other.AcceptDelegation(changes.Records[0].Delegation.Value, later)
	require.NoError(t, err)
	other.Plan(later)
	require.Len(t, commitAndStart(t, other, later), 2)
	require.True(t, core.Cancel(j.ID, later, nil))
	last, err := core.TakeChanges(20, later)
	require.NoError(t, err)
	require.Equal(t, []int{1}, last.Records[0].CancelCells)
	require.Equal(t, DelegatedID(j.ID), last.Records[0].CancelID)
	require.True(t, other.Cancel(DelegatedID(j.ID), later, nil))
	stops := 0
	for _, command := range other.TakeCommands() {
		if command.Kind == CommandStop {
			stops++
		}
	}
	require.Equal(t, 2, stops)
	// A delegation that is found again after the cancel starts nothing.
	_, err = other.AcceptDelegation(changes.Records[0].Delegation.Value, later)
	require.NoError(t, err)
	other.Plan(later)
	require.Empty(t, commitAndStart(t, other, later))
}

// A home that handed a job over may be given delegated tasks of the same job. Its forwarding record
// stays, and reported ends are applied to the delegated tasks.
func TestHomeAcceptsDelegatedTasksOfForwardedJob(t *testing.T) {
	now := time.Unix(1_000_000_000, 0)
	home := firstCellCore(t, now)
	j, changes := handOver(t, home, now)
	home.Committed(changes)
	other := coreOfCell(t, 1, now)
	longRunning := longRunningJob(t, 6)
	longRunning.ID = j.ID
	require.NoError(t, other.AcceptFromCell(longRunning, now))
	other.Plan(now)
	require.Len(t, commitAndStart(t, other, now), 4)
	other.SetPeers(map[int]Load{0: {Capacity: 16_000, Free: 16_000, LargestFree: 4000}})
	later := now.Add(2 * starvedAfter)
	other.Plan(later)
	delegated, err := other.TakeChanges(20, later)
	require.NoError(t, err)
	_, err = home.AcceptDelegation(delegated.Records[0].Delegation.Value, later)
	require.NoError(t, err)
	to, moved := home.ForwardedTo(j.ID)
	require.True(t, moved)
	require.Equal(t, 1, to)
	home.Plan(later)
	calls := commitAndStart(t, home, later)
	require.Len(t, calls, 2)
	for name, call := range calls {
		home.ApplyReport(call.Worker, Report{Incarnation: 1, Clock: time.Hour, Ended: []EndedRow{
			{Number: 1, Task: name, Run: call.Run, How: EndFailed},
		}}, later, later)
	}
	later = later.Add(time.Second)
	home.Plan(later)
	again := commitAndStart(t, home, later)
	require.Len(t, again, 2, "long-running tasks must restart in the cell that they were delegated to")
	for name, call := range again {
		require.Equal(t, calls[name].Run+1, call.Run)
	}
}

// A job that was accepted while the other cells' loads were unknown is handed over if it waits too
// long for its first run. Until the hand-over is durable, this cell reports it as queued.
func TestStarvedJobIsHandedOver(t *testing.T) {
	now := time.Unix(1_000_000_000, 0)
	core := firstCellCore(t, now)
	require.NoError(t, core.Submit(longRunningJob(t, 4), now, nil))
	core.Plan(now)
	require.Len(t, commitAndStart(t, core, now), 4)
	waiting := homeJob(t, 1000, Step{Tasks: 2, Size: share.Resources{Processors: 2000}})
	require.NoError(t, core.Submit(waiting, now, nil))
	core.Plan(now)
	commitAll(t, core, now)
	core.SetPeers(map[int]Load{2: {Capacity: 16_000, Free: 16_000, Idle: 16_000, LargestFree: 4000}})
	later := now.Add(2 * starvedAfter)
	core.Plan(later)
	state, known := core.State(waiting.ID)
	require.True(t, known)
	require.Equal(t, Queued, state)
	_, moved := core.ForwardedTo(waiting.ID)
	require.False(t, moved)
	changes, err := core.TakeChanges(20, later)
	require.NoError(t, err)
	handed, err := DecodeJob(changes.Records[0].HandedOver)
	require.NoError(t, err)
	require.Equal(t, waiting.Steps, handed.Steps)
	core.Committed(changes)
	to, moved := core.ForwardedTo(waiting.ID)
	require.True(t, moved)
	require.Equal(t, 2, to)
}

// Delegated tasks that wait too long are delegated again, but not soon to a cell that delegated them
// before. A cancel still reaches them.
func TestDelegatedTasksAreNotDelegatedBack(t *testing.T) {
	now := time.Unix(1_000_000_000, 0)
	_, j, changes, later := delegateTwo(t, now)
	second := coreOfCell(t, 1, later)
	other := Job{ID: "other", Queue: "check", Steps: []Step{{Tasks: 4, Size: share.Resources{Processors: 4000}}}}
	require.NoError(t, second.AcceptFromCell(other, later))
	second.Plan(later)
	require.Len(t, commitAndStart(t, second, later), 4)
	_, err := second.AcceptDelegation(changes.Records[0].Delegation.Value, later)
	require.NoError(t, err)
	commitAll(t, second, later)
	later = later.Add(2 * starvedAfter)
	load := Load{Capacity: 16_000, Free: 16_000, LargestFree: 4000}
	second.SetPeers(map[int]Load{0: load})
	second.Plan(later)
	require.False(t, second.HasChanges(), "delegated back")
	second.SetPeers(map[int]Load{0: load, 2: load})
	second.Plan(later)
	again, err := second.TakeChanges(20, later)
	require.NoError(t, err)
	require.Equal(t, 2, again.Records[0].Delegation.To)
	second.Committed(again)
	third := coreOfCell(t, 2, later)
	_, err = third.AcceptDelegation(again.Records[0].Delegation.Value, later)
	require.NoError(t, err)
	third.Plan(later)
	require.Len(t, commitAndStart(t, third, later), 2)
	require.True(t, second.Cancel(DelegatedID(j.ID), later, nil))
	last, err := second.TakeChanges(20, later)
	require.NoError(t, err)
	require.Equal(t, []int{2}, last.Records[0].CancelCells)
	require.Equal(t, DelegatedID(j.ID), last.Records[0].CancelID)
}

// Guards against a lost long-running task that waits in the cell that it was delegated to as if it had
// lost its run only then.
func TestDelegatedTaskThatHasWaitedGetsReservation(t *testing.T) {
	now := time.Unix(1_000_000_000, 0)
	first := firstCellCore(t, now)
	j := longRunningJob(t, 4)
	lost := loseFirstTask(t, first, j, now)
	now = now.Add(reserveAfter)
	first.SetPeers(map[int]Load{1: {Capacity: 16_000, Free: 16_000, LargestFree: 4000}})
	first.Plan(now)
	changes, err := first.TakeChanges(20, now)
	require.NoError(t, err)
	require.NotNil(t, changes.Records[0].Delegation)
	other := coreOfCell(t, 1, now)
	short := homeJob(t, 1000, Step{Tasks: 4, Size: share.Resources{Processors: 4000}, Estimate: time.Second})
	require.NoError(t, other.AcceptFromCell(short, now))
	other.Plan(now)
	require.Len(t, commitAndStart(t, other, now), 4)
	_, err = other.AcceptDelegation(changes.Records[0].Delegation.Value, now)
	require.NoError(t, err)
	other.Plan(now.Add(reserveEvery))
	require.Len(t, other.reserved, 1)
	require.Equal(t, lost.Task, other.reserved[0].reservedFor.name())
}

func TestInvalidDelegationsAreRejected(t *testing.T) {
	now := time.Unix(1_000_000_000, 0)
	core := coreOfCell(t, 1, now)
	for _, text := range []string{
		"", "[]", "{}", `{"id":"a","steps":[{"tasks":0}]}`,
		`{"id":"b","steps":[{"tasks":1}],"occurrences":1000000000000}`,
		`{"id":"a","steps":[{"tasks":1}],"occurrences":1,"stages":[{"stage":7}]}`,
	} {
		_, err := core.AcceptDelegation([]byte(text), now)
		require.Error(t, err, text)
	}
}

// A job that was handed over to a cell without workers is handed over again, but not to a cell that
// has a forwarding record of it. The second cell then names the third one.
func TestForwardedJobLeavesCellWithoutWorkers(t *testing.T) {
	now := time.Unix(1_000_000_000, 0)
	home := firstCellCore(t, now)
	j, changes := handOver(t, home, now)
	_, path, err := DecodeHandedOver(changes.Records[0].HandedOver)
	require.NoError(t, err)
	require.Equal(t, []int{0}, path)
	second := NewCore(DefaultTiming(), now, now)
	second.SetCell(Cell{Index: 1, Count: 3})
	second.SetQueueConfig(home.queueConfig)
	require.NoError(t, second.AcceptFromCell(j, now, path...))
	commitAll(t, second, now)
	load := Load{Capacity: 16_000, Free: 16_000, Idle: 16_000, LargestFree: 4000}
	later := now.Add(2 * starvedAfter)
	second.SetPeers(map[int]Load{0: load})
	second.Plan(later)
	second.Plan(later.Add(time.Second))
	require.False(t, second.HasChanges(), "handed back to its home")
	second.SetPeers(map[int]Load{0: load, 2: load})
	second.Plan(later)
	second.Plan(later)
	again, err := second.TakeChanges(20, later)
	require.NoError(t, err)
	require.Equal(t, 2, again.Records[0].To)
	_, path, err = DecodeHandedOver(again.Records[0].HandedOver)
	require.NoError(t, err)
	require.Equal(t, []int{0, 1}, path)
	second.Committed(again)
	to, moved := second.ForwardedTo(j.ID)
	require.True(t, moved)
	require.Equal(t, 2, to)
}

// Guards against counting the need of a waiting job again in each plan while no cell has capacity
// for it: new jobs would then go to the wrong cells.
func TestStarvedJobThatStaysIsNotCountedAgain(t *testing.T) {
	now := time.Unix(1_000_000_000, 0)
	core := firstCellCore(t, now)
	require.NoError(t, core.Submit(longRunningJob(t, 4), now, nil))
	core.Plan(now)
	require.Len(t, commitAndStart(t, core, now), 4)
	waiting := homeJob(t, 1000, Step{Tasks: 2, Size: share.Resources{Processors: 2000}})
	require.NoError(t, core.Submit(waiting, now, nil))
	commitAll(t, core, now)
	core.SetPeers(map[int]Load{1: {Capacity: 16_000, Free: -8000, Idle: -8000}})
	later := now.Add(2 * starvedAfter)
	core.Plan(later)
	before := maps.Clone(core.ownLoad.assumed)
	for range 10 {
		core.Plan(later)
	}
	require.Equal(t, before, core.ownLoad.assumed)
	state, known := core.State(waiting.ID)
	require.True(t, known)
	require.Equal(t, Queued, state)
	require.False(t, core.HasChanges())
}

// A job that has started and whose cell has no workers left is handed over to another cell.
func TestStartedJobLeavesCellWithoutWorkers(t *testing.T) {
	now := time.Unix(1_000_000_000, 0)
	core := firstCellCore(t, now)
	j := homeJob(t, 0, Step{Tasks: 8, Size: share.Resources{Processors: 4000}})
	require.NoError(t, core.Submit(j, now, nil))
	core.Plan(now)
	require.Len(t, commitAndStart(t, core, now), 4)
	for _, id := range core.WorkerIDs() {
		core.RemoveWorker(id)
		core.PollFailed(id, AnswerWrongIncarnation, now, now)
	}
	core.SetPeers(map[int]Load{1: {Capacity: 32_000, Free: 32_000, Idle: 32_000, LargestFree: 4000}})
	later := now.Add(10 * starvedAfter)
	core.Plan(later)
	handed := 0
	for core.HasChanges() {
		changes, err := core.TakeChanges(20, later)
		require.NoError(t, err)
		for _, r := range changes.Records {
			if r.HandedOver != nil || r.Delegation != nil {
				handed++
			}
		}
		core.Committed(changes)
	}
	require.Positive(t, handed, "the job waits in a cell without workers while another has free capacity")
}

// A job that has started is handed over with its progress: tasks that are done do not run again,
// and run numbers, checkpoints and failures are kept. Accepting the same inbox entry twice changes
// nothing.
func TestStartedJobKeepsProgressInOtherCell(t *testing.T) {
	now := time.Unix(1_000_000_000, 0)
	core := firstCellCore(t, now)
	j := homeJob(t, 0, Step{Tasks: 4, Size: share.Resources{Processors: 4000}, Checkpoints: true})
	require.NoError(t, core.Submit(j, now, nil))
	core.Plan(now)
	calls := commitAndStart(t, core, now)
	require.Len(t, calls, 4)
	now = now.Add(time.Second)
	done, failed := TaskName{Job: j.ID}, TaskName{Job: j.ID, Index: 1}
	for name, how := range map[TaskName]EndKind{done: EndDone, failed: EndFailed} {
		core.ApplyReport(calls[name].Worker, Report{Incarnation: 1, Clock: time.Hour, Ended: []EndedRow{
			{Number: 1, Task: name, Run: 1, How: how, Checkpoint: "c"},
		}}, now, now)
	}
	for _, id := range core.WorkerIDs() {
		core.RemoveWorker(id)
		core.PollFailed(id, AnswerWrongIncarnation, now, now)
	}
	core.SetPeers(map[int]Load{1: {Capacity: 32_000, Free: 32_000, Idle: 32_000, LargestFree: 4000}})
	now = now.Add(2 * starvedAfter)
	core.Plan(now)
	changes, err := core.TakeChanges(20, now)
	require.NoError(t, err)
	require.Len(t, changes.Records, 1)
	handed := changes.Records[0].HandedOver
	require.NotNil(t, handed)
	core.Committed(changes)
	to, moved := core.ForwardedTo(j.ID)
	require.True(t, moved)
	require.Equal(t, 1, to)
	// A version that does not know such entries rejects them instead of running all tasks again.
	unknown, err := DecodeJob(handed)
	require.NoError(t, err)
	require.Error(t, unknown.Check())

	other := coreOfCell(t, 1, now)
	for range 2 {
		require.NoError(t, other.AcceptHandedOver(handed, now))
	}
	other.Plan(now)
	again := commitAndStart(t, other, now)
	require.Len(t, again, 3)
	require.NotContains(t, again, done)
	for name, call := range again {
		require.EqualValues(t, 2, call.Run, "%v", name)
	}
	require.Equal(t, "c", again[failed].Checkpoint)
	require.Equal(t, []int64{1}, other.jobs[j.ID].stages[0].tasks[1].failedRuns)
	require.Equal(t, Active, other.jobs[j.ID].state)
	// The cell that handed the job over is in its path, so the job is not handed back.
	require.Equal(t, []int{0}, other.jobs[j.ID].cellPath)
}

// A job is not handed over while one of its runs may still be in progress on an unresponsive
// worker.
func TestStartedJobWithPossibleRunStays(t *testing.T) {
	now := time.Unix(1_000_000_000, 0)
	core := firstCellCore(t, now)
	j := homeJob(t, 0, Step{Tasks: 8, Size: share.Resources{Processors: 4000}})
	require.NoError(t, core.Submit(j, now, nil))
	core.Plan(now)
	require.Len(t, commitAndStart(t, core, now), 4)
	for _, id := range core.WorkerIDs() {
		core.PollFailed(id, AnswerNone, now, now)
	}
	core.SetPeers(map[int]Load{1: {Capacity: 32_000, Free: 32_000, Idle: 32_000, LargestFree: 4000}})
	core.Plan(now.Add(2 * starvedAfter))
	_, moved := core.ForwardedTo(j.ID)
	require.False(t, moved)
	require.NotEqual(t, Moved, core.jobs[j.ID].state)
}

// A job that has started is handed over if there is no capacity for its next step, even though
// workers accept runs (soak seed 4025: long-running tasks occupied one worker).
func TestStartedJobLeavesFullCell(t *testing.T) {
	now := time.Unix(1_000_000_000, 0)
	core := firstCellCore(t, now)
	size := share.Resources{Processors: 4000}
	j := homeJob(t, 0, Step{Tasks: 1, Size: size}, Step{Tasks: 2, Size: size, After: []int{0}})
	require.NoError(t, core.Submit(j, now, nil))
	core.Plan(now)
	calls := commitAndStart(t, core, now)
	require.Len(t, calls, 1)
	longRunning := homeJob(t, 1000, Step{Tasks: 3, Size: size, LongRunning: true})
	require.NoError(t, core.Submit(longRunning, now, nil))
	core.Plan(now)
	require.Len(t, commitAndStart(t, core, now), 3)
	first := calls[TaskName{Job: j.ID}]
	now = now.Add(time.Second)
	draining := core.workers[first.Worker].WorkerInfo
	draining.Draining = true
	core.SetWorker(draining, now)
	core.ApplyReport(first.Worker, Report{Incarnation: 1, Clock: time.Hour, Ended: []EndedRow{
		{Number: 1, Task: first.Task, Run: 1, How: EndDone},
	}}, now, now)
	core.Plan(now)
	commitAndStart(t, core, now)
	core.SetPeers(map[int]Load{1: {Capacity: 32_000, Free: 32_000, Idle: 32_000, LargestFree: 4000}})
	core.Plan(now.Add(stuckAfter - time.Millisecond))
	require.Equal(t, Active, core.jobs[j.ID].state)
	later := now.Add(stuckAfter)
	core.Plan(later)
	require.Equal(t, Moved, core.jobs[j.ID].state)
	changes, err := core.TakeChanges(20, later)
	require.NoError(t, err)
	other := coreOfCell(t, 1, later)
	for _, r := range changes.Records {
		if r.HandedOver != nil {
			require.NoError(t, other.AcceptHandedOver(r.HandedOver, later))
		}
	}
	other.Plan(later)
	for name := range commitAndStart(t, other, later) {
		require.Equal(t, 1, name.Step, "a step that has ended runs again")
	}
	require.Len(t, other.jobs[j.ID].runs(), 2)
}
