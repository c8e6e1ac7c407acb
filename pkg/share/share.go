// Package share defines the neighbours that use a pool of workers, the shares of
// its capacity that belong to them, and the rules by which the tasks of one
// share yield to the services of another.
//
// Values are not modified once they are in use: a With method returns a changed
// copy.
//
// # Usage
//
//	s := share.Share{Name: "reviews", Neighbour: "quality", Weight: 1}
//	s = s.WithQuota(share.Resources{Processors: 64_000, Memory: 128 << 30})
//	if size.Fits(s.Quota) {
//		// The task is within the quota of its share.
//	}
package share

import "time"

// Neighbour is a team that uses the pool.
type Neighbour struct {
	Name string
	// TokenHash is the lower-case hexadecimal SHA-256 of the caller's token.
	TokenHash string
	// Region is the region that stores the idempotency keys of the neighbour's non-idempotent requests.
	Region string
}

// Share is a share of the pool's capacity that belongs to one neighbour.
type Share struct {
	Name      string
	Neighbour string
	// Quota bounds the resources that the share's tasks use at once, over the whole pool.
	Quota Resources
	// Weight is the share's weight relative to other shares when queued tasks are placed; at least 1.
	Weight int
}

// WithQuota returns a copy of s with the given quota.
func (s Share) WithQuota(q Resources) Share {
	s.Quota = q
	return s
}

// WithWeight returns a copy of s with the given weight.
func (s Share) WithWeight(w int) Share {
	s.Weight = w
	return s
}

// YieldAction is the way in which a task yields.
type YieldAction string

// The actions of a yield rule, mildest first.
const (
	YieldThrottle   YieldAction = "throttle"
	YieldCheckpoint YieldAction = "checkpoint"
	YieldEvict      YieldAction = "evict"
)

// YieldRule defines how far the tasks of one share yield to the services of another.
type YieldRule struct {
	Name string
	// Yields is the share whose tasks yield.
	Yields string
	// To is the share that they yield to.
	To string
	// Limit is the strongest action that the rule permits.
	Limit YieldAction
	// MinRunTime is how long a task must run before it may be evicted.
	MinRunTime time.Duration
	// EvictionsPerHour bounds the evictions made under the rule over the whole pool.
	EvictionsPerHour int
	// TailWeight weighs tail latency against evictions, from 0 (evictions only) to 1 (tail latency only).
	TailWeight float64
}
