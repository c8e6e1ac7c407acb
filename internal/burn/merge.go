package burn

import (
	"cmp"
	"slices"
)

// Merge returns the sum of what all instances counted, by service and neighbour.
func Merge(all []Snapshot) []Series {
	merged := map[Key]map[int64]Slot{}
	for _, snapshot := range all {
		for _, s := range snapshot.Series {
			if merged[s.Key] == nil {
				merged[s.Key] = map[int64]Slot{}
			}
			for _, slot := range s.Slots {
				merged[s.Key][slot.Index] = sum(merged[s.Key][slot.Index], slot)
			}
		}
	}
	var series []Series
	for key, slots := range merged {
		series = append(series, Series{Key: key, Slots: ordered(slots)})
	}
	slices.SortFunc(series, func(a, b Series) int { return compareKeys(a.Key, b.Key) })
	return series
}

// sum returns the sum of two slots; the first may be empty, and its histogram is used up.
func sum(a, b Slot) Slot {
	s := Slot{Index: b.Index, Bad: map[Cause]int64{}, Unanswered: a.Unanswered + b.Unanswered}
	s.Latency = add(a.Latency, b.Latency)
	for _, bad := range []map[Cause]int64{a.Bad, b.Bad} {
		for cause, n := range bad {
			s.Bad[cause] += n
		}
	}
	return s
}

func ordered(slots map[int64]Slot) []Slot {
	all := make([]Slot, 0, len(slots))
	for _, s := range slots {
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b Slot) int { return cmp.Compare(a.Index, b.Index) })
	return all
}

// byService returns the series of whole services, with the neighbour "".
func byService(all []Series) []Series {
	var snapshot Snapshot
	for _, s := range all {
		snapshot.Series = append(snapshot.Series, Series{Key: Key{Service: s.Service}, Slots: s.Slots})
	}
	return Merge([]Snapshot{snapshot})
}
