package burn

import "slices"

// allCauses holds the causes in the order of Causes. The position of a cause in it is the position
// of its count in causeCounts.
var allCauses = Causes()

// causeCounts holds a count for each cause, in the order of allCauses. It takes less memory than a
// map.
type causeCounts [5]int64

func (t *causeCounts) add(c Cause) { t.addN(c, 1) }

func (t *causeCounts) addN(c Cause, n int64) {
	if i := slices.Index(allCauses, c); i >= 0 {
		t[i] += n
	}
}

// byCause returns the counts above zero by cause.
func (t causeCounts) byCause() map[Cause]int64 {
	counts := map[Cause]int64{}
	for i, n := range t {
		if n > 0 {
			counts[allCauses[i]] = n
		}
	}
	return counts
}
