package batch

import (
	"fmt"
	"slices"
	"time"

	"github.com/oriolepond/oriolepond/pkg/share"
)

// simWorker simulates a worker that follows the platform's rules for workers.
type simWorker struct {
	info              WorkerInfo
	incarnationStart  time.Time
	token             int64
	leasedUntil       time.Time
	unresponsiveUntil time.Time
	running           map[runKey]*simRun
	unackedEnds       []simEnd
	lastEnd           int64
	// highestEndedRun is the highest number of a run that was stopped or has ended, for each task.
	// The worker refuses to start runs with numbers up to it.
	highestEndedRun map[TaskName]int64
	slowdown        float64
	// previousProcessors is the worker's capacity before it changed at resizedAt.
	previousProcessors share.MilliCores
	resizedAt          time.Time
	// departing means that the worker was chosen to depart for good, departed that it has ended, and
	// removed that the platform no longer lists it.
	departing bool
	departed  bool
	removed   bool
}

// simLongRun is the duration of long-running tasks; it is longer than any simulation.
const simLongRun = time.Hour

// simEnd is a run end that was not acknowledged yet.
type simEnd struct {
	EndedRow
	at time.Time
	// expired means that the worker's lease has expired since the end. The task may then be started
	// on another worker.
	expired bool
}

type simRun struct {
	endsAt    time.Time
	startedAt time.Time
	// stopsAt is when the run ends because the worker was told to stop it; zero if it was not.
	stopsAt time.Time
	fails   bool
}

func (sim *simWorld) clock(w *simWorker) time.Duration {
	return sim.now.Sub(w.incarnationStart) + time.Second
}

// execute executes a command on a worker.
func (sim *simWorld) execute(w *simWorker, c Call, token int64) Result {
	if sim.traced != nil && sim.traced(c.Task) {
		sim.trace("execute %s %+v token %d run %d", w.info.ID, c.Kind, token, c.Run)
	}
	sim.passTime(w)
	// As on the platform, the answer does not tell the incarnation.
	res := Result{Answer: AnswerDone, Clock: sim.clock(w)}
	key := runKey{c.Task, c.Run}
	switch {
	case token < w.token:
		res.Answer = AnswerFenced
	case c.Kind == CommandStop:
		w.token = token
		w.highestEndedRun[c.Task] = max(w.highestEndedRun[c.Task], c.Run)
		if r := w.running[key]; r != nil && r.stopsAt.IsZero() {
			if sim.faults.slowStop == 0 {
				sim.endRun(w, key, EndStopped)
				break
			}
			r.stopsAt = sim.now.Add(time.Duration(sim.random.Int64N(int64(sim.faults.slowStop))))
		}
	case c.Kind == CommandStart && w.running[key] != nil:
	case c.Kind == CommandStart && c.Run <= w.highestEndedRun[c.Task]:
		res.Answer = AnswerSuperseded
	case c.Kind == CommandStart && c.Deadline <= sim.clock(w):
		res.Answer = AnswerExpired
	case c.Kind == CommandStart:
		w.token = token
		sim.grant(w, c.Deadline)
		sim.startRun(w, key)
	}
	return res
}

// listsEnds reports whether a worker has run ends that were not acknowledged.
func (w *simWorker) listsEnds() bool { return len(w.unackedEnds) > 0 }

// grant extends a worker's lease to a deadline on the worker's clock, but to no more than MaxLease
// from now.
func (sim *simWorld) grant(w *simWorker, deadline time.Duration) {
	until := w.incarnationStart.Add(deadline - time.Second)
	if longest := sim.now.Add(DefaultTiming().MaxLease); until.After(longest) {
		until = longest
	}
	w.leasedUntil = later(w.leasedUntil, until)
}

// startRun starts a run and checks the rules for starts.
func (sim *simWorld) startRun(w *simWorker, key runKey) {
	name := key.task
	step := sim.jobs[name.Job].Steps[name.Step]
	sim.startCount++
	if _, done := sim.acknowledged[name]; done {
		sim.violate("%v run %d starts after the task has ended", name, key.run)
	}
	sim.startedAt[name] = sim.now
	for _, other := range sim.cell.workers(sim) {
		sim.passTime(other)
		for k := range other.running {
			if k.task == name {
				sim.violate("%v runs %d and %d at the same time", name, k.run, key.run)
			}
		}
	}
	for _, before := range step.After {
		for i := range sim.jobs[name.Job].Steps[before].Tasks {
			if _, done := sim.endedAt[TaskName{Job: name.Job, Occurrence: name.Occurrence, Step: before, Index: i}]; !done {
				sim.violate("%v starts before %d.%d has ended", name, before, i)
			}
		}
	}
	if sim.failures[name] >= simQueueConfig().Queues[sim.jobs[name.Job].Queue].Attempts {
		sim.violate("%v starts after too many failures", name)
	}
	allocated := step.Size.Processors
	for k := range w.running {
		allocated += sim.jobs[k.task.Job].Steps[k.task.Step].Size.Processors
	}
	if allocated > sim.usableProcessors(w) {
		sim.violate("%s is over its capacity", w.info.ID)
	}
	duration := time.Duration(float64(step.Estimate) * (0.5 + sim.random.Float64()) * w.slowdown)
	if step.LongRunning {
		duration = simLongRun
	}
	w.running[key] = &simRun{startedAt: sim.now, endsAt: sim.now.Add(duration), fails: sim.chance(sim.faults.fail)}
	sim.crasher.startRun(sim, w, key)
}

// violate records a violation of the scheduling rules.
func (sim *simWorld) violate(format string, args ...any) {
	sim.violations = append(sim.violations, fmt.Sprintf("%v: ", sim.now.Sub(time.Unix(1_000_000_000, 0)))+fmt.Sprintf(format, args...))
}

// passTime brings a worker up to the present time: it ends the runs that are over or whose lease
// has expired.
func (sim *simWorld) passTime(w *simWorker) {
	if sim.now.After(w.leasedUntil) {
		for i := range w.unackedEnds {
			w.unackedEnds[i].expired = true
		}
	}
	for _, key := range sortedRunKeys(w.running) {
		r := w.running[key]
		if !r.stopsAt.IsZero() && r.stopsAt.Before(r.endsAt) && !r.stopsAt.After(w.leasedUntil) {
			if !r.stopsAt.After(sim.now) {
				sim.endRun(w, key, EndStopped)
			}
			continue
		}
		switch {
		case r.endsAt.After(sim.now) && w.leasedUntil.After(sim.now):
		case !r.endsAt.After(w.leasedUntil) && !r.endsAt.After(sim.now) && r.fails:
			sim.failures[key.task]++
			sim.endRun(w, key, EndFailed)
		case !r.endsAt.After(w.leasedUntil) && !r.endsAt.After(sim.now):
			sim.endedAt[key.task] = r.endsAt
			sim.endRun(w, key, EndDone)
		default:
			sim.endRun(w, key, EndExpired)
		}
	}
}

func sortedRunKeys(m map[runKey]*simRun) []runKey {
	var keys []runKey
	for key := range m {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b runKey) int {
		if a.task != b.task {
			return compareTexts(a.task.String(), b.task.String())
		}
		return int(a.run - b.run)
	})
	return keys
}

func compareTexts(a, b string) int {
	if a < b {
		return -1
	}
	return 1
}

func (sim *simWorld) endRun(w *simWorker, key runKey, how EndKind) {
	if sim.traced != nil && sim.traced(key.task) {
		sim.trace("end %s run %d %s until %v", w.info.ID, key.run, how, w.leasedUntil)
	}
	delete(w.running, key)
	w.lastEnd++
	row := EndedRow{Number: w.lastEnd, Task: key.task, Run: key.run, How: how}
	w.unackedEnds = append(w.unackedEnds, simEnd{EndedRow: row, at: sim.now, expired: sim.now.After(w.leasedUntil)})
	w.highestEndedRun[key.task] = max(w.highestEndedRun[key.task], key.run)
}
