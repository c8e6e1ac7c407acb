package burn

import (
	"cmp"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// packed is a series whose slots are encoded, as memory and the store keep it.
type packed struct {
	Key
	slots []closedSlot
}

// slotsOf returns the slots of all series for which keep holds.
func slotsOf(all []packed, keep func(index int64) bool) []packed {
	var kept []packed
	for _, p := range all {
		var slots []closedSlot
		for _, s := range p.slots {
			if keep(s.index) {
				slots = append(slots, s)
			}
		}
		if len(slots) > 0 {
			kept = append(kept, packed{Key: p.Key, slots: slots})
		}
	}
	return kept
}

// indexes returns the numbers of the slots that any series has, oldest first.
func indexes(all []packed) []int64 {
	var found []int64
	for _, p := range all {
		for _, s := range p.slots {
			found = append(found, s.index)
		}
	}
	slices.Sort(found)
	return slices.Compact(found)
}

// slotKey names a slot of a series.
type slotKey struct {
	Key
	index int64
}

// combine returns what op makes of each slot of a and its match in b. With
// union, slots that only b has are taken as they are.
func combine(a, b []packed, union bool, op func(x, y closedSlot) (closedSlot, error)) ([]packed, error) {
	others := map[slotKey]closedSlot{}
	for _, p := range b {
		for _, s := range p.slots {
			others[slotKey{p.Key, s.index}] = s
		}
	}
	result := map[Key][]closedSlot{}
	for _, p := range a {
		for _, s := range p.slots {
			k := slotKey{p.Key, s.index}
			if other, ok := others[k]; ok {
				delete(others, k)
				var err error
				if s, err = op(s, other); err != nil {
					return nil, err
				}
			}
			if !s.empty() {
				result[p.Key] = append(result[p.Key], s)
			}
		}
	}
	for k, s := range others {
		if union {
			result[k.Key] = append(result[k.Key], s)
		}
	}
	return sorted(result), nil
}

// sorted returns the series in order, each with its oldest slot first.
func sorted(all map[Key][]closedSlot) []packed {
	series := make([]packed, 0, len(all))
	for k, slots := range all {
		slices.SortFunc(slots, func(a, b closedSlot) int { return cmp.Compare(a.index, b.index) })
		series = append(series, packed{Key: k, slots: slots})
	}
	slices.SortFunc(series, func(a, b packed) int { return compareKeys(a.Key, b.Key) })
	return series
}

// plus returns the sum of two counts.
func plus(a, b []packed) ([]packed, error) { return combine(a, b, true, closedSlot.plus) }

// minus returns a less b, of which a has everything.
func minus(a, b []packed) ([]packed, error) { return combine(a, b, false, closedSlot.minus) }

func (s closedSlot) empty() bool {
	return len(s.latency) == 0 && s.unanswered == 0 && s.bad == tally{}
}

func (s closedSlot) plus(o closedSlot) (closedSlot, error) {
	x, y, err := decodeBoth(s, o)
	if err != nil {
		return s, err
	}
	s.latency = encodeLatency(add(x, y))
	s.unanswered += o.unanswered
	for i, n := range o.bad {
		s.bad[i] += n
	}
	return s, nil
}

func (s closedSlot) minus(o closedSlot) (closedSlot, error) {
	x, y, err := decodeBoth(s, o)
	if err != nil {
		return s, err
	}
	s.latency = encodeLatency(subtract(x, y))
	s.unanswered -= o.unanswered
	for i, n := range o.bad {
		s.bad[i] -= n
	}
	return s, nil
}

func decodeBoth(s, o closedSlot) (x, y *hdrhistogram.Histogram, err error) {
	if x, err = DecodeLatency(s.latency); err != nil {
		return nil, nil, err
	}
	y, err = DecodeLatency(o.latency)
	return x, y, err
}

// subtract returns a less b, of which a has everything.
func subtract(a, b *hdrhistogram.Histogram) *hdrhistogram.Histogram {
	if a == nil || b == nil {
		return a
	}
	rest, taken := a.Export(), b.Export()
	for i := range min(len(rest.Counts), len(taken.Counts)) {
		rest.Counts[i] -= taken.Counts[i]
	}
	return hdrhistogram.Import(rest)
}

// unpack returns series with decoded slots.
func unpack(all []packed) ([]Series, error) {
	var series []Series
	for _, p := range all {
		s := Series{Key: p.Key}
		for _, c := range p.slots {
			latency, err := DecodeLatency(c.latency)
			if err != nil {
				return nil, err
			}
			s.Slots = append(s.Slots, Slot{Index: c.index, Latency: latency, Bad: c.bad.byCause(), Unanswered: c.unanswered})
		}
		series = append(series, s)
	}
	return series, nil
}
