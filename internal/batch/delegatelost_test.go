package batch

import (
	"regexp"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/pkg/share"
)

// cellChain simulates cells of which a task goes from one to the next.
type cellChain struct {
	t   *testing.T
	now time.Time
}

// emptyCell returns the core of a cell without workers.
func (chain *cellChain) emptyCell(index int) *Core {
	c := NewCore(DefaultTiming(), chain.now, chain.now)
	c.SetQueueConfig(simQueueConfig())
	c.SetCell(Cell{Index: index, Count: 3})
	return c
}

// delegate lets a core wait for a time, with the load of one other cell. It returns the delegation to that cell, or nil,
// and the records of the core's jobs.
func (chain *cellChain) delegate(c *Core, wait time.Duration, to int, load Load) (delegation []byte, records map[string][]byte) {
	c.SetPeers(nil)
	c.Plan(chain.now)
	commitAndStart(chain.t, c, chain.now)
	for _, id := range c.WorkerIDs() {
		c.ApplyReport(id, reportOf(c.workers[id]), chain.now, chain.now)
		c.renewLease(id, chain.now)
	}
	chain.now = chain.now.Add(wait)
	c.SetPeers(map[int]Load{to: load})
	c.Plan(chain.now)
	changes, err := c.TakeChanges(20, chain.now)
	require.NoError(chain.t, err)
	records = map[string][]byte{}
	for _, r := range changes.Records {
		records[r.ID] = r.Value
		if r.Delegation != nil {
			require.Equal(chain.t, to, r.Delegation.To)
			delegation = r.Delegation.Value
		}
	}
	c.Committed(changes)
	return delegation, records
}

// Guards against a lost task that stays in a full cell: it was delegated twice, and the cell that it came from
// first has capacity again.
func TestLostTaskReturnsToCellWithCapacity(t *testing.T) {
	chain := &cellChain{t: t, now: time.Unix(1_000_000_000, 0)}
	size := share.Resources{Processors: 4000, Memory: 8 << 30}
	room := Load{Capacity: 16_000, Free: -16_000, LargestFree: 4000, FreeForLost: []FreeWorker{{Free: size}, {Free: size}, {Free: size}}}
	core := firstCellCore(t, chain.now)
	j := longRunningJob(t, 4)
	lost := loseFirstTask(t, core, j, chain.now)
	first, records := chain.delegate(core, stuckAfter, 1, room)
	require.NotNil(t, first)
	second := chain.emptyCell(1)
	_, err := second.AcceptDelegation(first, chain.now)
	require.NoError(t, err)
	value, _ := chain.delegate(second, stuckAfter, 2, room)
	require.NotNil(t, value)
	third := chain.emptyCell(2)
	_, err = third.AcceptDelegation(value, chain.now)
	require.NoError(t, err)
	free := Load{Capacity: 16_000, Free: 16_000, LargestFree: 4000, FreeForLost: []FreeWorker{{Free: size}, {Free: size}, {Free: size}, {Free: size}}}
	back, _ := chain.delegate(third, stuckAfter, 0, free)
	require.NotNil(t, back, "stuck in the third cell")

	// The next leader of the first cell knows the task as delegated only.
	next := coreOfCell(t, 0, chain.now)
	require.NoError(t, next.Restore(records[j.ID], chain.now))
	for _, c := range []*Core{core, next} {
		for range 2 {
			id, err := c.AcceptDelegation(back, chain.now)
			require.NoError(t, err)
			require.Equal(t, j.ID, id)
			require.Equal(t, j.ID, c.StorageID(DelegatedID(j.ID)), "a cancel from the third cell is of the own job")
		}
		c.SetWorker(WorkerInfo{ID: "new", Address: "new", Service: "pool", Incarnation: 1, Capacity: size}, chain.now)
		c.ApplyReport("new", Report{Incarnation: 1, Clock: time.Hour}, chain.now, chain.now)
		c.Plan(chain.now)
		again, started := commitAndStart(t, c, chain.now)[lost.Task]
		require.True(t, started, "the task has come back and does not run")
		require.Equal(t, lost.Run+1, again.Run)
		require.Len(t, c.jobs[j.ID].stages[0].tasks[0].runs, 1)
	}
}

// Guards against a second run of a task: a delegation that a leader finds again, after the task has moved on to
// another cell.
func TestDelegationIsAcceptedOnce(t *testing.T) {
	chain := &cellChain{t: t, now: time.Unix(1_000_000_000, 0)}
	size := share.Resources{Processors: 4000, Memory: 8 << 30}
	room := Load{Capacity: 16_000, Free: -16_000, LargestFree: 4000, FreeForLost: []FreeWorker{{Free: size}, {Free: size}, {Free: size}}}
	core := firstCellCore(t, chain.now)
	lost := loseFirstTask(t, core, longRunningJob(t, 4), chain.now)
	first, _ := chain.delegate(core, stuckAfter, 1, room)
	second := chain.emptyCell(1)
	_, err := second.AcceptDelegation(first, chain.now)
	require.NoError(t, err)
	back, _ := chain.delegate(second, stuckAfter, 0, room)
	_, err = core.AcceptDelegation(back, chain.now)
	require.NoError(t, err)
	again, records := chain.delegate(core, stuckAfter, 1, room)
	require.NotNil(t, again)
	next := coreOfCell(t, 0, chain.now)
	require.NoError(t, next.Restore(records[lost.Task.Job], chain.now))
	for _, c := range []*Core{core, next} {
		_, err = c.AcceptDelegation(back, chain.now)
		require.NoError(t, err)
		require.Equal(t, taskDone, c.jobs[lost.Task.Job].stages[0].tasks[0].state, "the second cell runs the task")
	}
	_, err = second.AcceptDelegation(first, chain.now)
	require.NoError(t, err)
	require.Zero(t, second.jobs[DelegatedID(lost.Task.Job)].stages[0].queued, "the task has not come back yet")
	_, err = second.AcceptDelegation(again, chain.now)
	require.NoError(t, err)
	require.Equal(t, 1, second.jobs[DelegatedID(lost.Task.Job)].stages[0].queued)
}

// Guards against tasks that a mixture of versions loses: earlier ones do not count how often a task has moved.
func TestUncountedDelegationsAreAccepted(t *testing.T) {
	chain := &cellChain{t: t, now: time.Unix(1_000_000_000, 0)}
	size := share.Resources{Processors: 4000, Memory: 8 << 30}
	room := Load{Capacity: 16_000, Free: -16_000, LargestFree: 4000, FreeForLost: []FreeWorker{{Free: size}, {Free: size}, {Free: size}}}
	uncounted := func(value []byte) []byte {
		return regexp.MustCompile(`"m":\d+`).ReplaceAll(value, []byte(`"unknown":0`))
	}
	core := firstCellCore(t, chain.now)
	j := longRunningJob(t, 4)
	loseFirstTask(t, core, j, chain.now)
	first, _ := chain.delegate(core, stuckAfter, 1, room)
	second := chain.emptyCell(1)
	_, err := second.AcceptDelegation(uncounted(first), chain.now)
	require.NoError(t, err)
	_, records := commitAll(t, second, chain.now)
	second = chain.emptyCell(1)
	require.NoError(t, second.Restore(uncounted(records[len(records)-1]), chain.now))
	back, _ := chain.delegate(second, stuckAfter, 0, room)
	require.NotNil(t, back)
	_, err = core.AcceptDelegation(back, chain.now)
	require.NoError(t, err)
	require.Equal(t, taskQueued, core.jobs[j.ID].stages[0].tasks[0].state)
}

// Guards against tasks that wait in a full cell for good because they have never had a run: they go back to a
// cell with free capacity, but not at once.
func TestTaskThatNeverRanReturnsAfterAWhile(t *testing.T) {
	now := time.Unix(1_000_000_000, 0)
	_, _, changes, later := delegateTwo(t, now)
	chain := &cellChain{t: t, now: later}
	second := chain.emptyCell(1)
	_, err := second.AcceptDelegation(changes.Records[0].Delegation.Value, later)
	require.NoError(t, err)
	load := Load{Capacity: 16_000, Free: 16_000, LargestFree: 4000}
	value, _ := chain.delegate(second, returnAfter-time.Millisecond, 0, load)
	require.Nil(t, value)
	value, _ = chain.delegate(second, 2*time.Millisecond, 0, load)
	require.NotNil(t, value)
}

// Guards against a lost task that is delegated to a cell whose free workers are of another service.
func TestLostTaskIsNotDelegatedToCellOfOtherService(t *testing.T) {
	now := time.Unix(1_000_000_000, 0)
	peer := NewCore(DefaultTiming(), now, now)
	peer.SetQueueConfig(simQueueConfig())
	peer.SetCell(Cell{Index: 1, Count: 3})
	for _, id := range []string{"x", "y", "z"} {
		peer.SetWorker(WorkerInfo{ID: id, Address: id, Service: "other", Incarnation: 1, Capacity: share.Resources{Processors: 4000, Memory: 8 << 30}}, now)
		peer.ApplyReport(id, Report{Incarnation: 1, Clock: time.Hour}, now, now)
	}
	load := peer.Load(now)
	load.Free = -100000
	core := firstCellCore(t, now)
	j := longRunningJob(t, 4)
	loseFirstTask(t, core, j, now)
	core.SetPeers(map[int]Load{1: load})
	now = now.Add(stuckAfter)
	core.Plan(now)
	changes, err := core.TakeChanges(20, now)
	require.NoError(t, err)
	for _, r := range changes.Records {
		require.Nil(t, r.Delegation, "delegated to a cell without workers of its service")
	}
}

// Guards against a lost task that is delegated to a cell whose only worker with its label is full.
func TestLostTaskIsNotDelegatedToCellWithFullLabelledWorker(t *testing.T) {
	now := time.Unix(1_000_000_000, 0)
	size := share.Resources{Processors: 4000}
	core := NewCore(DefaultTiming(), now, now)
	core.SetQueueConfig(simQueueConfig())
	core.SetCell(Cell{Index: 0, Count: 3})
	core.SetWorker(WorkerInfo{ID: "a", Address: "a", Service: "pool", Incarnation: 1, Labels: []string{"gpu"}, Capacity: share.Resources{Processors: 4000, Memory: 8 << 30}}, now)
	core.ApplyReport("a", Report{Incarnation: 1, Clock: time.Hour}, now, now)
	j := homeJob(t, 0, Step{Tasks: 1, Size: size, LongRunning: true, RequiredLabel: "gpu"})
	loseFirstTask(t, core, j, now)
	// The labelled worker of the other cell is full with long-running tasks, and so not among these.
	core.SetPeers(map[int]Load{1: {Capacity: 12000, Free: -50000, Labels: map[string]int{"gpu": 1}, FreeForLost: []FreeWorker{
		{Free: share.Resources{Processors: 4000, Memory: 8 << 30}}, {Free: share.Resources{Processors: 4000, Memory: 8 << 30}}, {Labels: []string{"gpu"}},
	}}})
	now = now.Add(stuckAfter)
	core.Plan(now)
	changes, err := core.TakeChanges(20, now)
	require.NoError(t, err)
	for _, r := range changes.Records {
		require.Nil(t, r.Delegation, "delegated to a cell whose workers with the label are full")
	}
}

// Guards against waiting tasks that go to a cell whose free workers cannot run them: they are of another
// service or lack the label.
func TestTasksAreDelegatedOnlyWhereWorkersSuit(t *testing.T) {
	now := time.Unix(1_000_000_000, 0)
	for _, c := range []struct {
		name string
		// suitable is whether a suitable worker of the other cell is free.
		suitable        bool
		service, labels string
		requiredLabel   string
	}{
		{name: "the same service", service: "pool", suitable: true},
		{name: "another service", service: "other"},
		{name: "the label", service: "pool", labels: "gpu", requiredLabel: "gpu", suitable: true},
		{name: "no label", service: "pool", requiredLabel: "gpu"},
	} {
		t.Run(c.name, func(t *testing.T) {
			peer := NewCore(DefaultTiming(), now, now)
			peer.SetQueueConfig(simQueueConfig())
			peer.SetCell(Cell{Index: 1, Count: 3})
			addWorker := func(id, service string, labels []string, processors share.MilliCores) {
				peer.SetWorker(WorkerInfo{
					ID: id, Address: id, Service: service, Labels: labels, Incarnation: 1, Capacity: share.Resources{Processors: processors, Memory: 8 << 30},
				}, now)
				peer.ApplyReport(id, Report{Incarnation: 1, Clock: time.Hour}, now, now)
			}
			// This one would suit, but is too small.
			addWorker("small", "pool", []string{"gpu"}, 1000)
			for _, id := range []string{"x", "y", "z"} {
				addWorker(id, c.service, []string{c.labels}, 4000)
			}
			core := firstCellCore(t, now)
			j := homeJob(t, 0, Step{Tasks: 6, Size: share.Resources{Processors: 4000}, LongRunning: true, RequiredLabel: c.requiredLabel})
			require.NoError(t, core.Submit(j, now, nil))
			core.Plan(now)
			commitAndStart(t, core, now)
			core.SetPeers(map[int]Load{1: peer.Load(now)})
			// A task of the job has had a run, so that the job is not handed over as a whole.
			core.jobs[j.ID].stages[0].tasks[0].lastRun = 1
			core.Plan(now.Add(2 * starvedAfter))
			changes, err := core.TakeChanges(20, now)
			require.NoError(t, err)
			delegated := len(changes.Records) > 0 && changes.Records[0].Delegation != nil
			require.Equal(t, c.suitable, delegated)
		})
	}
}

// loseFirstTask submits a job, starts its tasks, and loses the worker of the first one. It returns the start of that task.
func loseFirstTask(t *testing.T, core *Core, j Job, now time.Time) Call {
	t.Helper()
	require.NoError(t, core.Submit(j, now, nil))
	core.Plan(now)
	lost := commitAndStart(t, core, now)[TaskName{Job: j.ID}]
	core.RemoveWorker(lost.Worker)
	core.PollFailed(lost.Worker, AnswerWrongIncarnation, now, now)
	return lost
}
