package burn

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// encodeLatency returns a histogram in the compressed HDR format; nil if it is empty.
func encodeLatency(h *hdrhistogram.Histogram) []byte {
	if h == nil || h.TotalCount() == 0 {
		return nil
	}
	text, err := h.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	if err != nil {
		return nil
	}
	return text
}

// EncodeLatency returns the histogram of a slot in the compressed HDR format.
func EncodeLatency(s Slot) []byte { return encodeLatency(s.Latency) }

// DecodeLatency is the inverse of EncodeLatency.
func DecodeLatency(text []byte) (*hdrhistogram.Histogram, error) {
	if len(text) == 0 {
		return nil, nil
	}
	h, err := hdrhistogram.Decode(text)
	if err != nil {
		return nil, fmt.Errorf("decode latency histogram: %w", err)
	}
	return h, nil
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
		a = hdrhistogram.New(1, highestUnits, latencyDigits)
	}
	a.Merge(b)
	return a
}
