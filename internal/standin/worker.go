package standin

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
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
	// Noise is the slowdown that one such task adds to the runners on its worker.
	Noise float64
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

	// Now is the worker's clock; nil is the system's.
	Now func() time.Time

	mu       sync.Mutex
	epoch    int64
	sequence int64
	// boots counts the starts of the worker, and booted is when the last was.
	boots  int
	booted time.Time
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
	// doubted says that its end was not acknowledged while its lease held.
	doubted bool
}

func (t *workerTask) incarnation() worker.Ack {
	return worker.Ack{Task: t.report.Task, Incarnation: t.report.Incarnation}
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
	w.advance(w.now())
	for _, t := range w.tasks {
		w.Ledger.crash(t.incarnation())
		if t.report.State.Final() {
			w.doubt(t)
			continue
		}
		w.Ledger.end(t.report.Task, t.report.Job, false)
		w.Ledger.lose(t.command.Resume)
	}
	w.tasks = nil
	w.epoch = 0
	w.sequence = 0
	w.boots++
	w.booted = w.now()
}

// Epoch returns the highest epoch that the worker has seen.
func (w *Worker) Epoch() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.epoch
}

func (w *Worker) now() time.Time {
	if w.Now != nil {
		return w.Now()
	}
	return time.Now()
}

// Advance brings all tasks up to the present time.
func (w *Worker) Advance() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(w.now())
}

// doubt notes an end that its holder may never come to know: the holder may
// rightly run the task again from where this incarnation began.
func (w *Worker) doubt(t *workerTask) {
	if t.doubted {
		return
	}
	t.doubted = true
	switch t.report.State {
	case worker.TaskFinished:
		w.Ledger.doubt(t.report.Task)
		w.Ledger.lose(t.command.Resume)
	case worker.TaskCheckpointed:
		w.Ledger.lose(t.command.Resume)
	}
}

// boot names the present start of the worker.
func (w *Worker) boot() string { return fmt.Sprintf("%s#%d", w.ID, w.boots) }

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
	report, ok := w.Exchange(e)
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

// Exchange carries out the commands and reports whether epoch and sequence were accepted.
func (w *Worker) Exchange(e worker.Exchange) (worker.Report, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	if w.tasks == nil {
		w.tasks = map[string]*workerTask{}
	}
	if w.booted.IsZero() {
		w.booted = now
	}
	w.advance(now)
	report := worker.Report{Worker: w.ID, Boot: w.boot(), Stamp: now.Sub(w.booted)}
	if !w.admit(e) {
		report.Epoch = w.epoch
		return report, false
	}
	report.Epoch = w.epoch
	expires := w.booted.Add(e.Stamp + e.Lease)
	named := map[string]bool{}
	if e.Boot == w.boot() && now.Before(expires) {
		w.renew(expires)
		for _, a := range e.Acks {
			w.acknowledge(a)
		}
		for _, c := range e.Commands {
			named[c.Task] = true
			if reason := w.carryOut(c, now, expires); reason != "" {
				report.Refused = append(report.Refused, worker.Refusal{Task: c.Task, Incarnation: c.Incarnation, Reason: reason})
			}
		}
	}
	report.Full = e.Full || e.Boot != w.boot()
	report.Tasks = w.rows(report.Full, named)
	if w.Tails != nil {
		report.Tails = w.Tails(w)
	}
	return report, true
}

// admit reports whether an exchange is newer than all that the worker has seen.
func (w *Worker) admit(e worker.Exchange) bool {
	if e.Epoch < w.epoch || (e.Epoch == w.epoch && e.Sequence <= w.sequence) {
		return false
	}
	w.epoch = e.Epoch
	w.sequence = e.Sequence
	return true
}

func (w *Worker) renew(expires time.Time) {
	for _, t := range w.tasks {
		if expires.After(t.expires) {
			t.expires = expires
		}
	}
}

// rows returns the incarnations that ended or are named, or all of them.
func (w *Worker) rows(full bool, named map[string]bool) []worker.TaskReport {
	var rows []worker.TaskReport
	for _, id := range slices.Sorted(maps.Keys(w.tasks)) {
		t := w.tasks[id]
		if full || named[id] || t.report.State.Final() {
			rows = append(rows, t.report)
		}
	}
	return rows
}

func (w *Worker) acknowledge(a worker.Ack) {
	t, ok := w.tasks[a.Task]
	if !ok || t.report.Incarnation != a.Incarnation || !t.report.State.Final() {
		return
	}
	if t.report.State == worker.TaskCheckpointed && !t.doubted {
		w.Ledger.expect(a.Task, a.Incarnation)
	}
	delete(w.tasks, a.Task)
}

// advance brings every task up to a time.
func (w *Worker) advance(now time.Time) {
	for _, t := range w.tasks {
		lapsed := now.After(t.expires)
		if !t.report.State.Final() {
			until := now
			if lapsed {
				until = t.expires
			}
			w.progress(t, until)
		}
		if lapsed && !t.report.State.Final() {
			w.finish(t, worker.TaskExpired)
		}
		if lapsed {
			w.doubt(t)
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
	w.Ledger.use(t.report.Job, t.incarnation(), u)
	if t.done >= t.work.RunTime {
		w.finish(t, worker.TaskFinished)
	}
}

func (w *Worker) finish(t *workerTask, s worker.TaskState) {
	t.report.State = s
	w.Ledger.end(t.report.Task, t.report.Job, s == worker.TaskFinished)
	if s == worker.TaskFailed || s == worker.TaskExpired || s == worker.TaskStopped {
		w.Ledger.lose(t.command.Resume)
	}
}

// carryOut does what a command asks and returns why not, if so.
func (w *Worker) carryOut(c worker.Command, now, expires time.Time) string {
	t, known := w.tasks[c.Task]
	if c.Kind == worker.Start {
		if known && t.report.Incarnation >= c.Incarnation {
			return ""
		}
		if known && !t.report.State.Final() {
			return "an earlier incarnation runs"
		}
		return w.start(c, now, expires)
	}
	if !known || t.report.Incarnation != c.Incarnation || t.report.State.Final() {
		return ""
	}
	switch c.Kind {
	case worker.Stop:
		w.finish(t, worker.TaskStopped)
	case worker.Checkpoint:
		t.report.Checkpoint = encodeCheckpoint(c.Task, c.Incarnation, t.done)
		w.Ledger.evict()
		w.finish(t, worker.TaskCheckpointed)
	case worker.Throttle:
		t.report.Ratio = c.Ratio
	}
	return ""
}

func (w *Worker) start(c worker.Command, now, expires time.Time) string {
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
	t := &workerTask{command: c, work: work, at: now, expires: expires, done: decodeCheckpoint(c.Resume)}
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
