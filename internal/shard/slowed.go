package shard

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// slowedThreshold and slowedClearThreshold are the slowdowns, as factors of tail latency, at
	// which a runner begins and ceases to count as slowed. They differ so that a runner between
	// them keeps its state.
	slowedThreshold      = 1.2
	slowedClearThreshold = 1.1
	// slowedCheckInterval is how often a leader looks for slowed runners.
	slowedCheckInterval = time.Second
	// maxSlowed bounds the slowed runners that a shard reports.
	maxSlowed = 1024
)

// Slowed identifies the runners of a service on a worker that are slowed down by batch tasks.
type Slowed struct {
	Worker  string
	Service string
}

// findSlowed updates which runners count as slowed, from the planner's estimates for the tasks that
// run now.
func (c *Core) findSlowed(now time.Time) {
	if now.Before(c.nextSlowedCheck) {
		return
	}
	c.nextSlowedCheck = now.Add(slowedCheckInterval)
	found := map[Slowed]bool{}
	for id := range c.workers {
		placed, _ := c.pool.Worker(id)
		for _, r := range placed.Runners {
			s := Slowed{Worker: id, Service: r.Service}
			threshold := slowedThreshold
			if c.slowed[s] {
				threshold = slowedClearThreshold
			}
			if c.planner.Slowdown(id, r.Service) >= threshold {
				found[s] = true
			}
		}
	}
	c.slowed = found
}

// Slowed returns the slowed runners, sorted by worker and service, at most maxSlowed of them.
func (c *Core) Slowed() []Slowed {
	slowed := slices.SortedFunc(maps.Keys(c.slowed), compareSlowed)
	return slowed[:min(len(slowed), maxSlowed)]
}

func compareSlowed(a, b Slowed) int {
	return cmp.Or(cmp.Compare(a.Worker, b.Worker), cmp.Compare(a.Service, b.Service))
}

// Slowed returns the slowed runners of the shard, sorted by worker and service.
func (l *Leader) Slowed() []Slowed {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return nil
	}
	return l.core.Slowed()
}

// Slowed returns the slowed runners of all shards that this instance leads.
func (k *Keeper) Slowed() []Slowed {
	k.mu.Lock()
	leaderships := slices.Collect(maps.Values(k.leaderships))
	k.mu.Unlock()
	var slowed []Slowed
	for _, l := range leaderships {
		if leader, ok := l.current(); ok {
			slowed = append(slowed, leader.Slowed()...)
		}
	}
	return slowed
}

// SlowedChange is a leader's update about its slowed runners.
type SlowedChange struct {
	// Full is set if the update replaces everything that was reported before.
	Full    bool
	Added   []Slowed
	Removed []Slowed
}

// DiffSlowed returns the change from the runners that were reported before to the current ones,
// limited to the given number of runners. It updates reported accordingly, so the next call returns
// the remaining changes.
func DiffSlowed(reported map[Slowed]bool, now []Slowed, limit int) SlowedChange {
	var change SlowedChange
	current := map[Slowed]bool{}
	for _, s := range now {
		current[s] = true
		if !reported[s] && len(change.Added) < limit {
			change.Added = append(change.Added, s)
			reported[s] = true
		}
	}
	for _, s := range slices.SortedFunc(maps.Keys(reported), compareSlowed) {
		if !current[s] && len(change.Added)+len(change.Removed) < limit {
			change.Removed = append(change.Removed, s)
			delete(reported, s)
		}
	}
	return change
}

// SlowedExpiry is the time without an update after which the runners that an instance reported no
// longer count as slowed.
const SlowedExpiry = 10 * time.Second

// SlowedRunners collects the slowed runners that leaders report. It is safe for concurrent use.
type SlowedRunners struct {
	mu       sync.Mutex
	byLeader map[string]*leaderSlowed
}

// leaderSlowed holds the slowed runners that one leader has reported.
type leaderSlowed struct {
	lastContact time.Time
	slowed      map[Slowed]bool
}

// Update applies a leader's update that was received at the given time.
func (m *SlowedRunners) Update(leader string, c SlowedChange, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.byLeader == nil {
		m.byLeader = map[string]*leaderSlowed{}
	}
	reported, known := m.byLeader[leader]
	if !known || c.Full {
		reported = &leaderSlowed{slowed: map[Slowed]bool{}}
		m.byLeader[leader] = reported
	}
	reported.lastContact = now
	for _, s := range c.Removed {
		delete(reported.slowed, s)
	}
	for _, s := range c.Added {
		reported.slowed[s] = true
	}
}

// Slowed returns the runners that any leader reports as slowed. It removes leaders whose reports
// have expired.
func (m *SlowedRunners) Slowed(now time.Time) map[Slowed]bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	slowed := map[Slowed]bool{}
	for leader, reported := range m.byLeader {
		if now.Sub(reported.lastContact) >= SlowedExpiry {
			delete(m.byLeader, leader)
			continue
		}
		maps.Copy(slowed, reported.slowed)
	}
	return slowed
}
