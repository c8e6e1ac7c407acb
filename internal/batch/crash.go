package batch

import (
	"fmt"
	"slices"
	"time"
)

// A task may crash each worker that runs it. All runs on such a worker are lost with it and none of
// them reports an end, so it is not known which one was the cause. Each crash counts for the tasks
// whose runs had begun shortly before. Such a task is then isolated on its next worker: nothing else starts
// there until the run has lasted for a while. A task is given up if several workers have crashed under it and it
// is the only one that may have caused the last crash; crashes with a common cause are no such evidence.

const (
	// earlyCrash and lateCrash limit how long after its start a run is suspected of a crash of its
	// worker: for earlyCrash at first, for lateCrash if longCrashes workers have crashed under the
	// task.
	earlyCrash  = 500 * time.Millisecond
	lateCrash   = 5 * time.Second
	longCrashes = 3
	// A task is given up after minCrashes within earlyCrash of the start, confirmedCrashes of them confirmed, if
	// the last one came within promptCrash, else after one more. After maxCrashes it is given up although others
	// may have caused them. The platform requires two and permits five; fewer may be a coincidence.
	minCrashes       = 3
	maxCrashes       = 5
	confirmedCrashes = 2
	promptCrash      = 100 * time.Millisecond
	// After isolatingCrashes a task waits until it can be isolated, for up to maxIsolationWait.
	isolatingCrashes = 2
	// workersPerIsolation is the number of workers accepting runs for each isolated run.
	workersPerIsolation = 4
	// maxIsolationWait is how long a task waits to be isolated. The platform allows tasks that can
	// run to wait for 3 s.
	maxIsolationWait = 2 * time.Second
	// maxIsolationSearches limits the searches for a worker to isolate a task in one plan.
	maxIsolationSearches = 16
)

// crashCount counts the workers that crashed under a task, each within lateCrash of the start of
// its run.
type crashCount struct {
	total int
	// early counts the crashes within earlyCrash of the start, confirmed those of which is known that the
	// run had started.
	early     int
	confirmed int
	// isolate means that the last crash may have come within earlyCrash of the start, so that the next run is
	// to be isolated.
	isolate bool
	// unproven means that the lease of a run has expired that may have crashed its worker, which has not answered
	// since.
	unproven bool
	// culprit means that the task is to be given up once it is certain that its run has ended.
	culprit bool
}

// isolation returns how long the task's next run is to be isolated; zero means not at all.
func (n crashCount) isolation() time.Duration {
	switch {
	case n.total >= longCrashes:
		return lateCrash
	case n.isolate:
		return earlyCrash
	}
	return 0
}

// add counts a crash under a run, which may have a cause in common with others. How long a run has lasted that began
// under an earlier leader is not known, so that it proves nothing.
func (n *crashCount) add(r *run, commonCause bool) {
	n.total++
	if r.started {
		n.confirmed++
	}
	n.isolate = r.lasted() < earlyCrash
	if n.isolate && !r.restored && !commonCause {
		n.early++
	}
}

// reachesLimit reports whether the task is to be given up although others may have caused the crashes. An unproven
// crash counts as the last one only, since the platform permits no further start if it was one.
func (n crashCount) reachesLimit() bool {
	return n.total >= maxCrashes || n.total == maxCrashes-1 && n.unproven
}

// recordCrash records that a worker has crashed, which ended its runs except those that were meant
// for the new incarnation; this is zero if it is not known. Evidence is what shows that the incarnation has
// ended; an expired lease does not. It returns the tasks that are to be given up. Runs that no report has listed
// may turn out to have started on the new incarnation, see forgiveCrash; their tasks are only marked as to be
// given up.
func (c *Core) recordCrash(w *worker, incarnation int64, evidence endEvidence, now time.Time) []*task {
	runs := slices.Concat(sortedRuns(w.runs), w.expired)
	defer func() { w.expired = nil }()
	if w.Draining {
		// It has left as announced.
		return nil
	}
	c.recordWorkerFailure(w)
	commonCause := map[*job]bool{}
	crashed := Note{Kind: NoteWorkerCrashed, Worker: w.ID, Age: w.silence(now), Reason: string(evidence)}
	var suspects []*run
	for _, r := range runs {
		if !r.mayHaveCrashed(incarnation) {
			continue
		}
		r.crashed, r.crashesBefore = true, r.task.crashes
		crashed.Runs++
		if r.lasted() < earlyCrash {
			crashed.EarlyRuns++
		}
		t := r.task
		if !c.isBlamable(r) {
			continue
		}
		c.markDirty(t.stage.job)
		if r.lasted() >= lateCrash {
			if !r.expired {
				t.crashes = crashCount{}
			}
			continue
		}
		if _, known := commonCause[t.stage.job]; !known {
			commonCause[t.stage.job] = c.hasCommonCause(w, t.stage.job)
		}
		t.crashes.add(r, commonCause[t.stage.job])
		t.crashes.unproven = t.crashes.unproven && !r.expired
		t.avoidWorker = w
		c.note(Note{
			Kind: NoteCrashCounted, Task: t.name(), Run: r.number, Worker: w.ID, Age: r.lasted(), Reason: string(evidence),
			Crashes: t.crashes.total, ConfirmedCrashes: t.crashes.confirmed,
		})
		suspects = append(suspects, r)
	}
	if crashed.Runs > 0 {
		c.note(crashed)
	}
	cause := soleCause(w, suspects)
	var culprits []*task
	for _, r := range suspects {
		isProven := r == cause && !commonCause[r.task.stage.job] && r.isProvenCause()
		switch {
		case !isProven && !r.task.crashes.reachesLimit():
		case incarnation != 0 && !r.reported && !r.expired:
			r.task.crashes.culprit = true
		default:
			culprits = append(culprits, r.task)
		}
	}
	return culprits
}

// isBlamable reports whether a crash under a run may count for its task: it has not ended otherwise, and its job is
// still here.
func (c *Core) isBlamable(r *run) bool {
	t, j := r.task, r.task.stage.job
	return (t.state == taskPlaced || r.expired && t.state == taskQueued) && !j.state.Final() && c.jobHere(t.name().Job) == j
}

// forgiveCrash takes back the crash that was counted for a run, which turns out to have started after it. If an
// earlier leader has counted it, only the verdict is taken back.
func (c *Core) forgiveCrash(r *run) {
	t := r.task
	switch {
	case r.crashed:
		t.crashes, r.crashed = r.crashesBefore, false
	case t.crashes.culprit:
		t.crashes.culprit = false
	default:
		return
	}
	c.markDirty(t.stage.job)
}

// isProvenCause reports whether enough workers have crashed under the task of a run that alone may
// have caused the last crash.
func (r *run) isProvenCause() bool {
	n, lasted := r.task.crashes, r.lasted()
	least := minCrashes
	if lasted >= promptCrash {
		least++
	}
	return r.started && !r.restored && lasted < earlyCrash && n.early >= least && n.confirmed >= confirmedCrashes
}

// soleCause returns the run that alone may have caused the crash of a worker, or nil. If runs had
// just started, this is the isolated one of them, or else the only one, unless a worker had crashed
// before under the task of another suspect. If none had just started, it is the only suspect.
func soleCause(w *worker, suspects []*run) *run {
	if r := w.isolated; r != nil && r.lasted() < earlyCrash && slices.Contains(suspects, r) {
		return r
	}
	if len(suspects) == 1 {
		return suspects[0]
	}
	var cause *run
	for _, r := range suspects {
		early := r.lasted() < earlyCrash
		switch {
		case !early && r.task.crashes.total == 1:
		case !early || cause != nil:
			return nil
		default:
			cause = r
		}
	}
	return cause
}

// giveUp fails the jobs of tasks that crash their workers.
func (c *Core) giveUp(tasks []*task, now time.Time) {
	for _, t := range tasks {
		if !t.stage.job.state.Final() {
			c.note(Note{Kind: NoteGivenUp, Task: t.name(), Run: t.lastRun, Crashes: t.crashes.total, ConfirmedCrashes: t.crashes.confirmed})
			c.finish(t.stage.job, Failed, fmt.Sprintf("%d workers crashed under task %s", t.crashes.total, t.name()), now)
		}
	}
}

// mayHaveCrashed reports whether the run may have been present when its worker crashed, and was not
// counted yet.
func (r *run) mayHaveCrashed(incarnation int64) bool {
	if r.crashed || r.state == runPending || r.state == runStopped {
		return false
	}
	return incarnation == 0 || r.incarnation != 0 && r.incarnation != incarnation
}

// lasted returns how long the run is known to have run.
func (r *run) lasted() time.Duration {
	if !r.started {
		return 0
	}
	return max(0, r.worker.aliveAt.Sub(r.sentAt))
}

// silence returns how long the worker has not answered, or zero if it never has.
func (w *worker) silence(now time.Time) time.Duration {
	if w.lastContact.IsZero() {
		return 0
	}
	return now.Sub(w.lastContact)
}

// findIsolated returns a worker on which a task can be isolated, under which workers have crashed, or nil: the
// one with the fewest runs, which are lost if it crashes. It reports whether the task should rather wait than run
// beside others.
func (c *Core) findIsolated(t *task, permits func(*worker) bool, now time.Time) (w *worker, waits bool) {
	if c.isolationSearches < maxIsolationSearches && len(c.isolating) < c.isolationLimit(t) {
		c.isolationSearches++
		isolates := func(w *worker) bool { return w.canIsolate() && (permits == nil || permits(w)) }
		if w = c.search(t, isolates, maxCandidates, now).fewestRuns(); w != nil {
			return w, false
		}
	}
	return nil, t.crashes.total >= isolatingCrashes && now.Sub(t.queuedAt) < maxIsolationWait
}

// isolationLimit returns on how many workers runs may be isolated before another run of a task is.
// In a small pool no run is isolated after a single crash, since it would hold up all other work.
func (c *Core) isolationLimit(t *task) int {
	limit := len(c.accepting) / workersPerIsolation
	if t.crashes.total >= isolatingCrashes {
		limit = max(1, limit)
	}
	return limit
}

// canIsolate reports whether a run can be isolated on the worker: the starts of all its runs are
// confirmed.
func (w *worker) canIsolate() bool {
	if w.isolated != nil {
		return false
	}
	for _, r := range w.runs {
		if !r.started {
			return false
		}
	}
	return true
}

// isolate isolates a run that is being placed, if its task requires that and the worker permits it.
func (c *Core) isolate(r *run) {
	d := r.task.crashes.isolation()
	if d > 0 && len(c.isolating) < c.isolationLimit(r.task) && r.worker.canIsolate() {
		r.isolation, r.worker.isolated = d, r
		c.isolating = append(c.isolating, r.worker)
	}
}

// endIsolations ends the isolation of runs that have ended or lasted long enough.
func (c *Core) endIsolations() {
	c.isolationSearches = 0
	c.isolating = slices.DeleteFunc(c.isolating, func(w *worker) bool {
		r := w.isolated
		if r != nil && r.lasted() >= r.isolation {
			r.task.crashes.isolate = false
			if r.isolation == lateCrash {
				r.task.crashes = crashCount{}
			}
			c.markDirty(r.task.stage.job)
			w.isolated = nil
			c.markChanged(w)
		}
		return w.isolated == nil
	})
}
