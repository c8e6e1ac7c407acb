package batch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/pkg/share"
)

// The leader's load tells filler runs that stand suspended, and idle processors that are hidden by
// the declared size of filler runs which use less.
func TestWorkCountsSuspendedRunsAndIdleProcessors(t *testing.T) {
	now := time.Unix(1_000_000_000, 0)
	core := fourWorkerCore(t, now)
	step := Step{Tasks: 2, Size: share.Resources{Processors: 4000, Memory: 1 << 30}, Filler: true, Image: "a", RequiredLabel: "kind-a", Estimate: time.Minute}
	require.NoError(t, core.Submit(Job{ID: "0000000000000001", Queue: "review", Steps: []Step{step}}, now, nil))
	core.Plan(now)
	calls := commitAndStart(t, core, now)
	require.Len(t, calls, 1)
	for name, call := range calls {
		now = now.Add(2 * time.Second)
		core.ApplyReport("a", Report{Incarnation: 1, Clock: time.Hour, Running: []RunningRow{{Task: name, Run: call.Run, Measurement: 1000}}}, now, now)
	}
	work := core.TakeWork(now)
	require.Equal(t, 1, work.FillerRuns)
	require.Zero(t, work.SuspendedRuns)
	require.InDelta(t, 12, work.DeclaredIdle, 1e-9)
	require.InDelta(t, 15, work.MeasuredIdle, 1e-9)
	for _, r := range core.workers["a"].runs {
		core.setThrottleRatio(core.workers["a"], r, 0, "test", now)
	}
	for _, command := range core.TakeCommands() {
		if _, ok := core.PrepareCall(command, now); ok {
			core.HandleAnswer(command, Result{Answer: AnswerDone, Clock: time.Hour}, now, now)
		}
	}
	require.Equal(t, 1, core.TakeWork(now).SuspendedRuns)
}

// Guards against filler tasks that are expected to interfere on every worker and therefore never run.
// Each job has a run within a bounded time, and no target is missed for as long as the platform
// tolerates at most.
func TestJobThatInterferesEverywhereHasARunWithinABound(t *testing.T) {
	const toleratedMiss = 4 * time.Second
	for _, c := range []struct {
		name     string
		capacity share.MilliCores
		within   time.Duration
	}{
		{name: "most processors of the service are free", capacity: 2 * simWorkerProcessors, within: overdueJobAge + time.Second},
		{name: "most processors of the service are allocated", capacity: simWorkerProcessors, within: overdueAfterBusy + time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			sim := newInterferenceSim(t, "v", "v", "v")
			sim.setProcessors(c.capacity)
			sim.renewsLeases = true
			sim.headroomLost = map[string]map[string]float64{"v": {"bad": 40}}
			sim.submitLoad(8*time.Second, 4, "bad")
			sim.run(2 * overdueAfterBusy)
			sim.longestMiss = 0
			step := fillerStep("bad", 4)
			step.Estimate = time.Minute
			jobs := []string{sim.submit(step), sim.submit(step)}
			sim.run(c.within)
			for _, id := range jobs {
				require.True(t, sim.core.jobs[id].hasRuns(), "job without a run")
			}
			sim.run(20 * time.Second)
			require.Less(t, sim.longestMiss, toleratedMiss)
		})
	}
}

// Guards against a job that has nothing running for seconds, again and again, while most processors are free:
// the wait that a job which interferes everywhere has to bear must not begin anew with each of its steps, or
// with each leader.
func TestLateJobThatInterferesEverywhereKeepsARun(t *testing.T) {
	for _, c := range []struct {
		name  string
		steps int
		// replaceLeaderEvery is how often the leader is replaced; zero means never.
		replaceLeaderEvery time.Duration
	}{
		{"one step", 1, 0},
		{"three steps", 3, 0},
		{"six steps", 6, 0},
		{"one step, leaders replaced", 1, 6 * time.Second},
		{"three steps, leaders replaced", 3, 6 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			sim := newInterferenceSim(t, "v", "v", "v")
			sim.setProcessors(2 * simWorkerProcessors)
			sim.renewsLeases = true
			sim.headroomLost = map[string]map[string]float64{"v": {"bad": 40}}
			sim.submitLoad(8*time.Second, 4, "bad")
			sim.run(2 * overdueAfterBusy)
			id := sim.submit(chain(fillerStep("bad", 2), c.steps)...)
			submittedAt, replacedAt, idleSince := sim.now, sim.now, sim.now
			for sim.core.jobs[id].state != Completed {
				sim.run(interferenceTick)
				if c.replaceLeaderEvery > 0 && sim.now.Sub(replacedAt) >= c.replaceLeaderEvery {
					sim.replaceLeader()
					replacedAt = sim.now
				}
				// Until the deadline the job may wait, as the users' specification allows.
				if sim.core.jobs[id].hasRuns() || sim.now.Sub(submittedAt) < simFinishDeadline-simIdleTime {
					idleSince = sim.now
				}
				require.Less(t, sim.now.Sub(idleSince), simIdleTime, "nothing has run for too long, %s after the submission", sim.now.Sub(submittedAt))
				require.Less(t, sim.now.Sub(submittedAt), 5*time.Minute, "the job does not end")
			}
		})
	}
}

// Guards against suspended filler runs that keep a harmless task from idle processors for as long as
// they stand.
func TestSuspendedRunsDoNotBlockOtherJobs(t *testing.T) {
	now := time.Unix(1_000_000_000, 0)
	core := fourWorkerCore(t, now)
	step := Step{Tasks: 4, Size: share.Resources{Processors: 4000, Memory: 1 << 30}, Filler: true, Image: "a", MaxPerWorker: 1, Estimate: time.Minute}
	require.NoError(t, core.Submit(Job{ID: "0000000000000001", Queue: "review", Steps: []Step{step}}, now, nil))
	core.Plan(now)
	rows := map[string]RunningRow{}
	require.Len(t, commitAndStart(t, core, now), 4)
	for id, w := range core.workers {
		for key, r := range w.runs {
			core.setThrottleRatio(w, r, 0, "test", now)
			rows[id] = RunningRow{Task: key.task, Run: key.run, Percent: 10}
		}
	}
	for _, command := range core.TakeCommands() {
		_, ok := core.PrepareCall(command, now)
		require.True(t, ok)
		core.HandleAnswer(command, Result{Answer: AnswerDone, Clock: time.Hour}, now, now)
	}
	step.Image, step.Tasks, step.Size.Processors = "b", 1, 2000
	require.NoError(t, core.Submit(Job{ID: "0000000000000002", Queue: "review", Steps: []Step{step}}, now, nil))
	for until := now.Add(overdueJobAge + time.Second); now.Before(until); now = now.Add(500 * time.Millisecond) {
		for id, row := range rows {
			core.BeginPoll(id, now, true)
			core.ApplyReport(id, Report{Incarnation: 1, Clock: time.Hour, Running: []RunningRow{row}}, now, now)
		}
		core.Plan(now)
		for name := range commitAndStart(t, core, now) {
			require.Equal(t, "0000000000000002", name.Job)
			return
		}
	}
	t.Fatal("the harmless task was not placed")
}

// Throttle ratios do not change back and forth while the load of the serving tasks does not change.
func TestThrottleRatiosAreSteadyUnderSteadyLoad(t *testing.T) {
	for _, headroomLost := range []float64{2, 6, 10, 20} {
		sim := newInterferenceSim(t, "v")
		sim.renewsLeases = true
		sim.headroomLost = map[string]map[string]float64{"v": {"a": headroomLost}}
		step := fillerStep("a", 4)
		step.Estimate = 10 * time.Minute
		sim.submit(step)
		sim.submit(step)
		sim.run(20 * time.Second)
		require.NotZero(t, sim.core.workers["w-00"].fillerSize.Processors)
		changes := 0
		sim.onNote = func(n Note) {
			if n.Kind == NoteThrottled {
				changes++
			}
		}
		sim.run(20 * time.Second)
		require.Zero(t, changes, "headroom lost %v", headroomLost)
	}
}
