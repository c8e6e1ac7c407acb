package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestPatienceFollowsTheLink(t *testing.T) {
	var p patience
	for range 50 {
		p.observe("near", 2*time.Millisecond)
	}
	require.Equal(t, leastPatience, p.of("near"))
	// One silent worker among others does not change it.
	p.observe("near", leastPatience)
	require.Less(t, p.of("near"), 650*time.Millisecond)
	// A choked link slows all answers of a data centre, and of that one only.
	for range 50 {
		p.observe("far", 700*time.Millisecond)
	}
	require.Equal(t, mostPatience, p.of("far"))
	require.Less(t, p.of("near"), 650*time.Millisecond)
	for range 100 {
		p.observe("far", 25*time.Millisecond)
	}
	require.Less(t, p.of("far"), 650*time.Millisecond)
}
