package shard

import (
	"cmp"
	"slices"
	"time"

	"github.com/oriolepond/oriolepond/internal/journal"
	"github.com/oriolepond/oriolepond/internal/task"
)

// maxMovedTasks bounds the tasks of one transfer, so that it fits into one value of the store, and
// the rows of one report.
const maxMovedTasks = 1000

// Transfer hands queued tasks over from one shard to another. Transfers are numbered, and the next
// one to the same shard is made only once the receiver has committed the last one. So the receiver
// can recognise a repeat by its number.
type Transfer struct {
	From string
	// Epoch is the fencing token of the sending leader.
	Epoch  int64
	Number int64
	Jobs   []MovedJob
	// Cancelled are the jobs whose tasks the receiver must cancel.
	Cancelled []string
}

// MovedJob holds the tasks of one job in a transfer.
type MovedJob struct {
	ID        string
	Neighbour string
	Share     string
	// Name is the name of the job family.
	Name  string
	Tasks []MovedTask
}

// MovedTask is a queued task in a transfer. None of its incarnations is running.
type MovedTask struct {
	Number      int
	Incarnation int64
	Checkpoint  string
	Failures    int
	Reason      string
	// Waited is how long the task has been queued.
	Waited time.Duration
}

// Report holds the states of a shard's tasks in another one, which sends it to the first.
type Report struct {
	From string
	Rows []MovedState
}

// MovedState is the state of a task in the shard that it was handed over to. The state task.Moved
// means that the task is handed back, to be queued again.
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

// FreeCapacity is a shard's free capacity for tasks of one job family.
type FreeCapacity struct {
	Family string
	// Fits is set if such a task would fit on a worker, and into the shard's allocation of the
	// quota, if nothing else ran. Startable is how many could start now.
	Fits      bool
	Startable int
}

// link is the state of the transfers between this shard and another one.
type link struct {
	journal.Link
	// changed is the number of the batch with the last change of the transfer numbers.
	changed uint64
	// confirmed is the last transfer that the other shard is known to have committed.
	confirmed int64
	// peerEpoch is the highest epoch seen of the other shard's leaders.
	peerEpoch int64
	// movedOut are this shard's tasks that were handed over to the other shard.
	movedOut map[*taskEntry]bool
	// pendingCancels are the cancelled jobs that the other shard has not been told of, with the
	// batch of their cancellation.
	pendingCancels map[string]uint64
	// foreignJobs hold the tasks that were handed over by the other shard. unreported are the ones
	// of these tasks whose current state the other shard may not know.
	foreignJobs map[string]*jobEntry
	unreported  map[*taskEntry]bool
}

func (c *Core) link(id string) *link {
	l, ok := c.links[id]
	if !ok {
		l = &link{
			Link:           journal.Link{Shard: id},
			movedOut:       map[*taskEntry]bool{},
			pendingCancels: map[string]uint64{},
			foreignJobs:    map[string]*jobEntry{},
			unreported:     map[*taskEntry]bool{},
		}
		c.links[id] = l
	}
	return l
}

func (c *Core) markLink(l *link) {
	l.changed = c.changes.open
	c.changes.links[l.Shard] = l
}

// PendingLinks returns the shards for which there may be a transfer, a cancellation or a report to
// send.
func (c *Core) PendingLinks() []string {
	var shards []string
	for id, l := range c.links {
		if l.confirmed < l.Sent || len(l.pendingCancels)+len(l.unreported) > 0 {
			shards = append(shards, id)
		}
	}
	slices.Sort(shards)
	return shards
}

// relink adds a restored task to the link with the other shard that it came from or was moved to,
// if any.
func (c *Core) relink(e *taskEntry) {
	if e.job.originShard != "" {
		c.link(e.job.originShard).unreported[e] = true
		return
	}
	if e.State != task.Moved {
		return
	}
	l := c.link(e.MovedTo)
	l.movedOut[e] = true
	// The last transfer is sent again. It may not have arrived, and the receiver reports all states
	// to a leader that it doesn't know.
	l.confirmed = l.Sent - 1
	if e.job.Cancelled {
		l.pendingCancels[e.Job] = 0
	}
}

// sortedByJob returns a set of tasks, sorted by job and number.
func sortedByJob(set map[*taskEntry]bool) []*taskEntry {
	sorted := make([]*taskEntry, 0, len(set))
	for e := range set {
		sorted = append(sorted, e)
	}
	slices.SortFunc(sorted, func(a, b *taskEntry) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Number, b.Number))
	})
	return sorted
}
