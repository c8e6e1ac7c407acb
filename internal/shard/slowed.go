package shard

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// slowedFrom and slowedUntil are the slowdowns at which a runner begins and
	// ceases to count as slowed.
	slowedFrom  = 1.2
	slowedUntil = 1.1
	// slowedEvery is how often a holder looks for slowed runners.
	slowedEvery = time.Second
	// maxSlowed bounds the slowed runners that a shard tells of.
	maxSlowed = 1024
)

// Slowed names the runners of a service on a worker that batch tasks slow down.
type Slowed struct {
	Worker  string
	Service string
}

// findSlowed brings the slowed runners in step with the tasks that run now.
func (c *Core) findSlowed(now time.Time) {
	if now.Before(c.slowedAt) {
		return
	}
	c.slowedAt = now.Add(slowedEvery)
	found := map[Slowed]bool{}
	for id := range c.workers {
		placed, _ := c.pool.Worker(id)
		for _, r := range placed.Runners {
			s := Slowed{Worker: id, Service: r.Service}
			least := slowedFrom
			if c.slowed[s] {
				least = slowedUntil
			}
			if c.planner.Slowdown(id, r.Service) >= least {
				found[s] = true
			}
		}
	}
	c.slowed = found
}

// Slowed returns the slowed runners in order, at most maxSlowed of them.
func (c *Core) Slowed() []Slowed {
	all := slices.SortedFunc(maps.Keys(c.slowed), compareSlowed)
	return all[:min(len(all), maxSlowed)]
}

func compareSlowed(a, b Slowed) int {
	return cmp.Or(cmp.Compare(a.Worker, b.Worker), cmp.Compare(a.Service, b.Service))
}

// Slowed returns the slowed runners of the shard, in order.
func (h *Holder) Slowed() []Slowed {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ended {
		return nil
	}
	return h.core.Slowed()
}

// Slowed returns the slowed runners of all shards that are held here.
func (k *Keeper) Slowed() []Slowed {
	k.mu.Lock()
	holds := slices.Collect(maps.Values(k.holds))
	k.mu.Unlock()
	var all []Slowed
	for _, h := range holds {
		if holder, ok := h.current(); ok {
			all = append(all, holder.Slowed()...)
		}
	}
	return all
}

// SlowedChange is what a holder tells of its slowed runners.
type SlowedChange struct {
	// Full says that all that was told before is void.
	Full    bool
	Added   []Slowed
	Removed []Slowed
}

// DiffSlowed returns the change from what was told before to what holds now,
// with at most limit runners; told is brought up to date.
func DiffSlowed(told map[Slowed]bool, now []Slowed, limit int) SlowedChange {
	var change SlowedChange
	holds := map[Slowed]bool{}
	for _, s := range now {
		holds[s] = true
		if !told[s] && len(change.Added) < limit {
			change.Added = append(change.Added, s)
			told[s] = true
		}
	}
	for _, s := range slices.SortedFunc(maps.Keys(told), compareSlowed) {
		if !holds[s] && len(change.Added)+len(change.Removed) < limit {
			change.Removed = append(change.Removed, s)
			delete(told, s)
		}
	}
	return change
}

// SlowedExpiry is how long a holder may be silent before what it told is void.
const SlowedExpiry = 10 * time.Second

// SlowedRunners are the slowed runners as their holders tell of them. They may be used
// from many goroutines.
type SlowedRunners struct {
	mu      sync.Mutex
	holders map[string]*told
}

// told is what one holder told.
type told struct {
	heard  time.Time
	slowed map[Slowed]bool
}

// Update takes what a holder told at a time.
func (m *SlowedRunners) Update(holder string, c SlowedChange, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.holders == nil {
		m.holders = map[string]*told{}
	}
	h, known := m.holders[holder]
	if !known || c.Full {
		h = &told{slowed: map[Slowed]bool{}}
		m.holders[holder] = h
	}
	h.heard = now
	for _, s := range c.Removed {
		delete(h.slowed, s)
	}
	for _, s := range c.Added {
		h.slowed[s] = true
	}
}

// Slowed returns the runners that are slowed by the word of any holder, and
// forgets the holders whose word has lapsed.
func (m *SlowedRunners) Slowed(now time.Time) map[Slowed]bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := map[Slowed]bool{}
	for holder, h := range m.holders {
		if now.Sub(h.heard) >= SlowedExpiry {
			delete(m.holders, holder)
			continue
		}
		maps.Copy(all, h.slowed)
	}
	return all
}
