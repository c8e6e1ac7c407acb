package burn

import (
	"cmp"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// encodedSeries is a Series whose slots hold encoded latency histograms. Counts are kept in this form
// in memory, and converted from it for the store.
type encodedSeries struct {
	Key
	slots []encodedSlot
}

// filterSlots returns all series, each with only the slots for which keep returns
// true. Series without such slots are left out.
func filterSlots(all []encodedSeries, keep func(index int64) bool) []encodedSeries {
	var kept []encodedSeries
	for _, e := range all {
		var slots []encodedSlot
		for _, s := range e.slots {
			if keep(s.index) {
				slots = append(slots, s)
			}
		}
		if len(slots) > 0 {
			kept = append(kept, encodedSeries{Key: e.Key, slots: slots})
		}
	}
	return kept
}

// slotIndexes returns the distinct slot indexes of all series, oldest first.
func slotIndexes(all []encodedSeries) []int64 {
	var found []int64
	for _, e := range all {
		for _, s := range e.slots {
			found = append(found, s.index)
		}
	}
	slices.Sort(found)
	return slices.Compact(found)
}

// seriesSlot identifies a slot of a series.
type seriesSlot struct {
	Key
	index int64
}

// combine merges each slot of a with the slot of the same series and index in b,
// if there is one, and drops slots that are empty afterwards. Slots that only b
// has are included unchanged if keepUnmatched is set, and dropped otherwise.
func combine(a, b []encodedSeries, keepUnmatched bool, merge func(x, y encodedSlot) (encodedSlot, error)) ([]encodedSeries, error) {
	unmatched := map[seriesSlot]encodedSlot{}
	for _, e := range b {
		for _, s := range e.slots {
			unmatched[seriesSlot{e.Key, s.index}] = s
		}
	}
	result := map[Key][]encodedSlot{}
	for _, e := range a {
		for _, s := range e.slots {
			k := seriesSlot{e.Key, s.index}
			if other, ok := unmatched[k]; ok {
				delete(unmatched, k)
				var err error
				if s, err = merge(s, other); err != nil {
					return nil, err
				}
			}
			if !s.empty() {
				result[e.Key] = append(result[e.Key], s)
			}
		}
	}
	for k, s := range unmatched {
		if keepUnmatched {
			result[k.Key] = append(result[k.Key], s)
		}
	}
	return sortedSeries(result), nil
}

// sortedSeries returns series sorted by key, each with its slots sorted oldest first.
func sortedSeries(all map[Key][]encodedSlot) []encodedSeries {
	series := make([]encodedSeries, 0, len(all))
	for k, slots := range all {
		slices.SortFunc(slots, func(a, b encodedSlot) int { return cmp.Compare(a.index, b.index) })
		series = append(series, encodedSeries{Key: k, slots: slots})
	}
	slices.SortFunc(series, func(a, b encodedSeries) int { return compareKeys(a.Key, b.Key) })
	return series
}

// addSeries returns the sum of a and b.
func addSeries(a, b []encodedSeries) ([]encodedSeries, error) {
	return combine(a, b, true, encodedSlot.plus)
}

// subtractSeries returns a minus b. All counts of b must be included in a.
func subtractSeries(a, b []encodedSeries) ([]encodedSeries, error) {
	return combine(a, b, false, encodedSlot.minus)
}

func (s encodedSlot) empty() bool {
	return len(s.latency) == 0 && s.unanswered == 0 && s.bad == causeCounts{}
}

func (s encodedSlot) plus(o encodedSlot) (encodedSlot, error) {
	x, y, err := decodeBoth(s, o)
	if err != nil {
		return s, err
	}
	s.latency = encodeLatency(addHistograms(x, y))
	s.unanswered += o.unanswered
	for i, n := range o.bad {
		s.bad[i] += n
	}
	return s, nil
}

func (s encodedSlot) minus(o encodedSlot) (encodedSlot, error) {
	x, y, err := decodeBoth(s, o)
	if err != nil {
		return s, err
	}
	s.latency = encodeLatency(subtractHistograms(x, y))
	s.unanswered -= o.unanswered
	for i, n := range o.bad {
		s.bad[i] -= n
	}
	return s, nil
}

func decodeBoth(s, o encodedSlot) (x, y *hdrhistogram.Histogram, err error) {
	if x, err = DecodeLatency(s.latency); err != nil {
		return nil, nil, err
	}
	y, err = DecodeLatency(o.latency)
	return x, y, err
}

// subtractHistograms returns a minus b. All counts of b must be included in a.
func subtractHistograms(a, b *hdrhistogram.Histogram) *hdrhistogram.Histogram {
	if a == nil || b == nil {
		return a
	}
	difference, subtracted := a.Export(), b.Export()
	for i := range min(len(difference.Counts), len(subtracted.Counts)) {
		difference.Counts[i] -= subtracted.Counts[i]
	}
	return hdrhistogram.Import(difference)
}

// decodeHistograms returns the series with the latency histograms of their slots decoded.
func decodeHistograms(all []encodedSeries) ([]Series, error) {
	var series []Series
	for _, e := range all {
		s := Series{Key: e.Key}
		for _, slot := range e.slots {
			latency, err := DecodeLatency(slot.latency)
			if err != nil {
				return nil, err
			}
			s.Slots = append(s.Slots, Slot{Index: slot.index, Latency: latency, Bad: slot.bad.byCause(), Unanswered: slot.unanswered})
		}
		series = append(series, s)
	}
	return series, nil
}
