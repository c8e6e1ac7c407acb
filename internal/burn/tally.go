package burn

import "slices"

// allCauses is Causes, for the positions in a tally.
var allCauses = Causes()

// tally counts causes, by their position in allCauses; it takes less memory than a map.
type tally [5]int64

func (t *tally) add(c Cause) { t.addN(c, 1) }

func (t *tally) addN(c Cause, n int64) {
	if i := slices.Index(allCauses, c); i >= 0 {
		t[i] += n
	}
}

// byCause returns the counts that are not zero.
func (t tally) byCause() map[Cause]int64 {
	counts := map[Cause]int64{}
	for i, n := range t {
		if n > 0 {
			counts[allCauses[i]] = n
		}
	}
	return counts
}
