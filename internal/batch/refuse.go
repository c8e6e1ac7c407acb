package batch

import (
	"fmt"
	"slices"
	"time"
)

// A job whose record does not fit into the store is set aside: its runs go on, but nothing new of
// it is started and no end is acknowledged until a smaller record of it is durable. The other jobs
// are not affected.

// Refused is the state with which the waiters of a submission are called if the store refuses its
// record, so that the job will never run.
const Refused State = "refused"

// Split returns the changes as parts that can be committed one by one.
func (c Changes) Split() []Changes {
	var parts []Changes
	if c.Unresponsive != nil {
		parts = append(parts, Changes{Unresponsive: c.Unresponsive})
	}
	for i := range c.Records {
		parts = append(parts, Changes{Records: c.Records[i : i+1], jobs: c.jobs[i : i+1], writes: c.jobs[i].writes})
	}
	return parts
}

// Refuse records that the store refuses changes, so that they will never be durable.
func (c *Core) Refuse(ch Changes, now time.Time) {
	if ch.Unresponsive != nil {
		c.refuseUnresponsiveRecord(now)
	}
	for i, t := range ch.jobs {
		t.takeBack(ch.Records[i])
		c.setAside(t.job, len(ch.Records[i].Value), now)
		c.markDirty(t.job)
		// The next TakeChanges drops it if it was never stored and its record is not smaller now.
	}
}

// Withdraw records that no commit contains the changes any more and that none has carried them out.
// The next TakeChanges returns them again.
func (c *Core) Withdraw(ch Changes) {
	if ch.Unresponsive != nil {
		c.withdrawUnresponsiveRecord()
	}
	for i, t := range ch.jobs {
		t.takeBack(ch.Records[i])
		c.markDirty(t.job)
	}
}

// takeBack makes what a record contains part of the job's next record.
func (t changedJob) takeBack(record Record) {
	j := t.job
	j.inFlight = false
	for _, cell := range record.CancelCells {
		if !slices.Contains(j.cancelCells, cell) {
			j.cancelCells = append(j.cancelCells, cell)
		}
	}
	j.handOverPending = j.handOverPending || record.HandedOver != nil
	if t.delegation != nil {
		j.pendingDelegation, j.delegationInFlight = t.delegation, false
	}
	j.pendingStarts = append(t.starts, j.pendingStarts...)
	j.pendingEnds = append(t.ends, j.pendingEnds...)
	j.waiters = append(t.waiters, j.waiters...)
}

// drop removes a job from memory, and calls its waiters with a state. Run ends that wait for a record of the job are those
// of an unknown job then.
func (c *Core) drop(j *job, s State, reason string, now time.Time) {
	for _, r := range j.runs() {
		c.dropRun(r, now)
	}
	c.removeDirty(j)
	c.deactivate(j)
	delete(c.jobs, j.storageID())
	for _, call := range j.waiters {
		call(s)
	}
	c.markEndsDurable(j.pendingEnds)
	c.note(Note{Kind: NoteJobEnded, Job: j.ID, Reason: reason})
}

// setAside sets a job aside because its record of the given size is refused. Its runs whose start
// commands wait for that record are withdrawn.
func (c *Core) setAside(j *job, size int, now time.Time) {
	if !j.isSetAside {
		c.note(Note{Kind: NoteSetAside, Job: j.ID, Reason: fmt.Sprintf("its record of %d bytes does not fit into the store", size)})
	}
	j.isSetAside, j.refusedSize = true, size
	j.resumePause = min(maxResumePause, max(minResumePause, 2*j.resumePause))
	j.resumeAt = now.Add(j.resumePause)
	starts := j.pendingStarts
	j.pendingStarts = nil
	for _, r := range starts {
		if r.state == runPending && r.worker.runs[r.key()] == r {
			c.withdrawRun(r, now)
		}
	}
}

const (
	// The first pause until a job may start new runs again is minResumePause. It doubles each time that
	// the job is set aside.
	minResumePause = time.Second
	maxResumePause = time.Minute
)

// resumeFitting lets jobs that were set aside start new runs again, once a smaller record is durable
// and the pause is over.
func (c *Core) resumeFitting(now time.Time) {
	for _, j := range c.active {
		if !j.isSetAside || !j.isStored() || j.inFlight || j.dirty || now.Before(j.resumeAt) || j.recordSize >= j.refusedSize {
			continue
		}
		j.isSetAside = false
		c.note(Note{Kind: NoteResumed, Job: j.ID, Reason: fmt.Sprintf("its record has %d bytes", j.recordSize)})
	}
}

// mayFit reports whether the store may take a record of the job with the given size.
func (c *Core) mayFit(j *job, size int) bool {
	return size <= c.recordLimit && (!j.isSetAside || size < j.refusedSize)
}

// dropUnfit drops jobs that the store never takes. The others are kept: their last records, or
// their inbox entries, are durable.
func (c *Core) dropUnfit(unfit []*job, now time.Time) {
	for _, j := range unfit {
		if !j.isDurable() && !j.inFlight {
			c.drop(j, Refused, "refused: its record does not fit into the store", now)
		}
	}
}

// encodeFitting returns the job's record, and whether the store may take it.
func (c *Core) encodeFitting(j *job, now time.Time) ([]byte, bool, error) {
	j.dropFinished()
	value, err := encodeJob(j, c.wallOffset)
	if err != nil || c.mayFit(j, len(value)) {
		return value, err == nil, err
	}
	// Without the runs that were not started, it may be smaller.
	c.setAside(j, len(value), now)
	value, err = encodeJob(j, c.wallOffset)
	return value, err == nil && c.mayFit(j, len(value)), err
}
