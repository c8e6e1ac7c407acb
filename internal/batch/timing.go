package batch

import "time"

// Timing holds the durations that a Core works with.
type Timing struct {
	// Lease is how long runs continue on a worker that is no longer polled. It is longer than a
	// leader change takes, so that runs outlast one.
	Lease time.Duration
	// MaxLease is the longest time for which a worker that is no longer polled continues runs,
	// whatever lease deadline it was granted.
	MaxLease time.Duration
	// RenewGrace is how long a leader that lost the store continues to renew leases.
	RenewGrace time.Duration
	// Retention is how long a job can be queried after its end.
	Retention time.Duration
}

// minClockRate is the lowest rate of a worker's clock: the platform allows it to be 2% slow.
const minClockRate = 0.98

// expirySlack is added to the time at which a lease expires, for the worker to stop the run.
const expirySlack = 300 * time.Millisecond

// DefaultTiming returns the durations for which the platform's configuration gives no other value.
func DefaultTiming() Timing {
	return Timing{
		Lease:      5 * time.Second,
		MaxLease:   10 * time.Second,
		RenewGrace: 12 * time.Second,
		Retention:  5 * time.Minute,
	}
}
