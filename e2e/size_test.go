package e2e

import (
	"bytes"
	"context"
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/examples"
	"github.com/oriolepond/oriolepond/internal/demo"
)

const (
	// taskRunTime is the run time of the tasks, and the time until the pool is full:
	// from then on as many tasks end as start.
	taskRunTime = 79 * time.Second
	// fullSizeMeasuredTime is how long the full pool is measured.
	fullSizeMeasuredTime = 30 * time.Second
	// sampleInterval is how often started tasks are compared with offered ones.
	sampleInterval = 50 * time.Millisecond
	// submitInterval is the pause between submissions, each of which takes about 0.25 s.
	submitInterval = 750 * time.Millisecond
	// startsPerSecond is the peak rate of task starts.
	startsPerSecond = 330
)

// BenchmarkFullSize measures entry instances at the size that the system is designed
// for: 1,200 workers, 2,600 runners, and 330 starts per second of urgent tasks that run
// for 79 s, so that 26,000 run at once.
func BenchmarkFullSize(b *testing.B) {
	size := idleSize(7, 1_200, 0)
	size.Runners = 2_600
	size.JobEvery = submitInterval
	size.JobTasks = startsPerSecond
	size.JobLimit = 0
	size.RunTime = taskRunTime
	for b.Loop() {
		measureFullSize(b, size)
	}
}

// exampleWithLargeQuota returns an example whose batch share may use a large fraction of 1,200 workers.
func exampleWithLargeQuota(b *testing.B) examples.Example {
	e, ok := examples.Find("bajio")
	require.True(b, ok)
	from := []byte(`"quota": {"processors": 1000, "memory": "3000GB"}`)
	require.Contains(b, string(e.Note), string(from))
	e.Note = bytes.Replace(e.Note, from, []byte(`"quota": {"processors": 12000, "memory": "36000GB"}`), 1)
	return e
}

// measureFullSize runs the full pool and reports usage, starts and the longest wait for a start.
func measureFullSize(b *testing.B, size demo.Size) {
	var before, after usage
	var tracker startTracker
	d := &demo.Demo{
		Example: exampleWithLargeQuota(b),
		Length:  taskRunTime + fullSizeMeasuredTime,
		Out:     io.Discard,
		Size:    size,
		NoWait:  true,
		Launch:  launcher(b, b.TempDir()),
		Observe: func(ctx context.Context, v demo.View) {
			ticker := time.NewTicker(sampleInterval)
			defer ticker.Stop()
			start := time.Now()
			measuring := false
			for {
				select {
				case now := <-ticker.C:
					if !measuring && now.Sub(start) >= taskRunTime {
						measuring = true
						before = currentUsage(v)
						tracker.startsBefore = v.Cluster.Tasks.Starts()
					}
					tracker.sample(now, v.Offered(), int64(v.Cluster.Tasks.Starts()), measuring)
				case <-ctx.Done():
					after = currentUsage(v)
					tracker.startsAfter = v.Cluster.Tasks.Starts()
					return
				}
			}
		},
	}
	_, err := d.Run(context.Background())
	require.NoError(b, err)
	reportUsage(b, size, fullSizeMeasuredTime, before, after)
	b.ReportMetric(float64(tracker.startsAfter-tracker.startsBefore)/fullSizeMeasuredTime.Seconds(), "starts/s")
	b.ReportMetric(tracker.longestWait.Seconds(), "longestWaitSeconds")
}

// startTracker measures the longest time from when tasks were offered until as many tasks
// had been started.
type startTracker struct {
	// startsBefore and startsAfter are the total numbers of starts when the measurement begins and ends.
	startsBefore, startsAfter int
	// pending holds the samples whose number of tasks has not been started yet.
	pending     []offeredSample
	longestWait time.Duration
}

// offeredSample is a total number of offered tasks, with the time at which it was first seen.
type offeredSample struct {
	at    time.Time
	tasks int64
}

// sample records one sample. The longest wait is only updated while measuring.
func (s *startTracker) sample(now time.Time, offered, started int64, measuring bool) {
	if n := len(s.pending); n == 0 || s.pending[n-1].tasks < offered {
		s.pending = append(s.pending, offeredSample{now, offered})
	}
	for len(s.pending) > 0 && s.pending[0].tasks <= started {
		if measuring {
			s.longestWait = max(s.longestWait, now.Sub(s.pending[0].at))
		}
		s.pending = s.pending[1:]
	}
}
