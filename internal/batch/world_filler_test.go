package batch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/pkg/share"
)

// simFinishDeadline is the time after the last submission from which a job that can run must not be
// without a run for simIdleTime. It is given by the users' specification, as is simIdleTime.
const simFinishDeadline = 14 * time.Second

// simHarmTime is how long on end serving tasks may miss their targets because of filler tasks at work,
// as the users' specification allows.
const simHarmTime = 4 * time.Second

// isHalfFree reports whether less than half of the workers' processors are allocated.
func (sim *interferenceSim) isHalfFree() bool {
	var used, capacity share.MilliCores
	for _, w := range sim.core.workers {
		capacity += w.Capacity.Processors
		for _, r := range w.runs {
			used += r.task.stage.step.Size.Processors
		}
	}
	return 2*used < capacity
}

// waitingJobs returns the jobs without any run that have not ended.
func (sim *interferenceSim) waitingJobs(jobs []string) map[string]bool {
	waiting := map[string]bool{}
	for _, id := range jobs {
		if state, known := sim.core.State(id); known && !state.Final() {
			waiting[id] = true
		}
	}
	for _, w := range sim.core.workers {
		for key := range w.runs {
			delete(waiting, key.task.Job)
		}
	}
	return waiting
}

// Guards against jobs of filler tasks that have nothing running long after the last submission, while
// most processors are free, because of the interference that is predicted or of suspended tasks.
func TestFillerJobsRunWhileMostProcessorsAreFree(t *testing.T) {
	for seed := range 40 {
		// Jobs of the second half of the seeds have a chain of three steps.
		steps := 1 + 2*(seed/20)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(uint64(seed%20), 6))
			sim := newServingSim(t, 1+random.IntN(2), "s", "s", "v", "v", "u", "u")
			images := []string{"a", "b", "c"}
			for _, serving := range []string{"s", "v", "u"} {
				sim.headroomLost[serving] = map[string]float64{}
				for _, image := range images {
					sim.headroomLost[serving][image] = random.Float64() * 30
				}
			}
			sim.baseline = func(job string, now time.Time) float64 {
				if (now.Unix()/5+int64(job[len(job)-1]))%2 == 0 {
					return 1.6
				}
				return 2.8
			}
			var jobs []string
			for until := sim.now.Add(20 * time.Second); sim.now.Before(until); sim.run(interferenceTick) {
				step := fillerStep(images[random.IntN(len(images))], 1+random.IntN(4))
				jobs = append(jobs, sim.submit(chain(step, steps)...))
			}
			sim.run(simFinishDeadline)
			waiting, halfFree := sim.waitingJobs(jobs), sim.isHalfFree()
			for until := sim.now.Add(simIdleTime); sim.now.Before(until); {
				sim.run(interferenceTick)
				still := sim.waitingJobs(jobs)
				for id := range waiting {
					if !still[id] {
						delete(waiting, id)
					}
				}
				halfFree = halfFree && sim.isHalfFree()
			}
			require.LessOrEqual(t, sim.longestHarm, simHarmTime, "serving tasks miss their targets for too long")
			if halfFree {
				require.Empty(t, waiting, "%d of %d jobs have nothing running", len(waiting), len(jobs))
			}
		})
	}
}

// chain returns steps that depend on one another, alike otherwise.
func chain(step Step, n int) []Step {
	steps := make([]Step, n)
	for i := range steps {
		steps[i] = step
		if i > 0 {
			steps[i].After = []int{i - 1}
		}
	}
	return steps
}
