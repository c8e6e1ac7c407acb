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

// Work is the actual run time and resource use of the tasks of a job family, which may
// differ from what was declared.
type Work struct {
	// RunTime is the run time of an undisturbed task.
	RunTime time.Duration
	// Size is the resources that a task actually uses.
	Size share.Resources
	// Fails makes each task fail when it starts.
	Fails bool
	// Noise is by how much one such task prolongs the requests on the runners of its
	// worker, as a multiple of their undisturbed duration.
	Noise float64
}

// Worker is a stand-in for one worker. It is an http.Handler.
type Worker struct {
	ID       string
	Capacity share.Resources
	Ledger   *TaskLedger
	// Work returns the actual run time and resource use of the tasks of a job family.
	Work func(job string) Work
	// Tails returns the tail latencies of the runners on the worker; nil means none.
	Tails func(w *Worker) []worker.TailReport

	// Now returns the time; nil means the system clock.
	Now func() time.Time

	mu       sync.Mutex
	epoch    int64
	sequence int64
	// bootCount counts the restarts of the worker, and bootedAt is when it last started.
	bootCount int
	bootedAt  time.Time
	tasks     map[string]*workerTask
	broken    bool
	// firstTails and lastTails are the times of the first and the last report with tail latencies.
	firstTails time.Time
	lastTails  time.Time
}

// workerTask is one incarnation of a task on the worker.
type workerTask struct {
	report  worker.TaskReport
	command worker.Command
	work    Work
	// progress is the run time completed at full speed up to updatedAt.
	progress  time.Duration
	updatedAt time.Time
	expires   time.Time
	// uncertain is set if the task ended but its lease expired, or the worker
	// restarted, before the end was acknowledged.
	uncertain bool
}

func (t *workerTask) incarnation() worker.Ack {
	return worker.Ack{Task: t.report.Task, Incarnation: t.report.Incarnation}
}

// SetBroken makes each task fail when it starts, until it is called with false.
func (w *Worker) SetBroken(broken bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.broken = broken
}

// Crash ends and forgets all tasks, as a restart of the worker does.
func (w *Worker) Crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(w.now())
	for _, t := range w.tasks {
		w.Ledger.recordCrash(t.incarnation())
		if t.report.State.Final() {
			w.markUncertain(t)
			continue
		}
		w.Ledger.recordEnd(t.report.Task, t.report.Job, false)
		w.Ledger.discardResume(t.command.Resume)
	}
	w.tasks = nil
	w.epoch = 0
	w.sequence = 0
	w.bootCount++
	w.bootedAt = w.now()
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

// Advance simulates all tasks up to the current time.
func (w *Worker) Advance() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(w.now())
}

// markUncertain records that the leader may never learn of a task's end. The leader may
// then run the task again from where this incarnation started, which is not a fault.
func (w *Worker) markUncertain(t *workerTask) {
	if t.uncertain {
		return
	}
	t.uncertain = true
	switch t.report.State {
	case worker.TaskFinished:
		w.Ledger.markUncertain(t.report.Task)
		w.Ledger.discardResume(t.command.Resume)
	case worker.TaskCheckpointed:
		w.Ledger.discardResume(t.command.Resume)
	}
}

// boot returns an ID of the current start of the worker.
func (w *Worker) boot() string { return fmt.Sprintf("%s#%d", w.ID, w.bootCount) }

// TailsReportedFor returns the time from the first to the last report with tail latencies.
func (w *Worker) TailsReportedFor() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lastTails.Sub(w.firstTails)
}

// tails returns the tail latencies for a report.
func (w *Worker) tails(now time.Time) []worker.TailReport {
	if w.Tails == nil {
		return nil
	}
	reports := w.Tails(w)
	if len(reports) > 0 {
		w.lastTails = now
		if w.firstTails.IsZero() {
			w.firstTails = now
		}
	}
	return reports
}

// ServeHTTP serves one exchange with a leader.
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

// Exchange executes the commands of an exchange and returns a report, and whether epoch
// and sequence were accepted.
func (w *Worker) Exchange(e worker.Exchange) (worker.Report, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	if w.tasks == nil {
		w.tasks = map[string]*workerTask{}
	}
	if w.bootedAt.IsZero() {
		w.bootedAt = now
	}
	w.advance(now)
	report := worker.Report{Worker: w.ID, Boot: w.boot(), Stamp: now.Sub(w.bootedAt)}
	if !w.acceptNewer(e) {
		report.Epoch = w.epoch
		return report, false
	}
	report.Epoch = w.epoch
	expires := w.bootedAt.Add(e.Stamp + e.Lease)
	named := map[string]bool{}
	if e.Boot == w.boot() && now.Before(expires) {
		w.renew(expires)
		for _, a := range e.Acks {
			w.acknowledge(a)
		}
		for _, c := range e.Commands {
			named[c.Task] = true
			if reason := w.execute(c, now, expires); reason != "" {
				report.Refused = append(report.Refused, worker.Refusal{Task: c.Task, Incarnation: c.Incarnation, Reason: reason})
			}
		}
	}
	report.Full = e.Full || e.Boot != w.boot()
	report.Tasks = w.taskReports(report.Full, named)
	report.Tails = w.tails(now)
	return report, true
}

// acceptNewer reports whether an exchange is newer than all that the worker has seen,
// and records its epoch and sequence if so.
func (w *Worker) acceptNewer(e worker.Exchange) bool {
	if e.Epoch < w.epoch || (e.Epoch == w.epoch && e.Sequence <= w.sequence) {
		return false
	}
	w.epoch = e.Epoch
	w.sequence = e.Sequence
	return true
}

// renew extends the leases of all tasks.
func (w *Worker) renew(expires time.Time) {
	for _, t := range w.tasks {
		if expires.After(t.expires) {
			t.expires = expires
		}
	}
}

// taskReports returns the reports of the tasks that have ended or that a command names,
// or of all tasks if full is set.
func (w *Worker) taskReports(full bool, named map[string]bool) []worker.TaskReport {
	var reports []worker.TaskReport
	for _, id := range slices.Sorted(maps.Keys(w.tasks)) {
		t := w.tasks[id]
		if full || named[id] || t.report.State.Final() {
			reports = append(reports, t.report)
		}
	}
	return reports
}

// acknowledge forgets a task whose end the leader has recorded.
func (w *Worker) acknowledge(a worker.Ack) {
	t, ok := w.tasks[a.Task]
	if !ok || t.report.Incarnation != a.Incarnation || !t.report.State.Final() {
		return
	}
	if t.report.State == worker.TaskCheckpointed && !t.uncertain {
		w.Ledger.recordAcknowledged(a.Task, a.Incarnation)
	}
	delete(w.tasks, a.Task)
}

// advance simulates all tasks up to a time, and ends those whose lease has expired.
func (w *Worker) advance(now time.Time) {
	for _, t := range w.tasks {
		expired := now.After(t.expires)
		if !t.report.State.Final() {
			until := now
			if expired {
				until = t.expires
			}
			w.runTask(t, until)
		}
		if expired && !t.report.State.Final() {
			w.endTask(t, worker.TaskExpired)
		}
		if expired {
			w.markUncertain(t)
		}
	}
}

// runTask simulates a task up to a time, or to its end if that is earlier.
func (w *Worker) runTask(t *workerTask, until time.Time) {
	elapsed := until.Sub(t.updatedAt)
	if elapsed <= 0 {
		return
	}
	speed := t.report.Ratio
	step := time.Duration(float64(elapsed) * speed)
	if remaining := t.work.RunTime - t.progress; step >= remaining {
		step = remaining
		elapsed = time.Duration(float64(remaining) / speed)
	}
	t.progress += step
	t.updatedAt = until
	seconds := elapsed.Seconds()
	u := worker.Usage{
		Processor:   time.Duration(float64(step) * float64(t.work.Size.Processors) / 1000),
		MemoryTime:  seconds * float64(t.work.Size.Memory),
		Accelerator: elapsed * time.Duration(t.work.Size.Accelerators),
	}
	t.report.Usage.Processor += u.Processor
	t.report.Usage.MemoryTime += u.MemoryTime
	t.report.Usage.Accelerator += u.Accelerator
	w.Ledger.recordUsage(t.report.Job, t.incarnation(), u)
	if t.progress >= t.work.RunTime {
		w.endTask(t, worker.TaskFinished)
	}
}

// endTask ends a task in a final state.
func (w *Worker) endTask(t *workerTask, s worker.TaskState) {
	t.report.State = s
	w.Ledger.recordEnd(t.report.Task, t.report.Job, s == worker.TaskFinished)
	if s == worker.TaskFailed || s == worker.TaskExpired || s == worker.TaskStopped {
		w.Ledger.discardResume(t.command.Resume)
	}
}

// execute carries out a command and returns "", or returns the reason why it refuses the command.
func (w *Worker) execute(c worker.Command, now, expires time.Time) string {
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
		w.endTask(t, worker.TaskStopped)
	case worker.Checkpoint:
		t.report.Checkpoint = encodeCheckpoint(c.Task, c.Incarnation, t.progress)
		w.Ledger.recordEviction()
		w.endTask(t, worker.TaskCheckpointed)
	case worker.Throttle:
		t.report.Ratio = c.Ratio
	}
	return ""
}

// start starts a task unless it would exceed the worker's capacity.
func (w *Worker) start(c worker.Command, now, expires time.Time) string {
	reserved := c.Size
	for _, t := range w.tasks {
		if !t.report.State.Final() {
			reserved = reserved.Plus(t.command.Size)
		}
	}
	if !reserved.Fits(w.Capacity) {
		w.Ledger.recordOvercommit()
		return "capacity exceeded"
	}
	work := w.Work(c.Job)
	t := &workerTask{command: c, work: work, updatedAt: now, expires: expires, progress: decodeCheckpoint(c.Resume)}
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
	w.Ledger.recordStart(c.Task, c.Resume)
	if w.broken || work.Fails {
		t.report.Reason = "start failed"
		w.endTask(t, worker.TaskFailed)
	}
	return ""
}
