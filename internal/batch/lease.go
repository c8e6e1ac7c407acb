package batch

import (
	"maps"
	"slices"
	"time"
)

// SetWorkers replaces the platform's list of workers. Unreadable are the IDs of the workers whose
// entries cannot be decoded.
func (c *Core) SetWorkers(infos []WorkerInfo, unreadable []string, now time.Time) {
	listed := map[string]bool{}
	for _, id := range unreadable {
		listed[id] = true
		c.SetUnreadable(id)
	}
	for _, info := range infos {
		listed[info.ID] = true
		c.SetWorker(info, now)
	}
	for id := range c.workers {
		if !listed[id] {
			c.RemoveWorker(id)
		}
	}
}

// SetWorker adds or updates a worker of the platform's list.
func (c *Core) SetWorker(info WorkerInfo, now time.Time) {
	w := c.worker(info.ID)
	if slices.Contains(w.formerIncarnations, info.Incarnation) ||
		w.listed && w.Incarnation != 0 && info.Incarnation != 0 && info.Incarnation < w.Incarnation {
		// The entry was read before the worker published its new incarnation.
		return
	}
	if info.Incarnation == 0 {
		// Only a report tells then whether the worker has restarted.
		info.Incarnation = w.Incarnation
	}
	if info.Incarnation != w.Incarnation {
		c.beginIncarnation(w, info.Incarnation, now)
	}
	if info.Draining && !w.Draining {
		w.drainingSince = now
	}
	if info.Capacity != w.Capacity {
		w.groupsStale = true
	}
	if !info.suitsSameTasks(w.WorkerInfo) {
		c.markChanged(w)
	}
	w.WorkerInfo = info
	w.listed, w.unreadable = true, false
	if !w.contacted {
		c.requestPoll(w)
	}
}

// suitsSameTasks reports whether the worker suits the same tasks as one with another entry would, if both
// accept runs.
func (i WorkerInfo) suitsSameTasks(o WorkerInfo) bool {
	return i.Service == o.Service && i.Rack == o.Rack && i.Capacity == o.Capacity && slices.Equal(i.Labels, o.Labels)
}

// SetUnreadable records that a worker's entry in the platform's list cannot be decoded. The worker
// gets no new runs until its entry can be decoded again. Unlike a removal, this says nothing about
// the runs that it has.
func (c *Core) SetUnreadable(id string) {
	if w, ok := c.workers[id]; ok {
		w.unreadable = true
	}
}

// RemoveWorker records that the platform's list no longer contains a worker. This proves nothing about
// its runs.
func (c *Core) RemoveWorker(id string) {
	w, ok := c.workers[id]
	if !ok {
		return
	}
	w.listed = false
	if len(w.runs) == 0 && len(w.expired) == 0 {
		delete(c.workers, id)
		c.sortedWorkers = nil
		c.health.Remove(id)
	}
}

// worker returns the worker with an ID and adds it if it is unknown.
func (c *Core) worker(id string) *worker {
	w, ok := c.workers[id]
	if !ok {
		w = &worker{
			WorkerInfo:     WorkerInfo{ID: id},
			runs:           map[runKey]*run{},
			orphans:        map[runKey]time.Time{},
			leasesExpireAt: c.uncontactedExpiry,
			restarted:      c.contacts.add(id),
		}
		c.workers[id] = w
		c.sortedWorkers = nil
	}
	return w
}

// maxFormerIncarnations limits the former incarnations of a worker that are known, so that its old entries are
// recognized. An entry lags by a few heartbeats.
const maxFormerIncarnations = 8

// beginIncarnation records that a worker has restarted, which ended all its runs.
func (c *Core) beginIncarnation(w *worker, incarnation int64, now time.Time) {
	culprits := c.recordCrash(w, incarnation, evidenceRestarted, now)
	// A worker that becomes known to this leader has not restarted if its runs are of this incarnation.
	restarted := w.Incarnation != 0 || !w.hasOnlyRunsOf(incarnation)
	w.restarted = w.Incarnation != 0 || w.restarted && !c.contacts.isFirst(w.ID, incarnation)
	if w.Incarnation != 0 {
		w.formerIncarnations = slices.DeleteFunc(append(w.formerIncarnations, w.Incarnation), func(i int64) bool { return i == incarnation })
		w.formerIncarnations = w.formerIncarnations[max(0, len(w.formerIncarnations)-maxFormerIncarnations):]
		w.lateLeasesEnd = c.latestExpiry(now.Add(maxLateness * c.timing.MaxLease))
	}
	w.Incarnation, w.incarnationKnownAt = incarnation, now
	w.contacted, w.aliveAt, w.answeredPollAt = false, time.Time{}, time.Time{}
	w.lastEnd, w.ackableEnd, w.undurableEnds, w.unreadableEnds, w.endsListed = 0, 0, nil, nil, false
	w.clock, w.clockAt = 0, time.Time{}
	if restarted {
		// Commands that were sent to the previous incarnation may reach this one. Their deadlines refer
		// to the previous clock and may be far ahead on this one.
		w.leasesExpireAt = later(w.leasesExpireAt, c.latestExpiry(later(now, c.renewalsUntil)))
	}
	w.leasesExpireAt = later(w.leasesExpireAt, w.lateLeasesEnd)
	w.backoffUntil, w.refusals = time.Time{}, 0
	clear(w.orphans)
	c.health.Remove(w.ID)
	for _, r := range sortedRuns(w.runs) {
		if restarted && r.settled {
			// Its start command, or a lease for it, may still reach the new incarnation.
			r.settled = false
			c.markDirty(r.task.stage.job)
		}
		switch {
		case r.state == runPending || r.incarnation == incarnation:
		case r.reported:
			c.lose(r, evidenceRestarted, now)
		default:
			c.doubtStart(r, now)
		}
	}
	c.giveUp(culprits, now)
	c.requestPoll(w)
}

// doubtStart handles a run whose worker has restarted since its start command was prepared, before any report listed
// the run: the new incarnation may have carried out the command, or may still do so.
func (c *Core) doubtStart(r *run, now time.Time) {
	r.started = false
	if r.state != runStopping && r.state != runStopped {
		r.state, r.stateSince = runUnconfirmed, now
		return
	}
	// The former incarnation may have been told to stop it.
	r.state, r.stateSince, r.stopSentAt = runStopping, now, now
	c.commands = append(c.commands, Command{Kind: CommandStop, run: r, worker: r.worker})
}

// hasOnlyRunsOf reports whether the worker has runs, and all of them were started on the given incarnation.
func (w *worker) hasOnlyRunsOf(incarnation int64) bool {
	for _, r := range w.runs {
		if r.incarnation != incarnation {
			return false
		}
	}
	return len(w.runs) > 0
}

// hasSettledRun reports whether a run of the newest incarnation that the runs name is settled, which is
// then true of the incarnation.
func (w *worker) hasSettledRun() bool {
	newest, settled := int64(0), false
	for _, r := range w.runs {
		switch {
		case r.incarnation > newest:
			newest, settled = r.incarnation, r.settled
		case r.incarnation == newest:
			settled = settled || r.settled
		}
	}
	return newest > 0 && settled
}

// isYoung reports whether a lease on the worker may have a deadline that was meant for the clock of
// its previous incarnation.
func (c *Core) isYoung(w *worker, now time.Time) bool {
	return (w.restarted || !c.knowsContacts(now)) && !c.isOld(w, now) && !w.hasSettledRun()
}

// isOld reports whether the worker's present incarnation is known to have lasted so long that no lease on
// it has a deadline that was meant for an earlier one.
func (c *Core) isOld(w *worker, now time.Time) bool {
	return !w.clockAt.IsZero() && w.clock+now.Sub(w.clockAt) >= youngWorkerLeases*c.timing.MaxLease
}

// latestExpiry returns the time by which all leases granted until now are guaranteed to have
// expired, whatever their deadlines.
func (c *Core) latestExpiry(now time.Time) time.Time {
	return now.Add(time.Duration(float64(c.timing.MaxLease)/minClockRate) + expirySlack)
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// sortedRuns returns runs in a fixed order.
func sortedRuns(byKey map[runKey]*run) []*run {
	runs := slices.Collect(maps.Values(byKey))
	slices.SortFunc(runs, func(a, b *run) int {
		if a.number != b.number {
			return int(a.number - b.number)
		}
		return compareTasks(a.task, b.task)
	})
	return runs
}

// compareTasks orders tasks by job ID, occurrence, step and index.
func compareTasks(a, b *task) int {
	switch {
	case a.stage.job != b.stage.job:
		if a.stage.job.ID < b.stage.job.ID {
			return -1
		}
		return 1
	case a.stage.occurrence != b.stage.occurrence:
		return a.stage.occurrence - b.stage.occurrence
	case a.stage.index != b.stage.index:
		return a.stage.index - b.stage.index
	}
	return a.index - b.index
}

// stopRetryAfter is the interval at which a stop command is repeated until its worker confirms it.
const stopRetryAfter = 600 * time.Millisecond

// expireLeases gives up runs on workers whose leases have expired, forgets workers that are no
// longer listed and have no runs, and repeats stop commands.
func (c *Core) expireLeases(now time.Time) {
	retry := !now.Before(c.nextStopRetry)
	if retry {
		c.nextStopRetry = now.Add(stopRetryCheckEvery)
	}
	c.pruneContacts(now)
	for _, w := range c.workersByID() {
		if len(w.runs) > 0 && now.After(w.leasesExpireAt) {
			c.loseExpired(w, now)
		}
		if now.After(w.expiredUntil) {
			w.expired = nil
		}
		if !w.listed && len(w.runs) == 0 && len(w.expired) == 0 {
			delete(c.workers, w.ID)
			c.sortedWorkers = nil
			c.health.Remove(w.ID)
			continue
		}
		if retry {
			c.retryStops(w, now)
		}
	}
}

// stopRetryCheckEvery is how often unanswered stop commands are checked: a fraction of
// stopRetryAfter, so that they are repeated on time.
const stopRetryCheckEvery = stopRetryAfter / 8

// loseExpired gives up the runs on a worker whose leases have expired, except those whose start
// command was not sent. The worker is remembered for a while: only its next answer, or another one at its
// address, tells whether it has crashed.
func (c *Core) loseExpired(w *worker, now time.Time) {
	w.expiredUntil = now.Add(c.timing.MaxLease)
	var culprits []*task
	for _, r := range sortedRuns(w.runs) {
		if r.state == runPending {
			continue
		}
		if !r.crashed && r.state != runStopped {
			r.expired = true
			w.expired = append(w.expired, r)
		}
		c.lose(r, evidenceExpired, now)
		t := r.task
		if !r.expired || r.lasted() >= lateCrash || !c.isBlamable(r) {
			continue
		}
		t.crashes.unproven = true
		if t.crashes.reachesLimit() {
			culprits = append(culprits, t)
		}
		if t.crashes.total >= longCrashes {
			// One more crash may be the last; whether this was one is probably known soon.
			t.notBefore = now.Add(maxIsolationWait)
		}
	}
	c.giveUp(culprits, now)
}

// refuteExpired records that the worker still has the incarnation under which leases have expired: it has not crashed.
func (c *Core) refuteExpired(w *worker) {
	for _, r := range w.expired {
		if r.task.crashes.unproven && c.isBlamable(r) {
			r.task.crashes.unproven = false
			c.markDirty(r.task.stage.job)
		}
	}
	w.expired = nil
}

func (c *Core) retryStops(w *worker, now time.Time) {
	unanswered := map[runKey]*run{}
	for key, r := range w.runs {
		if r.state == runStopping && now.Sub(r.stopSentAt) >= stopRetryAfter && now.Sub(r.stateSince) >= stopRetryAfter {
			unanswered[key] = r
		}
	}
	for _, r := range sortedRuns(unanswered) {
		r.stopSentAt = now
		c.commands = append(c.commands, Command{Kind: CommandStop, run: r, worker: w})
	}
}
