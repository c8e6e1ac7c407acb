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

// measureWindow is the time over which workers measure tail latencies and speeds.
const measureWindow = 5 * time.Second

// configurePlanner passes the job families and yield rules of the configuration to the planner. The
// shard gets the given fraction of each rule's evictions per hour.
func (c *Core) configurePlanner(fraction float64) {
	for _, j := range c.config.Jobs {
		c.planner.SetFamily(placement.Family{Name: j.Name, Declared: j.Size, Checkpoints: j.Checkpoints})
	}
	var rules []share.YieldRule
	for _, r := range c.config.YieldRules {
		r.EvictionsPerHour = int(math.Floor(float64(r.EvictionsPerHour) * fraction))
		rules = append(rules, r)
	}
	c.planner.SetRules(rules)
}

// recordMeasurements passes the measurements of a worker's report to the planner.
func (c *Core) recordMeasurements(w *workerEntry, r worker.Report, now time.Time) {
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
		m.Tasks = append(m.Tasks, placement.TaskMeasurement{Task: row.Task, Speed: unthrottledSpeed(row), Peak: row.Size})
	}
	c.planner.Measure(m)
}

// unthrottledSpeed returns the speed that a task would have without its throttle.
func unthrottledSpeed(row worker.TaskReport) float64 {
	if row.Ratio <= 0 {
		return 0
	}
	return row.Speed / row.Ratio
}

// notifyAction adds a notice about an action of the planner.
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

// yieldTasks throttles or evicts tasks of a worker as the planner decides.
func (c *Core) yieldTasks(w *workerEntry, now time.Time) {
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
