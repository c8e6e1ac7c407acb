package placement

import (
	"time"
)

const (
	// budgetPeriod is the time over which evictions are bounded.
	budgetPeriod = time.Hour
	// burstPeriod is the time in which no more than burstPart of them, and at least one, is made.
	burstPeriod   = 5 * time.Minute
	burstFraction = 1.0 / 4
)

// budget bounds the evictions made under one rule: in any hour no more than
// the rule says, and in any few minutes only a part of these.
type budget struct {
	perHour int
	// evictions are the times of the last hour's evictions, oldest first.
	evictions []time.Time
}

// allows reports whether one more eviction is within the budget.
func (b *budget) allows(now time.Time) bool {
	old := 0
	for old < len(b.evictions) && now.Sub(b.evictions[old]) >= budgetPeriod {
		old++
	}
	b.evictions = b.evictions[old:]
	if len(b.evictions) >= b.perHour {
		return false
	}
	recent := 0
	for i := len(b.evictions) - 1; i >= 0 && now.Sub(b.evictions[i]) < burstPeriod; i-- {
		recent++
	}
	return recent < max(1, int(float64(b.perHour)*burstFraction))
}

func (b *budget) record(now time.Time) {
	b.evictions = append(b.evictions, now)
}
