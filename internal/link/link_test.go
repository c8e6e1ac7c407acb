package link

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A sender that always sends as much as fits stays within the rate plus one burst over a minute.
func TestGreedySenderStaysWithinRate(t *testing.T) {
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
	require.LessOrEqual(t, float64(sent), b.Rate*(seconds+burstDuration.Seconds()))
	require.GreaterOrEqual(t, float64(sent), b.Rate*seconds*0.99)
}

// A message larger than the burst is let through, and the next one waits until the rate has made
// up for it.
func TestMessageBeyondBurstDelaysTheNext(t *testing.T) {
	b := Bucket{Rate: 1000}
	now := time.Unix(1_000_000, 0)
	require.True(t, b.Fits(now, 5000))
	b.Take(now, 5000)
	require.False(t, b.Fits(now.Add(4*time.Second), 1000))
	require.True(t, b.Fits(now.Add(5*time.Second), 1000))
}
