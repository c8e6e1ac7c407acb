package entry_test

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// chooser picks a runner for a request of an instance, by the instance's own
// requests in flight at each runner.
type chooser func(instance int, inFlight []int) int

func onlyRunner() chooser { return func(int, []int) int { return 0 } }

func randomRunner(seed uint64) chooser {
	random := rand.New(rand.NewPCG(seed, 2))
	return func(_ int, inFlight []int) int { return random.IntN(len(inFlight)) }
}

func roundRobin() chooser {
	next := map[int]int{}
	return func(instance int, inFlight []int) int {
		next[instance]++
		return (next[instance] + instance) % len(inFlight)
	}
}

func leastConnections() chooser {
	random := rand.New(rand.NewPCG(1, 3))
	return func(_ int, inFlight []int) int {
		first := random.IntN(len(inFlight))
		best := first
		for i := range inFlight {
			at := (first + i) % len(inFlight)
			if inFlight[at] < inFlight[best] {
				best = at
			}
		}
		return best
	}
}

// simulation runs a policy that sends each request to a runner at once, where
// it waits first in first out for one of the runner's slots.
type simulation struct {
	busy     []int
	waiting  [][]arrival
	inFlight map[int][]int // By instance, then by runner.
	ends     endHeap
	deadline time.Duration
	last     time.Duration // The time of the last arrival.
	slots    int
	result   loadResult
}

type end struct {
	at     time.Duration
	runner int
	of     arrival
}

// simulate returns what a load meets with at runners of some slots each.
func simulate(all []arrival, runners, slots int, choose chooser, deadline time.Duration) loadResult {
	s := &simulation{
		busy: make([]int, runners), waiting: make([][]arrival, runners), inFlight: map[int][]int{},
		deadline: deadline, slots: slots, last: all[len(all)-1].at,
	}
	for _, a := range all {
		s.advance(a.at)
		own := s.inFlight[a.instance]
		if own == nil {
			own = make([]int, runners)
			s.inFlight[a.instance] = own
		}
		at := choose(a.instance, own)
		own[at]++
		if s.busy[at] < slots {
			s.start(at, a, a.at)
			continue
		}
		s.waiting[at] = append(s.waiting[at], a)
	}
	s.advance(1 << 62)
	return s.result
}

// start runs a request; the caller leaves at its deadline, which frees the slot.
func (s *simulation) start(runner int, a arrival, now time.Duration) {
	s.busy[runner]++
	heap.Push(&s.ends, end{min(now+a.service, a.at+s.deadline), runner, a})
}

// advance ends what ends before a time.
func (s *simulation) advance(now time.Duration) {
	for len(s.ends) > 0 && s.ends[0].at <= now {
		e := heap.Pop(&s.ends).(end)
		s.busy[e.runner]--
		s.inFlight[e.of.instance][e.runner]--
		if latency := e.at - e.of.at; latency < s.deadline {
			s.result.latencies = append(s.result.latencies, latency)
			if e.at <= s.last {
				s.result.inTime++
			}
		}
		s.serveNext(e.runner, e.at)
	}
}

// serveNext starts the next waiting request whose caller has not left.
func (s *simulation) serveNext(runner int, now time.Duration) {
	for len(s.waiting[runner]) > 0 {
		a := s.waiting[runner][0]
		s.waiting[runner] = s.waiting[runner][1:]
		if now-a.at < s.deadline {
			s.start(runner, a, now)
			return
		}
		s.inFlight[a.instance][runner]--
	}
}

type endHeap []end

func (h endHeap) Len() int           { return len(h) }
func (h endHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h endHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *endHeap) Push(x any)        { *h = append(*h, x.(end)) }
func (h *endHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
