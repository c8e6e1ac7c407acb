package e2e

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/examples"
	"github.com/oriolepond/oriolepond/internal/demo"
)

// loadLength is how long the load of one case lasts; longer than any fault.
const loadLength = 7 * time.Second

// concurrentCases bounds the cases that run at once.
const concurrentCases = 3

// Faults in and around real processes under load break none of the rules that
// demo.Report.Broken checks.
func TestRulesHoldUnderFaults(t *testing.T) {
	cases := []struct {
		name    string
		example string
		faults  []demo.Fault
	}{
		{"a data centre is lost", "bajio", []demo.Fault{demo.DataCentreLoss}},
		{"an instance is killed", "bajio", []demo.Fault{demo.EntryCrash}},
		{"an instance is frozen past its lease", "cairo", []demo.Fault{demo.LeasePause}},
		{"an instance makes a planned stop", "bajio", []demo.Fault{demo.EntryStop}},
		{"the store is down", "cairo", []demo.Fault{demo.StoreOutage}},
		{"the store is slow", "bajio", []demo.Fault{demo.StoreSlow}},
		{"the store's answers are lost", "cairo", []demo.Fault{demo.StoreLostAnswers}},
		{"open connections go silent", "bajio", []demo.Fault{demo.SilentConnections}},
		{"targets crash and leave", "cairo", []demo.Fault{demo.TargetCrash, demo.TargetLeave}},
		{"answers are late and crossed", "bajio", []demo.Fault{demo.LateAnswers, demo.CrossedAnswers}},
		{"the regions are partitioned", "bajio", []demo.Fault{demo.RegionSplit}},
		{"operators race while an instance is killed", "cairo", []demo.Fault{demo.OperatorRace, demo.EntryCrash}},
		{"workers crash and fail", "bajio", []demo.Fault{demo.WorkerCrash, demo.BadWorker}},
		{"waves of noise and cancellations", "cairo", []demo.Fault{demo.NoisyWave, demo.CancelWave}},
		{"an instance is killed in an outage", "cairo", []demo.Fault{demo.StoreOutage, demo.EntryCrash}},
	}
	slots := make(chan struct{}, concurrentCases)
	for n, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			e, ok := examples.Find(c.example)
			require.True(t, ok)
			dir := t.TempDir()
			var out bytes.Buffer
			d := &demo.Demo{
				Example: e,
				Length:  loadLength,
				Seed:    uint64(n),
				Faults:  c.faults,
				Out:     &out,
				Launch:  launcher(t, dir),
			}
			r, err := d.Run(context.Background())
			require.NoError(t, err, logs(dir))
			if broken := r.Broken(); len(broken) > 0 {
				t.Fatalf("broken rules: %v\n%s\n%s\n%s", broken, out.String(), r.Text(), logs(dir))
			}
			t.Logf("requests %d, answered %d, refused unrun %d, unknown %d, p99 %.1f ms, tasks finished %d",
				r.Requests, r.Answered, r.Refused, r.Unknown, r.P99, r.TasksFinished)
			require.Positive(t, r.Answered)
			require.Positive(t, r.TasksFinished)
		})
	}
}
