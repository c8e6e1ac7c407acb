package entry_test

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// chooser selects a runner for a request of an instance. It sees only the instance's own requests
// in flight at each runner.
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
			candidate := (first + i) % len(inFlight)
			if inFlight[candidate] < inFlight[best] {
				best = candidate
			}
		}
		return best
	}
}

// simulation runs a balancing policy that sends each request to a runner at once, where it waits
// in a first-in, first-out queue for a slot.
type simulation struct {
	busy        []int
	waiting     [][]arrival
	inFlight    map[int][]int // By instance, then by runner.
	completions completionHeap
	deadline    time.Duration
	lastArrival time.Duration // The time of the last arrival.
	slots       int
	result      loadResult
}

// completion is the end of a request at a runner.
type completion struct {
	at      time.Duration
	runner  int
	arrival arrival
}

// simulate returns the result of a load at some runners with the given number of slots each.
func simulate(requests []arrival, runners, slots int, choose chooser, deadline time.Duration) loadResult {
	s := &simulation{
		busy: make([]int, runners), waiting: make([][]arrival, runners), inFlight: map[int][]int{},
		deadline: deadline, slots: slots, lastArrival: requests[len(requests)-1].at,
	}
	for _, a := range requests {
		s.advance(a.at)
		inFlight := s.inFlight[a.instance]
		if inFlight == nil {
			inFlight = make([]int, runners)
			s.inFlight[a.instance] = inFlight
		}
		runner := choose(a.instance, inFlight)
		inFlight[runner]++
		if s.busy[runner] < slots {
			s.start(runner, a, a.at)
			continue
		}
		s.waiting[runner] = append(s.waiting[runner], a)
	}
	s.advance(1 << 62)
	return s.result
}

// start runs a request until it is done or its deadline passes, when the caller cancels it and so
// frees the slot.
func (s *simulation) start(runner int, a arrival, now time.Duration) {
	s.busy[runner]++
	heap.Push(&s.completions, completion{min(now+a.serviceTime, a.at+s.deadline), runner, a})
}

// advance processes the completions up to a time.
func (s *simulation) advance(until time.Duration) {
	for len(s.completions) > 0 && s.completions[0].at <= until {
		done := heap.Pop(&s.completions).(completion)
		s.busy[done.runner]--
		s.inFlight[done.arrival.instance][done.runner]--
		if latency := done.at - done.arrival.at; latency < s.deadline {
			s.result.latencies = append(s.result.latencies, latency)
			if done.at <= s.lastArrival {
				s.result.inTime++
			}
		}
		s.serveNext(done.runner, done.at)
	}
}

// serveNext starts the next waiting request of a runner that is still within its deadline.
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

// completionHeap orders completions by time for container/heap.
type completionHeap []completion

func (h completionHeap) Len() int           { return len(h) }
func (h completionHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h completionHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *completionHeap) Push(x any)        { *h = append(*h, x.(completion)) }
func (h *completionHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
