package burn

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"google.golang.org/protobuf/proto"

	"github.com/oriolepond/oriolepond/internal/peer/operatepb"
)

// encodeLatency returns a histogram without its empty buckets; nil if it is empty.
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

// EncodeLatency returns the histogram of a slot without its empty buckets.
func EncodeLatency(s Slot) []byte { return encodeLatency(s.Latency) }

// buckets is how many buckets a histogram has.
var buckets = len(newLatency().Export().Counts)

func newLatency() *hdrhistogram.Histogram { return hdrhistogram.New(1, highestUnits, latencyDigits) }

// FormatError says that an encoded histogram does not fit the ones that are counted here.
type FormatError struct {
	Steps, Counts int
}

// Error returns the numbers of steps and counts.
func (e *FormatError) Error() string {
	return fmt.Sprintf("latency histogram of %d steps and %d counts does not fit", e.Steps, e.Counts)
}

// DecodeLatency is the inverse of EncodeLatency.
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
	counts := make([]int64, buckets)
	at := 0
	for i, step := range w.Steps {
		at += int(step)
		if at >= buckets || w.Counts[i] < 0 {
			return nil, &FormatError{Steps: len(w.Steps), Counts: len(w.Counts)}
		}
		counts[at] = w.Counts[i]
	}
	return hdrhistogram.Import(&hdrhistogram.Snapshot{
		LowestTrackableValue: 1, HighestTrackableValue: highestUnits, SignificantFigures: latencyDigits, Counts: counts,
	}), nil
}

// within returns how many answers came within a bound, to the precision of the histogram.
func within(h *hdrhistogram.Histogram, bound time.Duration) int64 {
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

func total(h *hdrhistogram.Histogram) int64 {
	if h == nil {
		return 0
	}
	return h.TotalCount()
}

// add returns the sum of two histograms; it may change the first.
func add(a, b *hdrhistogram.Histogram) *hdrhistogram.Histogram {
	if b == nil {
		return a
	}
	if a == nil {
		a = newLatency()
	}
	a.Merge(b)
	return a
}
