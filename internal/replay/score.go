package replay

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/oriolepond/oriolepond/internal/placement"
	"github.com/oriolepond/oriolepond/pkg/share"
)

// Result is how one policy fared in one trace, from the trace's MeasureFrom on.
type Result struct {
	Policy string
	User   string
	// P99 is the services' tail latency over all requests, as a part of the objective.
	P99 float64
	// TasksPerSecond counts finished tasks.
	TasksPerSecond float64
	Evictions      int
	// LostWork is the run time that evictions threw away.
	LostWork time.Duration
	// Overcommits counts the steps in which a worker truly held more than it has.
	Overcommits int
	// UrgentWait is the longest time that an urgent task waited for its first start.
	UrgentWait time.Duration
	// Recovery is how long after the tail first passed the objective in the
	// wave it stayed within for good; as many as the wave is long if never.
	Recovery time.Duration
	// Breach is the longest time in the wave for which the tail of any one
	// runner stayed beyond the objective; without a wave, in the whole trace.
	Breach time.Duration
}

// score collects the figures of one run.
type score struct {
	trace  Trace
	total  histogram
	slots  []histogram
	count  Result
	waits  time.Duration
	number int
	// breaches are the times since which runners are beyond the objective, by worker and service.
	breaches map[[2]string]time.Duration
}

func newScore(t Trace) *score {
	return &score{
		trace:    t,
		slots:    make([]histogram, t.Duration/t.Window+1),
		breaches: map[[2]string]time.Duration{},
	}
}

func (s *score) counts(at time.Duration) bool { return at >= s.trace.MeasureFrom }

func (s *score) evicted(at time.Duration, lostSeconds float64) {
	if s.counts(at) {
		s.count.Evictions++
		s.count.LostWork += time.Duration(lostSeconds * float64(time.Second))
	}
}

func (s *score) finished(at time.Duration) {
	if s.counts(at) {
		s.number++
	}
}

func (s *score) waited(at time.Duration, i placement.Item, now time.Time) {
	if s.counts(at) && i.Urgent {
		s.waits = max(s.waits, now.Sub(i.QueuedAt))
	}
}

func (s *score) overcommit(at time.Duration, f *fakeWorker) {
	var held share.Resources
	for _, t := range f.tasks {
		held = held.Plus(t.size)
	}
	if s.counts(at) && !held.Fits(f.Capacity.Minus(f.Reserved)) {
		s.count.Overcommits++
	}
}

// tail counts one step's requests of one runner; their number grows with the load.
func (s *score) tail(at time.Duration, worker, service string, strain, load float64) {
	s.breach(at, [2]string{worker, service}, strain)
	s.slots[at/s.trace.Window].add(strain, load)
	if s.counts(at) {
		s.total.add(strain, load)
	}
}

// breach takes note of how long a runner stays beyond the objective.
func (s *score) breach(at time.Duration, runner [2]string, strain float64) {
	wave := s.trace.Wave
	watched := at >= s.trace.MeasureFrom && (wave.To == 0 || (at >= wave.From && at < wave.To))
	if strain <= 1 || !watched {
		delete(s.breaches, runner)
		return
	}
	if _, ok := s.breaches[runner]; !ok {
		s.breaches[runner] = at
	}
	s.count.Breach = max(s.count.Breach, at+step-s.breaches[runner])
}

func (s *score) result(policy, user string) Result {
	r := s.count
	r.Policy, r.User = policy, user
	r.P99 = s.total.quantile(0.99)
	r.TasksPerSecond = float64(s.number) / (s.trace.Duration - s.trace.MeasureFrom).Seconds()
	r.UrgentWait = s.waits
	r.Recovery = s.recovery()
	return r
}

// recovery returns how long the tail of all requests took to stay within the
// objective after it first passed it in the wave.
func (s *score) recovery() time.Duration {
	window := s.trace.Window
	first, last := -1, -1
	for i := int(s.trace.Wave.From / window); i < int(s.trace.Wave.To/window); i++ {
		if s.slots[i].quantile(0.99) > 1 {
			if first < 0 {
				first = i
			}
			last = i
		}
	}
	if first < 0 {
		return 0
	}
	return time.Duration(last-first+1) * window
}

// String returns one line of a table.
func (r Result) String() string {
	return fmt.Sprintf("%-8s %-12s p99 %6.3f  %6.3f tasks/s  %5d evictions  lost %8s  overcommits %5d  urgent wait %6s  recovery %6s  breach %6s",
		r.User, r.Policy, r.P99, r.TasksPerSecond, r.Evictions, r.LostWork.Round(time.Second), r.Overcommits, r.UrgentWait, r.Recovery, r.Breach)
}

const (
	// bucketsPerDoubling is the resolution of a histogram.
	bucketsPerDoubling = 64
	// leastStrain is the lower end of a histogram.
	leastStrain = 1.0 / 64
)

// histogram holds the weights of tail latencies. The latencies of one runner in
// one step are distributed exponentially with the given p99.
type histogram struct {
	weights []float64
	sum     float64
}

func (h *histogram) add(p99, weight float64) {
	i := max(0, int(math.Round(math.Log2(p99/leastStrain)*bucketsPerDoubling)))
	if i >= len(h.weights) {
		h.weights = append(h.weights, make([]float64, i+1-len(h.weights))...)
	}
	h.weights[i] += weight
	h.sum += weight
}

// quantile returns a quantile of all latencies together.
func (h *histogram) quantile(q float64) float64 {
	if h.sum == 0 {
		return 0
	}
	low, high := 0.0, 1e6
	for range 60 {
		middle := (low + high) / 2
		if h.above(middle) > 1-q {
			low = middle
		} else {
			high = middle
		}
	}
	return high
}

// above returns the part of all latencies above a bound.
func (h *histogram) above(bound float64) float64 {
	sum := 0.0
	for i, weight := range h.weights {
		if weight > 0 {
			p99 := leastStrain * math.Exp2(float64(i)/bucketsPerDoubling)
			sum += weight * math.Exp(-math.Ln10*2*bound/p99)
		}
	}
	return sum / h.sum
}

// Find returns the result of a policy.
func Find(all []Result, policy string) Result {
	i := slices.IndexFunc(all, func(r Result) bool { return r.Policy == policy })
	return all[i]
}
