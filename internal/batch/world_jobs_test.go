package batch

import (
	"fmt"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/pkg/share"
)

// submit submits a job and, as callers do, repeats the submission until it is acknowledged.
func (sim *simWorld) submit(j Job) {
	sim.jobs[j.ID] = j
	var try func()
	try = func() {
		if sim.accepted[j.ID] {
			return
		}
		sim.home(j.ID).submitHere(j)
		sim.after(time.Second, try)
	}
	try()
	if sim.chance(sim.faults.cancel) {
		sim.after(time.Duration(sim.random.Int64N(int64(3*time.Second))), func() { sim.cancel(j.ID) })
	}
}

// simCancelRetry is after what time callers repeat a cancel that was not acknowledged.
const simCancelRetry = 6 * time.Second

// submitHere submits a job to the leader of a cell.
func (sim *simWorld) submitHere(j Job) {
	if sim.writesToInbox() {
		sim.submitToInbox(j)
		return
	}
	sim.asLeader(sim.token, func() {
		require.NoError(sim.t, sim.core.Submit(j, sim.now, func(s State) {
			if s == Dropped || s == Refused {
				return
			}
			sim.accepted[j.ID] = true
			if sim.records[j.ID] == nil && sim.cell.inbox[j.ID] == nil {
				sim.violate("the submission of job %s is acknowledged and not stored", j.ID)
			}
		}))
	})
}

// cancel cancels a job, and repeats the cancel until it is acknowledged.
func (sim *simWorld) cancel(id string) {
	if !sim.cancelledAt[id].IsZero() {
		return
	}
	sim.home(id).cancelHere(id)
	sim.after(simCancelRetry, func() { sim.cancel(id) })
}

// cancelHere cancels a job at the leader of a cell, or of the cell that the job was handed over to.
func (sim *simWorld) cancelHere(id string) {
	if sim.writesToInbox() {
		sim.cancelInInbox(id)
		return
	}
	sim.asLeader(sim.token, func() {
		known := sim.core.Cancel(id, sim.now, func(s State) {
			sim.traceJob(id, "answers the cancel: %s", s)
			switch {
			case s == Moved:
				sim.followJob(id)
			case s.Final() && sim.cancelledAt[id].IsZero():
				sim.cancelledAt[id], sim.cancelled[id] = sim.now, true
				if stored, _, err := DecodeState(sim.records[id]); err != nil || !stored.Final() {
					sim.violate("the cancel of job %s is acknowledged, stored is %q", id, stored)
				}
			}
		})
		sim.traceJob(id, "is told to cancel, known %v", known)
		if !known {
			sim.cancelInInbox(id)
		}
	})
}

// cancelWave cancels most of the jobs that have not ended, within a second or at once.
func (sim *simWorld) cancelWave() {
	spread := time.Second
	if sim.chance(0.5) {
		spread = time.Millisecond
	}
	for _, id := range sortedKeys(sim.jobs) {
		p := 0.7
		if sim.jobs[id].Steps[0].LongRunning {
			p = 0.1
		}
		if state, known := sim.core.State(id); !sim.cancelAsked[id] && known && !state.Final() && sim.chance(p) {
			sim.cancelAsked[id] = true
			sim.after(time.Duration(sim.random.Int64N(int64(spread))), func() { sim.cancel(id) })
		}
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
