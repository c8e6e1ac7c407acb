package precedence

import (
	"math"
	"time"

	"github.com/oriolepond/oriolepond/pkg/share"
)

// demandMemory is the time in which a past peak of a Demand falls to 1/e.
const demandMemory = 20 * time.Second

// Demand follows the processors that work which ends by itself needs: the highest need of late, which
// fades with time. The zero value has seen none.
type Demand struct {
	peak float64
	at   time.Time
}

// WithObservation returns the demand after an observation of the processors that are in use or waited
// for.
func (d Demand) WithObservation(need share.MilliCores, now time.Time) Demand {
	return Demand{peak: max(float64(need), d.peakAt(now)), at: now}
}

// Peak returns the highest need of late.
func (d Demand) Peak(now time.Time) share.MilliCores { return share.MilliCores(d.peakAt(now)) }

// LeavesRoom reports whether the demand can still be met after long-running work takes a number of
// processors. Of the demand, inUse is met at present; free is what it can use besides.
func (d Demand) LeavesRoom(inUse, free, taken share.MilliCores, now time.Time) bool {
	peak := d.peakAt(now)
	return peak < 1 || float64(inUse+free-taken) >= peak
}

func (d Demand) peakAt(now time.Time) float64 {
	return d.peak * math.Exp(-max(0, now.Sub(d.at).Seconds())/demandMemory.Seconds())
}
