package shard

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/oriolepond/oriolepond/internal/journal"
	"github.com/oriolepond/oriolepond/internal/task"
	"github.com/oriolepond/oriolepond/internal/worker"
)

const (
	// maxLost bounds the lost incarnations that are kept, see Core.markLost. If there are more, the
	// oldest are dropped, and usage that workers still report for those is not counted. No usage is
	// ever counted twice.
	maxLost = 4096
	// clockError is the greatest difference between the clocks of two leaders.
	clockError = time.Second
	// coreMillis is one core in the unit of share.MilliCores.
	coreMillis = 1000
)

// Account is the resource usage of one share.
type Account struct {
	Neighbour string
	Share     string
	Usage     worker.Total
	// OpenTasks counts the incarnations that run or whose end was not reported, so that some of
	// their usage is not known yet. OpenAtMost is an upper bound of that unknown usage.
	OpenTasks  int
	OpenAtMost worker.Usage
}

// Accounts returns the usage of all shares in this shard, in order of their names.
func (c *Core) Accounts(now time.Time) []Account {
	sums := map[string]*Account{}
	sum := func(neighbour, name string) *Account {
		if sums[name] == nil {
			sums[name] = &Account{Neighbour: neighbour, Share: name}
		}
		return sums[name]
	}
	for _, a := range c.accounts {
		s := sum(a.Neighbour, a.Share)
		s.Usage = s.Usage.Sum(a.Usage)
	}
	for _, j := range c.jobs {
		a := sum(j.Neighbour, j.Share)
		a.Usage = a.Usage.Plus(j.Usage)
	}
	for _, t := range c.tasks {
		a := sum(t.job.Neighbour, t.job.Share)
		a.Usage = a.Usage.Plus(t.Usage())
		if t.State.Placed() {
			a.addOpen(c.unreportedUsage(t, now))
		}
	}
	for _, l := range c.lost {
		sum(l.Neighbour, l.Share).addOpen(l.UncountedAtMost)
	}
	var accounts []Account
	for _, name := range slices.Sorted(maps.Keys(sums)) {
		accounts = append(accounts, *sums[name])
	}
	return accounts
}

func (a *Account) addOpen(atMost worker.Usage) {
	a.OpenTasks++
	a.OpenAtMost = a.OpenAtMost.Plus(atMost)
}

// unreportedUsage returns an upper bound of what a placed task has used since its worker last
// measured its usage.
func (c *Core) unreportedUsage(e *taskEntry, now time.Time) worker.Usage {
	elapsed := max(0, now.Sub(e.UsageReadAt))
	if e.UsageReadAt.Before(c.takenAt) {
		elapsed += clockError
	}
	elapsed += time.Duration(float64(elapsed) * c.timing.Drift)
	size := e.Size
	if r, ok := c.pool.Resident(e.Worker, e.id); ok {
		// The task may use more than was reserved for it.
		size = r.Size
	}
	return worker.Usage{
		Processor:   time.Duration(float64(elapsed) * float64(size.Processors) / coreMillis),
		MemoryTime:  elapsed.Seconds() * float64(size.Memory),
		Accelerator: elapsed * time.Duration(size.Accelerators),
	}
}

// markLost ends an incarnation that has stopped without a report from its worker, because its lease
// has expired or the worker was removed. The incarnation is kept as lost, so that its usage can
// still be counted if the worker reports it later.
func (c *Core) markLost(e *taskEntry, now time.Time) {
	if len(c.lost) >= maxLost {
		c.dropOldestLost()
	}
	c.setLost(journal.Lost{
		Ack:             worker.Ack{Task: e.id, Incarnation: e.Incarnation},
		Worker:          e.Worker,
		Job:             e.Job,
		Neighbour:       e.job.Neighbour,
		Share:           e.job.Share,
		Counted:         e.LiveUsage,
		UncountedAtMost: c.unreportedUsage(e, now),
		LostAt:          now,
	})
	c.apply(e, task.Ended, now)
}

func (c *Core) setLost(l journal.Lost) {
	c.lost[l.Ack] = l
	c.changes.lost[l.Ack] = true
}

func (c *Core) dropLost(incarnation worker.Ack) {
	delete(c.lost, incarnation)
	c.changes.lost[incarnation] = true
}

// dropOldestLost drops the incarnation that has been lost for the longest time.
func (c *Core) dropOldestLost() {
	lost := slices.Collect(maps.Values(c.lost))
	oldest := slices.MinFunc(lost, func(a, b journal.Lost) int {
		return cmp.Or(a.LostAt.Compare(b.LostAt), cmp.Compare(a.Task, b.Task), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	c.dropLost(oldest.Ack)
}

// sweepLost drops the lost incarnations that their workers have not reported within the retention.
func (c *Core) sweepLost(now time.Time) {
	for incarnation, l := range c.lost {
		if now.Sub(l.LostAt) >= c.timing.Retention {
			c.dropLost(incarnation)
		}
	}
}

// dropUnknownLost drops the lost incarnations of a worker that are missing from seen, which holds
// all incarnations in its full report. The worker will never report them.
func (c *Core) dropUnknownLost(w *workerEntry, seen map[worker.Ack]bool) {
	for incarnation, l := range c.lost {
		if l.Worker == w.id && !seen[incarnation] {
			c.dropLost(incarnation)
		}
	}
}

// recoverUsage counts the usage of a lost incarnation that its worker reports late, less what was
// counted before. It is added to the task, to the job if the task has ended, or to the share's
// account if the job was dropped.
func (c *Core) recoverUsage(row worker.TaskReport) {
	l, ok := c.lost[worker.Ack{Task: row.Task, Incarnation: row.Incarnation}]
	if !ok {
		return
	}
	c.dropLost(l.Ack)
	late := row.Usage.Minus(l.Counted)
	if e, known := c.tasks[l.Task]; known && !e.usageBooked() {
		e.EndedUsage = e.EndedUsage.Plus(late)
		c.markTask(e)
		return
	}
	if j, known := c.jobs[l.Job]; known {
		j.Usage = j.Usage.Plus(late)
		c.markJob(j)
		return
	}
	c.addToAccount(l.Neighbour, l.Share, late)
}

// usageBooked reports whether the usage of a task was already added to its job or, for a task of
// another shard that was handed back, to the account of its share.
func (e *taskEntry) usageBooked() bool {
	return e.State.Final() || (e.job.originShard != "" && e.State == task.Moved)
}

// addToAccount adds usage that belongs to no kept job to the account of a share.
func (c *Core) addToAccount(neighbour, name string, u worker.Usage) {
	a := c.accounts[name]
	a.Neighbour, a.Share = neighbour, name
	a.Usage = a.Usage.Plus(u)
	c.accounts[name] = a
	c.changes.accounts[name] = true
}
