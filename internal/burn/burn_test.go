package burn_test

import (
	"bytes"
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/internal/burn"
	"github.com/oriolepond/oriolepond/pkg/release"
)

var start = time.Unix(0, 1000*int64(burn.SlotLength))

// config returns a configuration whose objective is that the fraction ratio of
// responses (0.9 for 90%) arrives within 100 ms.
func config(ratio float64) release.Config {
	return release.Config{Declarations: release.Declarations{Services: []release.Service{{
		Name: "finish", Objective: release.Objective{Latency: 100 * time.Millisecond, Ratio: ratio},
	}}}}
}

func sample(latency time.Duration) burn.Sample {
	return burn.Sample{Service: "finish", Neighbour: "floor", Objective: 100 * time.Millisecond, Latency: latency, Answered: true}
}

func TestCauseOfMissedObjective(t *testing.T) {
	late := 400 * time.Millisecond
	cases := []struct {
		name   string
		sample burn.Sample
		want   burn.Cause
	}{
		{"good", sample(100 * time.Millisecond), ""},
		{"slow target", sample(late), burn.Target},
		{"queue", burn.Sample{Answered: true, Latency: late, Queued: late / 2}, burn.Queueing},
		{"earlier attempts", burn.Sample{Answered: true, Latency: late, Queued: late / 8, Retried: late / 2}, burn.Retry},
		{"refusal", burn.Sample{Refused: true, Latency: time.Millisecond}, burn.Refusal},
		{"refusal after queueing", burn.Sample{Refused: true, Latency: late, Queued: late}, burn.Refusal},
		{"failed target", burn.Sample{Latency: time.Millisecond}, burn.Target},
		{"slowed target", burn.Sample{Answered: true, Latency: late, Interfered: true}, burn.Interference},
		{"cause known to the caller", burn.Sample{Answered: true, Latency: late, KnownCause: burn.Retry}, burn.Retry},
		{"known target that was slowed", burn.Sample{Answered: true, Latency: late, KnownCause: burn.Target, Interfered: true}, burn.Interference},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { require.Equal(t, c.want, c.sample.Cause()) })
	}
}

// report merges the snapshots of instances and returns their report.
func report(t *testing.T, c release.Config, now time.Time, all ...burn.Snapshot) burn.Report {
	t.Helper()
	merged, err := burn.Merge(all)
	require.NoError(t, err)
	r, err := merged.Report(c, now)
	require.NoError(t, err)
	return r
}

// TestReportMergesInstances checks the report on two instances that count 50
// requests each, 10 and 30 of them late.
func TestReportMergesInstances(t *testing.T) {
	var snapshots []burn.Snapshot
	for _, late := range []int{10, 30} {
		r := burn.NewRecorder()
		for i := range 50 {
			latency := 20 * time.Millisecond
			if i < late {
				latency = 300 * time.Millisecond
			}
			r.Record(start, sample(latency))
		}
		snapshots = append(snapshots, r.Snapshot(start))
	}
	got := report(t, config(0.9), start, snapshots...)
	require.Len(t, got.Rows, 2, "one row for the service and one for its neighbour")
	for _, row := range got.Rows {
		for _, w := range row.Windows {
			require.EqualValues(t, 100, w.Total)
			require.EqualValues(t, 40, w.Bad)
			require.InDelta(t, 4, w.Burn, 1e-9, "40%% bad requests where 10%% are allowed")
		}
		require.InDelta(t, -3, row.BudgetLeft, 1e-9)
		require.Equal(t, map[burn.Cause]int64{burn.Target: 40}, row.Causes)
		require.Empty(t, row.Alert)
		require.InDelta(t, 300, row.P99.Milliseconds(), 3)
	}
}

// TestChangedObjectiveAppliesToEarlierCounts checks that requests counted before
// a change of the objective are evaluated by the new one.
func TestChangedObjectiveAppliesToEarlierCounts(t *testing.T) {
	r := burn.NewRecorder()
	for range 10 {
		r.Record(start, sample(300*time.Millisecond))
	}
	c := config(0.9)
	require.EqualValues(t, 10, report(t, c, start, r.Snapshot(start)).Rows[0].Windows[0].Bad)
	c.Services[0].Objective.Latency = 400 * time.Millisecond
	require.EqualValues(t, 0, report(t, c, start, r.Snapshot(start)).Rows[0].Windows[0].Bad)
}

// TestBurstRaisesAlertsAndLeavesWindows checks that a burst of refusals raises the fast alert, then
// the slow one, and leaves the windows one by one.
func TestBurstRaisesAlertsAndLeavesWindows(t *testing.T) {
	r := burn.NewRecorder()
	for range 100 {
		r.Record(start, burn.Sample{Service: "finish", Neighbour: "floor", Refused: true})
	}
	rowAt := func(offset time.Duration) burn.Row {
		now := start.Add(offset)
		return report(t, config(0.99), now, r.Snapshot(now)).Rows[0]
	}
	require.Equal(t, burn.Fast, rowAt(0).Alert)
	require.Equal(t, burn.Slow, rowAt(20*time.Minute).Alert)
	for i := range 3 {
		r.Record(start.Add(time.Duration(i+1)*burn.SlotLength), sample(time.Millisecond))
	}
	row := rowAt(2 * time.Hour)
	require.Empty(t, row.Alert)
	require.Zero(t, row.Windows[2].Total, "the window of one hour does not contain the burst")
	require.EqualValues(t, 103, row.Windows[3].Total)
	require.EqualValues(t, 100, row.Causes[burn.Refusal])
}

// TestOldSlotsAreDropped checks that a recorder keeps no more than KeptSlots slots.
func TestOldSlotsAreDropped(t *testing.T) {
	r := burn.NewRecorder()
	for i := range 3 * burn.KeptSlots {
		r.Record(start.Add(time.Duration(i)*burn.SlotLength), sample(time.Millisecond))
	}
	now := start.Add(time.Duration(3*burn.KeptSlots-1) * burn.SlotLength)
	series, err := r.Snapshot(now).Series()
	require.NoError(t, err)
	require.Len(t, series[0].Slots, burn.KeptSlots)
}

func TestPageIsCompleteAndEscaped(t *testing.T) {
	r := burn.NewRecorder()
	for i := range 100 {
		s := sample(time.Duration(i) * 3 * time.Millisecond)
		s.Neighbour = "<script>alert(1)</script>"
		r.Record(start, s)
	}
	got := report(t, config(0.9), start, r.Snapshot(start))
	got.Answered, got.Missing = []string{"entry-1"}, []string{"entry-2"}
	got.Open = []burn.Gap{{Instance: "entry-2", Since: start}}
	var page bytes.Buffer
	require.NoError(t, burn.WritePage(&page, got))
	text := page.String()
	require.Contains(t, text, "No answer: entry-2")
	require.Contains(t, text, "Counts of entry-2 are missing since "+start.UTC().Format(time.RFC3339))
	require.NotContains(t, text, "<script>")
	require.Equal(t, 4, strings.Count(text, "<polyline")+strings.Count(text, "Causes of missed objectives:"))
	for _, external := range []string{"http://", "https://", "src=", "<link"} {
		require.NotContains(t, text, external, "the page must be self-contained")
	}
	require.True(t, strings.HasSuffix(strings.TrimSpace(text), "</html>"))
}

func BenchmarkRecord(b *testing.B) {
	r := burn.NewRecorder()
	s := sample(20 * time.Millisecond)
	b.ReportAllocs()
	for b.Loop() {
		r.Record(start, s)
	}
}

// filledRecorder returns a recorder with n series that use all slots, and the time
// of the last request.
func filledRecorder(n int) (*burn.Recorder, time.Time) {
	r := burn.NewRecorder()
	now := start
	for slot := range burn.KeptSlots {
		now = start.Add(time.Duration(slot) * burn.SlotLength)
		for i := range n {
			for k := range 40 {
				s := sample(time.Duration(k*k) * time.Millisecond)
				s.Neighbour = fmt.Sprint(i)
				r.Record(now, s)
			}
		}
	}
	return r, now
}

// BenchmarkSeriesMemory measures the memory that a recorder uses for each series
// when all slots are in use.
func BenchmarkSeriesMemory(b *testing.B) {
	for _, n := range []int{10, 100, 280} {
		b.Run(fmt.Sprintf("series=%d", n), func(b *testing.B) {
			for range b.N {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				r, now := filledRecorder(n)
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "bytes/series")
				b.ReportMetric(0, "ns/op")
				size := 0
				series, err := r.Snapshot(now).Series()
				require.NoError(b, err)
				for _, s := range series {
					for _, slot := range s.Slots {
						size += len(burn.EncodeLatency(slot))
					}
				}
				b.ReportMetric(float64(size)/float64(n), "wirebytes/series")
			}
		})
	}
}
