package standin

import (
	"maps"
	"sync"

	"github.com/oriolepond/oriolepond/internal/worker"
)

// TaskLedger counts what all workers of a test have seen of tasks.
type TaskLedger struct {
	mu       sync.Mutex
	running  map[string]int
	finished map[string]int
	// resumed counts the resumptions of each checkpoint that were not lost with their worker or failed.
	resumed map[string]int
	// expected is the incarnation whose checkpoint a task resumes from, if no later one is known.
	expected map[string]int64
	// doubted are tasks whose end may be known to nobody.
	doubted map[string]bool
	used    map[string]worker.Usage
	// spent is the usage of each incarnation, crashed are those that ended with their worker.
	spent   map[worker.Ack]worker.Usage
	crashed map[worker.Ack]bool
	starts  int
	// families counts the finished tasks of each job family.
	families map[string]int

	doubleRuns, resumeDoubles, resumeLosses, overcommits, evictions int
}

// NewTaskLedger returns an empty ledger.
func NewTaskLedger() *TaskLedger {
	return &TaskLedger{
		running:  map[string]int{},
		finished: map[string]int{},
		resumed:  map[string]int{},
		expected: map[string]int64{},
		doubted:  map[string]bool{},
		used:     map[string]worker.Usage{},
		spent:    map[worker.Ack]worker.Usage{},
		crashed:  map[worker.Ack]bool{},
		families: map[string]int{},
	}
}

// DoubleRuns returns how often a task ran in two places at once, or finished twice.
func (l *TaskLedger) DoubleRuns() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.doubleRuns
}

// DuplicateResumes returns how often one checkpoint was resumed a second time while
// the first resumption was not lost with its worker and did not fail.
func (l *TaskLedger) DuplicateResumes() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.resumeDoubles
}

// LostCheckpoints returns how often a task began anew although a checkpoint of it was acknowledged.
func (l *TaskLedger) LostCheckpoints() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.resumeLosses
}

// Starts returns how many incarnations were started.
func (l *TaskLedger) Starts() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.starts
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

// Running returns how many tasks run now.
func (l *TaskLedger) Running() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	sum := 0
	for _, n := range l.running {
		sum += n
	}
	return sum
}

// FinishedOf returns how many tasks of a job family have finished.
func (l *TaskLedger) FinishedOf(job string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.families[job]
}

// Evictions returns how many tasks were checkpointed to give way.
func (l *TaskLedger) Evictions() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.evictions
}

func (l *TaskLedger) evict() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.evictions++
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
	if l.running[task] > 1 || (l.finished[task] > 0 && !l.doubted[task]) {
		l.doubleRuns++
	}
	l.starts++
	// A later checkpoint may be committed although its worker was gone before the acknowledgement.
	if checkpointIncarnation(resume) < l.expected[task] {
		l.resumeLosses++
	}
	if resume == "" {
		return
	}
	l.resumed[resume]++
	if l.resumed[resume] > 1 {
		l.resumeDoubles++
	}
}

func (l *TaskLedger) end(task, job string, finished bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running[task]--
	if !finished {
		return
	}
	l.finished[task]++
	if l.finished[task] == 1 {
		l.families[job]++
	}
	if l.finished[task] > 1 && !l.doubted[task] {
		l.doubleRuns++
	}
}

// lose takes back a resumption whose progress is gone.
func (l *TaskLedger) lose(resume string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if resume != "" {
		l.resumed[resume]--
	}
}

// doubt notes that a task finished but its worker restarted before the end was
// acknowledged: the holder may or may not know of it, and may run it again.
func (l *TaskLedger) doubt(task string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.doubted[task] = true
}

// expect notes that the checkpoint of an incarnation was acknowledged: the
// task resumes from it, or from a later one.
func (l *TaskLedger) expect(task string, incarnation int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expected[task] = max(l.expected[task], incarnation)
}

// Spent returns what each incarnation has used whose end its worker can still
// report, or did report.
func (l *TaskLedger) Spent() map[worker.Ack]worker.Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := maps.Clone(l.spent)
	for incarnation := range l.crashed {
		delete(all, incarnation)
	}
	return all
}

func (l *TaskLedger) use(job string, incarnation worker.Ack, u worker.Usage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.used[job] = l.used[job].Plus(u)
	l.spent[incarnation] = l.spent[incarnation].Plus(u)
}

// crash notes that a worker restarted before the end of an incarnation was acknowledged.
func (l *TaskLedger) crash(incarnation worker.Ack) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.crashed[incarnation] = true
}

func (l *TaskLedger) overcommit() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.overcommits++
}
