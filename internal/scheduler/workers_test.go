package scheduler

import (
	"context"
	"sync"
	"time"

	"github.com/oriolepond/oriolepond/internal/batch"
)

// fakeWorkers are workers that run each task for a time, and that check that no
// task runs twice at once or again after its end.
type fakeWorkers struct {
	mu       sync.Mutex
	began    time.Time
	duration time.Duration
	workers  map[string]*fakeWorker
	// broken are the rules that were seen broken.
	broken []string
	done   map[batch.TaskName]bool
	starts int
}

type fakeWorker struct {
	token   int64
	until   time.Duration
	running map[batch.TaskName]*fakeRun
	ended   []batch.EndedRow
	number  int64
	ceiling map[batch.TaskName]int64
	changed chan struct{}
	silent  bool
}

type fakeRun struct {
	number int64
	ends   time.Time
}

func newFakeWorkers(duration time.Duration, ids ...string) *fakeWorkers {
	f := &fakeWorkers{began: time.Now(), duration: duration, workers: map[string]*fakeWorker{}, done: map[batch.TaskName]bool{}}
	for _, id := range ids {
		f.workers[id] = &fakeWorker{
			running: map[batch.TaskName]*fakeRun{}, ceiling: map[batch.TaskName]int64{}, changed: make(chan struct{}),
		}
	}
	return f
}

// clock is that of workers which have run for an hour.
func (f *fakeWorkers) clock() time.Duration { return time.Since(f.began) + time.Hour }

// advance lets runs end and leases lapse; f.mu is held.
func (f *fakeWorkers) advance(w *fakeWorker) {
	for name, r := range w.running {
		switch {
		case f.clock() > w.until && w.until > 0:
			f.end(w, name, r, batch.EndExpired)
		case !time.Now().Before(r.ends):
			f.done[name] = true
			f.end(w, name, r, batch.EndDone)
		}
	}
}

func (f *fakeWorkers) end(w *fakeWorker, name batch.TaskName, r *fakeRun, how batch.EndKind) {
	delete(w.running, name)
	w.number++
	w.ended = append(w.ended, batch.EndedRow{Number: w.number, Task: name, Run: r.number, How: how})
	w.ceiling[name] = max(w.ceiling[name], r.number)
	close(w.changed)
	w.changed = make(chan struct{})
}

// calls are the calls to the workers, without a network.
func (f *fakeWorkers) calls() Workers {
	return Workers{Poll: f.look, Execute: f.order}
}

func (f *fakeWorkers) look(ctx context.Context, l batch.Poll, wait time.Duration, token int64) (batch.Report, error) {
	f.mu.Lock()
	w := f.workers[l.Worker]
	if w == nil {
		f.mu.Unlock()
		return batch.Report{}, &PollError{Worker: l.Worker, Answer: batch.AnswerNone, Refused: true}
	}
	if w.silent {
		f.mu.Unlock()
		<-ctx.Done()
		return batch.Report{}, &PollError{Worker: l.Worker, Answer: batch.AnswerNone}
	}
	f.advance(w)
	if token < w.token {
		f.mu.Unlock()
		return batch.Report{}, &PollError{Worker: l.Worker, Answer: batch.AnswerFenced}
	}
	w.token, w.until = token, max(w.until, l.Deadline)
	for len(w.ended) > 0 && w.ended[0].Number <= l.Ack {
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

func (f *fakeWorkers) order(ctx context.Context, c batch.Call, token int64) batch.Result {
	f.mu.Lock()
	w := f.workers[c.Worker]
	if w.silent {
		f.mu.Unlock()
		<-ctx.Done()
		return batch.Result{Answer: batch.AnswerNone}
	}
	defer f.mu.Unlock()
	f.advance(w)
	res := batch.Result{Answer: batch.AnswerDone, Clock: f.clock(), Incarnation: 1}
	switch {
	case token < w.token:
		res.Answer = batch.AnswerFenced
	case c.Kind == batch.CommandStop:
		w.ceiling[c.Task] = max(w.ceiling[c.Task], c.Run)
		if r := w.running[c.Task]; r != nil && r.number == c.Run {
			f.end(w, c.Task, r, batch.EndStopped)
		}
	case c.Kind == batch.CommandStart && c.Run <= w.ceiling[c.Task]:
		res.Answer = batch.AnswerSuperseded
	case c.Kind == batch.CommandStart && c.Deadline <= f.clock():
		res.Answer = batch.AnswerExpired
	case c.Kind == batch.CommandStart:
		w.token, w.until = token, max(w.until, c.Deadline)
		f.start(w, c)
	}
	return res
}

func (f *fakeWorkers) start(w *fakeWorker, c batch.Call) {
	if r := w.running[c.Task]; r != nil && r.number == c.Run {
		return
	}
	if f.done[c.Task] {
		f.broken = append(f.broken, c.Task.String()+" starts after its end")
	}
	for id, o := range f.workers {
		f.advance(o)
		if o.running[c.Task] != nil {
			f.broken = append(f.broken, c.Task.String()+" runs on "+id+" and "+c.Worker)
		}
	}
	f.starts++
	w.running[c.Task] = &fakeRun{number: c.Run, ends: time.Now().Add(f.duration)}
	close(w.changed)
	w.changed = make(chan struct{})
}

// count returns how many runs were started.
func (f *fakeWorkers) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.starts
}

func (f *fakeWorkers) set(change func(*fakeWorkers)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

func (f *fakeWorkers) rules() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.broken...)
}
