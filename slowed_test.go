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

// measured bounds the time in which the harm of a job family is found out.
const measured = time.Minute

// misses returns the misses of the finish service by cause.
func misses(t *testing.T, m *member) map[string]int64 {
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

// withoutYielding returns an example's note without its yield rules, so that noisy tasks stay.
func withoutYielding(t *testing.T, e examples.Example) []byte {
	t.Helper()
	n, err := release.Parse(e.Name, e.Note)
	require.NoError(t, err)
	n.Added.YieldRules = nil
	text, err := release.EncodeNote(n)
	require.NoError(t, err)
	return text
}

// Misses beside a noisy task are laid to interference once its harm was
// measured, and no longer when the task is gone.
func TestMissesBesideNoiseAreInterference(t *testing.T) {
	const noise = 60
	p := newPondOn(t, 1, &standin.Cluster{
		ServiceTime: 10 * time.Millisecond,
		Work: func(string) standin.Work {
			return standin.Work{RunTime: time.Hour, Noise: noise, Size: share.Resources{Processors: 1000, Memory: 1e9}}
		},
	})
	p.apply(t, withoutYielding(t, p.example))
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
	jobs := operate.JobsClient{Address: m.addresses.Front, Token: p.example.JobToken}
	var job operate.WireJob
	require.Eventually(t, func() bool {
		var err error
		job, err = jobs.Submit(t.Context(), p.example.Job, 4, "noise")
		return err == nil
	}, soon, 100*time.Millisecond)
	interfered := func() int64 { return misses(t, m)[string(burn.Interference)] }
	require.Eventually(t, func() bool { return interfered() > 0 }, measured, 100*time.Millisecond)
	_, err := jobs.Call(t.Context(), http.MethodDelete, job.ID)
	require.NoError(t, err)
	for i := range 2 {
		_, r := p.cluster.Runner(i)
		r.SetFault(&standin.RunnerFault{Delay: 400 * time.Millisecond})
	}
	before := misses(t, m)
	require.Eventually(t, func() bool {
		now := misses(t, m)
		if now[string(burn.Interference)] > before[string(burn.Interference)] {
			before = now
		}
		return now[string(burn.Target)]+now[string(burn.Retry)] >= before[string(burn.Target)]+before[string(burn.Retry)]+10
	}, measured, 100*time.Millisecond, "the mark goes with the task")
}
