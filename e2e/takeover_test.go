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
	// takeOverTimeout bounds the wait for a takeover.
	takeOverTimeout = time.Minute
	// pollInterval is how often the progress of a takeover is checked.
	pollInterval = 20 * time.Millisecond
)

// BenchmarkTakeOver kills an instance that leads shards under load. It measures the
// time until other instances lead these shards, and until all their workers have
// answered the new leaders.
func BenchmarkTakeOver(b *testing.B) {
	for b.Loop() {
		measureTakeOver(b)
	}
}

func measureTakeOver(b *testing.B) {
	e, ok := examples.Find("bajio")
	require.True(b, ok)
	size := idleSize(3, 150, 22)
	size.Callers = 0
	ctx, done := context.WithCancel(context.Background())
	defer done()
	d := &demo.Demo{
		Example: e,
		Length:  warmUp + takeOverTimeout,
		Out:     io.Discard,
		Size:    size,
		NoWait:  true,
		Launch:  launcher(b, b.TempDir()),
		Observe: func(ctx context.Context, v demo.View) {
			defer done()
			timer := time.NewTimer(warmUp)
			defer timer.Stop()
			<-timer.C
			killAndMeasure(ctx, b, v)
		},
	}
	_, err := d.Run(ctx)
	require.ErrorIs(b, err, context.Canceled)
}

// killAndMeasure kills the first instance and reports the takeover of its shards.
func killAndMeasure(ctx context.Context, b *testing.B, v demo.View) {
	client := store.NewEtcd([]string{v.Cluster.StoreURL}, http.DefaultClient)
	before := leaders(ctx, client)
	starts, running := v.Cluster.Tasks.Starts(), v.Cluster.Tasks.Running()
	killed := time.Now()
	v.Processes[0].Kill()
	maps.DeleteFunc(before, func(_ string, l shardLeader) bool { return l.instance != v.IDs[0] })
	require.NotEmpty(b, before, "the killed instance leads no shard")
	after := map[string]shardLeader{}
	waitUntil(ctx, func() bool {
		after = leaders(ctx, client)
		return allTakenOver(before, after)
	})
	b.ReportMetric(time.Since(killed).Seconds(), "s/held")
	waitUntil(ctx, func() bool { return workersAnswered(v.Cluster, before, after) })
	b.ReportMetric(time.Since(killed).Seconds(), "s/workersAnswered")
	b.ReportMetric(float64(len(before)), "shards")
	b.ReportMetric(float64(running), "tasks")
	b.ReportMetric(float64(v.Cluster.Tasks.Starts()-starts), "tasksStartedAgain")
	b.ReportMetric(float64(v.Cluster.Tasks.DoubleRuns()), "doubleRuns")
}

// waitUntil waits until condition returns true, or the context ends.
func waitUntil(ctx context.Context, condition func() bool) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for ctx.Err() == nil && !condition() {
		<-ticker.C
	}
}

// shardLeader is the leader of a shard, and the epoch (fencing token) of its lease.
type shardLeader struct {
	instance string
	epoch    int64
}

// leaders returns the leader of each shard.
func leaders(ctx context.Context, c *store.Client) map[string]shardLeader {
	all := map[string]shardLeader{}
	s, err := c.List(ctx, shard.MapPrefix)
	if err != nil {
		return all
	}
	for _, e := range s.Entries {
		if id, ok := strings.CutSuffix(strings.TrimPrefix(e.Key, shard.MapPrefix), "/holder"); ok {
			all[id] = shardLeader{instance: string(e.Value), epoch: e.Revision}
		}
	}
	return all
}

// allTakenOver reports whether all shards in before have a new leader in after.
func allTakenOver(before, after map[string]shardLeader) bool {
	for id, old := range before {
		if now, found := after[id]; !found || now.instance == old.instance {
			return false
		}
	}
	return true
}

// workersAnswered reports whether no worker still follows an epoch of the previous leaders.
func workersAnswered(c *standin.Cluster, before, after map[string]shardLeader) bool {
	old := map[int64]bool{}
	for _, previous := range before {
		old[previous.epoch] = true
	}
	for i := range c.Workers() {
		if _, w := c.Worker(i); old[w.Epoch()] {
			return false
		}
	}
	return len(after) > 0
}
