package batch

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// simClock is the virtual time with the events to come, and the source of randomness.
type simClock struct {
	now       time.Time
	random    *rand.Rand
	events    simEvents
	lastEvent int
}

type simEvent struct {
	at     time.Time
	number int
	do     func()
}

type simEvents []simEvent

func (e simEvents) Len() int { return len(e) }
func (e simEvents) Less(a, b int) bool {
	return e[a].at.Before(e[b].at) || e[a].at.Equal(e[b].at) && e[a].number < e[b].number
}
func (e simEvents) Swap(a, b int) { e[a], e[b] = e[b], e[a] }
func (e *simEvents) Push(x any)   { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newSimClock(seed uint64) *simClock {
	return &simClock{now: time.Unix(1_000_000_000, 0), random: rand.New(rand.NewPCG(seed, 1))}
}

func (c *simClock) after(d time.Duration, do func()) {
	c.lastEvent++
	heap.Push(&c.events, simEvent{at: c.now.Add(d), number: c.lastEvent, do: do})
}

// run simulates a duration.
func (c *simClock) run(d time.Duration) {
	end := c.now.Add(d)
	for len(c.events) > 0 && !c.events[0].at.After(end) {
		e := heap.Pop(&c.events).(simEvent)
		c.now = e.at
		e.do()
	}
	c.now = end
}

func (c *simClock) chance(p float64) bool { return c.random.Float64() < p }

// exponential returns a random duration from the exponential distribution with the given mean.
func (c *simClock) exponential(mean time.Duration) time.Duration {
	return time.Duration(c.random.ExpFloat64() * float64(mean))
}
