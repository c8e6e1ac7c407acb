// Package lease decides how long an instance may go on using what it owns under a
// lease in the store, and when others may take that over.
//
// The owner of a lease is its holder. The holder uses what it owns until its lease
// may have expired in the store. After that it continues only while one of its
// peers promises, for a bounded time, not to support a takeover. A takeover
// needs the support of all peers, or an instance list of the platform that no
// longer contains the holder.
//
// Each instance measures time on its own monotonic clock. The rates of two clocks
// differ by at most one part in DriftDivisor; nothing is assumed about the times
// that they show.
//
// # Usage
//
//	v := &lease.Validity{}
//	v.RecordRenewal(requestedAt, 10*time.Second)
//	if v.Valid(now, peers) {
//		// Use what the lease protects.
//	}
package lease

import "time"

// DriftDivisor bounds clock drift: the rates of two clocks differ by at most one part in
// DriftDivisor.
const DriftDivisor = 100

// Shorter returns d reduced by the drift bound. Until it has passed on this clock, d is
// guaranteed not to have passed on any other.
func Shorter(d time.Duration) time.Duration { return d - d/DriftDivisor }

// Longer returns d extended by the drift bound. Once it has passed on this clock, d is
// guaranteed to have passed on every other.
func Longer(d time.Duration) time.Duration { return d + d/DriftDivisor + time.Nanosecond }
