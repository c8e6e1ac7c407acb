// Package lease decides how long an instance may go on using what it holds
// under a lease of the store, and when others may take that over.
//
// All times come from the monotonic clock of the instance that asks. Clocks
// run at rates that differ by at most one part in DriftDivisor; nothing is
// assumed about what they show.
//
// A holder uses what it holds until its lease can have lapsed in the store.
// Past that it goes on only while one of its peers promises, for a bounded
// time, to support no take-over. A take-over needs the support of all peers,
// or the platform's list that shows the holder gone.
//
// # Usage
//
//	h := &lease.Hold{}
//	h.Renewed(asked, 10*time.Second)
//	if h.Held(now, peers) {
//		// Use what the lease gives.
//	}
package lease

import "time"

// DriftDivisor bounds the drift of clocks: rates differ by at most one part in it.
const DriftDivisor = 100

// Shorter returns a time that has passed here only if d has not passed elsewhere.
func Shorter(d time.Duration) time.Duration { return d - d/DriftDivisor }

// Longer returns a time after which d has surely passed elsewhere.
func Longer(d time.Duration) time.Duration { return d + d/DriftDivisor + time.Nanosecond }
