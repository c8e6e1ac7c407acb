package batch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/pkg/share"
)

// twoCentreCore returns a core with the workers a and b in the data centre "north", c and d in "south".
func twoCentreCore(t *testing.T, now time.Time) *Core {
	t.Helper()
	c := fourWorkerCore(t, now)
	c.SetMaxEvacuationAge(4 * time.Second)
	c.SetEvacuated(nil, now, now)
	for id, w := range c.workers {
		info := w.WorkerInfo
		if info.DataCentre = "north"; id > "b" {
			info.DataCentre = "south"
		}
		c.SetWorker(info, now)
	}
	return c
}

// usedCentres returns the data centres that calls go to.
func usedCentres(calls map[TaskName]Call) []string {
	var used []string
	for _, call := range calls {
		if !slices.Contains(used, call.DataCentre) {
			used = append(used, call.DataCentre)
		}
	}
	slices.Sort(used)
	return used
}

// Guards against starts in an evacuated data centre, on each way that leads to one.
func TestNothingStartsInEvacuatedDataCentre(t *testing.T) {
	size := share.Resources{Processors: 1000, Memory: 1 << 30}
	for _, c := range []struct {
		name string
		step Step
		// before happens before the evacuation of "south", after after it.
		before, after func(t *testing.T, core *Core, now time.Time)
		// want is the number of starts, all of them in "north".
		want int
	}{
		{name: "a plan", step: Step{Tasks: 10, Size: size}, want: 8},
		{name: "a gang", step: Step{Tasks: 8, Size: size, Gang: true}, want: 8},
		{name: "a gang that needs both data centres", step: Step{Tasks: 9, Size: size, Gang: true}},
		{name: "a label that only a worker there has", step: Step{Tasks: 1, Size: size, RequiredLabel: "kind-c"}},
		{name: "data on a rack there", step: Step{Tasks: 2, Size: size, PreferredRack: "r-2"}, want: 2},
		{name: "a start that waits for its commit", step: Step{Tasks: 16, Size: size}, want: 8, before: func(_ *testing.T, core *Core, now time.Time) {
			core.Plan(now)
		}},
		{name: "a gang that waits for its commit", step: Step{Tasks: 8, Size: size, Gang: true, SameRack: true}, want: 8, before: func(t *testing.T, core *Core, now time.Time) {
			c1, c2 := core.workers["a"], core.workers["b"]
			c1.Draining, c2.Draining = true, true
			core.Plan(now)
			require.Len(t, core.workers["c"].runs, 4)
			c1.Draining, c2.Draining = false, false
		}},
		{name: "a commit that is under way", step: Step{Tasks: 16, Size: size}, want: 8, before: func(t *testing.T, core *Core, now time.Time) {
			core.Plan(now)
			changes, err := core.TakeChanges(20, now)
			require.NoError(t, err)
			core.SetEvacuated([]string{"south"}, now, now)
			core.Plan(now)
			for _, command := range core.Committed(changes) {
				if call, ok := core.PrepareCall(command, now); ok {
					require.Equal(t, "north", call.DataCentre)
					core.HandleAnswer(command, Result{Answer: AnswerNoCapacity}, now, now)
				}
			}
			for _, w := range core.workers {
				w.backoffUntil = time.Time{}
			}
		}},
		{name: "a worker whose entry names another data centre than before", step: Step{Tasks: 16, Size: size}, want: 4, after: func(_ *testing.T, core *Core, now time.Time) {
			core.Plan(now)
			info := core.workers["a"].WorkerInfo
			info.DataCentre = "south"
			core.SetWorker(info, now)
		}},
		{name: "a worker that is reserved there", step: Step{Tasks: 1, Size: size, LongRunning: true, RequiredLabel: "kind-d"}, before: func(_ *testing.T, core *Core, now time.Time) {
			task := core.active[0].stages[0].tasks[0]
			task.lastRun = 1
			core.workers["d"].reservedFor, core.workers["d"].reservedAt = task, now
			core.reserved = append(core.reserved, core.workers["d"])
		}},
		{name: "a probe of a worker in quarantine there", step: Step{Tasks: 1, Size: size, LongRunning: true, RequiredLabel: "kind-d"}, before: func(t *testing.T, core *Core, now time.Time) {
			for i := range 10 {
				core.health.Failed("d", fmt.Sprint(i), now, now)
			}
			require.True(t, core.health.Quarantined("d"))
			core.active[0].stages[0].tasks[0].queuedAt = now.Add(-time.Minute)
		}},
		{name: "an overdue filler task", step: Step{Tasks: 1, Size: size, Filler: true, RequiredLabel: "kind-d"}, before: func(_ *testing.T, core *Core, now time.Time) {
			core.active[0].accepted = now.Add(-time.Hour)
			core.active[0].stages[0].tasks[0].queuedAt = now.Add(-time.Hour)
		}},
		{name: "a request that is repeated", step: Step{Tasks: 10, Size: size}, want: 8, after: func(_ *testing.T, core *Core, now time.Time) {
			core.SetEvacuated([]string{"south", "south"}, now, now)
		}},
		{name: "all data centres", step: Step{Tasks: 2, Size: size}, after: func(_ *testing.T, core *Core, now time.Time) {
			core.SetEvacuated([]string{"north", "south"}, now, now)
		}},
		{name: "one without workers as well", step: Step{Tasks: 10, Size: size}, want: 8, after: func(_ *testing.T, core *Core, now time.Time) {
			core.SetEvacuated([]string{"nowhere", "south"}, now, now)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1_000_000_000, 0)
			core := twoCentreCore(t, now)
			require.NoError(t, core.Submit(Job{ID: "0000000000000001", Queue: "check", Steps: []Step{c.step}}, now, nil))
			if c.before != nil {
				c.before(t, core, now)
			}
			core.SetEvacuated([]string{"south"}, now, now)
			if c.after != nil {
				c.after(t, core, now)
			}
			core.Plan(now)
			calls := commitAndStart(t, core, now)
			require.Len(t, calls, c.want)
			if c.want > 0 {
				require.Equal(t, []string{"north"}, usedCentres(calls))
			}
			// Nothing is lost: what waits starts once the request is taken back.
			waits := 0
			for _, s := range core.active[0].stages {
				waits += s.queued
			}
			require.Equal(t, c.step.Tasks-c.want, waits)
			now = now.Add(2 * time.Second)
			core.SetEvacuated(nil, now, now)
			core.Plan(now)
			require.Len(t, commitAndStart(t, core, now), waits)
		})
	}
}

// Runs in a data centre go on when it is evacuated, and their leases are renewed.
func TestRunsOutlastEvacuation(t *testing.T) {
	now := time.Unix(1_000_000_000, 0)
	c := twoCentreCore(t, now)
	call := startOne(t, c, "kind-c", now)
	c.SetEvacuated([]string{"south"}, now, now)
	for range 20 {
		now = now.Add(time.Second)
		c.SetEvacuated([]string{"south"}, now, now)
		poll, ok := c.BeginPoll("c", now, true)
		require.True(t, ok)
		require.Positive(t, poll.Deadline)
		c.ApplyReport("c", reportOf(c.workers["c"]), now, now)
		c.Plan(now)
		require.Empty(t, c.TakeCommands())
	}
	require.Equal(t, runRunning, c.jobs[call.Task.Job].stages[0].tasks[0].runs[0].state)
}

// A leader that does not learn for a while which data centres are evacuated starts nothing at all.
func TestOutdatedEvacuationsHoldStartsBack(t *testing.T) {
	size := share.Resources{Processors: 1000}
	for _, c := range []struct {
		name         string
		limit        time.Duration
		atPlan, sent time.Duration
		want         int
	}{
		{name: "just current", limit: 4 * time.Second, atPlan: 4 * time.Second, sent: 4 * time.Second, want: 2},
		{name: "outdated at the plan", limit: 4 * time.Second, atPlan: 4001 * time.Millisecond, sent: 4001 * time.Millisecond},
		{name: "outdated when the command is sent", limit: 4 * time.Second, atPlan: 3900 * time.Millisecond, sent: 4100 * time.Millisecond},
		{name: "never read", limit: 4 * time.Second, atPlan: 1 << 62, sent: 1 << 62},
		{name: "no bound is promised", atPlan: time.Hour, sent: time.Hour, want: 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			begin := time.Unix(1_000_000_000, 0)
			core := twoCentreCore(t, begin)
			core.SetMaxEvacuationAge(c.limit)
			at := begin.Add(c.atPlan)
			require.NoError(t, core.Submit(Job{ID: "0000000000000001", Queue: "check", Steps: []Step{{Tasks: 2, Size: size}}}, at, nil))
			core.Plan(at)
			now := begin.Add(c.sent)
			require.Len(t, commitAndStart(t, core, now), c.want)
			if c.want > 0 {
				return
			}
			for range 20 {
				now = now.Add(100 * time.Millisecond)
				core.Plan(now)
				require.False(t, core.HasChanges(), "tasks are placed and withdrawn in turn")
			}
			require.Equal(t, EvacuationsUnconfirmed, lastWaitReason(core))
			require.Zero(t, core.Load(now).Capacity, "other cells hand work over")
			core.SetEvacuated([]string{"south"}, now, now)
			core.Plan(now)
			require.Equal(t, []string{"north"}, usedCentres(commitAndStart(t, core, now)))
		})
	}
}

// lastWaitReason returns the reason of the last NoteWaits.
func lastWaitReason(c *Core) Obstacle {
	reason := noObstacle
	for _, n := range c.TakeNotes() {
		if n.Kind == NoteWaits {
			reason = Obstacle(n.Reason)
		}
	}
	return reason
}

// A task that waits for an evacuation says so only if no other worker could run it.
func TestTaskSaysThatItWaitsForEvacuation(t *testing.T) {
	for _, c := range []struct {
		name      string
		step      Step
		evacuated []string
		want      Obstacle
	}{
		{name: "its label is there only", step: Step{Tasks: 1, RequiredLabel: "kind-d"}, evacuated: []string{"south"}, want: EvacuatedDataCentre},
		{name: "everything is evacuated", step: Step{Tasks: 1}, evacuated: []string{"north", "south"}, want: EvacuatedDataCentre},
		{name: "the others are full", step: Step{Tasks: 9, Size: share.Resources{Processors: 2000}}, evacuated: []string{"south"}, want: NoProcessors},
		{name: "no worker has its label", step: Step{Tasks: 1, RequiredLabel: "none"}, evacuated: []string{"south"}, want: NoLabel},
		{name: "no worker is large enough", step: Step{Tasks: 1, Size: share.Resources{Processors: 9000}}, evacuated: []string{"south"}, want: NoProcessors},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1_000_000_000, 0)
			core := twoCentreCore(t, now)
			core.SetEvacuated(c.evacuated, now, now)
			require.NoError(t, core.Submit(Job{ID: "0000000000000001", Queue: "check", Steps: []Step{c.step}}, now, nil))
			core.Plan(now.Add(1500 * time.Millisecond))
			require.Equal(t, c.want, lastWaitReason(core))
		})
	}
}

// Evacuated workers are no capacity: not for other cells, not for the adviser, and not for overdue tasks.
func TestEvacuatedWorkersAreNoCapacity(t *testing.T) {
	now := time.Unix(1_000_000_000, 0)
	c := twoCentreCore(t, now)
	c.queueConfig.Queues["check"] = Queue{Name: "check", Service: "pool", Advised: true}
	c.SetEvacuated([]string{"south"}, now, now)
	require.NoError(t, c.Submit(Job{ID: "0000000000000001", Queue: "check", Steps: []Step{{Tasks: 1, Size: share.Resources{Processors: 100}}}}, now, nil))
	c.Plan(now)
	queries := c.TakeQueries()
	require.Len(t, queries, 1)
	require.ElementsMatch(t, []string{"a", "b"}, queries[0].Workers)
	load := c.Load(now)
	require.EqualValues(t, 8000, load.Capacity)
	require.Zero(t, load.Labels["kind-c"])
	require.Len(t, load.Services["pool"].FreeForLost, 2)
	require.EqualValues(t, 8000, c.serviceUse["pool"].capacity)
}

// The operator sees once for each request what it concerns.
func TestEvacuationIsReportedOnce(t *testing.T) {
	now := time.Unix(1_000_000_000, 0)
	c := twoCentreCore(t, now)
	startOne(t, c, "kind-c", now)
	c.TakeNotes()
	for range 3 {
		c.SetEvacuated([]string{"nowhere", "south"}, now, now)
		c.Plan(now)
	}
	c.SetEvacuated([]string{"nowhere"}, now, now)
	c.Plan(now)
	require.Equal(t, []Note{
		{Kind: NoteEvacuated, DataCentre: "nowhere"},
		{Kind: NoteEvacuated, DataCentre: "south", Workers: 2, Runs: 1},
		{Kind: NoteReadmitted, DataCentre: "south"},
	}, c.TakeNotes())
}
