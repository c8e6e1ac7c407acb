package batch

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/pkg/share"
)

// lateFillerSim draws pools with more than two late filler jobs for each worker, all expected to interfere
// with the serving tasks on every worker.
type lateFillerSim struct {
	*interferenceSim
	random *rand.Rand
	// submittedAt is when each late job was submitted, idleSince since when it has had no run although it
	// could.
	submittedAt map[string]time.Time
	idleSince   map[string]time.Time
}

// newLateFillerSim returns a simulation whose core has learned that the image "bad" interferes everywhere.
func newLateFillerSim(t *testing.T, seed int) *lateFillerSim {
	random := rand.New(rand.NewPCG(uint64(seed), 42))
	images := make([]string, 8+random.IntN(53))
	for i := range images {
		images[i] = "v"
	}
	sim := &lateFillerSim{
		interferenceSim: newServingSim(t, 1, images...), random: random,
		submittedAt: map[string]time.Time{}, idleSince: map[string]time.Time{},
	}
	sim.renewsLeases = true
	sim.headroomLost = map[string]map[string]float64{"v": {"bad": 40}}
	sim.submitLoad(8*time.Second, len(images), "bad")
	sim.run(30 * time.Second)
	sim.setProcessors(2 * simWorkerProcessors)
	sim.occupyWorkers(0.3 * random.Float64())
	return sim
}

// occupyWorkers gives the whole of a share of the workers to long-running tasks, and the label "fast" to about
// a third of the others.
func (sim *lateFillerSim) occupyWorkers(occupied float64) {
	for _, id := range slices.Sorted(maps.Keys(sim.core.workers)) {
		switch {
		case sim.random.Float64() < occupied:
			size := share.Resources{Processors: 2*simWorkerProcessors - 3000, Memory: 1 << 30}
			sim.submit(Step{Tasks: 1, Size: size, LongRunning: true, Image: "other", RequiredLabel: id})
		case sim.random.Float64() < 0.3:
			info := sim.core.workers[id].WorkerInfo
			info.Labels = append(slices.Clone(info.Labels), "fast")
			sim.core.SetWorker(info, sim.now)
		}
	}
	sim.run(time.Second)
}

// submitLate submits a job of long filler tasks.
func (sim *lateFillerSim) submitLate() {
	step := fillerStep("bad", 1+sim.random.IntN(3))
	step.Estimate = time.Duration(1+sim.random.IntN(30)) * time.Second
	if sim.random.IntN(6) == 0 {
		step.RequiredLabel = "fast"
	}
	id := sim.submit(chain(step, 1+sim.random.IntN(3))...)
	sim.submittedAt[id] = sim.now
}

// isHalfFree reports whether less than half of the workers' processors are allocated. Filler tasks are not
// counted against the capacity, as on the users' platform.
func (sim *lateFillerSim) isHalfFree() bool {
	var allocated, capacity share.MilliCores
	for _, w := range sim.core.workers {
		allocated += w.allocated.Processors
		capacity += w.Capacity.Processors
	}
	return 2*allocated < capacity
}

// couldRun reports whether a worker has capacity for two tasks of a step.
func (sim *lateFillerSim) couldRun(s *Step) bool {
	twice := share.Resources{Processors: 2 * s.Size.Processors, Memory: 2 * s.Size.Memory}
	for _, w := range sim.core.workers {
		if twice.Fits(w.free()) && (s.RequiredLabel == "" || w.hasLabel(s.RequiredLabel)) {
			return true
		}
	}
	return false
}

// check fails the test if a late job has had no run for too long although it could.
func (sim *lateFillerSim) check() {
	halfFree := sim.isHalfFree()
	waiting := sim.waitingJobs(slices.Collect(maps.Keys(sim.submittedAt)))
	for id, submittedAt := range sim.submittedAt {
		if !waiting[id] || !halfFree || sim.now.Sub(submittedAt) < overdueJobAge || !sim.couldRun(&sim.core.jobs[id].Steps[0]) {
			delete(sim.idleSince, id)
		} else if _, known := sim.idleSince[id]; !known {
			sim.idleSince[id] = sim.now
		}
	}
	for _, id := range slices.Sorted(maps.Keys(sim.idleSince)) {
		require.Less(sim.t, sim.now.Sub(sim.idleSince[id]), simIdleTime,
			"%s: nothing has run for too long, %s after the submission; %d late jobs on %d workers",
			id, sim.now.Sub(sim.submittedAt[id]), len(sim.submittedAt), len(sim.core.workers))
	}
}

// Guards against late filler jobs that wait without bound while most processors are free, because a limit on
// each worker admits fewer of them than there are.
func TestManyLateJobsThatInterfereEverywhereKeepARun(t *testing.T) {
	for seed := range 12 {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			sim := newLateFillerSim(t, seed)
			leaderChangesEvery := time.Duration(0)
			if seed%2 == 1 {
				leaderChangesEvery = time.Duration(5+sim.random.IntN(10)) * time.Second
			}
			left := len(sim.core.workers) * (3 + sim.random.IntN(4))
			burst := 1 + left/(1+sim.random.IntN(10))
			replacedAt := sim.now
			sim.longestHarm = 0
			for until := sim.now.Add(40 * time.Second); sim.now.Before(until); {
				for range min(left, burst) {
					sim.submitLate()
					left--
				}
				sim.run(interferenceTick)
				if leaderChangesEvery > 0 && sim.now.Sub(replacedAt) >= leaderChangesEvery {
					sim.replaceLeader()
					replacedAt = sim.now
				}
				sim.check()
			}
			require.LessOrEqual(t, sim.longestHarm, simHarmTime, "serving tasks miss their targets for too long")
		})
	}
}

// Guards against a late job that waits as in a busy service while most processors are free, because only the
// workers that accept runs at that moment are counted.
func TestLateJobRunsWhileFreeWorkersAcceptNoRuns(t *testing.T) {
	sim := newInterferenceSim(t, "v", "v")
	sim.renewsLeases = true
	sim.headroomLost = map[string]map[string]float64{"v": {"bad": 40}}
	sim.submitLoad(8*time.Second, 4, "bad")
	sim.run(2 * overdueAfterBusy)
	for _, id := range []string{"free-1", "free-2"} {
		sim.core.SetWorker(WorkerInfo{
			ID: id, Address: id, Service: "pool", Incarnation: 1,
			Capacity: share.Resources{Processors: simWorkerProcessors, Memory: 64 << 30},
		}, sim.now)
		sim.core.workers[id].backoffUntil = sim.now.Add(time.Hour)
	}
	id := sim.submit(fillerStep("bad", 1))
	sim.run(overdueJobAge + simIdleTime)
	require.True(t, sim.core.jobs[id].hasRuns() || sim.core.jobs[id].state == Completed, "nothing has run")
}

// Guards against a late job that waits anew each time a worker does not carry out its start.
func TestLateJobWaitsOnceForRefusedStarts(t *testing.T) {
	const refusals = 4
	sim := newInterferenceSim(t, slices.Repeat([]string{"v"}, refusals+1)...)
	sim.setProcessors(2 * simWorkerProcessors)
	sim.renewsLeases = true
	sim.headroomLost = map[string]map[string]float64{"v": {"bad": 40}}
	sim.submitLoad(8*time.Second, 4, "bad")
	sim.run(2 * overdueAfterBusy)
	id := sim.submit(fillerStep("bad", 1))
	sim.run(overdueJobAge)
	refused := 0
	for until := sim.now.Add(simIdleTime); refused < refusals && sim.now.Before(until); sim.now = sim.now.Add(interferenceTick) {
		sim.core.Plan(sim.now)
		changes, err := sim.core.TakeChanges(20, sim.now)
		require.NoError(t, err)
		for _, command := range sim.core.Committed(changes) {
			call, ok := sim.core.PrepareCall(command, sim.now)
			require.True(t, ok)
			require.Equal(t, id, call.Task.Job)
			sim.core.HandleAnswer(command, Result{Answer: AnswerBusy, Clock: time.Hour}, sim.now, sim.now)
			refused++
		}
	}
	require.Equal(t, refusals, refused)
}

// Guards against a late gang that never runs because its first tasks, while they are placed together, count as
// runs of its job.
func TestLateGangRunsOnFewerWorkersThanTasks(t *testing.T) {
	sim := newInterferenceSim(t, "v", "v")
	sim.setProcessors(2 * simWorkerProcessors)
	sim.renewsLeases = true
	sim.headroomLost = map[string]map[string]float64{"v": {"bad": 40}}
	sim.submitLoad(8*time.Second, 4, "bad")
	sim.run(2 * overdueAfterBusy)
	step := fillerStep("bad", 3)
	step.Gang, step.Size.Processors = true, 3000
	id := sim.submit(step)
	sim.run(overdueJobAge + simIdleTime)
	require.True(t, sim.core.jobs[id].hasRuns() || sim.core.jobs[id].state == Completed, "nothing has run")
}
