package attempt

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/pkg/release"
)

func TestAttemptIsNotRunOnlyIfUnsentOrRefused(t *testing.T) {
	cases := []struct {
		name     string
		evidence Evidence
		result   Result
	}{
		{"never connected", Evidence{}, NotRun},
		{"one byte sent", Evidence{BytesSent: 1}, Unknown},
		{"refused by the target", Evidence{BytesSent: 100, Refused: true}, NotRun},
		{"answered", Evidence{BytesSent: 100, Complete: true}, Answered},
	}
	for _, c := range cases {
		require.Equal(t, c.result, Classify(c.evidence), c.name)
	}
}

func TestUnknownResultIsRetriedOnlyIfIdempotent(t *testing.T) {
	cases := []struct {
		class  release.RouteClass
		result Result
		may    bool
	}{
		{release.Idempotent, NotRun, true},
		{release.Idempotent, Unknown, true},
		{release.Idempotent, Answered, false},
		{release.NonIdempotent, NotRun, true},
		{release.NonIdempotent, Unknown, false},
		{release.Stream, NotRun, true},
		{release.Stream, Unknown, false},
	}
	for _, c := range cases {
		require.Equal(t, c.may, MayRetry(c.class, c.result), "%s %s", c.class, c.result)
	}
}

// If every attempt fails, the extra attempts stay within the ratio and the burst.
func TestBudgetBoundsRetriesWhenEveryAttemptFails(t *testing.T) {
	b := Budget{Ratio: 0.1, Burst: 20}
	const requests = 10_000
	retries := 0
	for range requests {
		b.Earn()
		for range 3 {
			if b.Spend() {
				retries++
			}
		}
	}
	require.LessOrEqual(t, float64(retries), requests*b.Ratio+b.Burst)
	require.GreaterOrEqual(t, float64(retries), requests*b.Ratio)
}
