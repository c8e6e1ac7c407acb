package burn

import (
	"cmp"
	"slices"
)

// Merge returns the sum of snapshots.
func Merge(all []Snapshot) (Snapshot, error) {
	var merged Snapshot
	for _, s := range all {
		var err error
		if merged.series, err = addSeries(merged.series, s.series); err != nil {
			return Snapshot{}, err
		}
	}
	return merged, nil
}

// sumSlots returns the sum of two slots of the same time. The first may be empty;
// its histogram is modified and must not be used afterwards.
func sumSlots(a, b Slot) Slot {
	s := Slot{Index: b.Index, Bad: map[Cause]int64{}, Unanswered: a.Unanswered + b.Unanswered}
	s.Latency = addHistograms(a.Latency, b.Latency)
	for _, bad := range []map[Cause]int64{a.Bad, b.Bad} {
		for cause, n := range bad {
			s.Bad[cause] += n
		}
	}
	return s
}

// sortedSlots returns the slots of a map, oldest first.
func sortedSlots(slots map[int64]Slot) []Slot {
	all := make([]Slot, 0, len(slots))
	for _, s := range slots {
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b Slot) int { return cmp.Compare(a.Index, b.Index) })
	return all
}
