package shard

import (
	"fmt"
	"math"
	"time"

	"github.com/oriolepond/oriolepond/internal/eventlog"
	"github.com/oriolepond/oriolepond/internal/placement"
	"github.com/oriolepond/oriolepond/internal/worker"
	"github.com/oriolepond/oriolepond/pkg/share"
)

// measureWindow is the time over which workers measure tails and speeds.
const measureWindow = 5 * time.Second

// advise brings the planner in step with the configuration; part is the part
// of the pool that the shard plans for.
func (c *Core) advise(part float64) {
	for _, j := range c.config.Jobs {
		c.planner.SetFamily(placement.Family{Name: j.Name, Declared: j.Size, Checkpoints: j.Checkpoints})
	}
	var rules []share.YieldRule
	for _, r := range c.config.YieldRules {
		r.EvictionsPerHour = int(math.Floor(float64(r.EvictionsPerHour) * part))
		rules = append(rules, r)
	}
	c.planner.SetRules(rules)
}

// learn takes what a worker's report measured.
func (c *Core) learn(w *workerEntry, r worker.Report, now time.Time) {
	m := placement.Measurement{Worker: w.id, At: now.Add(-r.MeasuredAge), Window: measureWindow}
	for _, t := range r.Tails {
		s, ok := c.config.Service(t.Service)
		if !ok || s.Objective.Latency <= 0 || t.Samples == 0 {
			continue
		}
		m.Tails = append(m.Tails, placement.ServiceView{
			Service: s.Name,
			Share:   s.Share,
			Strain:  float64(t.P99) / float64(s.Objective.Latency),
		})
	}
	for _, row := range r.Tasks {
		e, ok := w.tasks[row.Task]
		if !ok || e.Incarnation != row.Incarnation || row.State.Final() {
			continue
		}
		m.Tasks = append(m.Tasks, placement.TaskMeasurement{Task: row.Task, Speed: fullSpeed(row), Peak: row.Size})
	}
	c.planner.Measure(m)
}

// fullSpeed returns the speed of a task as if it were not throttled.
func fullSpeed(row worker.TaskReport) float64 {
	if row.Ratio <= 0 {
		return 0
	}
	return row.Speed / row.Ratio
}

// notifyAction tells of an action of the planner.
func (c *Core) notifyAction(a placement.Action) {
	n := Notice{Event: eventlog.TaskYielded, Task: a.Task, Worker: a.Worker, Rule: a.Rule, Reason: string(a.Kind)}
	if e, ok := c.tasks[a.Task]; ok {
		n.Job = e.job.Name
	}
	switch {
	case a.Rule == "":
		n.Event = eventlog.WorkerOvercommitted
	case a.Kind == share.YieldThrottle:
		n.Reason = fmt.Sprintf("%s to %.2f", a.Kind, a.ThrottleRatio)
	}
	c.notify(n)
}

// yieldOn lets the tasks of a worker give way as the planner decides.
func (c *Core) yieldOn(w *workerEntry, now time.Time) {
	for _, a := range c.planner.Yield(w.id, now) {
		c.notifyAction(a)
		if a.Kind == share.YieldThrottle {
			c.Throttle(a.Task, a.ThrottleRatio)
			continue
		}
		c.Yield(a.Task, now)
		if a.Rule != "" {
			c.changes.budgets[a.Rule] = true
		}
	}
}
