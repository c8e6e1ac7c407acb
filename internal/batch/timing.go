package batch

import "time"

// Timing holds the times by which a Core decides.
type Timing struct {
	// Lease is how long runs go on at a worker that hears nothing more. It outlasts a take-over.
	Lease time.Duration
	// MaxLease is the longest time for which a worker lets runs go on, whatever it is granted.
	MaxLease time.Duration
	// RenewGrace is how long a holder that lost the store still renews leases at workers.
	RenewGrace time.Duration
	// Retention is how long a job is described after its end.
	Retention time.Duration
}

// clockRate bounds how slow a worker's clock may be: 2%, as the platform states.
const clockRate = 0.98

// lapseSlack is added to the time at which a lease has surely lapsed, for the
// stop that follows on the worker.
const lapseSlack = 300 * time.Millisecond

// DefaultTiming returns the times that nodes use where the platform states none.
func DefaultTiming() Timing {
	return Timing{
		Lease:      5 * time.Second,
		MaxLease:   10 * time.Second,
		RenewGrace: 12 * time.Second,
		Retention:  5 * time.Minute,
	}
}
