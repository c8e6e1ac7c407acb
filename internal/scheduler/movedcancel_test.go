package scheduler

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/internal/batch"
	"github.com/oriolepond/oriolepond/internal/store"
	"github.com/oriolepond/oriolepond/pkg/share"
)

// workersOfCells returns the IDs of one worker in each cell, numbered from, from+1, ...
func workersOfCells(count, from int) []string {
	ids := make([]string, count)
	for i := from; slices.Contains(ids, ""); i++ {
		id := fmt.Sprintf("w%d", i)
		for cell := range ids {
			if ids[cell] == "" && (batch.Cell{Index: cell, Count: count}).HasWorker(id) {
				ids[cell] = id
			}
		}
	}
	return ids
}

// Guards against a cancel that counts as done although the job runs: while its hand-over was being committed, the leader of
// its home cell named a cell that does not know it.
func TestCancelDuringHandOverReachesJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const count, home, to = 3, 1, 2
		first := workersOfCells(count, 0)
		cl := newCluster(t, time.Second, first...)
		defer cl.stop()
		cl.store.put(CellsKey, []byte(strconv.Itoa(count)))
		for _, name := range []string{"a", "b", "c"} {
			cl.addNode(name)
		}
		time.Sleep(3 * time.Second)
		wholeWorker := []batch.Step{{Tasks: 1, Size: share.Resources{Processors: 32_000, Memory: 1 << 30}, Estimate: time.Second}}
		cl.workers.durations = map[string]time.Duration{}
		for cell := range count {
			busy := jobAt(cell, count, 1, 1)
			busy.Steps = wholeWorker
			cl.workers.update(func(f *fakeWorkers) { f.durations[busy.ID] = time.Hour })
			require.NoError(t, submit(cl.nodes["a"], busy))
			// The next load of each cell shows the job.
			time.Sleep(2 * time.Second)
			require.Equal(t, 1, cl.runningTasks(busy.ID))
		}
		j := jobAt(home, count, 100, 1)
		j.Steps = []batch.Step{{Tasks: 1, Size: share.Resources{Processors: 16_000, Memory: 1 << 30}, Estimate: time.Second}}
		cl.workers.update(func(f *fakeWorkers) { f.durations[j.ID] = time.Hour })
		require.NoError(t, submit(cl.nodes["a"], j))
		require.False(t, cl.isHandedOver(j, count))

		// The commit that hands the job over has no answer for a while.
		var handOverAt time.Time
		began := make(chan struct{})
		cl.store.update(func(s *fakeStore) {
			s.loseAnswer = func(txn store.Txn) (bool, time.Duration) {
				isHandOver := slices.ContainsFunc(txn.Then, func(op store.Op) bool { return op.Key == keysOfCell(to).inbox+j.ID })
				if !isHandOver {
					return false, 0
				}
				if handOverAt.IsZero() {
					handOverAt = time.Now()
					close(began)
				}
				return time.Since(handOverAt) < 300*time.Millisecond, time.Hour
			}
		})
		added := workersOfCells(count, 1000)[to]
		cl.workers.update(func(f *fakeWorkers) { f.workers[added] = newFakeWorkers(time.Second, added).workers[added] })
		cl.store.put(testPrefix+added, []byte(added))
		select {
		case <-began:
		case <-time.After(20 * time.Second):
			t.Fatal("the job was not handed over")
		}
		time.Sleep(10 * time.Millisecond)
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		known, err := cl.nodes["b"].Cancel(ctx, j.ID)
		require.NoError(t, err)
		require.True(t, known, "the cancel counts as done, since the job is not known")
		time.Sleep(5 * time.Second)
		require.Zero(t, cl.runningTasks(j.ID))
		require.Equal(t, batch.Cancelled, state(t, cl.nodes["c"], j.ID))
	})
}
