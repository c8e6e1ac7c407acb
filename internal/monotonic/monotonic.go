// Package monotonic provides the clock for leases and timeouts. It never jumps,
// and unlike Go's monotonic clock it also advances while the machine is suspended.
//
// # Usage
//
//	sent := monotonic.Now()
//	// ...
//	if monotonic.Now().Sub(sent) > ttl {
//		// The lease has expired, even if the machine was suspended meanwhile.
//	}
package monotonic

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since boot as a time.Time. It is only comparable with
// other results of Now on the same machine.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has CLOCK_BOOTTIME since 2.6.39; elsewhere Go's monotonic clock is the fallback.
		return epoch.Add(time.Since(started))
	}
	return epoch.Add(time.Duration(ts.Nano()))
}

// epoch is added to the time since boot so that Now never returns a time near
// the zero time.Time; started is the start of the fallback clock.
var (
	epoch   = time.Unix(1_000_000_000, 0)
	started = time.Now()
)
