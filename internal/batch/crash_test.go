package batch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/pkg/share"
)

// simCrasher makes the runs of some tasks crash their workers.
type simCrasher struct {
	// crashes reports whether the runs of a task crash their worker, delay after their start.
	crashes func(TaskName) bool
	delay   time.Duration
	// downtime is how long the worker is away.
	downtime time.Duration
	// crashCount counts the workers that crashed under each task, startsAfterThree the starts of
	// each task since the third of them.
	crashCount       map[TaskName]int
	startsAfterThree map[TaskName]int
}

// startRun crashes the worker later if the task does that.
func (d *simCrasher) startRun(sim *simWorld, w *simWorker, key runKey) {
	if d == nil || !d.crashes(key.task) {
		return
	}
	if d.crashCount[key.task] >= 3 {
		if d.startsAfterThree[key.task]++; d.startsAfterThree[key.task] == 3 {
			sim.violate("%v is started three times after three workers have crashed under it", key.task)
		}
	}
	sim.after(d.delay, func() {
		if w.running[key] == nil {
			return
		}
		d.crashCount[key.task]++
		w.unresponsiveUntil = sim.now.Add(d.downtime)
		sim.crashFor(w, d.downtime)
	})
}

// crashingTask selects the first task of each eighth job.
func crashingTask(n TaskName) bool {
	last := n.Job[len(n.Job)-1]
	return (last == '0' || last == '8') && n.Step == 0 && n.Index == 0
}

// Guards against a task that crashes worker after worker: after three workers have crashed under a
// task it must not be started three times more, across takeovers, too. No other task may be given
// up, however many runs it lost with those workers or with workers that crash by themselves.
func TestTaskThatCrashesWorkersIsGivenUp(t *testing.T) {
	for _, c := range []struct {
		name   string
		delay  time.Duration
		faults simFaults
	}{
		{name: "at its start", delay: 10 * time.Millisecond},
		{name: "before the start is answered", delay: time.Millisecond},
		{name: "some time after its start", delay: 300 * time.Millisecond},
		{name: "long after its start", delay: 2 * time.Second},
		{name: "beside takeovers", delay: 10 * time.Millisecond, faults: simFaults{takeover: 3 * time.Second}},
		{name: "beside other crashes", delay: 10 * time.Millisecond, faults: simFaults{crash: 2 * time.Second}},
		{name: "beside lost answers", delay: 10 * time.Millisecond, faults: simFaults{lostAnswer: 0.05}},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range 6 {
				sim := newSimWorld(t, uint64(seed), 20, c.faults)
				sim.crasher = &simCrasher{
					crashes: crashingTask, delay: c.delay, downtime: 3 * time.Second,
					crashCount: map[TaskName]int{}, startsAfterThree: map[TaskName]int{},
				}
				sim.injectFaults(sim.now.Add(30 * time.Second))
				for i := range 50 {
					sim.after(time.Duration(i)*500*time.Millisecond, func() {
						j := sim.randomJob(i)
						j.Steps[0].Estimate = max(j.Steps[0].Estimate, 3*c.delay)
						sim.submit(j)
					})
				}
				sim.run(30 * time.Second)
				sim.faults.lostAnswer = 0
				sim.run(120 * time.Second)
				require.Empty(t, sim.violations, "seed %d", seed)
				for _, id := range sortedKeys(sim.jobs) {
					state, known := sim.core.State(id)
					require.True(t, known, "seed %d, job %s", seed, id)
					want := Completed
					if crashingTask(TaskName{Job: id}) {
						want = Failed
					}
					require.Equal(t, want, state, "seed %d, job %s", seed, id)
				}
			}
		})
	}
}

// Guards against a long-running task that crashes worker after worker.
func TestLongRunningTaskThatCrashesWorkersIsGivenUp(t *testing.T) {
	sim := newSimWorld(t, 1, 20, simFaults{})
	sim.crasher = &simCrasher{
		crashes: crashingTask, delay: 10 * time.Millisecond, downtime: 3 * time.Second,
		crashCount: map[TaskName]int{}, startsAfterThree: map[TaskName]int{},
	}
	for i := range 6 {
		sim.submit(Job{ID: fmt.Sprintf("%016x", i), Queue: "check", Spec: "spec", Steps: []Step{{
			Tasks: 3, Size: share.Resources{Processors: 2000, Memory: 1 << 30}, Estimate: time.Hour, LongRunning: true,
		}}})
	}
	sim.run(60 * time.Second)
	require.Empty(t, sim.violations)
	for i := range 6 {
		id := fmt.Sprintf("%016x", i)
		state, _ := sim.core.State(id)
		want := Active
		if crashingTask(TaskName{Job: id}) {
			want = Failed
		}
		require.Equal(t, want, state, "job %s", id)
	}
}
