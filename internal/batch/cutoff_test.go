package batch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/pkg/share"
)

// simEntryLifetime is how long the platform lists a worker that it does not hear from.
const simEntryLifetime = 4500 * time.Millisecond

// cutOff disconnects a worker from the leader and the platform. It runs on until its lease expires.
func (sim *simWorld) cutOff(w *simWorker, d time.Duration) {
	w.unresponsiveUntil = sim.now.Add(d)
	incarnation := w.info.Incarnation
	sim.after(simEntryLifetime, func() {
		if sim.now.Before(w.unresponsiveUntil) && w.info.Incarnation == incarnation {
			w.removed = true
			sim.core.RemoveWorker(w.info.ID)
		}
	})
	sim.after(d, func() {
		if w.removed && !sim.now.Before(w.unresponsiveUntil) {
			w.removed = false
			sim.core.SetWorker(w.info, sim.now)
		}
	})
}

// cutOffRepeatedly cuts off 70% of the workers for 7 s, six times.
func (sim *simWorld) cutOffRepeatedly() {
	for i := range 6 {
		sim.after(time.Duration(5+8*i)*time.Second, func() {
			for _, n := range sim.random.Perm(len(sim.workers))[:7*len(sim.workers)/10] {
				sim.cutOff(sim.workers[n], 7*time.Second)
			}
		})
	}
}

// Guards against jobs that are given up because the leases of their runs have expired, although no worker has crashed.
func TestJobsOutlastWorkersThatAreCutOff(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults simFaults
	}{
		{name: "one leader"},
		{name: "beside takeovers", faults: simFaults{takeover: 6 * time.Second}},
		{name: "beside lost answers", faults: simFaults{lostAnswer: 0.05}},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range 4 {
				sim := newSimWorld(t, uint64(seed), 20, c.faults)
				sim.injectFaults(sim.now.Add(50 * time.Second))
				sim.cutOffRepeatedly()
				for i := range 8 {
					sim.submit(Job{ID: fmt.Sprintf("%016x", 1000+i), Queue: "check", Spec: "spec", Steps: []Step{{
						Tasks: 6, Size: share.Resources{Processors: 2000, Memory: 1 << 30}, Estimate: time.Hour, LongRunning: true,
					}}})
				}
				for i := range 40 {
					sim.after(time.Duration(i)*time.Second, func() { sim.submit(sim.randomJob(i)) })
				}
				sim.run(50 * time.Second)
				sim.faults.lostAnswer = 0
				sim.run(100 * time.Second)
				require.Empty(t, sim.violations, "seed %d", seed)
				for _, id := range sortedKeys(sim.jobs) {
					state, _ := sim.core.State(id)
					require.NotEqual(t, Failed, state, "seed %d, job %s", seed, id)
				}
			}
		})
	}
}
