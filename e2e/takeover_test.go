package e2e

import (
	"context"
	"io"
	"maps"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/examples"
	"github.com/oriolepond/oriolepond/internal/demo"
	"github.com/oriolepond/oriolepond/internal/shard"
	"github.com/oriolepond/oriolepond/internal/standin"
	"github.com/oriolepond/oriolepond/internal/store"
)

const (
	// takeOverLimit bounds the wait for a take-over.
	takeOverLimit = time.Minute
	// lookEvery is how often it is looked whether a take-over has come about.
	lookEvery = 20 * time.Millisecond
)

// BenchmarkTakeOver kills an instance that holds shards while callers are
// served and tasks run and wait, and measures how long it takes until others
// hold its shards, and until all its workers have answered them.
func BenchmarkTakeOver(b *testing.B) {
	for b.Loop() {
		takeOver(b)
	}
}

func takeOver(b *testing.B) {
	e, ok := examples.Find("bajio")
	require.True(b, ok)
	size := quiet(3, 150, 22)
	size.Callers = 0
	ctx, done := context.WithCancel(context.Background())
	defer done()
	d := &demo.Demo{
		Example: e,
		Length:  warmUp + takeOverLimit,
		Out:     io.Discard,
		Size:    size,
		NoWait:  true,
		Launch:  launcher(b.TempDir()),
		Observe: func(ctx context.Context, v demo.View) {
			defer done()
			timer := time.NewTimer(warmUp)
			defer timer.Stop()
			<-timer.C
			kill(ctx, b, v)
		},
	}
	_, err := d.Run(ctx)
	require.ErrorIs(b, err, context.Canceled)
}

// kill kills the first instance and reports how its shards are taken over.
func kill(ctx context.Context, b *testing.B, v demo.View) {
	client := store.NewEtcd([]string{v.Cluster.StoreURL}, http.DefaultClient)
	before := holders(ctx, client)
	starts, running := v.Cluster.Tasks.Starts(), v.Cluster.Tasks.Running()
	killed := time.Now()
	v.Processes[0].Kill()
	maps.DeleteFunc(before, func(_ string, h holding) bool { return h.by != v.IDs[0] })
	require.NotEmpty(b, before, "the killed instance holds a shard")
	after := map[string]holding{}
	until(ctx, func() bool {
		after = holders(ctx, client)
		return heldAnew(before, after)
	})
	b.ReportMetric(time.Since(killed).Seconds(), "s/held")
	until(ctx, func() bool { return adopted(v.Cluster, before, after) })
	b.ReportMetric(time.Since(killed).Seconds(), "s/workersAnswered")
	b.ReportMetric(float64(len(before)), "shards")
	b.ReportMetric(float64(running), "tasks")
	b.ReportMetric(float64(v.Cluster.Tasks.Starts()-starts), "tasksStartedAgain")
	b.ReportMetric(float64(v.Cluster.Tasks.DoubleRuns()), "doubleRuns")
}

// until waits until something holds, or the context ends.
func until(ctx context.Context, holds func() bool) {
	ticker := time.NewTicker(lookEvery)
	defer ticker.Stop()
	for ctx.Err() == nil && !holds() {
		<-ticker.C
	}
}

// holding is who holds a shard, and by which epoch.
type holding struct {
	by    string
	epoch int64
}

// holders returns who holds each shard.
func holders(ctx context.Context, c *store.Client) map[string]holding {
	all := map[string]holding{}
	s, err := c.List(ctx, shard.MapPrefix)
	if err != nil {
		return all
	}
	for _, e := range s.Entries {
		if id, ok := strings.CutSuffix(strings.TrimPrefix(e.Key, shard.MapPrefix), "/holder"); ok {
			all[id] = holding{by: string(e.Value), epoch: e.Revision}
		}
	}
	return all
}

// heldAnew reports whether others hold all shards of a set.
func heldAnew(before, after map[string]holding) bool {
	for id, h := range before {
		if now, held := after[id]; !held || now.by == h.by {
			return false
		}
	}
	return true
}

// adopted reports whether all workers of the shards of a set have seen the new epochs.
func adopted(c *standin.Cluster, before, after map[string]holding) bool {
	old := map[int64]bool{}
	for _, h := range before {
		old[h.epoch] = true
	}
	for i := range c.Workers() {
		if _, w := c.Worker(i); old[w.Epoch()] {
			return false
		}
	}
	return len(after) > 0
}
