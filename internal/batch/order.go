package batch

import (
	"slices"
	"time"
)

// CommandKind is what an order asks of a worker.
type CommandKind string

// The kinds of orders.
const (
	CommandStart    CommandKind = "start"
	CommandStop     CommandKind = "stop"
	CommandThrottle CommandKind = "pace"
)

// Command is one order to a worker, to be filled in by Send when its turn has come.
type Command struct {
	Kind CommandKind
	run  *run
	// stray is set instead of run for a run that no job explains.
	stray  runKey
	worker *worker
	pace   int
}

// Call is an order as it goes to a worker.
type Call struct {
	Kind    CommandKind
	Worker  string
	Address string
	// DataCentre is the worker's.
	DataCentre string
	Task       TaskName
	Run        int64
	// Spec, Deadline, Checkpoint and Ticket belong to a start; Deadline is on the worker's clock.
	Spec       string
	Deadline   time.Duration
	Checkpoint string
	Ticket     string
	Percent    int
}

// Worker returns the worker that the order goes to.
func (o Command) Worker() string { return o.worker.ID }

// Answer is what became of a call to a worker.
type Answer string

// The answers to calls.
const (
	// AnswerDone means that the worker carried the order out.
	AnswerDone Answer = "done"
	// AnswerNone means that the order may have been carried out, or may be later.
	AnswerNone Answer = "none"
	// AnswerUnsent means that the worker took no byte of the order.
	AnswerUnsent Answer = "unsent"
	// AnswerBusy means that the worker is unhealthy and did nothing.
	AnswerBusy Answer = "busy"
	// AnswerNoCapacity means that the task does not fit.
	AnswerNoCapacity Answer = "room"
	// AnswerSuperseded means that a run as new as this one was stopped or ended there.
	AnswerSuperseded Answer = "old"
	// AnswerExpired means that the deadline has passed on the worker's clock.
	AnswerExpired Answer = "late"
	// AnswerBadTicket means that the ticket is missing or not valid any more.
	AnswerBadTicket Answer = "ticket"
	// AnswerFenced means that another holder has spoken to the worker.
	AnswerFenced Answer = "fenced"
	// AnswerWrongIncarnation means that the lifetime that was meant has ended.
	AnswerWrongIncarnation Answer = "gone"
	// AnswerInvalid means that the worker does not understand the order.
	AnswerInvalid Answer = "invalid"
)

// Result is the answer to a call, with the worker's clock and lifetime if it told them.
type Result struct {
	Answer      Answer
	Clock       time.Duration
	Incarnation int64
}

// TakeCommands returns the orders that need no record.
func (c *Core) TakeCommands() []Command {
	all := c.stops
	c.stops = nil
	return all
}

// TakePolls returns the workers to be looked at at once.
func (c *Core) TakePolls() []string {
	var all []string
	for id := range c.looks {
		all = append(all, id)
	}
	clear(c.looks)
	return all
}

// look asks for a look at a worker.
func (c *Core) look(w *worker) { c.looks[w.ID] = true }

// PrepareCall returns the call of an order, unless it has become needless.
func (c *Core) PrepareCall(o Command, now time.Time) (Call, bool) {
	w := o.worker
	if w.Address == "" {
		// The list of workers was not read yet; a stop is tried again.
		return Call{}, false
	}
	call := Call{Kind: o.Kind, Worker: w.ID, Address: w.Address, DataCentre: w.DataCentre}
	if o.run == nil {
		if _, known := w.strays[o.stray]; !known {
			return Call{}, false
		}
		call.Task, call.Run = o.stray.task, o.stray.run
		return call, true
	}
	r := o.run
	call.Task, call.Run = r.task.name(), r.number
	switch o.Kind {
	case CommandStart:
		if r.state != runIntended || w.runs[r.key()] != r {
			return Call{}, false
		}
		if !w.listed || !w.adopted || !c.mayGrant(w) || r.born != w.Incarnation {
			c.unplace(r, now)
			return Call{}, false
		}
		s := r.task.stage
		call.Spec = s.job.Spec
		call.Checkpoint = r.task.checkpoint
		call.Deadline = w.deadline(c.timing.Lease, now)
		call.Ticket = s.tickets[w.ID].text
		r.state, r.ordered, r.since = runOrdered, now, now
	case CommandStop:
		if w.runs[r.key()] != r {
			return Call{}, false
		}
		r.stopSentAt = now
	case CommandThrottle:
		if r.state != runRunning {
			return Call{}, false
		}
		call.Percent = o.pace
	}
	return call, true
}

// HandleAnswer takes the result of a call that was sent at a time.
func (c *Core) HandleAnswer(o Command, res Result, sent, now time.Time) {
	w := o.worker
	if res.Answer == AnswerNone || res.Answer == AnswerUnsent {
		c.unanswered(w, sent)
	} else {
		w.hear(res.Clock, now)
		if res.Incarnation != 0 && res.Incarnation != w.Incarnation {
			c.reborn(w, res.Incarnation, now)
		}
	}
	if o.run == nil || w.runs[o.run.key()] != o.run {
		return
	}
	switch o.Kind {
	case CommandStart:
		c.startAnswered(o.run, res, now)
	case CommandStop:
		c.stopAnswered(o.run, res, now)
	case CommandThrottle:
		if res.Answer == AnswerDone {
			w.accrue(now)
			o.run.pace, o.run.paceAt = o.pace, now
			w.stale = true
		}
	}
}

func (c *Core) startAnswered(r *run, res Result, now time.Time) {
	if r.state != runOrdered {
		return
	}
	w := r.worker
	switch res.Answer {
	case AnswerDone:
		w.shunned = 0
		w.accrue(now)
		r.state, r.since = runRunning, now
		c.begun(r.task.stage.job)
		if r.task.stage.step.Filler {
			c.adjust(w, now)
		}
	case AnswerNone:
		r.state, r.since = runUnclear, now
		// A worker may answer looks and leave starts unanswered.
		c.shun(w, now)
		c.look(w)
		c.note(Note{Kind: NoteUnconfirmed, Task: r.task.name(), Run: r.number, Worker: w.ID, Age: now.Sub(r.ordered)})
	case AnswerUnsent, AnswerBusy, AnswerFenced, AnswerWrongIncarnation:
		c.shun(w, now)
		c.requeue(r, "worker: "+string(res.Answer), now)
	case AnswerBadTicket:
		delete(r.task.stage.tickets, w.ID)
		c.requeue(r, "worker: ticket", now)
	case AnswerNoCapacity:
		c.shun(w, now)
		c.look(w)
		c.requeue(r, "worker: room", now)
	case AnswerSuperseded, AnswerExpired:
		c.look(w)
		c.requeue(r, "worker: "+string(res.Answer), now)
	case AnswerInvalid:
		j := r.task.stage.job
		c.requeue(r, "worker: invalid", now)
		r.task.notBefore = now.Add(firstProbe)
		c.mark(j)
	}
}

func (c *Core) stopAnswered(r *run, res Result, now time.Time) {
	switch res.Answer {
	case AnswerDone, AnswerSuperseded:
		if r.state == runStopping {
			r.state, r.since = runStopped, now
		}
	case AnswerWrongIncarnation:
		c.lose(r, "worker's lifetime has ended", now)
	default:
		// Tried again by retryStops.
	}
}

const (
	// firstShun and longestShun bound how long a worker that refuses starts gets none.
	firstShun   = 500 * time.Millisecond
	longestShun = 8 * time.Second
)

// shun keeps new runs away from a worker for a while.
func (c *Core) shun(w *worker, now time.Time) {
	if now.Before(w.shunUntil) {
		return
	}
	pause := min(longestShun, firstShun<<min(w.shunned, 5))
	w.shunned++
	w.shunUntil = now.Add(pause)
}

// unanswered notes that a call had no answer.
func (c *Core) unanswered(w *worker, sent time.Time) {
	if w.heardAt.After(sent) {
		return
	}
	if w.silentSince.IsZero() {
		w.silentSince = sent
		n := Note{Kind: NoteWorkerUnresponsive, Worker: w.ID, Reason: "no answer"}
		if !w.heardAt.IsZero() {
			n.Age = sent.Sub(w.heardAt)
		}
		c.note(n)
	}
}

// unplace takes back a run that was never ordered.
func (c *Core) unplace(r *run, now time.Time) { c.requeue(r, "not sent", now) }

// requeue removes a run that surely does not run, and lets the task wait again.
func (c *Core) requeue(r *run, reason string, now time.Time) {
	c.dropRun(r, now)
	t := r.task
	if t.state == taskPlaced && len(t.runs) == 0 && !t.stage.job.state.Final() {
		if t.stage.step.Gang {
			c.breakGang(t.stage, reason, now)
		}
		c.enqueue(t, now)
		c.mark(t.stage.job)
	}
}

// dropRun forgets a run.
func (c *Core) dropRun(r *run, now time.Time) {
	r.worker.accrue(now)
	r.worker.remove(r)
	r.task.runs = slices.DeleteFunc(r.task.runs, func(o *run) bool { return o == r })
}

// lose requeues a run that has ended without the worker's word.
func (c *Core) lose(r *run, reason string, now time.Time) {
	c.note(Note{
		Kind: NoteLost, Task: r.task.name(), Run: r.number, Worker: r.worker.ID,
		Age: now.Sub(r.worker.heardAt), Reason: reason,
	})
	c.requeue(r, reason, now)
}

// breakGang stops the other members of a gang of which one is gone.
func (c *Core) breakGang(s *stage, reason string, now time.Time) {
	for _, r := range s.runs() {
		c.stopRun(r, "gang: "+reason, now)
	}
}

// stopRun has a run stopped; one that was never ordered is taken back at once.
func (c *Core) stopRun(r *run, reason string, now time.Time) {
	switch r.state {
	case runIntended:
		c.requeue(r, reason, now)
	case runStopping, runStopped:
	default:
		r.state, r.since = runStopping, now
		c.stops = append(c.stops, Command{Kind: CommandStop, run: r, worker: r.worker})
		c.note(Note{Kind: NoteStopping, Task: r.task.name(), Run: r.number, Worker: r.worker.ID, Reason: reason})
	}
}
