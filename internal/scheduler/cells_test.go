package scheduler

import (
	"context"
	"fmt"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/internal/batch"
	"github.com/oriolepond/oriolepond/pkg/share"
)

// newCells returns a world that is divided, with a worker in each cell at least.
func newCells(t *testing.T, count int, duration time.Duration, nodes ...string) *world {
	var ids []string
	for i := range 8 {
		ids = append(ids, fmt.Sprintf("w%d", i))
	}
	w := newWorld(t, duration, ids...)
	w.store.put(CellsKey, []byte(strconv.Itoa(count)))
	for _, name := range nodes {
		w.add(name)
	}
	time.Sleep(3 * time.Second)
	return w
}

// jobAt returns the first job from a number on whose home is a cell.
func jobAt(cell, count, from, tasks int) batch.Job {
	for i := from; ; i++ {
		if j := testJob(i, tasks); batch.HomeOf(j.ID, count) == cell {
			return j
		}
	}
}

// holderOf returns the node that holds a cell.
func (w *world) holderOf(cell int) (string, *Holder) {
	for name, p := range w.nodes {
		if d := p.desk(cell); d != nil && d.local() != nil {
			return name, d.local()
		}
	}
	return "", nil
}

// handed returns whether the home of a job has handed it on.
func (w *world) handed(j batch.Job, count int) bool {
	_, h := w.holderOf(batch.HomeOf(j.ID, count))
	if h == nil {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	_, moved := h.core.ForwardedTo(j.ID)
	return moved
}

func TestCellsAreHeldByDifferentNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newCells(t, 3, time.Second, "a", "b", "c")
		defer w.end()
		held := map[string]int{}
		for cell := range 3 {
			name, h := w.holderOf(cell)
			require.NotNil(t, h, "cell %d", cell)
			held[name]++
		}
		require.Len(t, held, 3, "one node holds several cells while another holds none")
	})
}

// A burst of wide jobs that all come home to one cell runs in all of them, each
// task once, and each job is found through every node.
func TestBurstAtOneHomeSpreadsOverTheCells(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const count = 2
		w := newCells(t, count, 2*time.Second, "a", "b", "c")
		defer w.end()
		var jobs []batch.Job
		moved := 0
		for i := range 12 {
			j := jobAt(0, count, 100*i, 30)
			require.NoError(t, submit(w.nodes["a"], j))
			jobs = append(jobs, j)
			if w.handed(j, count) {
				moved++
			}
		}
		require.Positive(t, moved, "no job was handed on")
		require.Less(t, moved, len(jobs), "all jobs were handed on")
		time.Sleep(20 * time.Second)
		for _, j := range jobs {
			for _, p := range w.nodes {
				require.Equal(t, batch.Completed, state(t, p, j.ID))
			}
		}
		w.workers.set(func(f *fakeWorkers) { require.Equal(t, 12*31, f.starts) })
	})
}

// moveOne submits jobs at one home until one is handed on, and returns it.
func moveOne(t *testing.T, w *world, count int) batch.Job {
	t.Helper()
	for i := range 20 {
		j := jobAt(0, count, 100*i, 30)
		require.NoError(t, submit(w.nodes["a"], j))
		if w.handed(j, count) {
			return j
		}
	}
	t.Fatal("no job was handed on")
	return batch.Job{}
}

// A repeat of a submission finds the job where it went, also after the home has
// another holder that knows the job from its record alone.
func TestRepeatOfAHandedJobStaysOneJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const count = 2
		w := newCells(t, count, 5*time.Second, "a", "b", "c")
		defer w.end()
		j := moveOne(t, w, count)
		home, _ := w.holderOf(0)
		other := w.add("d")
		time.Sleep(100 * time.Millisecond)
		w.kill(home)
		require.NoError(t, submit(other, j), "the home has no holder")
		time.Sleep(5 * time.Second)
		require.NoError(t, submit(other, j), "the home has another holder")
		require.True(t, w.handed(j, count))
		time.Sleep(60 * time.Second)
		require.Equal(t, batch.Completed, state(t, other, j.ID))
	})
}

// The cancel of a job that was handed on ends it wherever it is, whether the
// home's holder answers, or the cancel waits in the home's inbox for the next one.
func TestCancelFollowsAHandedJob(t *testing.T) {
	for _, c := range []struct {
		name  string
		early bool
	}{
		{name: "the holder of the home answers"},
		{name: "the cancel was left in the inbox of the home", early: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const count = 2
				w := newCells(t, count, 30*time.Second, "a", "b", "c")
				defer w.end()
				j := moveOne(t, w, count)
				if c.early {
					w.store.put(keysOf(0).inbox+j.ID+cancelSuffix, cancelValue)
				} else {
					known, err := w.nodes["b"].Cancel(context.Background(), j.ID)
					require.NoError(t, err)
					require.True(t, known)
				}
				time.Sleep(2 * time.Second)
				for _, p := range w.nodes {
					require.Equal(t, batch.Cancelled, state(t, p, j.ID))
				}
				w.workers.set(func(f *fakeWorkers) {
					for _, o := range f.workers {
						for name := range o.running {
							require.NotEqual(t, j.ID, name.Job, "a task of the cancelled job runs on")
						}
					}
				})
			})
		})
	}
}

// The loss of one holder stops its cell alone.
func TestLossOfAHolderStopsItsCellAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const count = 2
		w := newCells(t, count, time.Second, "a", "b", "c")
		defer w.end()
		lost, _ := w.holderOf(0)
		w.kill(lost)
		var left *Scheduler
		for _, p := range w.nodes {
			left = p
		}
		j := jobAt(1, count, 1, 4)
		require.NoError(t, submit(left, j))
		time.Sleep(400 * time.Millisecond)
		require.Equal(t, batch.Active, state(t, left, j.ID))
	})
}

func TestNumberOfCells(t *testing.T) {
	for _, c := range []struct {
		name   string
		before func(w *world)
		want   string
	}{
		{name: "workers that register late count", want: "2", before: func(w *world) {
			for i := range 650 {
				if i == 200 {
					time.Sleep(2 * time.Second)
				}
				w.store.put(fmt.Sprintf("%sx%d", testPrefix, i), []byte(fmt.Sprint(i)))
			}
		}},
		{name: "a small deployment is not divided", want: "1", before: func(w *world) {}},
		{name: "a deployment from before there were cells stays as it is", want: "1", before: func(w *world) {
			w.store.put(keysOf(0).head, []byte("1/1"))
			for i := range 650 {
				w.store.put(fmt.Sprintf("%sx%d", testPrefix, i), []byte(fmt.Sprint(i)))
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, time.Second, "w1")
				defer w.end()
				w.store.remove(CellsKey)
				w.add("a")
				w.add("b")
				c.before(w)
				time.Sleep(15 * time.Second)
				w.store.set(func(s *fakeStore) { require.Equal(t, c.want, string(s.items[CellsKey].Value)) })
				require.Len(t, w.nodes["a"].all(), len(w.nodes["b"].all()))
			})
		})
	}
}

// A node that does not know the cells yet refuses with the time to come back.
func TestUndividedNodeRefuses(t *testing.T) {
	p := &Scheduler{}
	var away *UnavailableError
	require.ErrorAs(t, p.Submit(context.Background(), testJob(1, 1)), &away)
	require.Positive(t, away.RetryAfter)
	_, _, err := p.State(context.Background(), "j")
	require.ErrorAs(t, err, &away)
}

// The pointer to a job that was handed on goes once its cell has forgotten the job.
func TestPointerOfAForgottenJobGoes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const count = 2
		w := newCells(t, count, time.Second, "a", "b")
		defer w.end()
		j := moveOne(t, w, count)
		time.Sleep(2 * batch.DefaultTiming().Retention)
		_, h := w.holderOf(0)
		require.Eventually(t, func() bool {
			h.mu.Lock()
			defer h.mu.Unlock()
			return !h.core.HasJob(j.ID)
		}, 2*batch.DefaultTiming().Retention, time.Second)
		w.store.set(func(s *fakeStore) { require.NotContains(t, s.items, keysOf(0).jobs+j.ID) })
	})
}

// lastingJob is a job of tasks that last and take a quarter of a worker each.
func lastingJob(j batch.Job, tasks int) batch.Job {
	j.Steps = []batch.Step{{Tasks: tasks, Size: share.Resources{Processors: 8000, Memory: 1 << 30}, LongRunning: true}}
	return j
}

// running counts the tasks of a job that workers have.
func (w *world) running(id string) int {
	n := 0
	w.workers.set(func(f *fakeWorkers) {
		for _, o := range f.workers {
			for name := range o.running {
				if name.Job == id {
					n++
				}
			}
		}
	})
	return n
}

// Tasks that last run in another cell once their own is full, go on there under
// the next holder, and end with their job.
func TestFullCellLendsLastingTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const count = 2
		w := newCells(t, count, time.Hour, "a", "b", "c")
		defer w.end()
		// One job that fits into no single cell, of which the first part fills one.
		j := lastingJob(jobAt(0, count, 1, 1), 28)
		require.NoError(t, submit(w.nodes["a"], j))
		time.Sleep(5 * time.Second)
		require.Equal(t, 28, w.running(j.ID), "tasks that last wait although another cell has room")
		for cell := range count {
			lost, _ := w.holderOf(cell)
			w.add(fmt.Sprintf("%s-%d", lost, cell))
			w.kill(lost)
			time.Sleep(6 * time.Second)
			require.Equal(t, 28, w.running(j.ID), "cell %d has another holder", cell)
		}
		for _, p := range w.nodes {
			known, err := p.Cancel(context.Background(), j.ID)
			require.NoError(t, err)
			require.True(t, known)
		}
		time.Sleep(3 * time.Second)
		require.Zero(t, w.running(j.ID))
	})
}

// A worker that has left, and a queue that was withdrawn, stay out of use after
// any restart, although the worker still answers.
func TestWhatHasLeftStaysGoneAfterARestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, time.Second, "w1", "w2")
		defer w.end()
		w.add("a")
		time.Sleep(2 * time.Second)
		require.NoError(t, submit(w.nodes["a"], testJob(1, 8)))
		time.Sleep(5 * time.Second)
		w.store.remove(testPrefix + "w2")
		time.Sleep(time.Second)
		w.workers.set(func(f *fakeWorkers) { clear(f.workers["w2"].ceiling) })
		for i := range 3 {
			w.kill("a")
			a := w.add("a")
			withdrawn := testTable()
			withdrawn.Version = int64(2 + i)
			withdrawn.Queues["other"] = withdrawn.Queues["review"]
			delete(withdrawn.Queues, "review")
			a.SetTable(withdrawn)
			time.Sleep(3 * time.Second)
			j := testJob(10+i, 8)
			require.ErrorAs(t, submit(a, j), new(*batch.NoQueueError))
			j.Queue = "other"
			require.NoError(t, submit(a, j))
			time.Sleep(5 * time.Second)
			require.Equal(t, batch.Completed, state(t, a, j.ID))
		}
		w.workers.set(func(f *fakeWorkers) {
			require.Empty(t, f.workers["w2"].ceiling, "a worker that has left was used again")
			require.Empty(t, f.workers["w2"].running)
		})
	})
}

// A node that the store turns away submits through the holder of another cell
// while the job's home has no holder.
func TestRefusedNodeRelaysThroughAnotherCell(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const count = 2
		w := newCells(t, count, time.Second, "a", "b", "c")
		defer w.end()
		home, _ := w.holderOf(0)
		away := ""
		for name, p := range w.nodes {
			if p.desk(0).local() == nil && p.desk(1).local() == nil {
				away = name
			}
		}
		require.NotEmpty(t, away)
		w.store.set(func(s *fakeStore) { s.refused[away] = true })
		w.kill(home)
		j := jobAt(0, count, 1, 4)
		require.NoError(t, submit(w.nodes[away], j))
		time.Sleep(10 * time.Second)
		w.store.set(func(s *fakeStore) { s.refused[away] = false })
		require.Equal(t, batch.Completed, state(t, w.nodes[away], j.ID))
	})
}
