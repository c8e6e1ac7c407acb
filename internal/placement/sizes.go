package placement

import (
	"maps"
	"math"
	"slices"

	"github.com/oriolepond/oriolepond/pkg/share"
)

const (
	// sizeSamples is how many tasks of a family are remembered.
	sizeSamples = 64
	// trustedSamples is the number from which the declared size no longer counts.
	trustedSamples = 5
	// unknownMargin multiplies the declared size of a family that was never seen.
	unknownMargin = 8
	// unknownTasks bounds the running tasks of a family that was never seen.
	unknownTasks = 8
	// sizeMargin is the part of the greatest size seen that is held beyond it.
	sizeMargin = 0.03
	// earlyMargin is a further part, divided by the square of the number of tasks seen.
	earlyMargin = 1.0
)

// Sizes learns what the tasks of each job family truly hold. Declared sizes
// are a prior. It is not safe for concurrent use.
type Sizes struct {
	families map[string]*sizeRecord
}

// sizeRecord holds the greatest sizes of the last tasks of a family.
type sizeRecord struct {
	samples [sizeSamples]share.Resources
	count   int
}

// NewSizes returns sizes that know nothing.
func NewSizes() *Sizes {
	return &Sizes{families: map[string]*sizeRecord{}}
}

// Observe takes the greatest amounts that one task was seen to hold over its whole run.
func (s *Sizes) Observe(family string, peak share.Resources) {
	r, ok := s.families[family]
	if !ok {
		r = &sizeRecord{}
		s.families[family] = r
	}
	r.samples[r.count%sizeSamples] = peak
	r.count++
}

// LearnedSize is what was learned of the tasks of one job family.
type LearnedSize struct {
	Family string
	// Peak is the greatest amounts that any of the last tasks was seen to hold, Count the number of these.
	Peak  share.Resources
	Count int
}

// Learned returns what was learned, by family.
func (s *Sizes) Learned() []LearnedSize {
	var all []LearnedSize
	for _, family := range slices.Sorted(maps.Keys(s.families)) {
		r := s.families[family]
		all = append(all, LearnedSize{Family: family, Peak: r.peak(), Count: min(r.count, sizeSamples)})
	}
	return all
}

// Restore takes what others had learned.
func (s *Sizes) Restore(all []LearnedSize) {
	for _, k := range all {
		for range min(k.Count, sizeSamples) {
			s.Observe(k.Family, k.Peak)
		}
	}
}

// Estimate returns the size to hold for a task, and how many tasks of the
// family may run at once; 0 means any number. A size never exceeds the
// greatest worker only because it is not known.
func (s *Sizes) Estimate(family string, declared, greatest share.Resources) (size share.Resources, limit int) {
	r, ok := s.families[family]
	if !ok {
		return capped(scaled(declared, unknownMargin), declared, greatest), unknownTasks
	}
	peak := r.peak()
	n := float64(min(r.count, sizeSamples))
	size = scaled(peak, 1+sizeMargin+earlyMargin/(n*n))
	size = capped(kept(size, peak, declared), peak, greatest)
	if r.count < trustedSamples {
		size = larger(size, declared)
		limit = 2 * unknownTasks * r.count
	}
	// Accelerators are whole devices, which a task takes whether it uses them or not.
	size.Accelerators = max(declared.Accelerators, peak.Accelerators)
	return size, limit
}

// peak returns the greatest amounts of all samples.
func (r *sizeRecord) peak() share.Resources {
	var peak share.Resources
	for _, sample := range r.samples[:min(r.count, sizeSamples)] {
		peak = larger(peak, sample)
	}
	return peak
}

// kept returns the declared amounts where no task exceeded them and the
// learned ones would be larger.
func kept(learned, peak, declared share.Resources) share.Resources {
	if peak.Processors <= declared.Processors {
		learned.Processors = min(learned.Processors, declared.Processors)
	}
	if peak.Memory <= declared.Memory {
		learned.Memory = min(learned.Memory, declared.Memory)
	}
	return learned
}

// scaled returns r with its processors and memory multiplied by a factor.
func scaled(r share.Resources, factor float64) share.Resources {
	r.Processors = share.MilliCores(math.Ceil(float64(r.Processors) * factor))
	r.Memory = share.Bytes(math.Ceil(float64(r.Memory) * factor))
	return r
}

// capped returns r, but no more than the greatest worker has unless least is.
func capped(r, least, greatest share.Resources) share.Resources {
	r.Processors = max(least.Processors, min(r.Processors, greatest.Processors))
	r.Memory = max(least.Memory, min(r.Memory, greatest.Memory))
	return r
}

func larger(a, b share.Resources) share.Resources {
	return share.Resources{
		Processors:   max(a.Processors, b.Processors),
		Memory:       max(a.Memory, b.Memory),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}
