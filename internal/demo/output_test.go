package demo

import (
	"context"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/internal/standin"
)

// overlapWriter counts the calls of Write that begin during another one.
type overlapWriter struct {
	active, writes, overlaps atomic.Int32
}

func (w *overlapWriter) Write(p []byte) (int, error) {
	w.writes.Add(1)
	if w.active.Add(1) > 1 {
		w.overlaps.Add(1)
	}
	for range 100 {
		runtime.Gosched()
	}
	w.active.Add(-1)
	return len(p), nil
}

// Guards against a data race on Out between the progress lines and those of the faults.
func TestOutputIsNotWrittenConcurrently(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &overlapWriter{}
		d := &Demo{
			// Each of the faults begins at a full second, when a line of progress is due too.
			Length: 10 * time.Second,
			Faults: []Fault{StoreOutage, StoreSlow, StoreLostAnswers},
			Out:    out,
			counts: newCounts(),
			cluster: &standin.Cluster{
				Store: standin.NewStore(),
				Tasks: standin.NewTaskLedger(),
			},
		}
		ctx, cancel := context.WithTimeout(t.Context(), d.Length)
		defer cancel()
		var group sync.WaitGroup
		group.Go(func() { d.printProgress(ctx) })
		group.Go(func() { d.injectFaults(ctx) })
		group.Wait()
		require.Positive(t, out.writes.Load())
		require.Zero(t, out.overlaps.Load())
	})
}
