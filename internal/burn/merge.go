package burn

import (
	"cmp"
	"slices"
)

// Merge returns the sum of what all instances counted.
func Merge(all []Snapshot) (Snapshot, error) {
	var merged Snapshot
	for _, s := range all {
		var err error
		if merged.series, err = plus(merged.series, s.series); err != nil {
			return Snapshot{}, err
		}
	}
	return merged, nil
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
