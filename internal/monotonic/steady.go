// Package steady tells the time by which leases are judged: it never jumps,
// and unlike Go's monotonic time it goes on while the machine is suspended.
//
// # Usage
//
//	asked := steady.Now()
//	// ...
//	if steady.Now().Sub(asked) > ttl {
//		// The lease has lapsed, even if the machine was suspended meanwhile.
//	}
package monotonic

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine's start as a time.Time, which is only
// good for comparison with other results of Now on the same machine.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has had the clock since 2.6.39; the monotonic one stands in elsewhere.
		return epoch.Add(time.Since(started))
	}
	return epoch.Add(time.Duration(ts.Nano()))
}

// epoch keeps steady times far from the zero time.Time.
var (
	epoch   = time.Unix(1_000_000_000, 0)
	started = time.Now()
)
