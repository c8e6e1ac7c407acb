package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestAnswerTimeoutFollowsLinkLatency(t *testing.T) {
	var p answerTimeouts
	for range 50 {
		p.observe("near", 2*time.Millisecond)
	}
	require.Equal(t, minAnswerTimeout, p.timeout("near"))
	// A single unresponsive worker among others changes little.
	p.observe("near", minAnswerTimeout)
	require.Less(t, p.timeout("near"), 650*time.Millisecond)
	// A congested link slows all answers of its data centre, but of no other.
	for range 50 {
		p.observe("far", 700*time.Millisecond)
	}
	require.Equal(t, maxAnswerTimeout, p.timeout("far"))
	require.Less(t, p.timeout("near"), 650*time.Millisecond)
	for range 100 {
		p.observe("far", 25*time.Millisecond)
	}
	require.Less(t, p.timeout("far"), 650*time.Millisecond)
}
