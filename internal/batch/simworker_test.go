package batch

import (
	"fmt"
	"slices"
	"time"
)

// simWorker follows the rules of the platform's workers.
type simWorker struct {
	info              WorkerInfo
	incarnationStart  time.Time
	token             int64
	leasedUntil       time.Time
	unresponsiveUntil time.Time
	running           map[runKey]*simRun
	ended             []simEnd
	lastEnd           int64
	highestEnded      map[TaskName]int64
	slowdown          float64
}

// simEnd is an end that was not acknowledged yet.
type simEnd struct {
	EndedRow
	at time.Time
	// expired means that the worker's lease lapsed since; a start elsewhere is then no fault.
	expired bool
}

type simRun struct {
	ends  time.Time
	began time.Time
	fails bool
}

func (w *simWorld) clock(o *simWorker) time.Duration {
	return w.now.Sub(o.incarnationStart) + time.Second
}

// execute carries an order out at a worker.
func (w *simWorld) execute(o *simWorker, c Call, token int64) Result {
	if w.match != nil && w.match(c.Task) {
		w.debug("obey %s %+v token %d run %d", o.info.ID, c.Kind, token, c.Run)
	}
	w.advance(o)
	res := Result{Answer: AnswerDone, Clock: w.clock(o), Born: o.info.Born}
	key := runKey{c.Task, c.Run}
	switch {
	case token < o.token:
		res.Answer = AnswerFenced
	case c.Kind == OrderStop:
		o.token = token
		o.highestEnded[c.Task] = max(o.highestEnded[c.Task], c.Run)
		if o.running[key] != nil {
			w.end(o, key, EndStopped)
		}
	case c.Kind == OrderStart && o.running[key] != nil:
	case c.Kind == OrderStart && c.Run <= o.highestEnded[c.Task]:
		res.Answer = AnswerOld
	case c.Kind == OrderStart && c.Deadline <= w.clock(o):
		res.Answer = AnswerLate
	case c.Kind == OrderStart:
		o.token = token
		w.grant(o, c.Deadline)
		w.begin(o, key)
	}
	return res
}

// grant lets a worker's runs go on until a time on its clock, at most for the longest lease.
func (w *simWorld) grant(o *simWorker, deadline time.Duration) {
	until := o.incarnationStart.Add(deadline - time.Second)
	if longest := w.now.Add(DefaultTiming().MaxLease); until.After(longest) {
		until = longest
	}
	o.leasedUntil = later(o.leasedUntil, until)
}

// begin starts a run and checks the rules of starts.
func (w *simWorld) begin(o *simWorker, key runKey) {
	name := key.task
	step := w.jobs[name.Job].Steps[name.Step]
	w.starts++
	if _, done := w.acknowledged[name]; done {
		w.violate("%v run %d starts after its end", name, key.run)
	}
	w.startedAt[name] = w.now
	for _, other := range w.workers {
		w.advance(other)
		for k := range other.running {
			if k.task == name {
				w.violate("%v runs %d and %d at once", name, k.run, key.run)
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
	held := step.Size.Processors
	for k := range o.running {
		held += w.jobs[k.task.Job].Steps[k.task.Step].Size.Processors
	}
	if held > o.info.Capacity.Processors {
		w.violate("%s holds too much", o.info.ID)
	}
	took := time.Duration(float64(step.Estimate) * (0.5 + w.random.Float64()) * o.slowdown)
	o.running[key] = &simRun{began: w.now, ends: w.now.Add(took), fails: w.chance(w.faults.fail)}
}

func (w *simWorld) violate(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("%v: ", w.now.Sub(time.Unix(1_000_000_000, 0)))+fmt.Sprintf(format, args...))
}

// advance lets a worker's runs end and leases lapse.
func (w *simWorld) advance(o *simWorker) {
	if w.now.After(o.leasedUntil) {
		for i := range o.ended {
			o.ended[i].expired = true
		}
	}
	for _, key := range sortedRunKeys(o.running) {
		r := o.running[key]
		switch {
		case r.ends.After(w.now) && o.leasedUntil.After(w.now):
		case !r.ends.After(o.leasedUntil) && !r.ends.After(w.now) && r.fails:
			w.failures[key.task]++
			w.end(o, key, EndFailed)
		case !r.ends.After(o.leasedUntil) && !r.ends.After(w.now):
			w.endedAt[key.task] = r.ends
			w.end(o, key, EndDone)
		default:
			w.end(o, key, EndLapsed)
		}
	}
}

func sortedRunKeys(m map[runKey]*simRun) []runKey {
	var all []runKey
	for key := range m {
		all = append(all, key)
	}
	slices.SortFunc(all, func(a, b runKey) int {
		if a.task != b.task {
			return compareTexts(a.task.String(), b.task.String())
		}
		return int(a.run - b.run)
	})
	return all
}

func compareTexts(a, b string) int {
	if a < b {
		return -1
	}
	return 1
}

func (w *simWorld) end(o *simWorker, key runKey, how EndKind) {
	if w.match != nil && w.match(key.task) {
		w.debug("end %s run %d %s until %v", o.info.ID, key.run, how, o.leasedUntil)
	}
	delete(o.running, key)
	o.lastEnd++
	row := EndedRow{Number: o.lastEnd, Task: key.task, Run: key.run, How: how}
	o.ended = append(o.ended, simEnd{EndedRow: row, at: w.now, expired: w.now.After(o.leasedUntil)})
	o.highestEnded[key.task] = max(o.highestEnded[key.task], key.run)
}
