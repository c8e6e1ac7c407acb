package placement

import (
	"maps"
	"math"
	"slices"

	"github.com/oriolepond/oriolepond/pkg/share"
)

const (
	// maxSizeSamples is the number of measured peaks of a job family that are kept.
	maxSizeSamples = 64
	// trustedSamples is the number of peaks from which an estimate may lie below the declared size.
	trustedSamples = 5
	// unknownSizeFactor multiplies the declared size of a job family that was never measured.
	unknownSizeFactor = 8
	// maxUnknownTasks bounds the running tasks of a job family that was never measured.
	maxUnknownTasks = 8
	// sizeMarginFraction is the margin above the greatest peak, as a fraction of it.
	sizeMarginFraction = 0.03
	// fewSamplesMargin is a further margin, as a fraction of the greatest peak, which is
	// divided by the square of the number of peaks.
	fewSamplesMargin = 1.0
)

// Sizes learns the resources that the tasks of each job family use. The declared
// size is the estimate until enough tasks were measured. Sizes is not safe for
// concurrent use.
type Sizes struct {
	families map[string]*familySizes
}

// familySizes holds the latest peaks of the tasks of a job family.
type familySizes struct {
	samples [maxSizeSamples]share.Resources
	count   int
}

// NewSizes returns a Sizes without measurements.
func NewSizes() *Sizes {
	return &Sizes{families: map[string]*familySizes{}}
}

// Observe records the greatest amounts that one task was seen to use.
func (s *Sizes) Observe(family string, peak share.Resources) {
	sizes, ok := s.families[family]
	if !ok {
		sizes = &familySizes{}
		s.families[family] = sizes
	}
	sizes.samples[sizes.count%maxSizeSamples] = peak
	sizes.count++
}

// LearnedSize summarises the measured peaks of one job family, for storage.
type LearnedSize struct {
	Family string
	// Peak holds the greatest amounts among the latest peaks, and Count is how many peaks were kept.
	Peak  share.Resources
	Count int
}

// Learned returns the learned sizes of all job families, sorted by family.
func (s *Sizes) Learned() []LearnedSize {
	var learned []LearnedSize
	for _, family := range slices.Sorted(maps.Keys(s.families)) {
		sizes := s.families[family]
		learned = append(learned, LearnedSize{Family: family, Peak: sizes.peak(), Count: min(sizes.count, maxSizeSamples)})
	}
	return learned
}

// Restore adds what another Sizes returned from Learned.
func (s *Sizes) Restore(learned []LearnedSize) {
	for _, l := range learned {
		for range min(l.Count, maxSizeSamples) {
			s.Observe(l.Family, l.Peak)
		}
	}
}

// Estimate returns the size to assign to a task, and how many tasks of its job
// family may run at once; 0 means any number. Margins never raise a size above
// greatest, the most that a worker has of each resource.
func (s *Sizes) Estimate(family string, declared, greatest share.Resources) (size share.Resources, limit int) {
	sizes, ok := s.families[family]
	if !ok {
		return capped(scaled(declared, unknownSizeFactor), declared, greatest), maxUnknownTasks
	}
	peak := sizes.peak()
	n := float64(min(sizes.count, maxSizeSamples))
	size = scaled(peak, 1+sizeMarginFraction+fewSamplesMargin/(n*n))
	size = capped(preferDeclared(size, peak, declared), peak, greatest)
	if sizes.count < trustedSamples {
		size = maxEach(size, declared)
		limit = 2 * maxUnknownTasks * sizes.count
	}
	// Accelerators are whole devices, which a task occupies whether it uses them or not.
	size.Accelerators = max(declared.Accelerators, peak.Accelerators)
	return size, limit
}

// peak returns the greatest amount of each resource in all samples.
func (s *familySizes) peak() share.Resources {
	var peak share.Resources
	for _, sample := range s.samples[:min(s.count, maxSizeSamples)] {
		peak = maxEach(peak, sample)
	}
	return peak
}

// preferDeclared returns the learned amounts, lowered to the declared ones where
// no task exceeded these.
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

// capped returns r, lowered to greatest but not below least.
func capped(r, least, greatest share.Resources) share.Resources {
	r.Processors = max(least.Processors, min(r.Processors, greatest.Processors))
	r.Memory = max(least.Memory, min(r.Memory, greatest.Memory))
	return r
}

// maxEach returns the larger amount of each resource.
func maxEach(a, b share.Resources) share.Resources {
	return share.Resources{
		Processors:   max(a.Processors, b.Processors),
		Memory:       max(a.Memory, b.Memory),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}
