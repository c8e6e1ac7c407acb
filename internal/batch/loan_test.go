package batch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/pkg/share"
)

// watchJob is a job of tasks that last and fill a worker of 4 cores each.
func watchJob(t *testing.T, tasks int) Job {
	return homeJob(t, 0, Step{Tasks: tasks, Size: share.Resources{Processors: 4000}, LongRunning: true})
}

// secondCore returns the core of another cell with four free workers.
func secondCore(t *testing.T, index int, now time.Time) *Core {
	c := shapesCore(t, now)
	c.SetCell(Cell{Index: index, Count: 3})
	return c
}

// lendTwo returns a core whose cell runs four of six tasks that last, and the
// changes that lend the other two.
func lendTwo(t *testing.T, now time.Time) (*Core, Job, Changes, time.Time) {
	t.Helper()
	core := dividedCore(t, now)
	j := watchJob(t, 6)
	require.NoError(t, core.Submit(j, now, nil))
	core.Plan(now)
	require.Len(t, started(t, core, now), 4)
	core.SetPeers(map[int]Load{1: {Capacity: 16_000, Free: 16_000, LargestFree: 4000}})
	core.Plan(now.Add(starvesAfter / 2))
	require.False(t, core.HasChanges(), "lent before the tasks have waited")
	later := now.Add(2 * starvesAfter)
	core.Plan(later)
	changes, err := core.TakeChanges(20, later)
	require.NoError(t, err)
	require.Len(t, changes.Records, 1)
	require.NotNil(t, changes.Records[0].Delegation)
	require.Equal(t, 2, changes.Writes())
	core.Committed(changes)
	return core, j, changes, later
}

// Tasks that last and find no room in a full cell run in another one, once each.
func TestStarvedLastingTasksAreLent(t *testing.T) {
	now := time.Unix(1_000_000_000, 0)
	core, j, changes, later := lendTwo(t, now)
	loan := changes.Records[0].Delegation
	require.Equal(t, 1, loan.To)
	other := secondCore(t, 1, later)
	for range 2 {
		// A holder may find the loan in its inbox more than once.
		id, err := other.AcceptDelegation(loan.Value, later)
		require.NoError(t, err)
		require.Equal(t, GuestID(j.ID), id)
	}
	other.Plan(later)
	calls := started(t, other, later)
	require.Len(t, calls, 2)
	for name := range calls {
		require.Contains(t, []int{4, 5}, name.Index)
	}
	require.Zero(t, other.Pending("check"))
	// The lender starts them no more, also once it has room, nor does its next holder.
	next := secondCore(t, 0, later)
	require.NoError(t, next.Restore(changes.Records[0].Value, later))
	for _, c := range []*Core{core, next} {
		require.Equal(t, 4, len(c.jobs[j.ID].stages[0].runs()))
		c.Plan(later.Add(time.Minute))
		for _, o := range c.TakeCommands() {
			require.NotEqual(t, CommandStart, o.Kind)
		}
		state, known := c.State(j.ID)
		require.True(t, known)
		require.Equal(t, Active, state)
	}
}

// The borrower's next holder goes on with the borrowed tasks, and only these.
func TestBorrowedTasksOutlastTheirHolder(t *testing.T) {
	now := time.Unix(1_000_000_000, 0)
	_, j, changes, later := lendTwo(t, now)
	other := secondCore(t, 1, later)
	_, err := other.AcceptDelegation(changes.Records[0].Delegation.Value, later)
	require.NoError(t, err)
	_, records := commitAll(t, other, later)
	next := secondCore(t, 1, later)
	require.NoError(t, next.Restore(records[len(records)-1], later))
	next.Plan(later)
	require.Len(t, started(t, next, later), 2)
	require.Equal(t, 2, next.jobs[GuestID(j.ID)].stages[0].undone)
}

// A cancel of the job reaches what was lent.
func TestCancelReachesLentTasks(t *testing.T) {
	now := time.Unix(1_000_000_000, 0)
	core, j, changes, later := lendTwo(t, now)
	other := secondCore(t, 1, later)
	_, err := other.AcceptDelegation(changes.Records[0].Delegation.Value, later)
	require.NoError(t, err)
	other.Plan(later)
	require.Len(t, started(t, other, later), 2)
	require.True(t, core.Cancel(j.ID, later, nil))
	last, err := core.TakeChanges(20, later)
	require.NoError(t, err)
	require.Equal(t, []int{1}, last.Records[0].CancelCells)
	require.Equal(t, GuestID(j.ID), last.Records[0].CancelID)
	require.True(t, other.Cancel(GuestID(j.ID), later, nil))
	stops := 0
	for _, o := range other.TakeCommands() {
		if o.Kind == CommandStop {
			stops++
		}
	}
	require.Equal(t, 2, stops)
	// A loan that is found again after the cancel starts nothing.
	_, err = other.AcceptDelegation(changes.Records[0].Delegation.Value, later)
	require.NoError(t, err)
	other.Plan(later)
	require.Empty(t, started(t, other, later))
}

// A home that has handed a job on may borrow tasks of it: the pointer stays, and
// the ends of the tasks count.
func TestTheHomeBorrowsFromItsOwnJob(t *testing.T) {
	now := time.Unix(1_000_000_000, 0)
	home := dividedCore(t, now)
	j, changes := handOver(t, home, now)
	home.Committed(changes)
	other := secondCore(t, 1, now)
	watch := watchJob(t, 6)
	watch.ID = j.ID
	require.NoError(t, other.SubmitTo(watch, now))
	other.Plan(now)
	require.Len(t, started(t, other, now), 4)
	other.SetPeers(map[int]Load{0: {Capacity: 16_000, Free: 16_000, LargestFree: 4000}})
	later := now.Add(2 * starvesAfter)
	other.Plan(later)
	lent, err := other.TakeChanges(20, later)
	require.NoError(t, err)
	_, err = home.AcceptDelegation(lent.Records[0].Delegation.Value, later)
	require.NoError(t, err)
	to, moved := home.ForwardedTo(j.ID)
	require.True(t, moved)
	require.Equal(t, 1, to)
	home.Plan(later)
	calls := started(t, home, later)
	require.Len(t, calls, 2)
	for name, call := range calls {
		home.ApplyReport(call.Worker, Report{Incarnation: 1, Clock: time.Hour, Ended: []EndedRow{
			{Number: 1, Task: name, Run: call.Run, How: EndFailed},
		}}, later, later)
	}
	later = later.Add(time.Second)
	home.Plan(later)
	again := started(t, home, later)
	require.Len(t, again, 2, "tasks that last start again where they were lent")
	for name, call := range again {
		require.Equal(t, calls[name].Run+1, call.Run)
	}
}

// A job that came home while the other cells were not known, and of which
// nothing has begun, goes to a cell with room; until that is durable it is shown
// as waiting here.
func TestJobInAFullHomeGoesElsewhere(t *testing.T) {
	now := time.Unix(1_000_000_000, 0)
	core := dividedCore(t, now)
	require.NoError(t, core.Submit(watchJob(t, 4), now, nil))
	core.Plan(now)
	require.Len(t, started(t, core, now), 4)
	waits := homeJob(t, 1000, Step{Tasks: 2, Size: share.Resources{Processors: 2000}})
	require.NoError(t, core.Submit(waits, now, nil))
	core.Plan(now)
	commitAll(t, core, now)
	core.SetPeers(map[int]Load{2: {Capacity: 16_000, Free: 16_000, Idle: 16_000, LargestFree: 4000}})
	later := now.Add(2 * starvesAfter)
	core.Plan(later)
	state, known := core.State(waits.ID)
	require.True(t, known)
	require.Equal(t, Queued, state)
	_, moved := core.ForwardedTo(waits.ID)
	require.False(t, moved)
	changes, err := core.TakeChanges(20, later)
	require.NoError(t, err)
	handed, err := DecodeJob(changes.Records[0].HandedOver)
	require.NoError(t, err)
	require.Equal(t, waits.Steps, handed.Steps)
	core.Committed(changes)
	to, moved := core.ForwardedTo(waits.ID)
	require.True(t, moved)
	require.Equal(t, 2, to)
}

// Borrowed tasks that starve are lent on, but to no cell that lent them, and the
// cancel follows them.
func TestBorrowedTasksAreLentOn(t *testing.T) {
	now := time.Unix(1_000_000_000, 0)
	_, j, changes, later := lendTwo(t, now)
	second := secondCore(t, 1, later)
	other := Job{ID: "other", Queue: "check", Steps: []Step{{Tasks: 4, Size: share.Resources{Processors: 4000}}}}
	require.NoError(t, second.SubmitTo(other, later))
	second.Plan(later)
	require.Len(t, started(t, second, later), 4)
	_, err := second.AcceptDelegation(changes.Records[0].Delegation.Value, later)
	require.NoError(t, err)
	commitAll(t, second, later)
	later = later.Add(2 * starvesAfter)
	room := Load{Capacity: 16_000, Free: 16_000, LargestFree: 4000}
	second.SetPeers(map[int]Load{0: room})
	second.Plan(later)
	require.False(t, second.HasChanges(), "lent back")
	second.SetPeers(map[int]Load{0: room, 2: room})
	second.Plan(later)
	again, err := second.TakeChanges(20, later)
	require.NoError(t, err)
	require.Equal(t, 2, again.Records[0].Delegation.To)
	second.Committed(again)
	third := secondCore(t, 2, later)
	_, err = third.AcceptDelegation(again.Records[0].Delegation.Value, later)
	require.NoError(t, err)
	third.Plan(later)
	require.Len(t, started(t, third, later), 2)
	require.True(t, second.Cancel(GuestID(j.ID), later, nil))
	last, err := second.TakeChanges(20, later)
	require.NoError(t, err)
	require.Equal(t, []int{2}, last.Records[0].CancelCells)
	require.Equal(t, GuestID(j.ID), last.Records[0].CancelID)
}

func TestUnreadableLoansAreRefused(t *testing.T) {
	now := time.Unix(1_000_000_000, 0)
	core := secondCore(t, 1, now)
	for _, text := range []string{
		"", "[]", "{}", `{"id":"a","steps":[{"tasks":0}]}`,
		`{"id":"a","steps":[{"tasks":1}],"occurrences":1,"stages":[{"stage":7}]}`,
	} {
		_, err := core.AcceptDelegation([]byte(text), now)
		require.Error(t, err, text)
	}
}

// A handed job whose cell has lost its workers goes on to a cell that has no
// pointer to it, and is found there.
func TestHandedJobLeavesACellWithoutWorkers(t *testing.T) {
	now := time.Unix(1_000_000_000, 0)
	home := dividedCore(t, now)
	j, changes := handOver(t, home, now)
	_, path, err := DecodeHanded(changes.Records[0].HandedOver)
	require.NoError(t, err)
	require.Equal(t, []int{0}, path)
	second := NewCore(DefaultTiming(), now, now)
	second.SetCell(Cell{Index: 1, Count: 3})
	second.SetQueueConfig(home.table)
	require.NoError(t, second.SubmitTo(j, now, path...))
	commitAll(t, second, now)
	room := Load{Capacity: 16_000, Free: 16_000, Idle: 16_000, LargestFree: 4000}
	later := now.Add(2 * starvesAfter)
	second.SetPeers(map[int]Load{0: room})
	second.Plan(later)
	second.Plan(later.Add(time.Second))
	require.False(t, second.HasChanges(), "handed back to its home")
	second.SetPeers(map[int]Load{0: room, 2: room})
	second.Plan(later)
	second.Plan(later)
	again, err := second.TakeChanges(20, later)
	require.NoError(t, err)
	require.Equal(t, 2, again.Records[0].To)
	_, path, err = DecodeHanded(again.Records[0].HandedOver)
	require.NoError(t, err)
	require.Equal(t, []int{0, 1}, path)
	second.Committed(again)
	to, moved := second.ForwardedTo(j.ID)
	require.True(t, moved)
	require.Equal(t, 2, to)
}

// Work that starves while no cell has room for it does not change where new jobs go.
func TestStarvingWorkThatStaysIsNotReckonedAnew(t *testing.T) {
	now := time.Unix(1_000_000_000, 0)
	core := dividedCore(t, now)
	require.NoError(t, core.Submit(watchJob(t, 4), now, nil))
	core.Plan(now)
	require.Len(t, started(t, core, now), 4)
	waits := homeJob(t, 1000, Step{Tasks: 2, Size: share.Resources{Processors: 2000}})
	require.NoError(t, core.Submit(waits, now, nil))
	commitAll(t, core, now)
	core.SetPeers(map[int]Load{1: {Capacity: 16_000, Free: -8000, Idle: -8000}})
	later := now.Add(2 * starvesAfter)
	core.Plan(later)
	before := core.own.sent
	for range 10 {
		core.Plan(later)
	}
	require.Equal(t, before, core.own.sent)
	state, known := core.State(waits.ID)
	require.True(t, known)
	require.Equal(t, Queued, state)
	require.False(t, core.HasChanges())
}

// The tasks of a job that has begun and that ends by itself run elsewhere once
// their cell has no worker left that may take them.
func TestBegunJobLeavesACellWithoutWorkers(t *testing.T) {
	now := time.Unix(1_000_000_000, 0)
	core := dividedCore(t, now)
	j := homeJob(t, 0, Step{Tasks: 8, Size: share.Resources{Processors: 4000}})
	require.NoError(t, core.Submit(j, now, nil))
	core.Plan(now)
	require.Len(t, started(t, core, now), 4)
	for _, id := range core.WorkerIDs() {
		core.PollFailed(id, AnswerNone, true, now, now)
		core.RemoveWorker(id, now)
	}
	core.SetPeers(map[int]Load{1: {Capacity: 32_000, Free: 32_000, Idle: 32_000, LargestFree: 4000}})
	later := now.Add(10 * starvesAfter)
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
	require.Positive(t, handed, "tasks wait in a cell without workers while another has room")
}

// A job that has begun is handed on with what has happened to it: what has ended
// stays ended, runs go on being numbered, failures count, and a repeat of the
// entry changes nothing.
func TestBegunJobKeepsItsPastInAnotherCell(t *testing.T) {
	now := time.Unix(1_000_000_000, 0)
	core := dividedCore(t, now)
	j := homeJob(t, 0, Step{Tasks: 4, Size: share.Resources{Processors: 4000}, Checkpoints: true})
	require.NoError(t, core.Submit(j, now, nil))
	core.Plan(now)
	calls := started(t, core, now)
	require.Len(t, calls, 4)
	now = now.Add(time.Second)
	done, failed := TaskName{Job: j.ID}, TaskName{Job: j.ID, Index: 1}
	for name, how := range map[TaskName]EndKind{done: EndDone, failed: EndFailed} {
		core.ApplyReport(calls[name].Worker, Report{Incarnation: 1, Clock: time.Hour, Ended: []EndedRow{
			{Number: 1, Task: name, Run: 1, How: how, Checkpoint: "c"},
		}}, now, now)
	}
	for _, id := range core.WorkerIDs() {
		core.PollFailed(id, AnswerNone, true, now, now)
		core.RemoveWorker(id, now)
	}
	core.SetPeers(map[int]Load{1: {Capacity: 32_000, Free: 32_000, Idle: 32_000, LargestFree: 4000}})
	now = now.Add(2 * starvesAfter)
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
	// A version that knows no such entries refuses it instead of running all again.
	unknown, err := DecodeJob(handed)
	require.NoError(t, err)
	require.Error(t, unknown.Check())

	other := secondCore(t, 1, now)
	for range 2 {
		require.NoError(t, other.AcceptHandedOver(handed, now))
	}
	other.Plan(now)
	again := started(t, other, now)
	require.Len(t, again, 3)
	require.NotContains(t, again, done)
	for name, call := range again {
		require.EqualValues(t, 2, call.Run, "%v", name)
	}
	require.Equal(t, "c", again[failed].Checkpoint)
	require.Equal(t, []int64{1}, other.jobs[j.ID].stages[0].tasks[1].failed)
	require.Equal(t, Active, other.jobs[j.ID].state)
	// It does not go back.
	require.Equal(t, []int{0}, other.jobs[j.ID].path)
}

// A job with a run that may still be at work stays.
func TestBegunJobWithARunThatMayLiveStays(t *testing.T) {
	now := time.Unix(1_000_000_000, 0)
	core := dividedCore(t, now)
	j := homeJob(t, 0, Step{Tasks: 8, Size: share.Resources{Processors: 4000}})
	require.NoError(t, core.Submit(j, now, nil))
	core.Plan(now)
	require.Len(t, started(t, core, now), 4)
	for _, id := range core.WorkerIDs() {
		core.PollFailed(id, AnswerNone, false, now, now)
	}
	core.SetPeers(map[int]Load{1: {Capacity: 32_000, Free: 32_000, Idle: 32_000, LargestFree: 4000}})
	core.Plan(now.Add(2 * starvesAfter))
	_, moved := core.ForwardedTo(j.ID)
	require.False(t, moved)
	require.NotEqual(t, Moved, core.jobs[j.ID].state)
}

// A job whose next step finds its cell full, with workers that take runs, goes to a
// cell with room (soak seed 4025: one worker held by tasks that last).
func TestBegunJobLeavesAFullCell(t *testing.T) {
	now := time.Unix(1_000_000_000, 0)
	core := dividedCore(t, now)
	size := share.Resources{Processors: 4000}
	j := homeJob(t, 0, Step{Tasks: 1, Size: size}, Step{Tasks: 2, Size: size, After: []int{0}})
	require.NoError(t, core.Submit(j, now, nil))
	core.Plan(now)
	calls := started(t, core, now)
	require.Len(t, calls, 1)
	lasting := homeJob(t, 1000, Step{Tasks: 3, Size: size, LongRunning: true})
	require.NoError(t, core.Submit(lasting, now, nil))
	core.Plan(now)
	require.Len(t, started(t, core, now), 3)
	first := calls[TaskName{Job: j.ID}]
	again := homeJob(t, 2000, Step{Tasks: 1, Size: size, LongRunning: true})
	require.NoError(t, core.Submit(again, now, nil))
	commitAll(t, core, now)
	now = now.Add(time.Second)
	core.ApplyReport(first.Worker, Report{Incarnation: 1, Clock: time.Hour, Ended: []EndedRow{
		{Number: 1, Task: first.Task, Run: 1, How: EndDone},
	}}, now, now)
	core.Plan(now)
	started(t, core, now)
	core.SetPeers(map[int]Load{1: {Capacity: 32_000, Free: 32_000, Idle: 32_000, LargestFree: 4000}})
	core.Plan(now.Add(stuckAfter - time.Millisecond))
	require.Equal(t, Active, core.jobs[j.ID].state)
	later := now.Add(stuckAfter)
	core.Plan(later)
	require.Equal(t, Moved, core.jobs[j.ID].state)
	changes, err := core.TakeChanges(20, later)
	require.NoError(t, err)
	other := secondCore(t, 1, later)
	for _, r := range changes.Records {
		if r.HandedOver != nil {
			require.NoError(t, other.AcceptHandedOver(r.HandedOver, later))
		}
	}
	other.Plan(later)
	for name := range started(t, other, later) {
		require.Equal(t, 1, name.Step, "a step that has ended runs again")
	}
	require.Len(t, other.jobs[j.ID].runs(), 2)
}
