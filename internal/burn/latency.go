package burn

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"google.golang.org/protobuf/proto"

	"github.com/oriolepond/oriolepond/internal/peer/operatepb"
)

// encodeLatency encodes a histogram without its empty buckets. It returns nil for
// an empty or nil histogram.
func encodeLatency(h *hdrhistogram.Histogram) []byte {
	if h == nil || h.TotalCount() == 0 {
		return nil
	}
	w := &operatepb.BurnLatency{}
	last := 0
	for i, n := range h.Export().Counts {
		if n != 0 {
			w.Steps = append(w.Steps, uint32(i-last))
			w.Counts = append(w.Counts, n)
			last = i
		}
	}
	text, err := proto.Marshal(w)
	if err != nil {
		return nil
	}
	return text
}

// EncodeLatency encodes the latency histogram of a slot without its empty buckets.
func EncodeLatency(s Slot) []byte { return encodeLatency(s.Latency) }

// bucketCount is the number of buckets of a latency histogram.
var bucketCount = len(newLatency().Export().Counts)

func newLatency() *hdrhistogram.Histogram { return hdrhistogram.New(1, highestUnits, latencyDigits) }

// FormatError is returned for an encoded histogram whose buckets do not match the
// histograms of this package.
type FormatError struct {
	// Steps and Counts are the lengths of the two encoded lists, which should be equal.
	Steps, Counts int
}

// Error gives the number of steps and counts.
func (e *FormatError) Error() string {
	return fmt.Sprintf("latency histogram of %d steps and %d counts does not fit", e.Steps, e.Counts)
}

// DecodeLatency decodes the result of EncodeLatency. It returns a nil histogram
// for an empty text.
func DecodeLatency(text []byte) (*hdrhistogram.Histogram, error) {
	if len(text) == 0 {
		return nil, nil
	}
	var w operatepb.BurnLatency
	if err := proto.Unmarshal(text, &w); err != nil {
		return nil, fmt.Errorf("decode latency histogram: %w", err)
	}
	if len(w.Steps) != len(w.Counts) {
		return nil, &FormatError{Steps: len(w.Steps), Counts: len(w.Counts)}
	}
	counts := make([]int64, bucketCount)
	at := 0
	for i, step := range w.Steps {
		at += int(step)
		if at >= bucketCount || w.Counts[i] < 0 {
			return nil, &FormatError{Steps: len(w.Steps), Counts: len(w.Counts)}
		}
		counts[at] = w.Counts[i]
	}
	return hdrhistogram.Import(&hdrhistogram.Snapshot{
		LowestTrackableValue: 1, HighestTrackableValue: highestUnits, SignificantFigures: latencyDigits, Counts: counts,
	}), nil
}

// countWithin returns the number of latencies up to a bound, to the precision of
// the histogram.
func countWithin(h *hdrhistogram.Histogram, bound time.Duration) int64 {
	if h == nil {
		return 0
	}
	units := int64(bound / latencyUnit)
	var n int64
	for _, bar := range h.Distribution() {
		if bar.From <= units {
			n += bar.Count
		}
	}
	return n
}

// countAll returns the number of latencies in a histogram, which may be nil.
func countAll(h *hdrhistogram.Histogram) int64 {
	if h == nil {
		return 0
	}
	return h.TotalCount()
}

// addHistograms returns the sum of two histograms, either of which may be nil. It
// may modify the first.
func addHistograms(a, b *hdrhistogram.Histogram) *hdrhistogram.Histogram {
	if b == nil {
		return a
	}
	if a == nil {
		a = newLatency()
	}
	a.Merge(b)
	return a
}
