package batch

import (
	"slices"
	"time"
)

// CommandKind is what a command asks of a worker.
type CommandKind string

// The kinds of commands.
const (
	CommandStart    CommandKind = "start"
	CommandStop     CommandKind = "stop"
	CommandThrottle CommandKind = "pace"
)

// Command is a command to a worker. Its content is determined by PrepareCall when it is sent.
type Command struct {
	Kind CommandKind
	run  *run
	// orphan identifies an orphaned run; it is set instead of run.
	orphan        runKey
	worker        *worker
	throttleRatio int
}

// Call is the content of a command as it is sent to a worker.
type Call struct {
	Kind       CommandKind
	Worker     string
	Address    string
	DataCentre string
	Task       TaskName
	Run        int64
	// Spec, Deadline, Checkpoint and Ticket belong to a start command. Deadline is the lease
	// deadline on the worker's clock.
	Spec       string
	Deadline   time.Duration
	Checkpoint string
	Ticket     string
	// Percent is the throttle ratio that a throttle command sets.
	Percent int
}

// Worker returns the ID of the worker that the command is for.
func (cmd Command) Worker() string { return cmd.worker.ID }

// Answer is the outcome of a call to a worker.
type Answer string

// The outcomes of calls.
const (
	// AnswerDone means that the worker carried out the command.
	AnswerDone Answer = "done"
	// AnswerNone means that no answer arrived: the worker may have carried out the command, or may
	// still do so later.
	AnswerNone Answer = "none"
	// AnswerUnsent means that no byte of the command reached the worker.
	AnswerUnsent Answer = "unsent"
	// AnswerBusy means that the worker is unhealthy and did nothing.
	AnswerBusy Answer = "busy"
	// AnswerNoCapacity means that the worker has not enough free capacity for the task.
	AnswerNoCapacity Answer = "room"
	// AnswerSuperseded means that the same or a newer run of the task was stopped or ended on the
	// worker.
	AnswerSuperseded Answer = "old"
	// AnswerExpired means that the command's lease deadline has passed on the worker's clock.
	AnswerExpired Answer = "late"
	// AnswerBadTicket means that the adviser's ticket is missing or no longer valid.
	AnswerBadTicket Answer = "ticket"
	// AnswerFenced means that a newer leader has called the worker: the fencing token is outdated.
	AnswerFenced Answer = "fenced"
	// AnswerWrongIncarnation means that the worker incarnation that the call was for has ended.
	AnswerWrongIncarnation Answer = "gone"
	// AnswerInvalid means that the worker does not understand the command.
	AnswerInvalid Answer = "invalid"
)

// Result is the answer to a call, with the worker's clock and incarnation if the worker reported
// them.
type Result struct {
	Answer      Answer
	Clock       time.Duration
	Incarnation int64
}

// TakeCommands returns the commands since the last call that need no record to be durable first.
func (c *Core) TakeCommands() []Command {
	commands := c.commands
	c.commands = nil
	return commands
}

// TakePolls returns the IDs of the workers that have to be polled immediately.
func (c *Core) TakePolls() []string {
	var ids []string
	for id := range c.polls {
		ids = append(ids, id)
	}
	clear(c.polls)
	return ids
}

// requestPoll asks the leader to poll a worker immediately.
func (c *Core) requestPoll(w *worker) { c.polls[w.ID] = true }

// PrepareCall returns the call for a command and marks the command as sent. It returns false if the
// command is no longer needed or possible.
func (c *Core) PrepareCall(cmd Command, now time.Time) (Call, bool) {
	w := cmd.worker
	if w.Address == "" {
		// The list of workers was not read yet. Stop commands are sent again later.
		return Call{}, false
	}
	call := Call{Kind: cmd.Kind, Worker: w.ID, Address: w.Address, DataCentre: w.DataCentre}
	if cmd.run == nil {
		if _, known := w.orphans[cmd.orphan]; !known {
			return Call{}, false
		}
		call.Task, call.Run = cmd.orphan.task, cmd.orphan.run
		return call, true
	}
	r := cmd.run
	call.Task, call.Run = r.task.name(), r.number
	switch cmd.Kind {
	case CommandStart:
		if r.state != runPending || w.runs[r.key()] != r {
			return Call{}, false
		}
		if !w.isUsable() || !w.contacted || !c.mayGrant(w) || r.incarnation != w.Incarnation || w.lacksCapacityFor(r) ||
			c.isEvacuated(w) || !c.AreEvacuationsCurrent(now) {
			c.withdrawRun(r, now)
			return Call{}, false
		}
		s := r.task.stage
		call.Spec = s.job.Spec
		call.Checkpoint = r.task.checkpoint
		call.Deadline = w.grantDeadline(c.timing.Lease, now)
		call.Ticket = s.tickets[w.ID].text
		r.state, r.sentAt, r.stateSince = runSent, now, now
	case CommandStop:
		if w.runs[r.key()] != r {
			return Call{}, false
		}
		r.stopSentAt = now
	case CommandThrottle:
		if r.state != runRunning || w.runs[r.key()] != r {
			return Call{}, false
		}
		call.Percent = cmd.throttleRatio
		w.doubtThrottle(r, now)
	}
	return call, true
}

// HandleAnswer handles the result of a call that was sent at the time sent.
func (c *Core) HandleAnswer(cmd Command, res Result, sent, now time.Time) {
	w := cmd.worker
	c.recordAnswer(w, res, sent, now)
	if cmd.run == nil || w.runs[cmd.run.key()] != cmd.run {
		return
	}
	switch cmd.Kind {
	case CommandStart:
		c.startAnswered(cmd.run, res, now)
	case CommandStop:
		// An answer of a former incarnation is ignored; retryStops sends the stop again.
		if !w.predatesIncarnation(sent) {
			c.stopAnswered(cmd.run, res, now)
		}
	case CommandThrottle:
		c.throttleAnswered(cmd.run, cmd.throttleRatio, res, now)
	}
}

// recordAnswer records what the answer to a command that was sent at the time sent tells of the worker.
func (c *Core) recordAnswer(w *worker, res Result, sent, now time.Time) {
	switch {
	case res.Answer == AnswerNone || res.Answer == AnswerUnsent:
		c.recordNoAnswer(w, sent, now)
	case w.predatesIncarnation(sent):
		// A former incarnation may have answered.
	case res.Answer == AnswerWrongIncarnation:
		// Another incarnation or another worker has answered, with a clock of its own.
		aliveAt := w.aliveAt
		w.recordContact(0, now)
		w.aliveAt = aliveAt
	case res.Incarnation != 0 && res.Incarnation != w.Incarnation:
		w.recordContact(0, now)
		c.beginIncarnation(w, res.Incarnation, now)
	default:
		w.recordContact(res.Clock, now)
	}
}

func (c *Core) startAnswered(r *run, res Result, now time.Time) {
	if r.state != runSent {
		return
	}
	w := r.worker
	switch res.Answer {
	case AnswerDone:
		w.confirmStart(false)
		w.addFillerUsage(now)
		r.state, r.stateSince, r.started = runRunning, now, true
		c.markStarted(r.task.stage.job)
		if r.task.stage.step.Filler {
			c.adjustThrottling(w, now)
		}
	case AnswerNone:
		r.state, r.stateSince = runUnconfirmed, now
		// A worker may answer polls and still leave start commands unanswered.
		c.backOff(w, now)
		c.requestPoll(w)
		c.note(Note{Kind: NoteUnconfirmed, Task: r.task.name(), Run: r.number, Worker: w.ID, Age: now.Sub(r.sentAt)})
	case AnswerUnsent, AnswerBusy, AnswerFenced, AnswerWrongIncarnation:
		c.backOff(w, now)
		c.requeueUnstarted(r, startRefused(res.Answer), now)
	case AnswerBadTicket:
		delete(r.task.stage.tickets, w.ID)
		c.requeueUnstarted(r, startRefused(res.Answer), now)
	case AnswerNoCapacity:
		c.backOff(w, now)
		c.requestPoll(w)
		c.requeueUnstarted(r, startRefused(res.Answer), now)
	case AnswerSuperseded, AnswerExpired:
		c.requestPoll(w)
		c.requeueUnstarted(r, startRefused(res.Answer), now)
	case AnswerInvalid:
		j := r.task.stage.job
		c.requeueUnstarted(r, startRefused(res.Answer), now)
		r.task.notBefore = now.Add(minProbePause)
		c.markDirty(j)
	}
}

func (c *Core) throttleAnswered(r *run, ratio int, res Result, now time.Time) {
	w := r.worker
	switch res.Answer {
	case AnswerDone:
		w.addFillerUsage(now)
		r.throttleRatio, r.throttledAt = ratio, now
		delete(w.throttlesInDoubt, r)
		w.groupsStale = true
		c.markChangedForFillers(w)
	case AnswerNone:
		// It may be carried out after others that were sent later.
		w.doubtThrottle(r, w.throttlesInDoubt[r])
	}
}

func (c *Core) stopAnswered(r *run, res Result, now time.Time) {
	switch res.Answer {
	case AnswerDone, AnswerSuperseded:
		if r.state == runStopping {
			r.state, r.stateSince = runStopped, now
		}
	case AnswerWrongIncarnation:
		culprits := c.recordCrash(r.worker, 0, evidenceReplaced, now)
		c.lose(r, evidenceReplaced, now)
		c.giveUp(culprits, now)
	default:
		// retryStops sends the command again.
	}
}

const (
	// minBackoff and maxBackoff limit how long a worker that refused a start gets no new runs.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 8 * time.Second
)

// backOff gives a worker no new runs for a time, which doubles with each call until a start
// succeeds.
func (c *Core) backOff(w *worker, now time.Time) {
	if now.Before(w.backoffUntil) {
		return
	}
	pause := min(maxBackoff, minBackoff<<min(w.refusals, 5))
	w.refusals++
	w.backoffUntil = now.Add(pause)
}

// confirmStart records that the worker has carried out a start command of this leader. If that was without an answer,
// the pause that the lack of it has caused ends.
func (w *worker) confirmStart(unanswered bool) {
	w.refusals = 0
	if unanswered {
		w.backoffUntil = time.Time{}
	}
}

// recordNoAnswer records that a worker did not answer a call that was sent at the time sent.
func (c *Core) recordNoAnswer(w *worker, sent, now time.Time) {
	w.endsListed, w.unansweredAt = false, now
	c.markUnresponsive(w, "no answer", sent)
}

// recordRefusedPoll records that a poll, which was sent at the time sent, was answered but renewed no lease.
func (c *Core) recordRefusedPoll(w *worker, answer Answer, sent time.Time) {
	if len(w.runs) > 0 {
		c.markUnresponsive(w, string(answer), sent)
	}
}

// markUnresponsive records that a call that was sent at the time sent has shown nothing of the worker's runs, unless
// another answer has arrived since. Leases are renewed again once the worker reports.
func (c *Core) markUnresponsive(w *worker, reason string, sent time.Time) {
	if w.lastContact.After(sent) || w.predatesIncarnation(sent) || !w.unresponsiveSince.IsZero() {
		return
	}
	w.unresponsiveSince = sent
	n := Note{Kind: NoteWorkerUnresponsive, Worker: w.ID, Reason: reason}
	if !w.lastContact.IsZero() {
		n.Age = sent.Sub(w.lastContact)
	}
	if len(w.runs) > 0 {
		n.Runs, n.Remaining = len(w.runs), w.leasesExpireAt.Sub(sent)
	}
	c.note(n)
}

// dropRun removes a run from its worker and its task.
func (c *Core) dropRun(r *run, now time.Time) {
	r.worker.addFillerUsage(now)
	r.worker.removeRun(r)
	c.markChanged(r.worker)
	r.task.runs = slices.DeleteFunc(r.task.runs, func(o *run) bool { return o == r })
}

// breakGang stops the other members of a gang after one has ended.
func (c *Core) breakGang(s *stage, reason string, now time.Time) {
	for _, r := range s.runs() {
		c.stopRun(r, "gang: "+reason, now)
	}
}

// stopRun sends a stop command for a run. A run whose start command was never sent is removed
// immediately.
func (c *Core) stopRun(r *run, reason string, now time.Time) {
	switch r.state {
	case runPending:
		c.withdrawRun(r, now)
	case runStopping, runStopped:
	default:
		r.state, r.stateSince = runStopping, now
		c.commands = append(c.commands, Command{Kind: CommandStop, run: r, worker: r.worker})
		c.note(Note{Kind: NoteStopping, Task: r.task.name(), Run: r.number, Worker: r.worker.ID, Reason: reason})
	}
}
