package scheduler

import "time"

// wallClockOffset returns what has to be added to the monotonic time to get the wall-clock time.
func (l *Leader) wallClockOffset() time.Duration { return time.Now().Round(0).Sub(l.Now()) }
