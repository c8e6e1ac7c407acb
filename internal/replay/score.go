package replay

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/oriolepond/oriolepond/internal/placement"
	"github.com/oriolepond/oriolepond/pkg/share"
)

// Result is the performance of one policy in one trace, from the trace's MeasureFrom on.
type Result struct {
	Policy string
	User   string
	// P99 is the p99 latency over the requests of all services, as a fraction of the objective.
	P99 float64
	// TasksPerSecond is the rate of finished tasks.
	TasksPerSecond float64
	Evictions      int
	// LostWork is the run time that was discarded by evictions without a checkpoint.
	LostWork time.Duration
	// Overcommits counts, over all workers, the steps in which the tasks actually
	// needed more than the worker's capacity.
	Overcommits int
	// UrgentWait is the longest time from the submission of an urgent task to its first start.
	UrgentWait time.Duration
	// Recovery is the time from when the services' p99 first exceeded the objective in
	// the wave until it stayed within it for the rest of the wave. If it never did,
	// Recovery extends to the end of the wave.
	Recovery time.Duration
	// Breach is the longest time for which the p99 of any one runner stayed beyond the
	// objective: in the wave, or in the whole trace if there is no wave.
	Breach time.Duration
}

// score collects the results of one run.
type score struct {
	trace         Trace
	tails         histogram
	windows       []histogram
	totals        Result
	urgentWait    time.Duration
	finishedCount int
	// breachStarts holds, by worker and service, since when each runner whose p99 exceeds
	// the objective has done so.
	breachStarts map[[2]string]time.Duration
}

func newScore(t Trace) *score {
	return &score{
		trace:        t,
		windows:      make([]histogram, t.Duration/t.Window+1),
		breachStarts: map[[2]string]time.Duration{},
	}
}

func (s *score) inMeasuredSpan(at time.Duration) bool { return at >= s.trace.MeasureFrom }

func (s *score) recordEviction(at time.Duration, lostSeconds float64) {
	if s.inMeasuredSpan(at) {
		s.totals.Evictions++
		s.totals.LostWork += time.Duration(lostSeconds * float64(time.Second))
	}
}

func (s *score) recordFinished(at time.Duration) {
	if s.inMeasuredSpan(at) {
		s.finishedCount++
	}
}

func (s *score) recordFirstStart(at time.Duration, i placement.Item, now time.Time) {
	if s.inMeasuredSpan(at) && i.Urgent {
		s.urgentWait = max(s.urgentWait, now.Sub(i.QueuedAt))
	}
}

func (s *score) recordOvercommit(at time.Duration, f *fakeWorker) {
	var used share.Resources
	for _, t := range f.tasks {
		used = used.Plus(t.size)
	}
	if s.inMeasuredSpan(at) && !used.Fits(f.Capacity.Minus(f.Reserved)) {
		s.totals.Overcommits++
	}
}

// recordTail adds the strain of one runner in one step to the histograms. It is weighted
// by the load, to which the number of requests is proportional.
func (s *score) recordTail(at time.Duration, worker, service string, strain, load float64) {
	s.recordBreach(at, [2]string{worker, service}, strain)
	s.windows[at/s.trace.Window].add(strain, load)
	if s.inMeasuredSpan(at) {
		s.tails.add(strain, load)
	}
}

// recordBreach tracks how long a runner has been beyond the objective.
func (s *score) recordBreach(at time.Duration, runner [2]string, strain float64) {
	wave := s.trace.Wave
	watched := at >= s.trace.MeasureFrom && (wave.To == 0 || (at >= wave.From && at < wave.To))
	if strain <= 1 || !watched {
		delete(s.breachStarts, runner)
		return
	}
	if _, ok := s.breachStarts[runner]; !ok {
		s.breachStarts[runner] = at
	}
	s.totals.Breach = max(s.totals.Breach, at+step-s.breachStarts[runner])
}

func (s *score) result(policy, user string) Result {
	r := s.totals
	r.Policy, r.User = policy, user
	r.P99 = s.tails.quantile(0.99)
	r.TasksPerSecond = float64(s.finishedCount) / (s.trace.Duration - s.trace.MeasureFrom).Seconds()
	r.UrgentWait = s.urgentWait
	r.Recovery = s.recovery()
	return r
}

// recovery returns the value of Result.Recovery.
func (s *score) recovery() time.Duration {
	window := s.trace.Window
	first, last := -1, -1
	for i := int(s.trace.Wave.From / window); i < int(s.trace.Wave.To/window); i++ {
		if s.windows[i].quantile(0.99) > 1 {
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

// String returns the result as one line of a table.
func (r Result) String() string {
	return fmt.Sprintf("%-8s %-12s p99 %6.3f  %6.3f tasks/s  %5d evictions  lost %8s  overcommits %5d  urgent wait %6s  recovery %6s  breach %6s",
		r.User, r.Policy, r.P99, r.TasksPerSecond, r.Evictions, r.LostWork.Round(time.Second), r.Overcommits, r.UrgentWait, r.Recovery, r.Breach)
}

const (
	// bucketsPerDoubling is the number of buckets per doubling of the strain.
	bucketsPerDoubling = 64
	// minStrain is the strain of the first bucket, which also counts all lower ones.
	minStrain = 1.0 / 64
)

// histogram is a histogram of p99 latencies, each weighted by a number of requests. The
// request latencies of one runner in one step are assumed to be distributed
// exponentially with that p99.
type histogram struct {
	weights []float64
	sum     float64
}

func (h *histogram) add(p99, weight float64) {
	i := max(0, int(math.Round(math.Log2(p99/minStrain)*bucketsPerDoubling)))
	if i >= len(h.weights) {
		h.weights = append(h.weights, make([]float64, i+1-len(h.weights))...)
	}
	h.weights[i] += weight
	h.sum += weight
}

// quantile returns a quantile of the latencies of all requests.
func (h *histogram) quantile(q float64) float64 {
	if h.sum == 0 {
		return 0
	}
	low, high := 0.0, 1e6
	for range 60 {
		middle := (low + high) / 2
		if h.fractionAbove(middle) > 1-q {
			low = middle
		} else {
			high = middle
		}
	}
	return high
}

// fractionAbove returns the fraction of all requests with a latency above a bound.
func (h *histogram) fractionAbove(bound float64) float64 {
	sum := 0.0
	for i, weight := range h.weights {
		if weight > 0 {
			p99 := minStrain * math.Exp2(float64(i)/bucketsPerDoubling)
			sum += weight * math.Exp(-math.Ln10*2*bound/p99)
		}
	}
	return sum / h.sum
}

// Find returns the result of the named policy.
func Find(all []Result, policy string) Result {
	i := slices.IndexFunc(all, func(r Result) bool { return r.Policy == policy })
	return all[i]
}
