package shard

import (
	"github.com/oriolepond/oriolepond/internal/journal"
	"github.com/oriolepond/oriolepond/internal/task"
	"github.com/oriolepond/oriolepond/internal/worker"
)

// changes collects the changes of a Core since the last batch. Batches are numbered and committed
// one after the other. A change is durable once its batch is committed. The open batch is the one
// that collects changes now.
type changes struct {
	// open is the number of the open batch, and durable that of the last committed one.
	open     uint64
	durable  uint64
	jobs     map[string]*jobEntry
	tasks    map[string]*taskEntry
	accounts map[string]bool
	// lost are the incarnations that became lost, or stopped being lost, since the last batch.
	lost map[worker.Ack]bool
	// budgets are the yield rules under which tasks were evicted since the last batch.
	budgets map[string]bool
	// learned is set if the next batch includes the learned sizes and effects. On its own it causes
	// no commit.
	learned bool
	links   map[string]*link
	dropped []string
	// workers are the workers that get commands once the open batch is durable. sent are those that
	// get commands once the batch that is being committed is durable.
	workers map[string]bool
	sent    map[string]bool
	// ends are the tasks whose ends are in the open batch, sentEnds those in the batch that is being
	// committed.
	ends     jobEnds
	sentEnds jobEnds
}

func newChanges() changes {
	c := changes{open: 1, sent: map[string]bool{}}
	c.clear()
	return c
}

func (c *changes) clear() {
	c.jobs = map[string]*jobEntry{}
	c.tasks = map[string]*taskEntry{}
	c.accounts = map[string]bool{}
	c.lost = map[worker.Ack]bool{}
	c.budgets = map[string]bool{}
	c.learned = false
	c.links = map[string]*link{}
	c.dropped = nil
	c.workers = map[string]bool{}
	c.ends = jobEnds{}
}

// markTask adds a task to the open batch.
func (c *Core) markTask(e *taskEntry) {
	e.changed = c.changes.open
	c.changes.tasks[e.id] = e
	if e.Worker != "" {
		c.changes.workers[e.Worker] = true
	}
}

func (c *Core) markJob(j *jobEntry) { c.changes.jobs[j.ID] = j }

// isDurable reports whether the last change of a task is committed.
func (c *Core) isDurable(e *taskEntry) bool { return e.changed <= c.changes.durable }

// HasChanges reports whether there is anything to commit.
func (c *Core) HasChanges() bool {
	x := &c.changes
	return len(x.jobs)+len(x.tasks)+len(x.accounts)+len(x.lost)+len(x.links)+len(x.budgets)+len(x.dropped) > 0
}

// PendingBatch returns the number of the batch after whose commit all changes so far are durable.
func (c *Core) PendingBatch() uint64 {
	if c.HasChanges() {
		return c.changes.open
	}
	return c.changes.open - 1
}

// TakeBatch returns all changes since the last batch, and the number of the batch. Each batch must
// be committed, and Committed called, before the next one is taken.
func (c *Core) TakeBatch() (journal.Batch, uint64) {
	var b journal.Batch
	for _, j := range c.changes.jobs {
		b.Jobs = append(b.Jobs, j.Job)
	}
	for _, t := range c.changes.tasks {
		// The record of an ended job replaces those of its tasks.
		if t.job.EndedAt.IsZero() {
			b.Tasks = append(b.Tasks, storedForm(t.Task))
		}
	}
	for name := range c.changes.accounts {
		b.Accounts = append(b.Accounts, c.accounts[name])
	}
	for incarnation := range c.changes.lost {
		if l, ok := c.lost[incarnation]; ok {
			b.Lost = append(b.Lost, l)
		} else {
			b.Resolved = append(b.Resolved, incarnation)
		}
	}
	for rule := range c.changes.budgets {
		b.Budgets = append(b.Budgets, c.budgetRecord(rule))
	}
	if c.changes.learned {
		b.Learned = c.learnedRecord()
	}
	for _, l := range c.changes.links {
		b.Links = append(b.Links, l.Link)
	}
	b.Dropped = c.changes.dropped
	number := c.changes.open
	c.changes.sent, c.changes.sentEnds = c.changes.workers, c.changes.ends
	c.changes.clear()
	c.changes.open++
	return b, number
}

// Committed records that a batch is durable. It returns the workers for which there are commands
// now. Acknowledgements wait for the next regular exchange.
func (c *Core) Committed(number uint64) []string {
	c.changes.durable = number
	var ids []string
	for id := range c.changes.sent {
		if c.hasCommands(id) {
			ids = append(ids, id)
		}
	}
	c.changes.sent, c.changes.sentEnds = map[string]bool{}, nil
	return ids
}

// Snapshot returns the whole state as one batch.
func (c *Core) Snapshot() journal.Batch {
	var b journal.Batch
	for _, a := range c.accounts {
		b.Accounts = append(b.Accounts, a)
	}
	for _, l := range c.lost {
		b.Lost = append(b.Lost, l)
	}
	for _, r := range c.config.YieldRules {
		b.Budgets = append(b.Budgets, c.budgetRecord(r.Name))
	}
	b.Learned = c.learnedRecord()
	for _, l := range c.links {
		b.Links = append(b.Links, l.Link)
	}
	for _, j := range c.jobs {
		b.Jobs = append(b.Jobs, j.Job)
	}
	for _, t := range c.tasks {
		if t.Task != (task.Task{Job: t.Job, Number: t.Number, State: task.Queued}) {
			b.Tasks = append(b.Tasks, storedForm(t.Task))
		}
	}
	return b
}

// storedForm returns a task as it is committed. An unschedulable task is stored as queued, since
// the next leader determines again whether it is schedulable.
func storedForm(t task.Task) task.Task {
	if t.State == task.Unschedulable {
		t.State = task.Queued
		t.Reason = ""
	}
	return t
}
