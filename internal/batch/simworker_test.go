package batch

import (
	"fmt"
	"slices"
	"time"
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
	// highestEndedRun is the highest number of a run that was stopped or has ended, for each task. The
	// worker refuses to start runs with numbers up to it.
	highestEndedRun map[TaskName]int64
	slowdown        float64
}

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
	fails     bool
}

func (w *simWorld) clock(o *simWorker) time.Duration {
	return w.now.Sub(o.incarnationStart) + time.Second
}

// execute executes a command on a worker.
func (w *simWorld) execute(o *simWorker, c Call, token int64) Result {
	if w.traced != nil && w.traced(c.Task) {
		w.trace("execute %s %+v token %d run %d", o.info.ID, c.Kind, token, c.Run)
	}
	w.passTime(o)
	res := Result{Answer: AnswerDone, Clock: w.clock(o), Incarnation: o.info.Incarnation}
	key := runKey{c.Task, c.Run}
	switch {
	case token < o.token:
		res.Answer = AnswerFenced
	case c.Kind == CommandStop:
		o.token = token
		o.highestEndedRun[c.Task] = max(o.highestEndedRun[c.Task], c.Run)
		if o.running[key] != nil {
			w.endRun(o, key, EndStopped)
		}
	case c.Kind == CommandStart && o.running[key] != nil:
	case c.Kind == CommandStart && c.Run <= o.highestEndedRun[c.Task]:
		res.Answer = AnswerSuperseded
	case c.Kind == CommandStart && c.Deadline <= w.clock(o):
		res.Answer = AnswerExpired
	case c.Kind == CommandStart:
		o.token = token
		w.grant(o, c.Deadline)
		w.startRun(o, key)
	}
	return res
}

// grant extends a worker's lease to a deadline on the worker's clock, but to no more than MaxLease from
// now.
func (w *simWorld) grant(o *simWorker, deadline time.Duration) {
	until := o.incarnationStart.Add(deadline - time.Second)
	if longest := w.now.Add(DefaultTiming().MaxLease); until.After(longest) {
		until = longest
	}
	o.leasedUntil = later(o.leasedUntil, until)
}

// startRun starts a run and checks the rules for starts.
func (w *simWorld) startRun(o *simWorker, key runKey) {
	name := key.task
	step := w.jobs[name.Job].Steps[name.Step]
	w.startCount++
	if _, done := w.acknowledged[name]; done {
		w.violate("%v run %d starts after the task has ended", name, key.run)
	}
	w.startedAt[name] = w.now
	for _, other := range w.workers {
		w.passTime(other)
		for k := range other.running {
			if k.task == name {
				w.violate("%v runs %d and %d at the same time", name, k.run, key.run)
			}
		}
	}
	for _, before := range step.After {
		for i := range w.jobs[name.Job].Steps[before].Tasks {
			if _, done := w.endedAt[TaskName{Job: name.Job, Step: before, Index: i}]; !done {
				w.violate("%v starts before %d.%d has ended", name, before, i)
			}
		}
	}
	if w.failures[name] >= simQueueConfig().Queues[w.jobs[name.Job].Queue].Attempts {
		w.violate("%v starts after too many failures", name)
	}
	allocated := step.Size.Processors
	for k := range o.running {
		allocated += w.jobs[k.task.Job].Steps[k.task.Step].Size.Processors
	}
	if allocated > o.info.Capacity.Processors {
		w.violate("%s is over its capacity", o.info.ID)
	}
	duration := time.Duration(float64(step.Estimate) * (0.5 + w.random.Float64()) * o.slowdown)
	o.running[key] = &simRun{startedAt: w.now, endsAt: w.now.Add(duration), fails: w.chance(w.faults.fail)}
}

// violate records a violation of the scheduling rules.
// violate records a violation of the scheduling rules.
func (w *simWorld) violate(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("%v: ", w.now.Sub(time.Unix(1_000_000_000, 0)))+fmt.Sprintf(format, args...))
}

// passTime brings a worker up to the present time: it ends the runs that are over or whose lease has
// expired.
func (w *simWorld) passTime(o *simWorker) {
	if w.now.After(o.leasedUntil) {
		for i := range o.unackedEnds {
			o.unackedEnds[i].expired = true
		}
	}
	for _, key := range sortedRunKeys(o.running) {
		r := o.running[key]
		switch {
		case r.endsAt.After(w.now) && o.leasedUntil.After(w.now):
		case !r.endsAt.After(o.leasedUntil) && !r.endsAt.After(w.now) && r.fails:
			w.failures[key.task]++
			w.endRun(o, key, EndFailed)
		case !r.endsAt.After(o.leasedUntil) && !r.endsAt.After(w.now):
			w.endedAt[key.task] = r.endsAt
			w.endRun(o, key, EndDone)
		default:
			w.endRun(o, key, EndExpired)
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

func (w *simWorld) endRun(o *simWorker, key runKey, how EndKind) {
	if w.traced != nil && w.traced(key.task) {
		w.trace("end %s run %d %s until %v", o.info.ID, key.run, how, o.leasedUntil)
	}
	delete(o.running, key)
	o.lastEnd++
	row := EndedRow{Number: o.lastEnd, Task: key.task, Run: key.run, How: how}
	o.unackedEnds = append(o.unackedEnds, simEnd{EndedRow: row, at: w.now, expired: w.now.After(o.leasedUntil)})
	o.highestEndedRun[key.task] = max(o.highestEndedRun[key.task], key.run)
}
