package batch

import (
	"cmp"
	"slices"
	"time"
)

// Poll is a request to a worker that renews its leases and returns a Report.
type Poll struct {
	Worker     string
	Address    string
	DataCentre string
	// Deadline is the lease deadline on the worker's clock. Zero renews nothing, for example
	// because the worker's clock is not known.
	Deadline time.Duration
	// Ack is the number of the newest run end that the worker may forget, because it is committed.
	Ack int64
	// Wait means that the worker may hold back its response until a run ends, ShortWait that it
	// should do so only briefly.
	Wait      bool
	ShortWait bool
}

// maxClockAge is how old the reading of an idle worker's clock may become before the worker is polled.
// The lease that the next start grants is shorter by 3% of that age, the bound on the rates of both clocks.
const maxClockAge = 30 * time.Second

// NeedsPoll reports whether a worker has to be polled.
func (c *Core) NeedsPoll(id string, now time.Time) bool {
	w, ok := c.workers[id]
	if !ok {
		return false
	}
	if !w.listed {
		return len(w.runs) > 0 || len(w.expired) > 0
	}
	return !w.contacted || now.Sub(w.clockAt) > maxClockAge || !w.unresponsiveSince.IsZero() || len(w.runs) > 0 || len(w.orphans) > 0 || len(w.undurableEnds) > 0
}

// IsSettled reports whether all run ends that a worker reported are durable.
func (c *Core) IsSettled(id string) bool {
	w, ok := c.workers[id]
	return !ok || len(w.undurableEnds) == 0
}

// IsSuspect reports whether a worker did not answer a call, or has runs or run ends in a state that
// an immediate poll has to clarify.
func (c *Core) IsSuspect(id string) bool {
	w, ok := c.workers[id]
	if !ok {
		return false
	}
	if !w.unresponsiveSince.IsZero() || !w.contacted || len(w.orphans) > 0 || len(w.undurableEnds) > 0 {
		return true
	}
	for _, r := range w.runs {
		if r.state == runUnconfirmed || r.state == runStopped || r.state == runStopping {
			return true
		}
	}
	return false
}

// BeginPoll returns the next poll of a worker, or false if its address is not known. The poll renews the
// worker's leases only if renew is true.
func (c *Core) BeginPoll(id string, now time.Time, renew bool) (Poll, bool) {
	w, ok := c.workers[id]
	if !ok || w.Address == "" {
		return Poll{}, false
	}
	poll := Poll{Worker: id, Address: w.Address, DataCentre: w.DataCentre, Wait: !c.IsSuspect(id), ShortWait: w.isolated != nil || w.fillerSize.Processors > 0 && w.worstTailRatio > highTailRatio}
	if w.endsListed {
		poll.Ack = w.ackableEnd
	}
	if renew && w.contacted && w.unresponsiveSince.IsZero() && c.mayGrant(w) {
		// Leases of an unresponsive worker are not renewed, so that they expire at a known time.
		poll.Deadline = w.grantDeadline(c.timing.Lease, now)
	}
	return poll, true
}

// PollFailed handles the failure of a poll that was sent at the time sent.
func (c *Core) PollFailed(id string, answer Answer, sent, now time.Time) {
	w, ok := c.workers[id]
	if !ok {
		return
	}
	switch answer {
	case AnswerWrongIncarnation:
		// An earlier poll may have gone to the address of an earlier incarnation.
		if !w.listed && !w.predatesIncarnation(sent) {
			c.loseAllRuns(w, evidenceReplaced, now)
		}
		w.backoffUntil = now.Add(minBackoff)
		c.recordRefusedPoll(w, answer, sent)
	case AnswerBusy:
		if !w.predatesIncarnation(sent) {
			c.recordRefusedPoll(w, answer, sent)
			unresponsiveSince := w.unresponsiveSince
			w.recordContact(0, now)
			w.unresponsiveSince = unresponsiveSince
			c.backOff(w, now)
		}
	default:
		c.recordNoAnswer(w, sent, now)
	}
}

// youngWorkerLeases defines how long a worker counts as recently restarted, as a multiple of
// MaxLease. Its clock starts anew with each incarnation. During this time, a lease may still have a
// deadline that was meant for the clock of the previous incarnation.
const youngWorkerLeases = 2

// maxLateness is how late a call may be executed by the next incarnation of its worker, as a multiple of
// MaxLease. The lease that it grants then lasts for MaxLease.
const maxLateness = youngWorkerLeases - 1

// ApplyReport updates the Core from a worker's response to a poll that was sent at the time sent.
func (c *Core) ApplyReport(id string, rep Report, sent, now time.Time) {
	w, ok := c.workers[id]
	if !ok {
		return
	}
	if rep.Incarnation != w.Incarnation && w.predatesIncarnation(sent) {
		return
	}
	if rep.Incarnation != 0 && rep.Incarnation != w.Incarnation {
		c.beginIncarnation(w, rep.Incarnation, now)
	}
	c.refuteExpired(w)
	if !w.unresponsiveSince.IsZero() {
		c.note(Note{Kind: NoteWorkerRecovered, Worker: id, Age: now.Sub(w.unresponsiveSince)})
	}
	w.recordContact(rep.Clock, now)
	if rep.Incarnation == w.Incarnation {
		w.answeredPollAt = later(w.answeredPollAt, sent)
	}
	if !w.contacted {
		// The worker has seen this leader's fencing token and rejects earlier leaders from now on.
		w.contacted = true
		w.leasesExpireAt = now.Add(time.Duration(float64(c.timing.Lease)/minClockRate) + expirySlack)
		if c.isYoung(w, now) {
			// Its lease may have a deadline that was meant for the previous incarnation's clock.
			w.leasesExpireAt = c.latestExpiry(now)
		}
		w.leasesExpireAt = later(w.leasesExpireAt, w.lateLeasesEnd)
	}
	w.endsListed = len(rep.Ended) > 0 && !sent.Before(w.unansweredAt)
	slices.SortFunc(rep.Ended, func(a, b EndedRow) int { return cmp.Compare(a.Number, b.Number) })
	for _, e := range rep.Ended {
		c.applyEndedRow(w, e, now)
	}
	w.releaseHeldUpEnds()
	c.reconcileRuns(w, rep, sent, now)
	c.updateThrottling(w, now)
	c.markChangedForFillers(w)
}

// reconcileRuns compares the runs that a worker reports with those that it should have.
func (c *Core) reconcileRuns(w *worker, rep Report, sent, now time.Time) {
	present := make(map[runKey]bool, len(rep.Running))
	for _, row := range rep.Running {
		key := runKey{task: row.Task, run: row.Run}
		present[key] = true
		r, known := w.runs[key]
		if !known {
			c.stopOrphan(w, key, now)
			continue
		}
		c.applyRunningRow(r, row, now)
	}
	for key := range w.orphans {
		if !present[key] {
			delete(w.orphans, key)
		}
	}
	if rep.MayOmitEnds {
		// A run that is not listed may be one of the ended runs that were omitted.
		return
	}
	missing := map[runKey]*run{}
	for key, r := range w.runs {
		if !present[key] && r.stateSince.Before(sent) {
			missing[key] = r
		}
	}
	for _, r := range sortedRuns(missing) {
		c.handleMissingRun(r, now)
	}
}

// applyRunningRow updates a run from what its worker reports.
func (c *Core) applyRunningRow(r *run, row RunningRow, now time.Time) {
	t := r.task
	if !r.reported {
		c.forgiveCrash(r)
	}
	r.incarnation, r.reported = r.worker.Incarnation, true
	if !r.settled && !c.isYoung(r.worker, now) {
		r.settled = true
		if t.stage.step.LongRunning {
			c.markDirty(t.stage.job)
		}
	}
	if row.Checkpoint != "" {
		t.checkpoint = row.Checkpoint
	}
	if r.state == runSent || r.state == runUnconfirmed || r.state == runPending {
		r.worker.addFillerUsage(now)
		if !r.placedAt.IsZero() {
			r.worker.confirmStart(r.state == runUnconfirmed)
		}
		r.state, r.stateSince, r.started = runRunning, now, true
		if t.stage.step.Filler && r.placedAt.IsZero() {
			// The earlier leader that has placed the run may have throttled it.
			r.worker.doubtThrottle(r, time.Time{})
		}
		c.markStarted(t.stage.job)
	}
	c.recordLasting(r, now)
	if t.crashes != (crashCount{}) && r.lasted() >= lateCrash {
		t.crashes = crashCount{}
		c.markDirty(t.stage.job)
	}
	r.progress = row.Percent
	if t.stage.step.TailTarget > 0 {
		r.tail = time.Duration(row.Measurement * float64(time.Millisecond))
	} else {
		r.coresUsed = row.Measurement / 1000
	}
}

// provenAfter is how long a long-running task has to run without a failure before it counts as a success of
// its worker: longer than the tasks take to start up.
const provenAfter = 1500 * time.Millisecond

// recordLasting counts a long-running task that has run for long enough as a success of its worker.
func (c *Core) recordLasting(r *run, now time.Time) {
	if r.proven || !r.task.stage.step.LongRunning || now.Sub(r.stateSince) < provenAfter {
		return
	}
	r.proven = true
	if c.health.Lasted(r.worker.ID, r.task.stage.job.ID, r.placedAt) {
		c.markChanged(r.worker)
	}
}

// markStarted makes a queued job active, because one of its tasks has started.
func (c *Core) markStarted(j *job) {
	if j.state == Queued {
		j.state = Active
	}
}

// handleMissingRun handles a run that its worker reports neither as running nor as ended.
func (c *Core) handleMissingRun(r *run, now time.Time) {
	switch r.state {
	case runUnconfirmed:
		// Once the stop is carried out, the worker refuses a start command that arrives late.
		c.stopRun(r, "start command is not confirmed", now)
	case runStopped:
		c.requeue(r, evidenceStopped, now)
	case runRunning:
		c.lose(r, evidenceMissing, now)
	}
}

// stopOrphan sends a stop command for an orphaned run: a run that this Core has no record of.
func (c *Core) stopOrphan(w *worker, key runKey, now time.Time) {
	if at, known := w.orphans[key]; known && now.Sub(at) < stopRetryAfter {
		return
	}
	w.orphans[key] = now
	c.commands = append(c.commands, Command{Kind: CommandStop, orphan: key, worker: w})
	c.note(Note{Kind: NoteOrphaned, Task: key.task, Run: key.run, Worker: w.ID})
}
