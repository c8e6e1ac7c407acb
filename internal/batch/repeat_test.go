package batch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against violations of the scheduling rules by what drops finished occurrences and sets jobs
// aside: a task must not run again after its acknowledged end, and each job has to end.
func TestSchedulingRulesHoldForRepeatedJobs(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults simFaults
		// storeLimit is the size of the largest record that the store takes during the faults.
		storeLimit int
		seeds      int
	}{
		{name: "no faults", seeds: 2},
		{name: "leader changes", seeds: 4, faults: simFaults{takeover: 2 * time.Second, cancel: 0.1}},
		{name: "refused records", seeds: 4, storeLimit: 900, faults: simFaults{fail: 0.05, cancel: 0.1}},
		{name: "refused records and leader changes", seeds: 4, storeLimit: 900, faults: simFaults{takeover: 4 * time.Second}},
		{name: "all faults", seeds: 6, storeLimit: 1200, faults: simFaults{
			lostAnswer: 0.05, lateCommand: 0.05, crash: 5 * time.Second, outage: 5 * time.Second, takeover: 6 * time.Second, fail: 0.05, cancel: 0.1,
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			refusals := 0
			for seed := range c.seeds {
				sim := newSimWorld(t, uint64(seed), 10, c.faults)
				sim.storeLimit = c.storeLimit
				sim.injectFaults(sim.now.Add(30 * time.Second))
				for i := range 30 {
					sim.after(time.Duration(i)*800*time.Millisecond, func() {
						j := sim.randomJob(i)
						if sim.chance(0.7) {
							j.Repeat = Repeat{Count: 1 + sim.random.IntN(12), First: sim.now.Add(-2 * time.Second), Every: time.Duration(100+sim.random.IntN(1500)) * time.Millisecond}
						}
						sim.submit(j)
					})
				}
				sim.run(30 * time.Second)
				sim.faults.lostAnswer, sim.faults.lateCommand, sim.faults.fail = 0, 0, 0
				sim.storeLimit = 0
				sim.run(180 * time.Second)
				require.Empty(t, sim.violations, "seed %d", seed)
				sim.checkEnds(seed)
				sim.checkOccurrences(seed)
				refusals += sim.refusals
			}
			require.Equal(t, c.storeLimit > 0, refusals > 0, "%d refusals", refusals)
		})
	}
}

// checkOccurrences checks that all tasks in all occurrences of completed jobs have ended
// successfully.
func (sim *simWorld) checkOccurrences(seed int) {
	sim.t.Helper()
	for _, id := range sortedKeys(sim.jobs) {
		if state, _ := sim.core.State(id); state != Completed {
			continue
		}
		j := sim.jobs[id]
		for o := range max(1, j.Repeat.Count) {
			for s, step := range j.Steps {
				for i := range step.Tasks {
					name := TaskName{Job: id, Occurrence: o, Step: s, Index: i}
					require.Contains(sim.t, sim.endedAt, name, "seed %d, completed without the task", seed)
				}
			}
		}
	}
}
