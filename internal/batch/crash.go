package batch

import "time"

// earlyCrash is how long a run has to last to be no suspect of a crash of its worker.
const earlyCrash = 500 * time.Millisecond

// recordCrash records that a worker has crashed, which ended its runs except those that were meant
// for the new incarnation; this is zero if it is not known.
func (c *Core) recordCrash(w *worker, incarnation int64, now time.Time) {
	if w.Draining {
		// It has left as announced.
		return
	}
	crashed := Note{Kind: NoteWorkerCrashed, Worker: w.ID, Age: w.silence(now)}
	for _, r := range sortedRuns(w.runs) {
		if !r.mayHaveCrashed(incarnation) {
			continue
		}
		r.crashed = true
		crashed.Runs++
		if r.lasted() < earlyCrash {
			crashed.EarlyRuns++
		}
	}
	if crashed.Runs > 0 {
		c.note(crashed)
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
