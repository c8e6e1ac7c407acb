package scheduler

import "time"

// wallClockOffset returns the difference between the wall clock and the monotonic time.
func (l *Leader) wallClockOffset() time.Duration { return time.Now().Round(0).Sub(l.Now()) }
