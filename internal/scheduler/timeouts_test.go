package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestAnswerTimeoutFollowsLinkLatency(t *testing.T) {
	var timeouts answerTimeouts
	for range 50 {
		timeouts.observe("near", 2*time.Millisecond)
	}
	require.Equal(t, minAnswerTimeout, timeouts.timeout("near"))
	// A single unresponsive worker raises the mean latency of its data centre only little.
	timeouts.observe("near", minAnswerTimeout)
	require.Less(t, timeouts.timeout("near"), 650*time.Millisecond)
	// A congested link slows all answers of its data centre, but of no other.
	for range 50 {
		timeouts.observe("far", 700*time.Millisecond)
	}
	require.Equal(t, maxAnswerTimeout, timeouts.timeout("far"))
	require.Less(t, timeouts.timeout("near"), 650*time.Millisecond)
	for range 100 {
		timeouts.observe("far", 25*time.Millisecond)
	}
	require.Less(t, timeouts.timeout("far"), 650*time.Millisecond)
}
