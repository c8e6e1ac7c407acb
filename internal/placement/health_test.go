package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestWorkerThatFailsEverythingIsQuarantinedAndProbed(t *testing.T) {
	h := NewHealth()
	now := start
	h.Succeeded("good", "review")
	for range quarantineFailures {
		require.True(t, h.Permits("bad", now))
		h.Failed("bad", "review", now)
	}
	require.True(t, h.Quarantined("bad"))
	require.False(t, h.Quarantined("good"))
	pause := defaultMinProbePause
	for range 8 {
		require.False(t, h.Permits("bad", now.Add(pause-1)))
		now = now.Add(pause)
		require.True(t, h.Permits("bad", now), "one probe after %s", pause)
		h.Started("bad", now)
		require.False(t, h.Permits("bad", now), "only one probe at a time")
		h.Failed("bad", "review", now)
		pause = min(2*pause, defaultMaxProbePause)
	}
	now = now.Add(pause)
	h.Succeeded("bad", "review")
	require.False(t, h.Quarantined("bad"))
	require.True(t, h.Permits("bad", now))
}

func TestLostProbeIsRepeated(t *testing.T) {
	h := NewHealth()
	h.Succeeded("good", "review")
	for range quarantineFailures {
		h.Failed("bad", "review", start)
	}
	probe := start.Add(defaultMinProbePause)
	h.Started("bad", probe)
	require.True(t, h.Permits("bad", probe.Add(defaultMinProbePause)))
}

func TestJobThatFailsEverywhereQuarantinesNoWorker(t *testing.T) {
	h := NewHealth()
	for i := range 50 {
		worker := string(rune('a' + i%5))
		require.False(t, h.Failed(worker, "broken", start.Add(time.Duration(i)*time.Second)))
		require.True(t, h.Permits(worker, start))
	}
}

// Two bad workers fail the tasks of one family more often than it succeeds on a
// good worker. Both must be quarantined.
func TestSeveralBadWorkersAreQuarantined(t *testing.T) {
	h := NewHealth()
	h.Succeeded("good", "review")
	for range quarantineFailures {
		h.Failed("bad-1", "review", start.Add(time.Second))
		h.Failed("bad-2", "review", start.Add(time.Second))
	}
	require.True(t, h.Quarantined("bad-1"))
	require.True(t, h.Quarantined("bad-2"))
}

// A new release of a job that used to succeed fails on every worker. That must
// not put workers into quarantine.
func TestJobThatBeginsToFailQuarantinesNoWorker(t *testing.T) {
	h := NewHealth()
	h.Succeeded("good", "review")
	quarantined := map[string]bool{}
	for i := range 1000 {
		worker := fmt.Sprint(i % 100)
		if h.Failed(worker, "review", start) {
			quarantined[worker] = true
		}
	}
	require.Empty(t, quarantined)
}
