package link

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Greedy use over a minute stays within the rate and one burst.
func TestBucketHoldsItsRate(t *testing.T) {
	b := Bucket{Rate: BytesPerSecond(30_000_000)}
	const message, seconds = 10_000, 60
	now := time.Unix(1_000_000, 0)
	sent := 0
	for range seconds * 1000 {
		now = now.Add(time.Millisecond)
		for b.Fits(now, message) {
			b.Take(now, message)
			sent += message
		}
	}
	require.LessOrEqual(t, float64(sent), b.Rate*(seconds+burst.Seconds()))
	require.GreaterOrEqual(t, float64(sent), b.Rate*seconds*0.99)
}

// A message beyond the burst passes alone, and what follows waits for it.
func TestLargeMessagePassesAlone(t *testing.T) {
	b := Bucket{Rate: 1000}
	now := time.Unix(1_000_000, 0)
	require.True(t, b.Fits(now, 5000))
	b.Take(now, 5000)
	require.False(t, b.Fits(now.Add(4*time.Second), 1000))
	require.True(t, b.Fits(now.Add(5*time.Second), 1000))
}
