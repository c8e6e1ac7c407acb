// Package share holds the neighbours of a pool, the shares of its capacity
// that they draw on, and the rules by which shares yield to one another.
//
// All values are immutable: a With method returns a changed copy.
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
	// Region is where keys of the neighbour's non-idempotent requests are remembered.
	Region string
}

// Share is a part of the pool's capacity that belongs to one neighbour.
type Share struct {
	Name      string
	Neighbour string
	// Quota is the most that the share's tasks may hold at once, over the whole pool.
	Quota Resources
	// Weight is the share's part of queued capacity relative to other shares; at least 1.
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

// YieldAction is what is done to a task that yields.
type YieldAction string

// The actions of a yield rule, mildest first.
const (
	YieldThrottle   YieldAction = "throttle"
	YieldCheckpoint YieldAction = "checkpoint"
	YieldEvict      YieldAction = "evict"
)

// YieldRule says how far tasks of one share give way to the tasks of another.
type YieldRule struct {
	Name string
	// Yields is the share whose tasks give way.
	Yields string
	// To is the share that they give way to.
	To string
	// Limit is the strongest action that the rule permits.
	Limit YieldAction
	// MinRunTime is how long a task runs before it may be evicted.
	MinRunTime time.Duration
	// EvictionsPerHour bounds the evictions made under the rule over the whole pool.
	EvictionsPerHour int
	// TailWeight weighs tail latency against evictions, from 0 (evictions only) to 1 (tail latency only).
	TailWeight float64
}
