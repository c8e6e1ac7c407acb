package scheduler

import "time"

// wallOffset is what is added to the steady time for the time of day.
func (h *Holder) wallOffset() time.Duration { return time.Now().Round(0).Sub(h.Now()) }
