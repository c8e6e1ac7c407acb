package interference

import "math"

// calibration learns how often a latency target is missed, depending on the
// headroom that was expected. The zero value assumes that measured headroom is
// normally distributed around the expected one.
type calibration struct {
	bins [binCount]bin
}

// bin counts the measurements, and the missed targets among them, in one range
// of expected headroom.
type bin struct {
	count  float64
	missed float64
}

const (
	// binWidth is the range of expected headroom that one bin covers, and firstBinCentre the centre of the first bin.
	binWidth       = 0.25
	firstBinCentre = -1.0
	binCount       = 17
	// priorCount is the number of measurements that weigh as much as the prior in a bin.
	// At maxBinCount measurements, a bin's counts are halved so that old measurements fade.
	priorCount  = 20.0
	maxBinCount = 2000.0
	// priorMissStdDev is the standard deviation of measured headroom around the expected one, assumed by the prior.
	priorMissStdDev = 0.35
)

// priorProbabilities are the probabilities of a missed target that the prior assumes in each bin.
var priorProbabilities = func() (probabilities [binCount]float64) {
	for i := range probabilities {
		probabilities[i] = math.Erfc((firstBinCentre+float64(i)*binWidth-1)/(priorMissStdDev*math.Sqrt2)) / 2
	}
	return probabilities
}()

// observe records whether the target was missed at an expected headroom.
func (c *calibration) observe(expected float64, missed bool) {
	index := int(math.Round((expected - firstBinCentre) / binWidth))
	b := &c.bins[max(0, min(binCount-1, index))]
	if b.count >= maxBinCount {
		b.count, b.missed = b.count/2, b.missed/2
	}
	b.count++
	if missed {
		b.missed++
	}
}

// missProbability returns the probability of a missed target at an expected
// headroom, interpolated between the two nearest bins.
func (c *calibration) missProbability(expected float64) float64 {
	position := max(0, min(binCount-1, (expected-firstBinCentre)/binWidth))
	lower := min(binCount-2, int(position))
	fraction := position - float64(lower)
	return (1-fraction)*c.binProbability(lower) + fraction*c.binProbability(lower+1)
}

// binProbability returns the probability of a missed target in one bin.
func (c *calibration) binProbability(i int) float64 {
	b := &c.bins[i]
	return (b.missed + priorCount*priorProbabilities[i]) / (b.count + priorCount)
}
