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
	// unknownSizeFactor multiplies the declared size of a family that was never seen.
	unknownSizeFactor = 8
	// maxUnknownTasks bounds the running tasks of a family that was never seen.
	maxUnknownTasks = 8
	// sizeMarginFraction is the part of the greatest size seen that is held beyond it.
	sizeMarginFraction = 0.03
	// fewSamplesMargin is a further part, divided by the square of the number of tasks seen.
	fewSamplesMargin = 1.0
)

// Sizes learns what the tasks of each job family truly hold. Declared sizes
// are a prior. It is not safe for concurrent use.
type Sizes struct {
	families map[string]*familySizes
}

// familySizes holds the greatest sizes of the last tasks of a family.
type familySizes struct {
	samples [sizeSamples]share.Resources
	count   int
}

// NewSizes returns sizes that know nothing.
func NewSizes() *Sizes {
	return &Sizes{families: map[string]*familySizes{}}
}

// Observe takes the greatest amounts that one task was seen to hold over its whole run.
func (s *Sizes) Observe(family string, peak share.Resources) {
	r, ok := s.families[family]
	if !ok {
		r = &familySizes{}
		s.families[family] = r
	}
	r.samples[r.count%sizeSamples] = peak
	r.count++
}

// KnownSize is what was learned of the tasks of one job family.
type KnownSize struct {
	Family string
	// Peak is the greatest amounts that any of the last tasks was seen to hold, Count the number of these.
	Peak  share.Resources
	Count int
}

// Known returns what was learned, by family.
func (s *Sizes) Known() []KnownSize {
	var all []KnownSize
	for _, family := range slices.Sorted(maps.Keys(s.families)) {
		r := s.families[family]
		all = append(all, KnownSize{Family: family, Peak: r.peak(), Count: min(r.count, sizeSamples)})
	}
	return all
}

// Restore takes what others had learned.
func (s *Sizes) Restore(all []KnownSize) {
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
		return capped(scaled(declared, unknownSizeFactor), declared, greatest), maxUnknownTasks
	}
	peak := r.peak()
	n := float64(min(r.count, sizeSamples))
	size = scaled(peak, 1+sizeMarginFraction+fewSamplesMargin/(n*n))
	size = capped(preferDeclared(size, peak, declared), peak, greatest)
	if r.count < trustedSamples {
		size = maxEach(size, declared)
		limit = 2 * maxUnknownTasks * r.count
	}
	// Accelerators are whole devices, which a task takes whether it uses them or not.
	size.Accelerators = max(declared.Accelerators, peak.Accelerators)
	return size, limit
}

// peak returns the greatest amounts of all samples.
func (r *familySizes) peak() share.Resources {
	var peak share.Resources
	for _, sample := range r.samples[:min(r.count, sizeSamples)] {
		peak = maxEach(peak, sample)
	}
	return peak
}

// preferDeclared returns the declared amounts where no task exceeded them and the
// learned ones would be larger.
func preferDeclared(learned, peak, declared share.Resources) share.Resources {
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

func maxEach(a, b share.Resources) share.Resources {
	return share.Resources{
		Processors:   max(a.Processors, b.Processors),
		Memory:       max(a.Memory, b.Memory),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}
