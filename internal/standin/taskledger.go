package standin

import (
	"maps"
	"sync"

	"github.com/oriolepond/oriolepond/internal/worker"
)

// TaskLedger counts what the workers of a test have run.
type TaskLedger struct {
	mu sync.Mutex
	// running counts the runs of each task that are in progress, finished those that have finished.
	running  map[string]int
	finished map[string]int
	// resumed counts, for each checkpoint, the runs that resumed it and were neither
	// lost with their worker nor failed.
	resumed map[string]int
	// acknowledged holds, for each task, the last incarnation that ended with a checkpoint
	// which the leader acknowledged. The task must resume from it or a later one.
	acknowledged map[string]int64
	// uncertain are the tasks whose leader may not know that they ended.
	uncertain map[string]bool
	// used is the usage of each job family.
	used map[string]worker.Usage
	// spent is the usage of each incarnation; crashed are the incarnations that were lost with their worker.
	spent   map[worker.Ack]worker.Usage
	crashed map[worker.Ack]bool
	starts  int
	// finishedByFamily counts the finished tasks of each job family.
	finishedByFamily map[string]int

	doubleRuns, duplicateResumes, lostCheckpoints, overcommits, evictions int
}

// NewTaskLedger returns an empty ledger.
func NewTaskLedger() *TaskLedger {
	return &TaskLedger{
		running:          map[string]int{},
		finished:         map[string]int{},
		resumed:          map[string]int{},
		acknowledged:     map[string]int64{},
		uncertain:        map[string]bool{},
		used:             map[string]worker.Usage{},
		spent:            map[worker.Ack]worker.Usage{},
		crashed:          map[worker.Ack]bool{},
		finishedByFamily: map[string]int{},
	}
}

// DoubleRuns returns how often a task was started while it ran already, or ran again after
// it had finished. The latter does not count if its leader may not know of the first end.
func (l *TaskLedger) DoubleRuns() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.doubleRuns
}

// DuplicateResumes returns how often a checkpoint was resumed again although the first
// run that resumed it was neither lost with its worker nor failed.
func (l *TaskLedger) DuplicateResumes() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.duplicateResumes
}

// LostCheckpoints returns how often a task did not resume from its last acknowledged
// checkpoint or a later one.
func (l *TaskLedger) LostCheckpoints() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lostCheckpoints
}

// Starts returns how many incarnations were started.
func (l *TaskLedger) Starts() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.starts
}

// Overcommits returns how often a worker was asked to exceed its capacity.
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

// Running returns the number of task runs in progress.
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
	return l.finishedByFamily[job]
}

// Evictions returns how many tasks were checkpointed in order to yield.
func (l *TaskLedger) Evictions() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.evictions
}

func (l *TaskLedger) recordEviction() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.evictions++
}

// Used returns the resource usage of a job family's tasks.
func (l *TaskLedger) Used(job string) worker.Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.used[job]
}

func (l *TaskLedger) recordStart(task, resume string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running[task]++
	if l.running[task] > 1 || (l.finished[task] > 0 && !l.uncertain[task]) {
		l.doubleRuns++
	}
	l.starts++
	// A later checkpoint is fine: it may have been committed although its worker
	// crashed before it received the acknowledgement.
	if checkpointIncarnation(resume) < l.acknowledged[task] {
		l.lostCheckpoints++
	}
	if resume == "" {
		return
	}
	l.resumed[resume]++
	if l.resumed[resume] > 1 {
		l.duplicateResumes++
	}
}

func (l *TaskLedger) recordEnd(task, job string, finished bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running[task]--
	if !finished {
		return
	}
	l.finished[task]++
	if l.finished[task] == 1 {
		l.finishedByFamily[job]++
	}
	if l.finished[task] > 1 && !l.uncertain[task] {
		l.doubleRuns++
	}
}

// discardResume removes a resumption from the counts because its progress was lost.
func (l *TaskLedger) discardResume(resume string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if resume != "" {
		l.resumed[resume]--
	}
}

// markUncertain records that a finished task's worker restarted, or its lease expired,
// before the end was acknowledged. The leader may not know of the end and may run the
// task again.
func (l *TaskLedger) markUncertain(task string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.uncertain[task] = true
}

// recordAcknowledged records that the checkpoint of an incarnation was acknowledged, so
// that the task must resume from it or from a later one.
func (l *TaskLedger) recordAcknowledged(task string, incarnation int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.acknowledged[task] = max(l.acknowledged[task], incarnation)
}

// Spent returns the usage of each incarnation whose end its worker reported or can still
// report. It leaves out those that ended with a restart of their worker.
func (l *TaskLedger) Spent() map[worker.Ack]worker.Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := maps.Clone(l.spent)
	for incarnation := range l.crashed {
		delete(all, incarnation)
	}
	return all
}

func (l *TaskLedger) recordUsage(job string, incarnation worker.Ack, u worker.Usage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.used[job] = l.used[job].Plus(u)
	l.spent[incarnation] = l.spent[incarnation].Plus(u)
}

// recordCrash records that a worker restarted before the end of an incarnation was acknowledged.
func (l *TaskLedger) recordCrash(incarnation worker.Ack) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.crashed[incarnation] = true
}

func (l *TaskLedger) recordOvercommit() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.overcommits++
}
