package placement

import "time"

// budgetBurst is the part of an hour's budget that may be spent at once.
const budgetBurst = 1.0 / 12

// budget bounds the evictions made under one rule.
type budget struct {
	perHour float64
	tokens  float64
	at      time.Time
}

func (b *budget) setRate(perHour int) {
	fresh := b.perHour == 0
	b.perHour = float64(perHour)
	if fresh {
		b.tokens = b.burst()
	}
	b.tokens = min(b.tokens, b.burst())
}

// burst returns the most that may be spent at once.
func (b *budget) burst() float64 {
	if b.perHour == 0 {
		return 0
	}
	return max(1, b.perHour*budgetBurst)
}

// allows reports whether one more eviction is within the budget.
func (b *budget) allows(now time.Time) bool {
	if elapsed := now.Sub(b.at); elapsed > 0 {
		if !b.at.IsZero() {
			b.tokens = min(b.burst(), b.tokens+b.perHour*elapsed.Hours())
		}
		b.at = now
	}
	return b.tokens >= 1
}

func (b *budget) spend() { b.tokens-- }
