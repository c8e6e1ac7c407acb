package scheduler

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/internal/batch"
)

// An answer of a worker over which the program panics counts as no answer; the
// term goes on, and other workers are served.
func TestFaultInOneAnswerEndsThatCallAlone(t *testing.T) {
	for _, c := range []struct {
		name  string
		looks bool
	}{
		{name: "look", looks: true},
		{name: "order"},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, time.Second, "w1", "w2")
				defer w.end()
				a := w.add("a")
				plain := a.Workers
				a.Workers.Poll = func(ctx context.Context, l batch.Poll, wait time.Duration, token int64) (batch.Report, error) {
					if c.looks && l.Worker == "w1" {
						panic("odd report")
					}
					return plain.Poll(ctx, l, wait, token)
				}
				a.Workers.Execute = func(ctx context.Context, call batch.Call, token int64) batch.Result {
					if !c.looks && call.Worker == "w1" && call.Kind == batch.CommandStart {
						panic("odd answer")
					}
					return plain.Execute(ctx, call, token)
				}
				time.Sleep(2 * time.Second)
				_, first := w.holder()
				require.NotNil(t, first)
				require.NoError(t, submit(a, testJob(1, 8)))
				time.Sleep(60 * time.Second)
				require.Equal(t, batch.Completed, state(t, a, testJob(1, 8).ID))
				_, last := w.holder()
				require.Same(t, first, last, "the term ended")
			})
		})
	}
}

// A fault within the core ends the term instead of the process, gives the lock
// back, and the next holder goes on from the records.
func TestFaultInTheCoreEndsTheTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, time.Second, "w1", "w2")
		defer w.end()
		a, b := w.add("a"), w.add("b")
		time.Sleep(2 * time.Second)
		require.NoError(t, submit(a, testJob(1, 8)))
		name, h := w.holder()
		h.spawnGuarded("test", func() { h.locked(func() { panic("half changed") }) })
		time.Sleep(10 * time.Second)
		_, next := w.holder()
		require.NotNil(t, next, "%s was the last holder", name)
		require.Greater(t, next.Token, h.Token)
		require.Equal(t, batch.Completed, state(t, b, testJob(1, 8).ID))
	})
}
