package precedence

import (
	"math"
	"time"

	"github.com/oriolepond/oriolepond/pkg/share"
)

// demandMemory is the time in which a past peak of a Demand falls to 1/e, and for which a shortage is
// remembered.
const demandMemory = 20 * time.Second

// Demand follows the processors that work which ends by itself needs: the highest need of late, which
// fades with time, and whether it was met. The zero value has seen none.
type Demand struct {
	peak    float64
	at      time.Time
	unmetAt time.Time
}

// WithObservation returns the demand after an observation of the processors that are in use or waited
// for.
func (d Demand) WithObservation(need share.MilliCores, now time.Time) Demand {
	d.peak, d.at = max(float64(need), d.peakAt(now)), now
	return d
}

// WithShortage returns the demand after work has found too few processors.
func (d Demand) WithShortage(now time.Time) Demand {
	d.unmetAt = now
	return d
}

// LeavesRoom reports whether the demand can still be met after long-running work takes a number of
// processors. Of the demand, inUse is met at present; free is what it can use besides. Without a
// shortage of late, whatever is free may be taken.
func (d Demand) LeavesRoom(inUse, free, taken share.MilliCores, now time.Time) bool {
	return d.unmetAt.IsZero() || now.Sub(d.unmetAt) >= demandMemory || float64(inUse+free-taken) >= d.peakAt(now)
}

func (d Demand) peakAt(now time.Time) float64 {
	return d.peak * math.Exp(-max(0, now.Sub(d.at).Seconds())/demandMemory.Seconds())
}
