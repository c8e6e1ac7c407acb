package batch

import (
	"fmt"
	"slices"
	"time"
)

// simWorker follows the rules of the platform's workers.
type simWorker struct {
	info    WorkerInfo
	began   time.Time
	token   int64
	until   time.Time
	dark    time.Time
	running map[runKey]*simRun
	ended   []simEnd
	number  int64
	ceiling map[TaskName]int64
	slow    float64
}

// simEnd is an end that was not acknowledged yet.
type simEnd struct {
	EndedRow
	at time.Time
	// lapsed means that the worker's lease lapsed since; a start elsewhere is then no fault.
	lapsed bool
}

type simRun struct {
	ends  time.Time
	began time.Time
	fails bool
}

func (w *simWorld) clock(o *simWorker) time.Duration { return w.now.Sub(o.began) + time.Second }

// obey carries an order out at a worker.
func (w *simWorld) obey(o *simWorker, c Call, token int64) Result {
	if w.match != nil && w.match(c.Task) {
		w.debug("obey %s %+v token %d run %d", o.info.ID, c.Kind, token, c.Run)
	}
	w.advance(o)
	res := Result{Answer: AnswerDone, Clock: w.clock(o), Incarnation: o.info.Incarnation}
	key := runKey{c.Task, c.Run}
	switch {
	case token < o.token:
		res.Answer = AnswerFenced
	case c.Kind == CommandStop:
		o.token = token
		o.ceiling[c.Task] = max(o.ceiling[c.Task], c.Run)
		if o.running[key] != nil {
			w.end(o, key, EndStopped)
		}
	case c.Kind == CommandStart && o.running[key] != nil:
	case c.Kind == CommandStart && c.Run <= o.ceiling[c.Task]:
		res.Answer = AnswerSuperseded
	case c.Kind == CommandStart && c.Deadline <= w.clock(o):
		res.Answer = AnswerExpired
	case c.Kind == CommandStart:
		o.token = token
		w.grant(o, c.Deadline)
		w.begin(o, key)
	}
	return res
}

// grant lets a worker's runs go on until a time on its clock, at most for the longest lease.
func (w *simWorld) grant(o *simWorker, deadline time.Duration) {
	until := o.began.Add(deadline - time.Second)
	if longest := w.now.Add(DefaultTiming().MaxLease); until.After(longest) {
		until = longest
	}
	o.until = later(o.until, until)
}

// begin starts a run and checks the rules of starts.
func (w *simWorld) begin(o *simWorker, key runKey) {
	name := key.task
	step := w.jobs[name.Job].Steps[name.Step]
	w.starts++
	if _, done := w.noted[name]; done {
		w.breaks("%v run %d starts after its end", name, key.run)
	}
	w.began[name] = w.now
	for _, other := range w.workers {
		w.advance(other)
		for k := range other.running {
			if k.task == name {
				w.breaks("%v runs %d and %d at once", name, k.run, key.run)
			}
		}
	}
	for _, before := range step.After {
		for i := range w.jobs[name.Job].Steps[before].Tasks {
			if _, done := w.ended[TaskName{Job: name.Job, Step: before, Index: i}]; !done {
				w.breaks("%v starts before %d.%d has ended", name, before, i)
			}
		}
	}
	if w.failed[name] >= simTable().Queues[w.jobs[name.Job].Queue].Attempts {
		w.breaks("%v starts after too many failures", name)
	}
	held := step.Size.Processors
	for k := range o.running {
		held += w.jobs[k.task.Job].Steps[k.task.Step].Size.Processors
	}
	if held > o.info.Capacity.Processors {
		w.breaks("%s holds too much", o.info.ID)
	}
	took := time.Duration(float64(step.Estimate) * (0.5 + w.random.Float64()) * o.slow)
	o.running[key] = &simRun{began: w.now, ends: w.now.Add(took), fails: w.chance(w.faults.fail)}
}

func (w *simWorld) breaks(format string, args ...any) {
	w.broken = append(w.broken, fmt.Sprintf("%v: ", w.now.Sub(time.Unix(1_000_000_000, 0)))+fmt.Sprintf(format, args...))
}

// advance lets a worker's runs end and leases lapse.
func (w *simWorld) advance(o *simWorker) {
	if w.now.After(o.until) {
		for i := range o.ended {
			o.ended[i].lapsed = true
		}
	}
	for _, key := range sortedRunKeys(o.running) {
		r := o.running[key]
		switch {
		case r.ends.After(w.now) && o.until.After(w.now):
		case !r.ends.After(o.until) && !r.ends.After(w.now) && r.fails:
			w.failed[key.task]++
			w.end(o, key, EndFailed)
		case !r.ends.After(o.until) && !r.ends.After(w.now):
			w.ended[key.task] = r.ends
			w.end(o, key, EndDone)
		default:
			w.end(o, key, EndExpired)
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
			return cmpText(a.task.String(), b.task.String())
		}
		return int(a.run - b.run)
	})
	return all
}

func cmpText(a, b string) int {
	if a < b {
		return -1
	}
	return 1
}

func (w *simWorld) end(o *simWorker, key runKey, how EndKind) {
	if w.match != nil && w.match(key.task) {
		w.debug("end %s run %d %s until %v", o.info.ID, key.run, how, o.until)
	}
	delete(o.running, key)
	o.number++
	row := EndedRow{Number: o.number, Task: key.task, Run: key.run, How: how}
	o.ended = append(o.ended, simEnd{EndedRow: row, at: w.now, lapsed: w.now.After(o.until)})
	o.ceiling[key.task] = max(o.ceiling[key.task], key.run)
}
