package batch

import (
	"fmt"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/pkg/share"
)

// submit submits a job and, as callers do, repeats the submission until the job is durable.
func (sim *simWorld) submit(j Job) {
	sim.jobs[j.ID] = j
	var try func()
	try = func() {
		if sim.records[j.ID] != nil {
			return
		}
		require.NoError(sim.t, sim.core.Submit(j, sim.now, nil))
		sim.after(time.Second, try)
	}
	try()
	if sim.chance(sim.faults.cancel) {
		sim.after(time.Duration(sim.random.Int64N(int64(3*time.Second))), func() {
			if sim.core.Cancel(j.ID, sim.now, nil) {
				sim.cancelledAt[j.ID] = sim.now
			}
		})
	}
}

// randomJob returns a job of one to three steps.
func (sim *simWorld) randomJob(id int) Job {
	j := Job{ID: fmt.Sprintf("%016x", id), Queue: []string{"check", "review"}[sim.random.IntN(2)], Spec: "spec"}
	for i := range 1 + sim.random.IntN(3) {
		s := Step{
			Tasks:    1 + sim.random.IntN(12),
			Size:     share.Resources{Processors: share.MilliCores(500 + sim.random.IntN(4000)), Memory: 1 << 30},
			Estimate: time.Duration(200+sim.random.IntN(2500)) * time.Millisecond,
		}
		if i > 0 {
			s.After = []int{sim.random.IntN(i)}
		}
		if sim.chance(0.2) {
			s.MaxPerWorker = 2
		}
		j.Steps = append(j.Steps, s)
	}
	return j
}
