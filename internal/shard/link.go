package shard

import (
	"cmp"
	"slices"
	"time"

	"github.com/oriolepond/oriolepond/internal/journal"
	"github.com/oriolepond/oriolepond/internal/task"
)

// maxMoved bounds the tasks of one transfer, so that it fits into one value of
// the store, and the rows of one report.
const maxMoved = 1000

// Transfer hands queued tasks from one shard to another. It is numbered, and
// the next one to the same shard is made only once the receiver has it, so
// that the receiver tells a repeat by its number.
type Transfer struct {
	From string
	// Epoch is that of the sending holder.
	Epoch  int64
	Number int64
	Jobs   []MovedJob
	// Cancelled are the jobs whose tasks there are to be cancelled.
	Cancelled []string
}

// MovedJob are the tasks of one job in a transfer.
type MovedJob struct {
	ID        string
	Neighbour string
	Share     string
	// Name is that of the job family.
	Name  string
	Tasks []MovedTask
}

// MovedTask is a queued task in a transfer; no incarnation of it runs.
type MovedTask struct {
	Number      int
	Incarnation int64
	Checkpoint  string
	Failures    int
	Reason      string
	// Waited is how long the task has been queued.
	Waited time.Duration
}

// Report tells a shard what has become of its tasks in another one.
type Report struct {
	From string
	Rows []MovedState
}

// MovedState is the state of a task in the shard that it was handed to. In
// state moved it is handed back, to be queued again.
type MovedState struct {
	Job    string
	Number int
	// Transfer is the number of the transfer that brought the task.
	Transfer    int64
	State       task.State
	Incarnation int64
	Checkpoint  string
	Failures    int
	Reason      string
}

// FreeCapacity says whether a shard can take tasks of a job family.
type FreeCapacity struct {
	Family string
	// Fits says that a worker could hold such a task, Idle how many could start now.
	Fits      bool
	Startable int
}

// link is what a shard has with another one.
type link struct {
	journal.Link
	// changed is the batch of the last change of the numbers.
	changed uint64
	// confirmed is the last transfer that the other shard surely has.
	confirmed int64
	// epoch is the greatest one of the other shard's holders.
	epoch int64
	// out are the own tasks that the other shard has.
	out map[*entry]bool
	// cancels are the cancelled jobs that the other shard is to be told of, by the batch of their cancellation.
	cancels map[string]uint64
	// jobs hold the tasks that came from the other shard; untold are those whose state it may not know.
	jobs   map[string]*jobEntry
	untold map[*entry]bool
}

func (c *Core) link(id string) *link {
	l, ok := c.links[id]
	if !ok {
		l = &link{
			Link:    journal.Link{Shard: id},
			out:     map[*entry]bool{},
			cancels: map[string]uint64{},
			jobs:    map[string]*jobEntry{},
			untold:  map[*entry]bool{},
		}
		c.links[id] = l
	}
	return l
}

func (c *Core) markLink(l *link) {
	l.changed = c.changes.open
	c.changes.links[l.Shard] = l
}

// Links returns the shards that something may have to be sent to.
func (c *Core) Links() []string {
	var all []string
	for id, l := range c.links {
		if l.confirmed < l.Sent || len(l.cancels)+len(l.untold) > 0 {
			all = append(all, id)
		}
	}
	slices.Sort(all)
	return all
}

// relink brings a task that the journal holds back to the link that it belongs to.
func (c *Core) relink(e *entry) {
	if e.job.from != "" {
		c.link(e.job.from).untold[e] = true
		return
	}
	if e.State != task.Moved {
		return
	}
	l := c.link(e.Away)
	l.out[e] = true
	// The last transfer is sent again: it may be outstanding, and the receiver
	// reports all states to a holder that it does not know.
	l.confirmed = l.Sent - 1
	if e.job.Cancelled {
		l.cancels[e.Job] = 0
	}
}

// sortedEntries returns a set of tasks by job and number.
func sortedEntries(set map[*entry]bool) []*entry {
	all := make([]*entry, 0, len(set))
	for e := range set {
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Number, b.Number))
	})
	return all
}
