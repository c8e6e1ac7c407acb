package placement

import (
	"time"
)

const (
	// budgetPeriod is the time over which evictions are bounded.
	budgetPeriod = time.Hour
	// burstPeriod is the time in which no more than burstPart of them, and at least one, is made.
	burstPeriod = 5 * time.Minute
	burstPart   = 1.0 / 4
)

// budget bounds the evictions made under one rule: in any hour no more than
// the rule says, and in any few minutes only a part of these.
type budget struct {
	perHour int
	// spent are the times of the last hour's evictions, oldest first.
	spent []time.Time
}

// allows reports whether one more eviction is within the budget.
func (b *budget) allows(now time.Time) bool {
	old := 0
	for old < len(b.spent) && now.Sub(b.spent[old]) >= budgetPeriod {
		old++
	}
	b.spent = b.spent[old:]
	if len(b.spent) >= b.perHour {
		return false
	}
	recent := 0
	for i := len(b.spent) - 1; i >= 0 && now.Sub(b.spent[i]) < burstPeriod; i-- {
		recent++
	}
	return recent < max(1, int(float64(b.perHour)*burstPart))
}

func (b *budget) spend(now time.Time) {
	b.spent = append(b.spent, now)
}
