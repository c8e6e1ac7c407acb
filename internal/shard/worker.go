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
	tasks        map[string]*entry

	// boot and stamp are from the last report, which came in at heardAt.
	boot    string
	stamp   time.Duration
	heardAt time.Time
	// readAt is the earliest time at which the worker read what it last reported.
	readAt time.Time
	// grantedAt is when the newest stamp came in that an exchange of this holder carried back,
	// and granted is how long after it, on the worker's clock, the tasks may run.
	grantedAt time.Time
	granted   time.Duration
	// askedAt is when the first exchange since the last report was made; zero if none was.
	askedAt time.Time
	// adopted says that the worker has answered this holder, and so refuses the ones before.
	adopted  bool
	sequence int64
	fullAt   time.Time
	wantFull bool
	// strays are incarnations that the worker runs although they are not to run there.
	strays map[worker.Ack]bool
	acks   []pendingAck
	// ratios are throttles that are to be sent, by task.
	ratios map[string]float64
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
			id:           id,
			tasks:        map[string]*entry{},
			strays:       map[worker.Ack]bool{},
			ratios:       map[string]float64{},
			missingSince: c.began,
		}
		c.workers[id] = w
		c.planner.SetWorker(placement.Worker{ID: id}, c.began)
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
	reserved, runners := c.reserve(l.Runners)
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
		p.Accepting = c.accepts(w, now)
		c.planner.SetWorker(p, now)
	}
	for id, w := range c.workers {
		if !listed[id] {
			c.miss(w, now)
		}
	}
}

// miss notes that a worker is not on the platform's list.
func (c *Core) miss(w *workerEntry, now time.Time) {
	if w.missingSince.IsZero() {
		w.missingSince = now
	}
	w.state = ""
	c.setAccepting(w, now)
}

// forget drops the workers that are gone and hold no tasks.
func (c *Core) forget(now time.Time) {
	var gone []*workerEntry
	for _, w := range c.workers {
		if len(w.tasks) == 0 && c.isGone(w, now) {
			gone = append(gone, w)
		}
	}
	sortWorkers(gone)
	for _, w := range gone {
		c.planner.RemoveWorker(w.id)
		delete(c.workers, w.id)
	}
}

// isGone reports whether a worker has been missing from the platform's list for long.
func (c *Core) isGone(w *workerEntry, now time.Time) bool {
	return !w.missingSince.IsZero() && now.Sub(w.missingSince) >= c.timing.GoneAfter
}

// reserve returns what the runners take of each worker.
func (c *Core) reserve(runners []roster.Instance) (map[string]share.Resources, map[string][]placement.Runner) {
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

// accepts reports whether a worker may be given tasks.
func (c *Core) accepts(w *workerEntry, now time.Time) bool {
	return w.state == roster.Live && w.adopted && len(w.strays) == 0 && !c.isSilent(w, now)
}

// isSilent reports whether a worker left an exchange unanswered, or has not been spoken to for a lease.
func (c *Core) isSilent(w *workerEntry, now time.Time) bool {
	unanswered := !w.askedAt.IsZero() && now.Sub(w.askedAt) >= c.timing.SilentAfter
	return unanswered || now.Sub(w.heardAt) >= c.timing.Lease
}

func (c *Core) setAccepting(w *workerEntry, now time.Time) {
	p, ok := c.pool.Worker(w.id)
	accepting := c.accepts(w, now)
	if ok && p.Accepting != accepting {
		p.Accepting = accepting
		c.pool.SetWorker(p)
	}
}

// lapsesAt returns when all that a worker was granted has surely run out: by
// this holder, and unless the worker has answered it, by the one before.
func (c *Core) lapsesAt(w *workerEntry) time.Time {
	if w.adopted {
		return w.grantedAt.Add(c.timing.longest(w.granted))
	}
	last := c.began
	if !c.handedOver {
		last = last.Add(c.timing.Grace)
	}
	return last.Add(c.timing.lapse())
}

// sortWorkers puts workers in order by name, so that decisions do not depend on the order of a map.
func sortWorkers(all []*workerEntry) {
	slices.SortFunc(all, func(a, b *workerEntry) int { return cmp.Compare(a.id, b.id) })
}

// sortedTasks returns a set of tasks by name.
func sortedTasks(set map[*entry]bool) []*entry {
	all := make([]*entry, 0, len(set))
	for e := range set {
		all = append(all, e)
	}
	sortTasks(all)
	return all
}

// sortTasks puts tasks in order by name.
func sortTasks(all []*entry) {
	slices.SortFunc(all, func(a, b *entry) int { return cmp.Compare(a.id, b.id) })
}

// lapse ends the tasks of workers that surely run them no more.
func (c *Core) lapse(now time.Time) {
	var lapsed []*workerEntry
	for _, w := range c.workers {
		c.setAccepting(w, now)
		if len(w.tasks) > 0 && c.hasLapsed(w, now) {
			lapsed = append(lapsed, w)
		}
	}
	sortWorkers(lapsed)
	for _, w := range lapsed {
		for _, e := range w.sorted() {
			c.lose(e, now)
		}
	}
}

// hasLapsed reports whether nothing that a worker was given runs there any more.
func (c *Core) hasLapsed(w *workerEntry, now time.Time) bool {
	gone := c.isGone(w, now) && now.Sub(w.heardAt) >= c.timing.GoneAfter
	return gone || now.After(c.lapsesAt(w))
}

// IsSole reports whether no earlier holder can still renew tasks of the shard:
// it had stopped, its grace is over, or every worker with tasks refuses it.
func (c *Core) IsSole(now time.Time) bool {
	if c.handedOver || now.Sub(c.began) >= c.timing.Grace {
		return true
	}
	for _, w := range c.workers {
		if len(w.tasks) > 0 && !w.adopted {
			return false
		}
	}
	return true
}
