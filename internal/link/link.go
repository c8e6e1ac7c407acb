// Package link bounds and accounts the traffic over the link between regions.
// It is free of I/O and clocks, and safe for concurrent use.
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

// BytesPerSecond converts a rate of the link.
func BytesPerSecond(bitsPerSecond int64) float64 { return float64(bitsPerSecond) / bitsPerByte }

// Link is this instance's part of the link, by direction.
type Link struct {
	Out *Bucket
	In  *Bucket
}

// New returns a link whose directions each carry a rate in bytes a second.
func New(rate float64) *Link {
	return &Link{Out: &Bucket{Rate: rate}, In: &Bucket{Rate: rate}}
}

// burst is the time whose traffic may pass at once.
const burst = 200 * time.Millisecond

// Bucket is a token bucket of bytes for one direction.
type Bucket struct {
	// Rate is in bytes a second.
	Rate float64

	mu   sync.Mutex
	debt float64 // Bytes taken beyond what the rate has paid for.
	at   time.Time
}

// Fits reports whether a message of some bytes may begin now. A message that
// exceeds the burst may begin when nothing is owed.
func (b *Bucket) Fits(now time.Time, bytes int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pay(now)
	return b.debt == 0 || b.debt+float64(bytes) <= b.Rate*burst.Seconds()
}

// Take counts the bytes of a message, also beyond what fits: what comes after has to wait.
func (b *Bucket) Take(now time.Time, bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pay(now)
	b.debt += float64(bytes)
}

func (b *Bucket) pay(now time.Time) {
	if passed := now.Sub(b.at); passed > 0 {
		b.debt = max(0, b.debt-passed.Seconds()*b.Rate)
		b.at = now
	}
}
