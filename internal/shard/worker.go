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

var zeroSize share.Resources

// workerEntry is what a holder knows of one worker.
type workerEntry struct {
	id      string
	address string
	state   roster.State
	// missingSince is when the worker was first not on the platform's list; zero while it is.
	missingSince time.Time
	tasks        map[string]*taskEntry

	// boot and stamp are from the last report, which came in at heardAt.
	boot        string
	stamp       time.Duration
	lastContact time.Time
	// usageReadAt is the earliest time at which the worker read what it last reported.
	usageReadAt time.Time
	// leaseBase is when the newest stamp came in that an exchange of this holder carried back,
	// and granted is how long after it, on the worker's clock, the tasks may run.
	leaseBase time.Time
	lease     time.Duration
	// unansweredSince is when the first exchange since the last report was made; zero if none was.
	unansweredSince time.Time
	// fenced says that the worker has answered this holder, and so refuses the ones before.
	fenced          bool
	sequence        int64
	lastFullReport  time.Time
	needsFullReport bool
	// orphans are incarnations that the worker runs although they are not to run there.
	orphans map[worker.Ack]bool
	acks    []pendingAck
	// pendingThrottles are throttles that are to be sent, by task.
	pendingThrottles map[string]float64
}

// pendingAck is an acknowledgement that may be sent once a batch is durable.
type pendingAck struct {
	worker.Ack
	batch uint64
}

// worker returns a worker, which is made if it is not known.
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

// Listing is what the platform's list says of the workers of a shard.
type Listing struct {
	Workers []roster.Instance
	// Runners are the runners of all services.
	Runners []roster.Instance
}

// SetListing takes the platform's list.
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

// markMissing notes that a worker is not on the platform's list.
func (c *Core) markMissing(w *workerEntry, now time.Time) {
	if w.missingSince.IsZero() {
		w.missingSince = now
	}
	w.state = ""
	c.setAccepting(w, now)
}

// removeTerminated drops the workers that are gone and hold no tasks.
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

// isRemoved reports whether a worker has been missing from the platform's list for long.
func (c *Core) isRemoved(w *workerEntry, now time.Time) bool {
	return !w.missingSince.IsZero() && now.Sub(w.missingSince) >= c.timing.RemovedAfter
}

// runnerReservations returns what the runners take of each worker.
func (c *Core) runnerReservations(runners []roster.Instance) (map[string]share.Resources, map[string][]placement.Runner) {
	reserved := map[string]share.Resources{}
	on := map[string][]placement.Runner{}
	for _, r := range runners {
		s, ok := c.config.Service(r.Service)
		if !ok || r.Worker == "" {
			continue
		}
		reserved[r.Worker] = reserved[r.Worker].Plus(s.Runner)
		on[r.Worker] = append(on[r.Worker], placement.Runner{Service: s.Name, Share: s.Share})
	}
	return reserved, on
}

// acceptsTasks reports whether a worker may be given tasks.
func (c *Core) acceptsTasks(w *workerEntry, now time.Time) bool {
	return w.state == roster.Live && w.fenced && len(w.orphans) == 0 && !c.isUnresponsive(w, now)
}

// isUnresponsive reports whether a worker left an exchange unanswered, or has not been spoken to for a lease.
func (c *Core) isUnresponsive(w *workerEntry, now time.Time) bool {
	unanswered := !w.unansweredSince.IsZero() && now.Sub(w.unansweredSince) >= c.timing.UnresponsiveAfter
	return unanswered || now.Sub(w.lastContact) >= c.timing.Lease
}

func (c *Core) setAccepting(w *workerEntry, now time.Time) {
	p, ok := c.pool.Worker(w.id)
	accepting := c.acceptsTasks(w, now)
	if ok && p.Accepting != accepting {
		p.Accepting = accepting
		c.pool.SetWorker(p)
	}
}

// leasesExpireAt returns when all that a worker was granted has surely run out: by
// this holder, and unless the worker has answered it, by the one before.
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

// sortWorkers puts workers in order by name, so that decisions do not depend on the order of a map.
func sortWorkers(all []*workerEntry) {
	slices.SortFunc(all, func(a, b *workerEntry) int { return cmp.Compare(a.id, b.id) })
}

// sortedByName returns a set of tasks by name.
func sortedByName(set map[*taskEntry]bool) []*taskEntry {
	all := make([]*taskEntry, 0, len(set))
	for e := range set {
		all = append(all, e)
	}
	sortByName(all)
	return all
}

// sortByName puts tasks in order by name.
func sortByName(all []*taskEntry) {
	slices.SortFunc(all, func(a, b *taskEntry) int { return cmp.Compare(a.id, b.id) })
}

// expireWorkers ends the tasks of workers that surely run them no more.
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
		for _, e := range w.sorted() {
			c.markLost(e, now)
		}
	}
}

// hasExpired reports whether nothing that a worker was given runs there any more.
func (c *Core) hasExpired(w *workerEntry, now time.Time) bool {
	removed := c.isRemoved(w, now) && now.Sub(w.lastContact) >= c.timing.RemovedAfter
	return removed || now.After(c.leasesExpireAt(w))
}

// IsExclusive reports whether no earlier holder can still renew tasks of the shard:
// it had stopped, its grace is over, or every worker with tasks refuses it.
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
