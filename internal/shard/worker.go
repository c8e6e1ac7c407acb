package shard

import (
	"cmp"
	"slices"
	"time"

	"github.com/oriolepond/oriolepond/internal/placement"
	"github.com/oriolepond/oriolepond/internal/roster"
	"github.com/oriolepond/oriolepond/internal/worker"
	"github.com/oriolepond/oriolepond/pkg/share"
)

// zeroSize is the Size of a task that isn't placed.
var zeroSize share.Resources

// workerEntry is a leader's record of one worker.
type workerEntry struct {
	id      string
	address string
	state   roster.State
	// missingSince is since when the worker has been missing from the platform's list. It is zero
	// while the worker is listed.
	missingSince time.Time
	tasks        map[string]*taskEntry

	// boot and stamp are copied from the last report, which was received at lastContact.
	boot        string
	stamp       time.Duration
	lastContact time.Time
	// usageReadAt is the earliest time at which the worker can have measured the usage of its last
	// report.
	usageReadAt time.Time
	// leaseBase is when the newest stamp was received that this leader has sent back in an
	// exchange. lease is how long after that stamp, on the worker's clock, the tasks may run.
	leaseBase time.Time
	lease     time.Duration
	// unansweredSince is when the first exchange after the last report was sent. It is zero if none
	// was sent since.
	unansweredSince time.Time
	// fenced is set once the worker has responded to this leader. From then on it rejects exchanges
	// of previous leaders.
	fenced          bool
	sequence        int64
	lastFullReport  time.Time
	needsFullReport bool
	// orphans are incarnations that the worker runs although no record places them there.
	orphans map[worker.Ack]bool
	acks    []pendingAck
	// pendingThrottles are the throttle ratios that the worker has not confirmed yet, by task.
	pendingThrottles map[string]float64
}

// pendingAck is an acknowledgement that may be sent once a batch is durable.
type pendingAck struct {
	worker.Ack
	batch uint64
}

// worker returns the entry of a worker. It creates the entry if there is none.
func (c *Core) worker(id string) *workerEntry {
	w, ok := c.workers[id]
	if !ok {
		w = &workerEntry{
			id:               id,
			tasks:            map[string]*taskEntry{},
			orphans:          map[worker.Ack]bool{},
			pendingThrottles: map[string]float64{},
			missingSince:     c.takenAt,
		}
		c.workers[id] = w
		c.planner.SetWorker(placement.Worker{ID: id}, c.takenAt)
	}
	return w
}

// Listing holds the workers of a shard that are on the platform's list.
type Listing struct {
	Workers []roster.Instance
	// Runners are the runners of all services, on any worker.
	Runners []roster.Instance
}

// SetListing adds and updates the listed workers, and marks the others as missing.
func (c *Core) SetListing(l Listing, now time.Time) {
	reserved, runners := c.runnerReservations(l.Runners)
	listed := map[string]bool{}
	for _, i := range l.Workers {
		listed[i.ID] = true
		w := c.worker(i.ID)
		w.address = i.Address
		w.state = i.State
		w.missingSince = time.Time{}
		p := placement.Worker{
			ID:         i.ID,
			Rack:       i.Rack,
			DataCentre: i.DataCentre,
			Capacity:   i.Capacity,
			Reserved:   reserved[i.ID],
			Runners:    runners[i.ID],
		}
		p.Accepting = c.acceptsTasks(w, now)
		c.planner.SetWorker(p, now)
	}
	for id, w := range c.workers {
		if !listed[id] {
			c.markMissing(w, now)
		}
	}
}

// markMissing records that a worker is not on the platform's list.
func (c *Core) markMissing(w *workerEntry, now time.Time) {
	if w.missingSince.IsZero() {
		w.missingSince = now
	}
	w.state = ""
	c.setAccepting(w, now)
}

// removeTerminated drops the workers that were removed, see isRemoved, and have no tasks.
func (c *Core) removeTerminated(now time.Time) {
	var removed []*workerEntry
	for _, w := range c.workers {
		if len(w.tasks) == 0 && c.isRemoved(w, now) {
			removed = append(removed, w)
		}
	}
	sortWorkers(removed)
	for _, w := range removed {
		c.planner.RemoveWorker(w.id)
		delete(c.workers, w.id)
	}
}

// isRemoved reports whether a worker has been missing from the platform's list for
// Timing.RemovedAfter.
func (c *Core) isRemoved(w *workerEntry, now time.Time) bool {
	return !w.missingSince.IsZero() && now.Sub(w.missingSince) >= c.timing.RemovedAfter
}

// runnerReservations returns, by worker, the resources reserved for runners and the runners
// themselves.
func (c *Core) runnerReservations(runners []roster.Instance) (map[string]share.Resources, map[string][]placement.Runner) {
	reserved := map[string]share.Resources{}
	runnersOn := map[string][]placement.Runner{}
	for _, r := range runners {
		s, ok := c.config.Service(r.Service)
		if !ok || r.Worker == "" {
			continue
		}
		reserved[r.Worker] = reserved[r.Worker].Plus(s.Runner)
		runnersOn[r.Worker] = append(runnersOn[r.Worker], placement.Runner{Service: s.Name, Share: s.Share})
	}
	return reserved, runnersOn
}

// acceptsTasks reports whether new tasks may be placed on a worker.
func (c *Core) acceptsTasks(w *workerEntry, now time.Time) bool {
	return w.state == roster.Live && w.fenced && len(w.orphans) == 0 && !c.isUnresponsive(w, now)
}

// isUnresponsive reports whether a worker has left an exchange unanswered for
// Timing.UnresponsiveAfter, or has sent no report for Timing.Lease.
func (c *Core) isUnresponsive(w *workerEntry, now time.Time) bool {
	unanswered := !w.unansweredSince.IsZero() && now.Sub(w.unansweredSince) >= c.timing.UnresponsiveAfter
	return unanswered || now.Sub(w.lastContact) >= c.timing.Lease
}

// setAccepting updates whether the planner may place new tasks on a worker.
func (c *Core) setAccepting(w *workerEntry, now time.Time) {
	p, ok := c.pool.Worker(w.id)
	accepting := c.acceptsTasks(w, now)
	if ok && p.Accepting != accepting {
		p.Accepting = accepting
		c.pool.SetWorker(p)
	}
}

// leasesExpireAt returns the time after which every lease that the worker was granted is guaranteed
// to have expired. Until the worker has responded to this leader, that includes leases granted by
// the previous one.
func (c *Core) leasesExpireAt(w *workerEntry) time.Time {
	if w.fenced {
		return w.leaseBase.Add(c.timing.maxWithDrift(w.lease))
	}
	last := c.takenAt
	if !c.handedOver {
		last = last.Add(c.timing.Grace)
	}
	return last.Add(c.timing.leaseExpiry())
}

// sortWorkers sorts workers by name, so that decisions don't depend on the order of a map.
func sortWorkers(workers []*workerEntry) {
	slices.SortFunc(workers, func(a, b *workerEntry) int { return cmp.Compare(a.id, b.id) })
}

// sortedByName returns a set of tasks, sorted by name.
func sortedByName(set map[*taskEntry]bool) []*taskEntry {
	sorted := make([]*taskEntry, 0, len(set))
	for e := range set {
		sorted = append(sorted, e)
	}
	sortByName(sorted)
	return sorted
}

// sortByName sorts tasks by name.
func sortByName(tasks []*taskEntry) {
	slices.SortFunc(tasks, func(a, b *taskEntry) int { return cmp.Compare(a.id, b.id) })
}

// expireWorkers marks the tasks of workers as lost if their leases have expired or the worker was
// removed, see hasExpired.
func (c *Core) expireWorkers(now time.Time) {
	var expired []*workerEntry
	for _, w := range c.workers {
		c.setAccepting(w, now)
		if len(w.tasks) > 0 && c.hasExpired(w, now) {
			expired = append(expired, w)
		}
	}
	sortWorkers(expired)
	for _, w := range expired {
		for _, e := range w.sortedTasks() {
			c.markLost(e, now)
		}
	}
}

// hasExpired reports whether a worker's tasks have stopped: their leases are guaranteed to have
// expired, or the worker was removed and has sent no report for Timing.RemovedAfter.
func (c *Core) hasExpired(w *workerEntry, now time.Time) bool {
	removed := c.isRemoved(w, now) && now.Sub(w.lastContact) >= c.timing.RemovedAfter
	return removed || now.After(c.leasesExpireAt(w))
}

// IsExclusive reports whether no previous leader can still renew tasks of the shard: it has
// stopped, its grace time has passed, or every worker with tasks rejects its exchanges.
func (c *Core) IsExclusive(now time.Time) bool {
	if c.handedOver || now.Sub(c.takenAt) >= c.timing.Grace {
		return true
	}
	for _, w := range c.workers {
		if len(w.tasks) > 0 && !w.fenced {
			return false
		}
	}
	return true
}
