package batch

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/internal/interference"
	"github.com/oriolepond/oriolepond/pkg/share"
)

// Guards against filler jobs that are served too late beside serving tasks, and against too many
// missed targets of the serving tasks, for several patterns of interference.
func TestFillerJobsAreServedWithFewMissedTargets(t *testing.T) {
	for _, c := range []struct {
		name         string
		serving      []string
		images       []string
		headroomLost map[string]map[string]float64
		baseline     func(job string, now time.Time) float64
		// width is the number of tasks per job; two jobs are submitted per second.
		width int
		// within is the time within which a job has to end to count as served. At least
		// minServedShare of the jobs of each image in served have to be served.
		within time.Duration
		served []string
	}{
		{
			name: "no interference", serving: []string{"s", "s", "s", "s"}, images: []string{"a", "b"},
			within: reviewLate, served: []string{"a", "b"}, width: 4,
		},
		{
			name:    "an image interferes with half of the serving images",
			serving: []string{"s", "s", "v", "v"}, images: []string{"a", "b"},
			headroomLost: map[string]map[string]float64{"v": {"a": 20}},
			within:       reviewLate, served: []string{"a", "b"}, width: 4,
		},
		{
			name:    "an image interferes with all serving images",
			serving: []string{"s", "s", "v", "v"}, images: []string{"a", "b"},
			headroomLost: map[string]map[string]float64{"s": {"a": 20}, "v": {"a": 20}},
			within:       reviewLate, served: []string{"b"}, width: 4,
		},
		{
			name:    "all pairs interfere a little",
			serving: []string{"s", "s", "v", "v"}, images: []string{"a", "b"},
			headroomLost: map[string]map[string]float64{"s": {"a": 3, "b": 3}, "v": {"a": 3, "b": 3}},
			within:       reviewLate, served: []string{"a", "b"}, width: 4,
		},
		{
			name:    "load of the serving tasks varies",
			serving: []string{"s", "s", "v", "v"}, images: []string{"a", "b"},
			headroomLost: map[string]map[string]float64{"s": {"a": 6, "b": 3}, "v": {"a": 3, "b": 6}},
			baseline: func(job string, now time.Time) float64 {
				if (now.Unix()/5+int64(job[len(job)-1]))%2 == 0 {
					return 1.6
				}
				return 2.8
			},
			within: reviewLate, served: []string{"a", "b"}, width: 2,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			sim := newInterferenceSim(t, c.serving...)
			sim.headroomLost = c.headroomLost
			if c.baseline != nil {
				sim.baseline = c.baseline
			}
			jobs := sim.submitLoad(20*time.Second, c.width, c.images...)
			for _, image := range c.served {
				t.Logf("%s: %.2f within %s, %.2f within the objective", image, sim.onTime(jobs[image], c.within), c.within, sim.onTime(jobs[image], reviewObjective))
				require.GreaterOrEqual(t, sim.onTime(jobs[image], c.within), minServedShare, "too few jobs of %s served in time", image)
			}
			t.Logf("%.3f of the targets missed", float64(sim.missed)/float64(sim.reports))
			require.LessOrEqual(t, float64(sim.missed)/float64(sim.reports), maxMissedShare, "too many missed targets")
		})
	}
}

// Guards against filler jobs of an undemanding image that occupy the only worker which suits a more
// demanding one. The jobs of that image have to be served in time, although more jobs of the
// undemanding image are submitted before them.
func TestScarceWorkersAreKeptForImagesThatNeedThem(t *testing.T) {
	sim := newInterferenceSim(t, "s", "v", "v", "v")
	sim.headroomLost = map[string]map[string]float64{"v": {"hard": 20}}
	sim.submitLoad(8*time.Second, 4, "easy", "hard")
	var hard []string
	for range 6 {
		for range 3 {
			sim.submit(fillerStep("easy", 4))
		}
		hard = append(hard, sim.submit(fillerStep("hard", 1)))
		sim.run(time.Second)
	}
	sim.run(10 * time.Second)
	require.InDelta(t, 1, sim.onTime(hard, 3*time.Second), 1e-9)
}

// Guards against filler runs that stay throttled for good: no serving task is left on their worker, or the leader takes a
// ratio for the one in force that an earlier leader, or a command without an answer, has changed.
func TestThrottledRunsGoOn(t *testing.T) {
	noServing := func(sim *interferenceSim) {
		i := slices.IndexFunc(sim.core.active, func(j *job) bool { return j.Queue == "check" })
		sim.core.Cancel(sim.core.active[i].ID, sim.now, nil)
	}
	for _, c := range []struct {
		name string
		// answersLost means that the answers to the commands that suspend the run are lost.
		answersLost bool
		// relief happens once the run is suspended and the serving tasks have headroom again.
		relief func(*interferenceSim)
	}{
		{name: "headroom", relief: func(*interferenceSim) {}},
		{name: "no serving task", relief: noServing},
		{name: "no serving task after lost answers", answersLost: true, relief: noServing},
		{name: "another leader", relief: (*interferenceSim).replaceLeader},
	} {
		t.Run(c.name, func(t *testing.T) {
			sim := newInterferenceSim(t, "s")
			sim.renewsLeases = true
			sim.headroomLost = map[string]map[string]float64{"s": {"a": 1.5}}
			for range 10 {
				sim.submit(fillerStep("a", 3))
				sim.run(time.Second)
			}
			sim.run(5 * time.Second)
			step := fillerStep("a", 1)
			step.Estimate = 5 * time.Second
			job := sim.submit(step)
			run := runKey{task: TaskName{Job: job}, run: 1}
			sim.run(interferenceTick)
			require.Contains(t, sim.remainingWork, run)
			sim.ratios[run] = unthrottled
			sim.losesThrottleAnswers = c.answersLost
			sim.baseline = func(string, time.Time) float64 { return 1.05 }
			for range 10 {
				if sim.ratios[run] == 0 {
					break
				}
				sim.run(interferenceTick)
			}
			require.Zero(t, sim.ratios[run])
			sim.losesThrottleAnswers = false
			sim.baseline = func(string, time.Time) float64 { return 4 }
			clear(sim.reportedTails)
			c.relief(sim)
			sim.run(20 * time.Second)
			require.Contains(t, sim.jobTimes, job)
		})
	}
}

// The reason why a task waits is logged once per interval for each step, with the number of workers
// that each obstacle excludes.
func TestWaitReasonIsLogged(t *testing.T) {
	now := time.Unix(1_000_000_000, 0)
	for _, c := range []struct {
		name         string
		step         Step
		want         Obstacle
		counts       []ObstacleCount
		declaredIdle float64
	}{
		{name: "too large", step: Step{Tasks: 2, Size: share.Resources{Processors: 9000}}, want: NoProcessors, counts: []ObstacleCount{{Obstacle: NoProcessors, Workers: 4}}},
		{name: "too much memory", step: Step{Tasks: 2, Size: share.Resources{Memory: 99 << 30}}, want: NoMemoryOrAccelerators, counts: []ObstacleCount{{Obstacle: NoMemoryOrAccelerators, Workers: 4}}},
		{name: "no such label", step: Step{Tasks: 2, RequiredLabel: "none"}, want: NoLabel, counts: []ObstacleCount{{Obstacle: NoLabel, Workers: 4}}},
		{name: "nothing idle", step: Step{Tasks: 2, Size: share.Resources{Processors: 9000}, Filler: true}, want: NoIdleProcessors, counts: []ObstacleCount{{Obstacle: NoIdleProcessors, Workers: 4}}, declaredIdle: 4},
		{name: "gang", step: Step{Tasks: 5, Size: share.Resources{Processors: 4000}, Gang: true}, want: noCapacityForGang},
	} {
		t.Run(c.name, func(t *testing.T) {
			core := fourWorkerCore(t, now)
			require.NoError(t, core.Submit(Job{ID: "0000000000000001", Queue: "check", Steps: []Step{c.step}}, now, nil))
			var logged []Note
			for at := now; at.Before(now.Add(9 * time.Second)); at = at.Add(100 * time.Millisecond) {
				core.Plan(at)
				logged = append(logged, slices.DeleteFunc(core.TakeNotes(), func(n Note) bool { return n.Kind != NoteWaits })...)
			}
			require.Len(t, logged, 2)
			require.Equal(t, string(c.want), logged[0].Reason)
			require.Equal(t, c.counts, logged[0].Obstacles)
			require.InDelta(t, c.declaredIdle, logged[0].DeclaredIdle, 1e-9)
			require.InDelta(t, c.declaredIdle, logged[0].MeasuredIdle, 1e-9)
			require.Equal(t, logWaitAfter, logged[0].Age)
		})
	}
	sim := newInterferenceSim(t, "v")
	sim.headroomLost = map[string]map[string]float64{"v": {"bad": 40}}
	sim.submitLoad(10*time.Second, 4, "bad")
	reasons := map[Obstacle]bool{}
	sim.submit(fillerStep("bad", 2))
	for at := sim.now; at.Before(sim.now.Add(9 * time.Second)); at = at.Add(time.Second) {
		sim.core.Plan(at)
		for _, n := range sim.core.TakeNotes() {
			if sim.onNote != nil {
				sim.onNote(n)
			}
			if n.Kind == NoteWaits {
				reasons[Obstacle(n.Reason)] = true
			}
		}
	}
	require.Contains(t, reasons, NoHeadroom)
}

// The next leader keeps interfering images away from serving tasks without measuring their effects
// again.
func TestInterferenceEffectsSurviveLeaderChange(t *testing.T) {
	sim := newInterferenceSim(t, "v")
	sim.headroomLost = map[string]map[string]float64{"v": {"bad": 25}}
	sim.submitLoad(6*time.Second, 4, "bad", "good")
	value, err := sim.core.EncodeEffects()
	require.NoError(t, err)
	next := newInterferenceSim(t, "v")
	next.headroomLost = sim.headroomLost
	require.NoError(t, next.core.RestoreEffects(value))
	require.Greater(t, next.core.expectedEffect(next.core.imageID("v"), next.core.imageID("bad")), 10.0)
	require.Less(t, next.core.expectedEffect(next.core.imageID("v"), next.core.imageID("good")), 5.0)
	next.missed = 0
	bad, good := next.submit(fillerStep("bad", 1)), next.submit(fillerStep("good", 1))
	next.run(3 * time.Second)
	require.Zero(t, next.missed)
	require.Contains(t, next.jobTimes, good)
	require.NotContains(t, next.jobTimes, bad)
}

// Of otherwise equal filler jobs, the one with the fewest unfinished tasks is placed first, unless
// one with more tasks was submitted much earlier.
func TestFillerJobWithFewestTasksLeftGoesFirst(t *testing.T) {
	now := time.Unix(1_000_000_000, 0)
	for _, c := range []struct {
		name    string
		earlier time.Duration
		want    map[string]int
	}{
		{name: "submitted at the same time", want: map[string]int{"0000000000000001": 2, "0000000000000002": 2}},
		{name: "the wider one submitted earlier", earlier: 8 * time.Second, want: map[string]int{"0000000000000001": 4}},
	} {
		t.Run(c.name, func(t *testing.T) {
			core := fourWorkerCore(t, now)
			step := func(tasks int) Step {
				return Step{Tasks: tasks, Size: share.Resources{Processors: 4000, Memory: 8 << 30}, Estimate: 10 * time.Second, Filler: true, Image: "a"}
			}
			require.NoError(t, core.Submit(Job{ID: "0000000000000001", Queue: "review", Steps: []Step{step(24)}}, now, nil))
			later := now.Add(c.earlier)
			require.NoError(t, core.Submit(Job{ID: "0000000000000002", Queue: "review", Steps: []Step{step(2)}}, later, nil))
			core.Plan(later)
			got := map[string]int{}
			for name := range commitAndStart(t, core, later) {
				got[name.Job]++
			}
			require.Equal(t, c.want, got)
		})
	}
}

// A reported tail latency decays slowly. The tail ratio has to reflect the time between two
// reports, or an old tail would be attributed to tasks that started later.
func TestDecayingTailIsNotAttributedToLaterTasks(t *testing.T) {
	r := &run{task: &task{stage: &stage{step: &Step{TailTarget: 20 * time.Millisecond}}}}
	r.tail = 300 * time.Millisecond
	_, known := r.updateTailRatio(time.Second)
	require.False(t, known)
	// Half a second after the load has ended, the reported value still contains a quarter of the
	// old tail.
	r.tail = 83 * time.Millisecond
	noise, known := r.updateTailRatio(500 * time.Millisecond)
	require.True(t, known)
	require.Less(t, r.tailRatio, 1.0)
	require.Greater(t, noise, 0.5)
}

// Tasks of a serving job that run alone on their workers determine the job's baseline headroom. The
// headroom that its other tasks lack is then attributed to the image beside them.
func TestUndisturbedTasksOfAJobSeparateEffectFromBaseline(t *testing.T) {
	now := time.Unix(1_000_000_000, 0)
	var h interference.HeadroomModel
	var baseline interference.BaselineHeadroom
	for i := range 40 {
		at := now.Add(time.Duration(i) * 300 * time.Millisecond)
		load := 2 + 0.5*float64(i%10)/10
		h.Observe(&baseline, 0, nil, load, 0.1, at)
		h.Observe(&baseline, 0, []interference.ImageUsage{{Aggressor: 1, Fraction: 0.1}}, load-1, 0.1, at)
	}
	mean, spread := h.Effect(0, 1)
	require.InDelta(t, 10, mean, 1)
	require.Less(t, spread, 1.0)
}
