// Package link limits the traffic between regions with a token bucket for each direction. It does
// no I/O and reads no clock, and is safe for concurrent use.
//
// # Usage
//
//	l := link.New(link.BytesPerSecond(30_000_000) / instances)
//	if l.Out.Fits(now, size) {
//		l.Out.Take(now, size)
//	}
package link

import (
	"sync"
	"time"
)

const bitsPerByte = 8

// BytesPerSecond converts a rate from bits per second.
func BytesPerSecond(bitsPerSecond int64) float64 { return float64(bitsPerSecond) / bitsPerByte }

// Link limits this instance's share of the traffic between regions, separately for each direction.
type Link struct {
	Out *Bucket
	In  *Bucket
}

// New returns a link that carries the given rate, in bytes per second, in each direction.
func New(rate float64) *Link {
	return &Link{Out: &Bucket{Rate: rate}, In: &Bucket{Rate: rate}}
}

// burstDuration is the time at the full rate whose traffic may be sent at once.
const burstDuration = 200 * time.Millisecond

// Bucket is a token bucket that limits the bytes in one direction.
type Bucket struct {
	// Rate is in bytes per second.
	Rate float64

	mu        sync.Mutex
	backlog   float64 // Bytes counted by Take, less those that Rate has allowed since.
	updatedAt time.Time
}

// Fits reports whether a message of the given size may be sent now. A message larger than the
// burst may be sent when the backlog is empty.
func (b *Bucket) Fits(now time.Time, bytes int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.drain(now)
	return b.backlog == 0 || b.backlog+float64(bytes) <= b.Rate*burstDuration.Seconds()
}

// Take counts the bytes of a message, even if they exceed what fits; later messages then wait
// longer.
func (b *Bucket) Take(now time.Time, bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.drain(now)
	b.backlog += float64(bytes)
}

// drain reduces the backlog by what the rate has allowed since the last call.
func (b *Bucket) drain(now time.Time) {
	if elapsed := now.Sub(b.updatedAt); elapsed > 0 {
		b.backlog = max(0, b.backlog-elapsed.Seconds()*b.Rate)
		b.updatedAt = now
	}
}
