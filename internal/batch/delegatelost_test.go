package batch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/pkg/share"
)

// Guards against a lost task that stays in a full cell: it was delegated twice, and the cell that it came from
// first has capacity again. Known to fail.
func TestLostTaskReturnsToCellWithCapacity(t *testing.T) {
	now := time.Unix(1_000_000_000, 0)
	size := share.Resources{Processors: 4000, Memory: 8 << 30}
	room := Load{Capacity: 16_000, Free: -16_000, LargestFree: 4000, FreeForLost: []FreeWorker{{Free: size}, {Free: size}, {Free: size}}}
	core := firstCellCore(t, now)
	j := longRunningJob(t, 4)
	loseFirstTask(t, core, j, now)
	take := func(c *Core, to int, load Load) []byte {
		c.Plan(now)
		commitAndStart(t, c, now)
		now = now.Add(stuckAfter)
		c.SetPeers(map[int]Load{to: load})
		c.Plan(now)
		changes, err := c.TakeChanges(20, now)
		require.NoError(t, err)
		for _, r := range changes.Records {
			if r.Delegation != nil {
				require.Equal(t, to, r.Delegation.To)
				return r.Delegation.Value
			}
		}
		return nil
	}
	value := take(core, 1, room)
	require.NotNil(t, value)
	empty := func(index int) *Core {
		c := NewCore(DefaultTiming(), now, now)
		c.SetQueueConfig(simQueueConfig())
		c.SetCell(Cell{Index: index, Count: 3})
		return c
	}
	second := empty(1)
	_, err := second.AcceptDelegation(value, now)
	require.NoError(t, err)
	value = take(second, 2, room)
	require.NotNil(t, value)
	third := empty(2)
	_, err = third.AcceptDelegation(value, now)
	require.NoError(t, err)
	require.NotNil(t, take(third, 0, Load{Capacity: 16_000, Free: 16_000, LargestFree: 4000, FreeForLost: []FreeWorker{{Free: size}, {Free: size}, {Free: size}, {Free: size}}}), "stuck in the third cell")
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
