package scheduler

import (
	"cmp"
	"context"
	"sync"
	"time"

	"github.com/oriolepond/oriolepond/internal/batch"
)

// fakeWorkers are workers on which each task runs for a fixed duration, those of the jobs in durations for another one.
// They check that no task runs twice at once, or again after its end.
type fakeWorkers struct {
	mu        sync.Mutex
	startedAt time.Time
	// age is how long the workers had run when the test began.
	age      time.Duration
	duration time.Duration
	// durations are by job ID.
	durations map[string]time.Duration
	workers   map[string]*fakeWorker
	// violations describe starts of tasks that were still running or had already ended.
	violations []string
	done       map[batch.TaskName]bool
	starts     int
	// startTimes are the times of the starts on each worker.
	startTimes map[string][]time.Time
	// lastStarts are the times of the last starts, by job ID.
	lastStarts map[string]time.Time
}

type fakeWorker struct {
	// token is the highest fencing token seen, leaseUntil the end of the lease on the worker's clock.
	token      int64
	leaseUntil time.Duration
	running    map[batch.TaskName]*fakeRun
	ended      []batch.EndedRow
	lastEnd    int64
	// highestEndedRun is the highest run of each task that has ended or was stopped: it and
	// earlier runs must not start any more.
	highestEndedRun map[batch.TaskName]int64
	changed         chan struct{}
	unresponsive    bool
}

type fakeRun struct {
	number int64
	ends   time.Time
}

func newFakeWorkers(duration time.Duration, ids ...string) *fakeWorkers {
	f := &fakeWorkers{startedAt: time.Now(), age: time.Hour, duration: duration, workers: map[string]*fakeWorker{}, done: map[batch.TaskName]bool{}, startTimes: map[string][]time.Time{}, lastStarts: map[string]time.Time{}}
	for _, id := range ids {
		f.workers[id] = &fakeWorker{
			running: map[batch.TaskName]*fakeRun{}, highestEndedRun: map[batch.TaskName]int64{}, changed: make(chan struct{}),
		}
	}
	return f
}

// clock returns the clock of the workers.
func (f *fakeWorkers) clock() time.Duration { return time.Since(f.startedAt) + f.age }

// advance ends the runs that are done or whose lease has expired; f.mu is held.
func (f *fakeWorkers) advance(w *fakeWorker) {
	for name, r := range w.running {
		switch {
		case f.clock() > w.leaseUntil && w.leaseUntil > 0:
			f.endRun(w, name, r, batch.EndExpired)
		case !time.Now().Before(r.ends):
			f.done[name] = true
			f.endRun(w, name, r, batch.EndDone)
		}
	}
}

func (f *fakeWorkers) endRun(w *fakeWorker, name batch.TaskName, r *fakeRun, how batch.EndKind) {
	delete(w.running, name)
	w.lastEnd++
	w.ended = append(w.ended, batch.EndedRow{Number: w.lastEnd, Task: name, Run: r.number, How: how})
	w.highestEndedRun[name] = max(w.highestEndedRun[name], r.number)
	close(w.changed)
	w.changed = make(chan struct{})
}

// calls returns the calls to the workers, without a network.
func (f *fakeWorkers) calls() Workers {
	return Workers{Poll: f.poll, Execute: f.execute}
}

func (f *fakeWorkers) poll(ctx context.Context, request batch.Poll, wait time.Duration, token int64) (batch.Report, error) {
	f.mu.Lock()
	w := f.workers[request.Worker]
	if w == nil {
		f.mu.Unlock()
		return batch.Report{}, &PollError{Worker: request.Worker, Answer: batch.AnswerNone}
	}
	if w.unresponsive {
		f.mu.Unlock()
		<-ctx.Done()
		return batch.Report{}, &PollError{Worker: request.Worker, Answer: batch.AnswerNone}
	}
	f.advance(w)
	if token < w.token {
		f.mu.Unlock()
		return batch.Report{}, &PollError{Worker: request.Worker, Answer: batch.AnswerFenced}
	}
	w.token, w.leaseUntil = token, max(w.leaseUntil, request.Deadline)
	for len(w.ended) > 0 && w.ended[0].Number <= request.Ack {
		w.ended = w.ended[1:]
	}
	deadline := time.Now().Add(wait)
	for len(w.ended) == 0 && time.Now().Before(deadline) {
		next := deadline
		for _, r := range w.running {
			if r.ends.Before(next) {
				next = r.ends
			}
		}
		changed := w.changed
		f.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-changed:
		case <-time.After(time.Until(next)):
		}
		f.mu.Lock()
		if ctx.Err() != nil {
			break
		}
		f.advance(w)
	}
	defer f.mu.Unlock()
	report := batch.Report{Incarnation: 1, Clock: f.clock(), Ended: append([]batch.EndedRow(nil), w.ended...)}
	for name, r := range w.running {
		report.Running = append(report.Running, batch.RunningRow{Task: name, Run: r.number, Percent: 50})
	}
	return report, nil
}

func (f *fakeWorkers) execute(ctx context.Context, call batch.Call, token int64) batch.Result {
	f.mu.Lock()
	w := f.workers[call.Worker]
	if w.unresponsive {
		f.mu.Unlock()
		<-ctx.Done()
		return batch.Result{Answer: batch.AnswerNone}
	}
	defer f.mu.Unlock()
	f.advance(w)
	result := batch.Result{Answer: batch.AnswerDone, Clock: f.clock(), Incarnation: 1}
	switch {
	case token < w.token:
		result.Answer = batch.AnswerFenced
	case call.Kind == batch.CommandStop:
		w.highestEndedRun[call.Task] = max(w.highestEndedRun[call.Task], call.Run)
		if r := w.running[call.Task]; r != nil && r.number == call.Run {
			f.endRun(w, call.Task, r, batch.EndStopped)
		}
	case call.Kind == batch.CommandStart && call.Run <= w.highestEndedRun[call.Task]:
		result.Answer = batch.AnswerSuperseded
	case call.Kind == batch.CommandStart && call.Deadline <= f.clock():
		result.Answer = batch.AnswerExpired
	case call.Kind == batch.CommandStart:
		w.token, w.leaseUntil = token, max(w.leaseUntil, call.Deadline)
		f.start(w, call)
	}
	return result
}

func (f *fakeWorkers) start(w *fakeWorker, call batch.Call) {
	if r := w.running[call.Task]; r != nil && r.number == call.Run {
		return
	}
	if f.done[call.Task] {
		f.violations = append(f.violations, call.Task.String()+" starts after its end")
	}
	for id, other := range f.workers {
		f.advance(other)
		if other.running[call.Task] != nil {
			f.violations = append(f.violations, call.Task.String()+" runs on "+id+" and "+call.Worker)
		}
	}
	f.starts++
	f.startTimes[call.Worker] = append(f.startTimes[call.Worker], time.Now())
	f.lastStarts[call.Task.Job] = time.Now()
	w.running[call.Task] = &fakeRun{number: call.Run, ends: time.Now().Add(cmp.Or(f.durations[call.Task.Job], f.duration))}
	close(w.changed)
	w.changed = make(chan struct{})
}

// startCount returns the number of started runs.
func (f *fakeWorkers) startCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.starts
}

// startsBetween returns the number of starts on a worker between two times.
func (f *fakeWorkers) startsBetween(worker string, from, to time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, at := range f.startTimes[worker] {
		if at.After(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// hasStarted reports whether a run of a job was started.
func (f *fakeWorkers) hasStarted(job string) bool { return !f.lastStart(job).IsZero() }

// lastStart returns when a run of a job was last started, zero if none was.
func (f *fakeWorkers) lastStart(job string) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastStarts[job]
}

func (f *fakeWorkers) update(change func(*fakeWorkers)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

func (f *fakeWorkers) ruleViolations() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.violations...)
}
