package batch

// A record that this leader cannot load, for example because a newer version has written it, is that of a job which a later
// leader may go on with. Until then nothing is done that would lose what the record says: it is not overwritten, and the
// ends of the job's runs are not acknowledged. The runs are stopped like all that this leader has no record of.

// UnreadableJobError reports that a job is stored with a record that cannot be loaded.
type UnreadableJobError struct {
	// ID is that of the record.
	ID string
}

func (e *UnreadableJobError) Error() string { return "the record of job " + e.ID + " cannot be loaded" }

// maxHeldUpEnds is how many ends, of unreadable jobs or that may be acknowledged otherwise, a worker keeps behind one of an
// unreadable job: half of what a report lists, so that the leader learns of those that follow.
const maxHeldUpEnds = 250

// SetUnreadableJob records that the record with an ID cannot be loaded, and removes what was loaded of it.
func (c *Core) SetUnreadableJob(id string) {
	c.unreadableJobs[id] = true
	for _, w := range c.workers {
		for _, r := range sortedRuns(w.runs) {
			if r.task.stage.job.storageID() == id {
				w.removeRun(r)
			}
		}
	}
	if j, ok := c.jobs[id]; ok {
		c.removeDirty(j)
		c.deactivate(j)
		delete(c.jobs, id)
	}
}

// unreadableRecord returns an *UnreadableJobError if one of the records with the IDs cannot be loaded.
func (c *Core) unreadableRecord(ids ...string) error {
	for _, id := range ids {
		if c.unreadableJobs[id] {
			return &UnreadableJobError{ID: id}
		}
	}
	return nil
}

// releaseHeldUpEnds lets a worker forget the ends of runs of unreadable jobs if they hold up too many others.
func (w *worker) releaseHeldUpEnds() {
	if len(w.unreadableEnds) == 0 {
		return
	}
	heldUp := len(w.unreadableEnds) - 1
	for _, e := range w.undurableEnds {
		if e.durable {
			heldUp++
		}
	}
	if heldUp <= maxHeldUpEnds {
		return
	}
	for _, number := range w.unreadableEnds {
		w.markEndDurable(number)
	}
	w.unreadableEnds = nil
}
