// Package shard holds the tasks of one part of the pool. Core decides and is
// free of I/O and clocks; Holder keeps the state in the store, speaks to the
// workers, and takes over from a holder that is gone.
//
// # Usage
//
//	h := &shard.Holder{ID: "entry-1", Store: client, Workers: workers, Log: log}
//	go h.Run(ctx)
//	status, err := h.Submit(ctx, submission)
package shard

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/oriolepond/oriolepond/internal/roster"
	"github.com/oriolepond/oriolepond/internal/task"
	"github.com/oriolepond/oriolepond/internal/worker"
	"github.com/oriolepond/oriolepond/pkg/release"
	"github.com/oriolepond/oriolepond/pkg/share"
)

// taskLease is how long a task runs without its holder.
const taskLease = 15 * time.Second

// Job is a submitted job.
type Job struct {
	ID        string
	Neighbour string
	Share     string
	Name      string
	Key       string
	Tasks     []string
}

// Account is the usage of one share.
type Account struct {
	Neighbour string
	Share     string
	Usage     worker.Usage
	OpenTasks int
}

// Core holds the state of one shard.
type Core struct {
	jobs  map[string]*Job
	byKey map[string]string
	tasks map[string]*task.Task
	// live is the usage of running incarnations as last reported.
	live  map[string]worker.Usage
	order []string
	acks  map[string][]worker.Ack
	next  int64
	dirty bool
}

// NewCore returns an empty shard.
func NewCore() *Core {
	return &Core{
		jobs:  map[string]*Job{},
		byKey: map[string]string{},
		tasks: map[string]*task.Task{},
		live:  map[string]worker.Usage{},
		acks:  map[string][]worker.Ack{},
	}
}

// Submit accepts a job; a repeat of its key returns the first.
func (c *Core) Submit(s task.Submission, config release.Config) (task.Status, error) {
	byKey := s.Neighbour + "/" + s.Key
	if id, ok := c.byKey[byKey]; ok {
		return c.Describe(s.Neighbour, id)
	}
	family, ok := config.Job(s.Job)
	if !ok || family.Neighbour != s.Neighbour {
		return task.Status{}, &task.RefusedError{Reason: fmt.Sprintf("no job family %q", s.Job)}
	}
	c.next++
	j := &Job{ID: fmt.Sprintf("job-%d", c.next), Neighbour: s.Neighbour, Share: family.Share, Name: s.Job, Key: s.Key}
	for i := range s.Tasks {
		id := fmt.Sprintf("%s-%d", j.ID, i)
		j.Tasks = append(j.Tasks, id)
		c.tasks[id] = &task.Task{ID: id, JobID: j.ID, Job: s.Job, State: task.Queued}
		c.order = append(c.order, id)
	}
	c.jobs[j.ID] = j
	c.byKey[byKey] = j.ID
	c.dirty = true
	return c.Describe(s.Neighbour, j.ID)
}

// Describe returns the state of a neighbour's job.
func (c *Core) Describe(neighbour, id string) (task.Status, error) {
	j, ok := c.jobs[id]
	if !ok || j.Neighbour != neighbour {
		return task.Status{}, &task.NotFoundError{ID: id}
	}
	s := task.Status{ID: id, Job: j.Name, States: map[task.State]int{}}
	for _, t := range j.Tasks {
		s.States[c.tasks[t].State]++
	}
	return s, nil
}

// Cancel withdraws what of a job has not started.
func (c *Core) Cancel(neighbour, id string) (task.Status, error) {
	if _, err := c.Describe(neighbour, id); err != nil {
		return task.Status{}, err
	}
	for _, t := range c.jobs[id].Tasks {
		if c.tasks[t].State == task.Queued {
			c.tasks[t].State = task.Cancelled
			c.dirty = true
		}
	}
	return c.Describe(neighbour, id)
}

// Observe takes a worker's report.
func (c *Core) Observe(r worker.Report) {
	for _, row := range r.Tasks {
		t, ok := c.tasks[row.Task]
		if !ok || t.Incarnation != row.Incarnation {
			continue
		}
		if !row.State.Final() {
			c.live[t.ID] = row.Usage
			if t.State == task.Starting {
				t.State = task.Running
			}
			continue
		}
		c.acks[r.Worker] = append(c.acks[r.Worker], worker.Ack{Task: row.Task, Incarnation: row.Incarnation})
		if t.State != task.Starting && t.State != task.Running {
			continue
		}
		c.end(t, row)
	}
}

// end takes the end of a task's incarnation.
func (c *Core) end(t *task.Task, row worker.TaskReport) {
	t.Usage = plus(t.Usage, row.Usage)
	delete(c.live, t.ID)
	t.Worker = ""
	t.Checkpoint = row.Checkpoint
	t.State = task.Queued
	if row.State == worker.TaskFinished {
		t.State = task.Finished
	}
	c.dirty = true
}

func plus(a, b worker.Usage) worker.Usage {
	a.Processor += b.Processor
	a.MemoryTime += b.MemoryTime
	a.Accelerator += b.Accelerator
	return a
}

// Plan places queued tasks and returns what is to be sent to each worker.
func (c *Core) Plan(workers []roster.Instance, config release.Config) map[string]worker.Exchange {
	free := map[string]share.Resources{}
	exchanges := map[string]worker.Exchange{}
	for _, w := range workers {
		free[w.ID] = w.Capacity
		exchanges[w.ID] = worker.Exchange{Lease: taskLease, Acks: c.acks[w.ID]}
	}
	c.acks = map[string][]worker.Ack{}
	for _, t := range c.tasks {
		if family, ok := config.Job(t.Job); ok && t.Worker != "" {
			free[t.Worker] = free[t.Worker].Minus(family.Size)
		}
	}
	for _, id := range c.order {
		t := c.tasks[id]
		family, ok := config.Job(t.Job)
		if !ok {
			continue
		}
		if t.State == task.Queued {
			c.place(t, family, workers, free)
		}
		if e, known := exchanges[t.Worker]; known && t.State == task.Starting {
			e.Commands = append(e.Commands, worker.Command{
				Kind:        worker.Start,
				Task:        t.ID,
				Incarnation: t.Incarnation,
				Job:         t.Job,
				Size:        family.Size,
				Resume:      t.Checkpoint,
			})
			exchanges[t.Worker] = e
		}
	}
	return exchanges
}

// place gives a task to the first worker that holds it.
func (c *Core) place(t *task.Task, family release.Job, workers []roster.Instance, free map[string]share.Resources) {
	for _, w := range workers {
		if w.State != roster.Live || !family.Size.Fits(free[w.ID]) {
			continue
		}
		free[w.ID] = free[w.ID].Minus(family.Size)
		t.State = task.Starting
		t.Worker = w.ID
		t.Incarnation++
		t.Starts++
		c.dirty = true
		return
	}
}

// Accounts returns the usage of all shares.
func (c *Core) Accounts() []Account {
	sums := map[string]*Account{}
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		j := c.jobs[id]
		a, ok := sums[j.Share]
		if !ok {
			a = &Account{Neighbour: j.Neighbour, Share: j.Share}
			sums[j.Share] = a
		}
		for _, t := range j.Tasks {
			a.Usage = plus(a.Usage, plus(c.tasks[t].Usage, c.live[t]))
			if c.tasks[t].Worker != "" {
				a.OpenTasks++
			}
		}
	}
	var all []Account
	for _, name := range slices.Sorted(maps.Keys(sums)) {
		all = append(all, *sums[name])
	}
	return all
}
