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
	// fillTime is how long tasks run, after which as many end as start.
	fillTime = 79 * time.Second
	// sizeMeasured is how long the full size is measured.
	sizeMeasured = 30 * time.Second
	// sampleEvery is how often starts are compared with the tasks offered.
	sampleEvery = 50 * time.Millisecond
	// submitEvery is the pause between submissions, of which each takes about 0.25 s.
	submitEvery = 750 * time.Millisecond
	// startsPerSecond is the rate of task starts at the peak.
	startsPerSecond = 330
)

// BenchmarkFullSize measures entry instances at the size to design for: 1,200
// workers, 2,600 runners, and 330 starts a second of urgent tasks that run for
// 79 s, which makes 26,000 at once.
func BenchmarkFullSize(b *testing.B) {
	size := quiet(7, 1_200, 0)
	size.Runners = 2_600
	size.JobEvery = submitEvery
	size.JobTasks = startsPerSecond
	size.JobLimit = 0
	size.RunTime = fillTime
	for b.Loop() {
		fullSize(b, size)
	}
}

// wideExample is an example whose batch share may take a large part of 1,200 workers.
func wideExample(b *testing.B) examples.Example {
	e, ok := examples.Find("bajio")
	require.True(b, ok)
	from := []byte(`"quota": {"processors": 1000, "memory": "3000GB"}`)
	require.Contains(b, string(e.Note), string(from))
	e.Note = bytes.Replace(e.Note, from, []byte(`"quota": {"processors": 12000, "memory": "36000GB"}`), 1)
	return e
}

func fullSize(b *testing.B, size demo.Size) {
	var before, after usage
	var starts starts
	d := &demo.Demo{
		Example: wideExample(b),
		Length:  fillTime + sizeMeasured,
		Out:     io.Discard,
		Size:    size,
		NoWait:  true,
		Launch:  launcher(b.TempDir()),
		Observe: func(ctx context.Context, v demo.View) {
			ticker := time.NewTicker(sampleEvery)
			defer ticker.Stop()
			began := time.Now()
			measuring := false
			for {
				select {
				case now := <-ticker.C:
					if !measuring && now.Sub(began) >= fillTime {
						measuring = true
						before = observe(v)
						starts.first = v.Cluster.Tasks.Starts()
					}
					starts.add(now, v.Offered(), int64(v.Cluster.Tasks.Starts()), measuring)
				case <-ctx.Done():
					after = observe(v)
					starts.last = v.Cluster.Tasks.Starts()
					return
				}
			}
		},
	}
	_, err := d.Run(context.Background())
	require.NoError(b, err)
	reportFor(b, size, sizeMeasured, before, after)
	b.ReportMetric(float64(starts.last-starts.first)/sizeMeasured.Seconds(), "starts/s")
	b.ReportMetric(starts.longest.Seconds(), "longestWaitSeconds")
}

// starts compares the starts of tasks with the tasks offered.
type starts struct {
	first, last int
	// pending are the numbers of tasks offered by a time, until as many have started.
	pending []mark
	longest time.Duration
}

// mark is a number of offered tasks that was reached at a time.
type mark struct {
	at    time.Time
	tasks int64
}

// add takes one sample; the longest wait counts while measuring.
func (s *starts) add(now time.Time, offered, started int64, measuring bool) {
	if n := len(s.pending); n == 0 || s.pending[n-1].tasks < offered {
		s.pending = append(s.pending, mark{now, offered})
	}
	for len(s.pending) > 0 && s.pending[0].tasks <= started {
		if measuring {
			s.longest = max(s.longest, now.Sub(s.pending[0].at))
		}
		s.pending = s.pending[1:]
	}
}
