package oriolepond_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/examples"
	"github.com/oriolepond/oriolepond/internal/burn"
	"github.com/oriolepond/oriolepond/internal/operate"
	"github.com/oriolepond/oriolepond/internal/standin"
	"github.com/oriolepond/oriolepond/pkg/release"
	"github.com/oriolepond/oriolepond/pkg/share"
)

// interferenceTimeout bounds the time until the interference effect of a job family is measured.
const interferenceTimeout = time.Minute

// undisturbedTime is how long the service is measured without tasks: twice the time between two
// measurements that a leader learns from. Measurements beside tasks alone can't tell the effect of
// the tasks from the latency of the service itself.
const undisturbedTime = 10 * time.Second

// missesByCause returns the number of missed objectives of the finish service by cause.
func missesByCause(t *testing.T, m *member) map[string]int64 {
	t.Helper()
	wire, _, err := m.operator().Burn(t.Context())
	require.NoError(t, err)
	for _, row := range wire.Rows {
		if row.Service == "finish" && row.Neighbour == "" {
			return row.Causes
		}
	}
	return map[string]int64{}
}

// withoutYieldRules returns an example's release note without its yield rules, so that
// noisy tasks are not throttled or evicted.
func withoutYieldRules(t *testing.T, e examples.Example) []byte {
	t.Helper()
	n, err := release.Parse(e.Name, e.Note)
	require.NoError(t, err)
	n.Added.YieldRules = nil
	text, err := release.EncodeNote(n)
	require.NoError(t, err)
	return text
}

// Misses beside noisy tasks are attributed to interference once the effect was
// measured, but not before the tasks, and no longer after they have ended.
func TestMissesBesideNoiseAreInterference(t *testing.T) {
	const slowdown = 60
	p := newDeploymentOn(t, 1, &standin.Cluster{
		ServiceTime: 10 * time.Millisecond,
		Work: func(string) standin.Work {
			return standin.Work{RunTime: time.Hour, Noise: slowdown, Size: share.Resources{Processors: 1000, Memory: 1e9}}
		},
	})
	p.apply(t, withoutYieldRules(t, p.example))
	m := p.instances[0]
	ctx, stop := context.WithCancel(t.Context())
	t.Cleanup(stop)
	for range 4 {
		go func() {
			for ctx.Err() == nil {
				_, _, _, _ = m.request("floor-token", "/s/finish/gloss/check")
			}
		}()
	}
	interfered := func() int64 { return missesByCause(t, m)[string(burn.Interference)] }
	require.Eventually(t, func() bool {
		for i := range 2 {
			if _, w := p.cluster.Worker(i); w.TailsReportedFor() < undisturbedTime {
				return false
			}
		}
		return true
	}, interferenceTimeout, 100*time.Millisecond)
	require.Zero(t, interfered(), "a miss before any task is attributed to interference")
	jobs := operate.JobsClient{Address: m.addresses.Front, Token: p.example.JobToken}
	var job operate.WireJob
	require.Eventually(t, func() bool {
		var err error
		job, err = jobs.Submit(t.Context(), p.example.Job, 4, "noise")
		return err == nil
	}, eventTimeout, 100*time.Millisecond)
	require.Eventually(t, func() bool { return interfered() > 0 }, interferenceTimeout, 100*time.Millisecond)
	_, err := jobs.Call(t.Context(), http.MethodDelete, job.ID)
	require.NoError(t, err)
	for i := range 2 {
		_, r := p.cluster.Runner(i)
		r.SetFault(&standin.RunnerFault{Delay: 400 * time.Millisecond})
	}
	before := missesByCause(t, m)
	require.Eventually(t, func() bool {
		now := missesByCause(t, m)
		if now[string(burn.Interference)] > before[string(burn.Interference)] {
			before = now
		}
		return now[string(burn.Target)]+now[string(burn.Retry)] >= before[string(burn.Target)]+before[string(burn.Retry)]+10
	}, interferenceTimeout, 100*time.Millisecond, "misses are still attributed to interference after the tasks have ended")
}
