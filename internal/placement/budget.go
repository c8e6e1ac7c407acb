package placement

import (
	"time"
)

const (
	// budgetPeriod is the period to which a rule's limit of evictions applies.
	budgetPeriod = time.Hour
	// burstPeriod is a shorter period to which burstFraction of that limit applies, at least one eviction.
	burstPeriod   = 5 * time.Minute
	burstFraction = 1.0 / 4
)

// budget limits the evictions under one yield rule: in any hour to the limit that
// the rule sets, and in any burstPeriod to a fraction of that limit.
type budget struct {
	perHour int
	// evictions holds the times of the last hour's evictions, oldest first.
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

// record adds an eviction.
func (b *budget) record(now time.Time) {
	b.evictions = append(b.evictions, now)
}
