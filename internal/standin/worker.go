package standin

import (
	"net/http"
	"sync"
	"time"

	"github.com/oriolepond/oriolepond/internal/worker"
	"github.com/oriolepond/oriolepond/pkg/share"
)

// Work is what a task of a job family truly takes.
type Work struct {
	// RunTime is how long an undisturbed task runs.
	RunTime time.Duration
	// Size is what it truly holds.
	Size share.Resources
	// Fails makes each start end in failure.
	Fails bool
}

// TaskLedger counts what all workers of a test have seen of tasks.
type TaskLedger struct {
	mu       sync.Mutex
	running  map[string]int
	finished map[string]int
	resumed  map[string]int
	used     map[string]worker.Usage

	doubleRuns, resumeDoubles, overcommits int
}

// NewTaskLedger returns an empty ledger.
func NewTaskLedger() *TaskLedger {
	return &TaskLedger{
		running:  map[string]int{},
		finished: map[string]int{},
		resumed:  map[string]int{},
		used:     map[string]worker.Usage{},
	}
}

// DoubleRuns returns how often a task ran in two places at once, or finished twice.
func (l *TaskLedger) DoubleRuns() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.doubleRuns
}

// ResumeDoubles returns how often one checkpoint was resumed a second time.
func (l *TaskLedger) ResumeDoubles() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.resumeDoubles
}

// Overcommits returns how often a worker held more than its capacity.
func (l *TaskLedger) Overcommits() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.overcommits
}

// Finished returns how many tasks have finished.
func (l *TaskLedger) Finished() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.finished)
}

// Used returns what the tasks of a job family have used.
func (l *TaskLedger) Used(job string) worker.Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.used[job]
}

func (l *TaskLedger) start(task, resume string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running[task]++
	if l.running[task] > 1 || l.finished[task] > 0 {
		l.doubleRuns++
	}
	if resume == "" {
		return
	}
	l.resumed[resume]++
	if l.resumed[resume] > 1 {
		l.resumeDoubles++
	}
}

func (l *TaskLedger) end(task string, finished bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running[task]--
	if !finished {
		return
	}
	l.finished[task]++
	if l.finished[task] > 1 {
		l.doubleRuns++
	}
}

func (l *TaskLedger) use(job string, u worker.Usage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	sum := l.used[job]
	sum.Processor += u.Processor
	sum.MemoryTime += u.MemoryTime
	sum.Accelerator += u.Accelerator
	l.used[job] = sum
}

func (l *TaskLedger) overcommit() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.overcommits++
}

// Worker is a stand-in for one worker. It is an http.Handler.
type Worker struct {
	ID       string
	Capacity share.Resources
	Ledger   *TaskLedger
	// Work returns what a task of a job family truly takes.
	Work func(job string) Work
	// Tails returns the tail latencies of the runners on the worker; nil means none.
	Tails func(w *Worker) []worker.TailReport

	mu     sync.Mutex
	epoch  int64
	tasks  map[string]*workerTask
	broken bool
}

type workerTask struct {
	report  worker.TaskReport
	command worker.Command
	work    Work
	// done is the progress made, and at is when it was brought up to date.
	done    time.Duration
	at      time.Time
	expires time.Time
}

// SetBroken makes the worker fail each task that it starts.
func (w *Worker) SetBroken(broken bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.broken = broken
}

// Crash ends all tasks and forgets them, as a restart does.
func (w *Worker) Crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(time.Now())
	for _, t := range w.tasks {
		if !t.report.State.Final() {
			w.Ledger.end(t.report.Task, false)
		}
	}
	w.tasks = nil
	w.epoch = 0
}

// ServeHTTP takes one exchange.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, q *http.Request) {
	body, err := readBody(rw, q, maxStoreBody)
	if err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	e, err := worker.DecodeExchange(body)
	if err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	report, ok := w.exchange(e, time.Now())
	text, err := worker.EncodeReport(report)
	if err != nil {
		http.Error(rw, err.Error(), http.StatusInternalServerError)
		return
	}
	if !ok {
		rw.WriteHeader(http.StatusConflict)
	}
	_, _ = rw.Write(text)
}

// exchange carries out the commands and reports whether the epoch was accepted.
func (w *Worker) exchange(e worker.Exchange, now time.Time) (worker.Report, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.tasks == nil {
		w.tasks = map[string]*workerTask{}
	}
	w.advance(now)
	if e.Epoch < w.epoch {
		return worker.Report{Worker: w.ID, Epoch: w.epoch}, false
	}
	w.epoch = e.Epoch
	for _, a := range e.Acks {
		w.acknowledge(a)
	}
	for _, t := range w.tasks {
		t.expires = now.Add(e.Lease)
	}
	report := worker.Report{Worker: w.ID, Epoch: w.epoch}
	for _, c := range e.Commands {
		if reason := w.carryOut(c, now, e.Lease); reason != "" {
			report.Refused = append(report.Refused, worker.Refusal{Task: c.Task, Incarnation: c.Incarnation, Reason: reason})
		}
	}
	for _, t := range w.tasks {
		report.Tasks = append(report.Tasks, t.report)
	}
	if w.Tails != nil {
		report.Tails = w.Tails(w)
	}
	return report, true
}

func (w *Worker) acknowledge(a worker.Ack) {
	t, ok := w.tasks[a.Task]
	if ok && t.report.Incarnation == a.Incarnation && t.report.State.Final() {
		delete(w.tasks, a.Task)
	}
}

// advance brings every task up to a time.
func (w *Worker) advance(now time.Time) {
	for _, t := range w.tasks {
		if t.report.State.Final() {
			continue
		}
		until := now
		if until.After(t.expires) {
			until = t.expires
		}
		w.progress(t, until)
		if now.After(t.expires) && !t.report.State.Final() {
			w.finish(t, worker.TaskLapsed)
		}
	}
}

// progress runs a task up to a time, or to its end if that is earlier.
func (w *Worker) progress(t *workerTask, until time.Time) {
	elapsed := until.Sub(t.at)
	if elapsed <= 0 {
		return
	}
	speed := t.report.Ratio
	step := time.Duration(float64(elapsed) * speed)
	if left := t.work.RunTime - t.done; step >= left {
		step = left
		elapsed = time.Duration(float64(left) / speed)
	}
	t.done += step
	t.at = until
	seconds := elapsed.Seconds()
	u := worker.Usage{
		Processor:   time.Duration(float64(step) * float64(t.work.Size.Processors) / 1000),
		MemoryTime:  seconds * float64(t.work.Size.Memory),
		Accelerator: elapsed * time.Duration(t.work.Size.Accelerators),
	}
	t.report.Usage.Processor += u.Processor
	t.report.Usage.MemoryTime += u.MemoryTime
	t.report.Usage.Accelerator += u.Accelerator
	w.Ledger.use(t.report.Job, u)
	if t.done >= t.work.RunTime {
		w.finish(t, worker.TaskFinished)
	}
}

func (w *Worker) finish(t *workerTask, s worker.TaskState) {
	t.report.State = s
	w.Ledger.end(t.report.Task, s == worker.TaskFinished)
}

// carryOut does what a command asks and returns why not, if so.
func (w *Worker) carryOut(c worker.Command, now time.Time, lease time.Duration) string {
	t, known := w.tasks[c.Task]
	if c.Kind == worker.Start {
		if known && t.report.Incarnation >= c.Incarnation {
			return ""
		}
		if known && !t.report.State.Final() {
			return "an earlier incarnation runs"
		}
		return w.start(c, now, lease)
	}
	if !known || t.report.Incarnation != c.Incarnation || t.report.State.Final() {
		return ""
	}
	switch c.Kind {
	case worker.Stop:
		w.finish(t, worker.TaskStopped)
	case worker.Checkpoint:
		t.report.Checkpoint = encodeCheckpoint(c.Task, c.Incarnation, t.done)
		w.finish(t, worker.TaskCheckpointed)
	case worker.Throttle:
		t.report.Ratio = c.Ratio
	}
	return ""
}

func (w *Worker) start(c worker.Command, now time.Time, lease time.Duration) string {
	held := c.Size
	for _, t := range w.tasks {
		if !t.report.State.Final() {
			held = held.Plus(t.command.Size)
		}
	}
	if !held.Fits(w.Capacity) {
		w.Ledger.overcommit()
		return "capacity exceeded"
	}
	work := w.Work(c.Job)
	t := &workerTask{command: c, work: work, at: now, expires: now.Add(lease), done: decodeCheckpoint(c.Resume)}
	t.report = worker.TaskReport{
		Task:        c.Task,
		Incarnation: c.Incarnation,
		Job:         c.Job,
		State:       worker.TaskRunning,
		Size:        work.Size,
		Speed:       1,
		Ratio:       1,
	}
	w.tasks[c.Task] = t
	w.Ledger.start(c.Task, c.Resume)
	if w.broken || work.Fails {
		t.report.Reason = "start failed"
		w.finish(t, worker.TaskFailed)
	}
	return ""
}
