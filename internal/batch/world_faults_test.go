package batch

import (
	"fmt"
	"time"

	"github.com/oriolepond/oriolepond/pkg/share"
)

// injectFaults injects faults until a time.
func (sim *simWorld) injectFaults(until time.Time) {
	repeatedly := func(mean time.Duration, do func()) {
		if mean == 0 {
			return
		}
		var next func()
		next = func() {
			if sim.now.After(until) {
				return
			}
			do()
			sim.after(sim.exponential(mean), next)
		}
		sim.after(sim.exponential(mean), next)
	}
	repeatedly(sim.faults.crash, func() { sim.crash(sim.workers[sim.random.IntN(len(sim.workers))]) })
	repeatedly(sim.faults.outage, func() {
		sim.workers[sim.random.IntN(len(sim.workers))].unresponsiveUntil = sim.now.Add(time.Duration(sim.random.Int64N(int64(12 * time.Second))))
	})
	repeatedly(sim.faults.takeover, sim.takeOver)
	repeatedly(sim.faults.evacuation, func() { sim.evacuate(fmt.Sprintf("dc-%d", sim.random.IntN(3))) })
	repeatedly(sim.faults.cancelWave, sim.cancelWave)
	repeatedly(sim.faults.commits.rejection, sim.rejectCommits)
	repeatedly(sim.faults.commits.silence, sim.silenceStore)
	repeatedly(sim.faults.commits.freeze, sim.freeze)
	repeatedly(sim.faults.resize, func() { sim.resize(sim.workers[sim.random.IntN(len(sim.workers))]) })
}

// resizeNotice is how long after a change of its capacity a worker may still be started runs by the
// previous one. The platform allows it for longer.
const resizeNotice = time.Second

// resize changes the capacity of a worker, which publishes it soon.
func (sim *simWorld) resize(w *simWorker) {
	w.previousProcessors, w.resizedAt = max(w.info.Capacity.Processors, sim.usableProcessors(w)), sim.now
	w.info.Capacity.Processors = share.MilliCores(sim.random.IntN(16_001))
	sim.after(resizeNotice/2, func() { sim.core.SetWorker(w.info, sim.now) })
}

// usableProcessors returns the processors that the runs of a worker may be allocated.
func (sim *simWorld) usableProcessors(w *simWorker) share.MilliCores {
	if sim.now.Sub(w.resizedAt) < resizeNotice {
		return max(w.previousProcessors, w.info.Capacity.Processors)
	}
	return w.info.Capacity.Processors
}

// crash restarts a worker, which loses all its state.
func (sim *simWorld) crash(w *simWorker) { sim.crashFor(w, time.Second) }

// crashFor crashes a worker that publishes its next incarnation after a time.
func (sim *simWorld) crashFor(w *simWorker, d time.Duration) {
	if sim.traced != nil {
		sim.trace("crash %s", w.info.ID)
	}
	sim.passTime(w)
	for key := range w.running {
		sim.crashedUnder[key.task]++
	}
	clear(w.running)
	clear(w.highestEndedRun)
	w.unackedEnds, w.lastEnd, w.token, w.leasedUntil = nil, 0, 0, time.Time{}
	w.info.Incarnation++
	w.incarnationStart = sim.now
	incarnation := w.info.Incarnation
	sim.after(simEntryLifetime, func() {
		if d > simEntryLifetime && w.info.Incarnation == incarnation {
			w.removed = true
			sim.core.RemoveWorker(w.info.ID)
		}
	})
	sim.after(d, func() {
		w.removed = w.departed
		sim.core.SetWorker(w.info, sim.now)
	})
}

// The time after an evacuation from which nothing may be started, and for how long a leader goes by a reading.
const (
	simEvacuationDeadline = 5 * time.Second
	simEvacuationAge      = 4 * time.Second
)

// evacuate evacuates a data centre for up to 15 s.
func (sim *simWorld) evacuate(dataCentre string) {
	if _, evacuated := sim.evacuatedAt[dataCentre]; evacuated {
		return
	}
	sim.evacuations++
	sim.evacuatedAt[dataCentre] = sim.now
	sim.after(time.Duration(sim.random.Int64N(int64(15*time.Second))), func() { delete(sim.evacuatedAt, dataCentre) })
}

// followEvacuations lets a leader read what is evacuated, once a second from its election on.
func (sim *simWorld) followEvacuations(token int64) {
	if sim.faults.evacuation == 0 || token != sim.token {
		return
	}
	sim.core.SetMaxEvacuationAge(simEvacuationAge)
	if !sim.chance(sim.faults.lostAnswer) {
		sim.core.SetEvacuated(sortedKeys(sim.evacuatedAt), sim.now, sim.now)
	}
	sim.after(time.Second, func() { sim.asLeader(token, func() { sim.followEvacuations(token) }) })
}

// checkEvacuation checks that a command starts nothing in a data centre that has been evacuated for long.
func (sim *simWorld) checkEvacuation(c Call) {
	at, evacuated := sim.evacuatedAt[c.DataCentre]
	if evacuated && c.Kind == CommandStart && sim.now.Sub(at) > simEvacuationDeadline {
		sim.violate("%v is started in %s, which is evacuated", c.Task, c.DataCentre)
	}
}
