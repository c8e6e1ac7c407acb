package laboratory

import (
	"slices"
	"time"

	"github.com/oriolepond/oriolepond/internal/batch"
)

// leader is the model of a cell's leader: it calls the core as package scheduler does.
type leader struct {
	// core is nil while there is no leader.
	core *batch.Core
	// term numbers the leaders; it is their fencing token.
	term          int64
	committing    bool
	commitSentAt  time.Time
	effectsStored time.Time
}

// poller is what a leader knows about its polls of a worker.
type poller struct {
	term     int64
	inFlight bool
	next     time.Time
	// answeredAt is when the last answer came.
	answeredAt time.Time
}

const (
	// maxRecords is the largest number of writes in a commit.
	maxRecords = 20
	// pollRetryAfter is the wait after a failed poll, suspectPollEvery the time between two polls
	// that the worker may not hold back, and shortPollWait how long it may if a tail latency is high.
	pollRetryAfter   = 250 * time.Millisecond
	suspectPollEvery = 100 * time.Millisecond
	shortPollWait    = 400 * time.Millisecond
	// durableWithin bounds the wait of a poll for the commit of the ends that were reported before.
	durableWithin = 300 * time.Millisecond
	// storeEffectsEvery is how often the learned effects are stored.
	storeEffectsEvery = 2 * time.Second
	// dropAfter is how long the store may be away before submissions are dropped.
	dropAfter = 400 * time.Millisecond
)

// lead begins the term of a leader that knows what is stored.
func (sim *world) lead() {
	l := &sim.leader
	l.term++
	l.committing = false
	timing := sim.policy.Timing
	core := batch.NewCore(timing, sim.now, sim.now.Add(timing.Lease+timing.RenewGrace+time.Second))
	if l.term == 1 {
		core.SetFirstTerm()
	}
	core.SetQueueConfig(sim.queueConfig())
	for _, id := range sortedKeys(sim.store.records) {
		if err := core.Restore(sim.store.records[id], sim.now); err != nil {
			sim.fail(err)
			return
		}
	}
	if sim.store.effects != nil {
		if err := core.RestoreEffects(sim.store.effects); err != nil {
			sim.fail(err)
			return
		}
	}
	if sim.store.unresponsive != nil {
		if err := core.RestoreUnresponsive(sim.store.unresponsive, sim.now); err != nil {
			sim.fail(err)
			return
		}
	}
	var infos []batch.WorkerInfo
	for _, w := range sim.workers {
		if !w.gone && !sim.now.Before(w.joinsAt) {
			infos = append(infos, w.info)
		}
	}
	core.SetWorkers(infos, nil, sim.now)
	l.core = core
	sim.plan(l.term)
}

// inTerm returns a function that does something unless the term has ended.
func (sim *world) inTerm(term int64, do func()) func() {
	return func() {
		if sim.leader.core != nil && sim.leader.term == term {
			do()
		}
	}
}

// plan lets the core plan, sends what it has decided, and plans again later.
func (sim *world) plan(term int64) {
	l := &sim.leader
	if l.committing && sim.now.Before(sim.store.awayUntil) && sim.now.Sub(l.commitSentAt) > dropAfter {
		l.core.DropUncommitted(sim.now)
	}
	l.core.Plan(sim.now)
	sim.send(l.core.TakeCommands())
	polls := l.core.TakePolls()
	slices.Sort(polls)
	for _, id := range polls {
		sim.pollNow(id)
	}
	l.core.TakeAckable()
	l.core.TakeQueries()
	for _, n := range l.core.TakeNotes() {
		sim.tally.note(n)
	}
	sim.commit()
	sim.after(sim.policy.PlanEvery, sim.inTerm(term, func() { sim.plan(term) }))
}

// commit stores the core's changes, one commit at a time.
func (sim *world) commit() {
	l := &sim.leader
	if l.committing {
		return
	}
	if !sim.now.Before(sim.store.awayUntil) && sim.now.Sub(l.effectsStored) >= storeEffectsEvery {
		effects, err := l.core.EncodeEffects()
		if err != nil {
			sim.fail(err)
			return
		}
		sim.store.effects, l.effectsStored = effects, sim.now
	}
	if !l.core.HasChanges() {
		return
	}
	changes, err := l.core.TakeChanges(maxRecords, sim.now)
	if err != nil {
		sim.fail(err)
		return
	}
	if changes.IsEmpty() {
		return
	}
	l.committing, l.commitSentAt = true, sim.now
	sim.at(sim.store.commitsAt(sim.now), sim.inTerm(l.term, func() {
		for _, r := range changes.Records {
			if r.Value == nil {
				delete(sim.store.records, r.ID)
			} else {
				sim.store.records[r.ID] = r.Value
			}
		}
		if changes.Unresponsive != nil {
			sim.store.unresponsive = changes.Unresponsive
		}
		l.committing = false
		sim.send(l.core.Committed(changes))
		sim.commit()
	}))
}

// send sends commands to workers.
func (sim *world) send(commands []batch.Command) {
	term, core := sim.leader.term, sim.leader.core
	for _, command := range commands {
		call, ok := core.PrepareCall(command, sim.now)
		if !ok {
			continue
		}
		sent, w := sim.now, sim.byID[call.Worker]
		answer := func(after time.Duration, result batch.Result) {
			sim.after(after, sim.inTerm(term, func() {
				core.HandleAnswer(command, result, sent, sim.now)
				sim.send(core.TakeCommands())
			}))
		}
		sim.after(oneWay, func() {
			if !w.answers(sim.now) {
				answer(callTimeout, batch.Result{Answer: batch.AnswerNone})
				return
			}
			answer(oneWay, sim.execute(w, call, term))
		})
	}
}

// execute executes a command on a worker.
func (sim *world) execute(w *simWorker, c batch.Call, token int64) batch.Result {
	result := batch.Result{Answer: batch.AnswerDone, Clock: w.clock(sim.now), Incarnation: w.info.Incarnation}
	if token < w.token {
		result.Answer = batch.AnswerFenced
		return result
	}
	w.token = token
	r := w.find(c.Task, c.Run)
	switch c.Kind {
	case batch.CommandStop:
		w.highestEnded[c.Task] = max(w.highestEnded[c.Task], c.Run)
		if r != nil {
			w.end(r, batch.EndStopped)
		}
	case batch.CommandThrottle:
		if r != nil {
			r.ratio = c.Percent
		}
	case batch.CommandStart:
		if r == nil {
			result.Answer = sim.start(w, c)
		}
	}
	return result
}

// start starts a run on a worker, and returns the worker's answer.
func (sim *world) start(w *simWorker, c batch.Call) batch.Answer {
	caller := sim.jobs[c.Task.Job]
	r := &simRun{
		task: c.Task, number: c.Run, service: caller.service, step: &caller.job.Steps[c.Task.Step], startedAt: sim.now, ratio: 100,
	}
	if sim.policy.AllocateFillers && r.step.Filler {
		allocated := *r.step
		allocated.Filler = false
		r.step = &allocated
	}
	if caller.drawn == nil {
		r.total = max(1, sim.day.Experiment.Services[caller.service].Startup)
	} else {
		r.total = caller.drawn.times[c.Task.Step][c.Task.Index]
	}
	r.remaining = r.total
	switch {
	case c.Run <= w.highestEnded[c.Task]:
		return batch.AnswerSuperseded
	case c.Deadline <= w.clock(sim.now):
		return batch.AnswerExpired
	case !w.fits(r.step):
		return batch.AnswerNoCapacity
	}
	if caller.drawn != nil {
		r.resume(c.Checkpoint)
	}
	w.grant(c.Deadline, sim.policy.Timing.MaxLease, sim.now)
	w.insert(r)
	return batch.AnswerDone
}

// pollWorkers polls the workers that are due.
func (sim *world) pollWorkers() {
	core := sim.leader.core
	if core == nil {
		return
	}
	for _, w := range sim.workers {
		p := w.poller
		switch {
		case p.term == sim.leader.term && (p.inFlight || sim.now.Before(p.next)), !core.NeedsPoll(w.info.ID, sim.now):
		case !core.IsSettled(w.info.ID) && sim.now.Sub(p.answeredAt) < durableWithin:
		default:
			sim.poll(w)
		}
	}
}

// pollNow polls a worker at once, or asks for the answer of a poll that it holds back.
func (sim *world) pollNow(id string) {
	w := sim.byID[id]
	switch {
	case w.poller.term != sim.leader.term || !w.poller.inFlight:
		sim.poll(w)
	case w.held != nil && w.answers(sim.now):
		w.answerHeld()
	}
}

// poll polls a worker, which may hold its answer back until a run ends.
func (sim *world) poll(w *simWorker) {
	term, core, sent := sim.leader.term, sim.leader.core, sim.now
	request, ok := core.BeginPoll(w.info.ID, sent, true)
	if !ok {
		return
	}
	w.poller = poller{term: term, inFlight: true, answeredAt: w.poller.answeredAt}
	failed := func() {
		sim.after(callTimeout, sim.inTerm(term, func() {
			w.poller.inFlight, w.poller.next = false, sim.now.Add(pollRetryAfter)
			core.PollFailed(w.info.ID, batch.AnswerNone, sent, sim.now)
		}))
	}
	sim.after(oneWay, func() {
		if !w.answers(sim.now) {
			failed()
			return
		}
		if term < w.token {
			return
		}
		w.token = term
		if request.Deadline > 0 {
			w.grant(request.Deadline, sim.policy.Timing.MaxLease, sim.now)
		}
		w.ended = slices.DeleteFunc(w.ended, func(e batch.EndedRow) bool { return e.Number <= request.Ack })
		answer := func() {
			report := w.report(sim.now)
			sim.after(oneWay, sim.inTerm(term, func() {
				w.poller.inFlight, w.poller.next, w.poller.answeredAt = false, sim.now, sim.now
				if !request.Wait {
					w.poller.next = sim.now.Add(suspectPollEvery)
				}
				core.ApplyReport(w.info.ID, report, sent, sim.now)
				sim.send(core.TakeCommands())
				sim.commit()
			}))
		}
		wait := sim.policy.PollWait
		if request.ShortWait {
			wait = min(wait, shortPollWait)
		}
		if !request.Wait || len(w.ended) > 0 {
			answer()
			return
		}
		w.held, w.cut, w.heldUntil = answer, failed, sim.now.Add(wait)
	})
}
