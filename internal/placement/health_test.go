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
		h.Failed("bad", "review", now, now)
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
		h.Failed("bad", "review", now, now)
		pause = min(2*pause, defaultMaxProbePause)
	}
	now = now.Add(pause)
	h.Succeeded("bad", "review")
	require.False(t, h.Quarantined("bad"))
	require.True(t, h.Permits("bad", now))
}

// Guards against a long quarantine after one short fault: all tasks that were running on the worker failed, and
// each of them extended the pause.
func TestFailuresOfOneRoundSetOnePause(t *testing.T) {
	h := NewHealth()
	h.Succeeded("good", "review")
	now := start
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		h.Failed("bad", "review", start, now)
	}
	quarantined := start.Add(quarantineFailures * 100 * time.Millisecond)
	probe := quarantined.Add(defaultMinProbePause)
	require.False(t, h.Permits("bad", probe.Add(-1)))
	require.True(t, h.Permits("bad", probe))
	h.Started("bad", probe)
	failed := probe.Add(time.Second)
	h.Failed("bad", "review", probe, failed)
	h.Failed("bad", "review", start, failed.Add(time.Second))
	require.False(t, h.Permits("bad", failed.Add(2*defaultMinProbePause-1)))
	require.True(t, h.Permits("bad", failed.Add(2*defaultMinProbePause)))
}

func TestLostProbeIsRepeated(t *testing.T) {
	h := NewHealth()
	h.Succeeded("good", "review")
	for range quarantineFailures {
		h.Failed("bad", "review", start, start)
	}
	probe := start.Add(defaultMinProbePause)
	h.Started("bad", probe)
	require.True(t, h.Permits("bad", probe.Add(defaultMinProbePause)))
}

func TestJobThatFailsEverywhereQuarantinesNoWorker(t *testing.T) {
	h := NewHealth()
	for i := range 50 {
		worker := string(rune('a' + i%5))
		now := start.Add(time.Duration(i) * time.Second)
		require.False(t, h.Failed(worker, "broken", now, now))
		require.True(t, h.Permits(worker, start))
	}
}

// Two bad workers fail the tasks of one family more often than it succeeds on a
// good worker. Both must be quarantined.
func TestSeveralBadWorkersAreQuarantined(t *testing.T) {
	h := NewHealth()
	h.Succeeded("good", "review")
	for range quarantineFailures {
		h.Failed("bad-1", "review", start.Add(time.Second), start.Add(time.Second))
		h.Failed("bad-2", "review", start.Add(time.Second), start.Add(time.Second))
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
		if h.Failed(worker, "review", start, start) {
			quarantined[worker] = true
		}
	}
	require.Empty(t, quarantined)
}
