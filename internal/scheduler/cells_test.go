package scheduler

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/internal/batch"
	"github.com/oriolepond/oriolepond/internal/store"
	"github.com/oriolepond/oriolepond/pkg/share"
)

// newCellCluster returns a cluster with the given number of cells, each of which has at least one worker.
func newCellCluster(t *testing.T, count int, duration time.Duration, nodes ...string) *cluster {
	var ids []string
	for i := range 8 {
		ids = append(ids, fmt.Sprintf("w%d", i))
	}
	cl := newCluster(t, duration, ids...)
	cl.store.put(CellsKey, []byte(strconv.Itoa(count)))
	for _, name := range nodes {
		cl.addNode(name)
	}
	time.Sleep(3 * time.Second)
	return cl
}

// jobAt returns the first of the test jobs numbered from, from+1, ... whose home is the cell.
func jobAt(cell, count, from, tasks int) batch.Job {
	for i := from; ; i++ {
		if j := testJob(i, tasks); batch.HomeOf(j.ID, count) == cell {
			return j
		}
	}
}

// leaderOf returns the name of the node that leads a cell and its term, or nil if none does.
func (cl *cluster) leaderOf(cell int) (string, *Leader) {
	for name, node := range cl.nodes {
		if m := node.member(cell); m != nil && m.localLeader() != nil {
			return name, m.localLeader()
		}
	}
	return "", nil
}

// isHandedOver reports whether a job's home cell has handed it over.
func (cl *cluster) isHandedOver(j batch.Job, count int) bool {
	_, leader := cl.leaderOf(batch.HomeOf(j.ID, count))
	if leader == nil {
		return false
	}
	leader.mu.Lock()
	defer leader.mu.Unlock()
	_, moved := leader.core.ForwardedTo(j.ID)
	return moved
}

func TestLeadersSpreadOverNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCellCluster(t, 3, time.Second, "a", "b", "c")
		defer cl.stop()
		cellsLed := map[string]int{}
		for cell := range 3 {
			name, leader := cl.leaderOf(cell)
			require.NotNil(t, leader, "cell %d", cell)
			cellsLed[name]++
		}
		require.Len(t, cellsLed, 3, "one node leads several cells while another leads none")
	})
}

// Many wide jobs have the same home cell. They have to run in all cells, each task
// once, and every node has to find each job.
func TestBurstInOneHomeCellUsesAllCells(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const count = 2
		cl := newCellCluster(t, count, 2*time.Second, "a", "b", "c")
		defer cl.stop()
		var jobs []batch.Job
		moved := 0
		for i := range 12 {
			j := jobAt(0, count, 100*i, 30)
			require.NoError(t, submit(cl.nodes["a"], j))
			jobs = append(jobs, j)
			if cl.isHandedOver(j, count) {
				moved++
			}
		}
		require.Positive(t, moved, "no job was handed over")
		require.Less(t, moved, len(jobs), "all jobs were handed over")
		time.Sleep(20 * time.Second)
		for _, j := range jobs {
			for _, node := range cl.nodes {
				require.Equal(t, batch.Completed, state(t, node, j.ID))
			}
		}
		cl.workers.update(func(f *fakeWorkers) { require.Equal(t, 12*31, f.starts) })
	})
}

// submitUntilHandOver submits jobs with one home cell until one is handed over, and returns that job.
func submitUntilHandOver(t *testing.T, cl *cluster, count int) batch.Job {
	t.Helper()
	for i := range 20 {
		j := jobAt(0, count, 100*i, 30)
		require.NoError(t, submit(cl.nodes["a"], j))
		if cl.isHandedOver(j, count) {
			return j
		}
	}
	t.Fatal("no job was handed over")
	return batch.Job{}
}

// A repeated submission has to find the job in the cell to which it was handed over,
// even under a new leader of the home cell that knows only the job's record.
func TestRepeatedSubmitOfHandedOverJobIsOneJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const count = 2
		cl := newCellCluster(t, count, 5*time.Second, "a", "b", "c")
		defer cl.stop()
		j := submitUntilHandOver(t, cl, count)
		home, _ := cl.leaderOf(0)
		other := cl.addNode("d")
		time.Sleep(100 * time.Millisecond)
		cl.kill(home)
		require.NoError(t, submit(other, j), "the home cell has no leader")
		time.Sleep(5 * time.Second)
		require.NoError(t, submit(other, j), "the home cell has a new leader")
		require.True(t, cl.isHandedOver(j, count))
		time.Sleep(60 * time.Second)
		require.Equal(t, batch.Completed, state(t, other, j.ID))
	})
}

// The cancel of a handed-over job has to reach it, whether the leader of the home
// cell answers or the next leader finds the cancel in the home cell's inbox.
func TestCancelReachesHandedOverJob(t *testing.T) {
	for _, c := range []struct {
		name    string
		inInbox bool
	}{
		{name: "the leader of the home cell answers"},
		{name: "the cancel is in the inbox of the home cell", inInbox: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const count = 2
				cl := newCellCluster(t, count, 30*time.Second, "a", "b", "c")
				defer cl.stop()
				j := submitUntilHandOver(t, cl, count)
				if c.inInbox {
					cl.store.put(keysOfCell(0).inbox+j.ID+cancelSuffix, cancelValue)
				} else {
					known, err := cl.nodes["b"].Cancel(context.Background(), j.ID)
					require.NoError(t, err)
					require.True(t, known)
				}
				time.Sleep(2 * time.Second)
				for _, node := range cl.nodes {
					require.Equal(t, batch.Cancelled, state(t, node, j.ID))
				}
				cl.workers.update(func(f *fakeWorkers) {
					for _, worker := range f.workers {
						for name := range worker.running {
							require.NotEqual(t, j.ID, name.Job, "a task of the cancelled job still runs")
						}
					}
				})
			})
		})
	}
}

// Guards against a cancel that stays in the inbox for good: it is for tasks that had been delegated and came back to the
// cell of their job, which is cancelled already.
func TestCancelOfReturnedTasksLeavesInbox(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const count = 2
		cl := newCellCluster(t, count, 30*time.Second, "a", "b")
		defer cl.stop()
		const home = 1
		j := jobAt(home, count, 1, 2)
		require.NoError(t, submit(cl.nodes["a"], j))
		require.False(t, cl.isHandedOver(j, count))
		known, err := cl.nodes["a"].Cancel(context.Background(), j.ID)
		require.NoError(t, err)
		require.True(t, known)
		key := keysOfCell(home).inbox + batch.DelegatedID(j.ID) + cancelSuffix
		cl.store.put(key, cancelValue)
		time.Sleep(time.Second)
		cl.store.update(func(s *fakeStore) { require.False(t, slices.Contains(slices.Collect(maps.Keys(s.items)), key)) })
		require.Equal(t, batch.Cancelled, state(t, cl.nodes["b"], j.ID))
	})
}

// While one cell has no leader, the other cell has to start tasks as usual.
func TestLeaderLossAffectsOnlyItsCell(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const count = 2
		cl := newCellCluster(t, count, time.Second, "a", "b", "c")
		defer cl.stop()
		killed, _ := cl.leaderOf(0)
		cl.kill(killed)
		var survivor *Scheduler
		for _, node := range cl.nodes {
			survivor = node
		}
		j := jobAt(1, count, 1, 4)
		require.NoError(t, submit(survivor, j))
		time.Sleep(400 * time.Millisecond)
		require.Equal(t, batch.Active, state(t, survivor, j.ID))
	})
}

func TestCellCountFitsDeployment(t *testing.T) {
	for _, c := range []struct {
		name   string
		before func(cl *cluster)
		want   string
	}{
		{name: "workers that register late are counted", want: "2", before: func(cl *cluster) {
			for i := range 650 {
				if i == 200 {
					time.Sleep(2 * time.Second)
				}
				cl.store.put(fmt.Sprintf("%sx%d", testPrefix, i), []byte(fmt.Sprint(i)))
			}
		}},
		{name: "a small deployment has one cell", want: "1", before: func(cl *cluster) {}},
		{name: "entries that cannot be decoded are not counted", want: "2", before: func(cl *cluster) {
			cl.store.remove(testPrefix + "w1")
			cl.store.put(testPrefix+"odd", []byte(oddEntry))
			time.Sleep(8 * time.Second)
			for i := range 650 {
				cl.store.put(fmt.Sprintf("%sx%d", testPrefix, i), []byte(fmt.Sprint(i)))
			}
		}},
		{name: "a deployment older than cells keeps one cell", want: "1", before: func(cl *cluster) {
			cl.store.put(keysOfCell(0).head, []byte("1/1"))
			for i := range 650 {
				cl.store.put(fmt.Sprintf("%sx%d", testPrefix, i), []byte(fmt.Sprint(i)))
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newCluster(t, time.Second, "w1")
				defer cl.stop()
				cl.store.remove(CellsKey)
				cl.addNode("a")
				cl.addNode("b")
				c.before(cl)
				time.Sleep(15 * time.Second)
				cl.store.update(func(s *fakeStore) { require.Equal(t, c.want, string(s.items[CellsKey].Value)) })
				require.Len(t, cl.nodes["a"].allMembers(), len(cl.nodes["b"].allMembers()))
			})
		})
	}
}

// A node that does not know the number of cells yet has to refuse calls with a retry time.
func TestNodeWithoutCellCountRefusesCalls(t *testing.T) {
	s := &Scheduler{}
	var unavailable *UnavailableError
	require.ErrorAs(t, s.Submit(context.Background(), testJob(1, 1)), &unavailable)
	require.Positive(t, unavailable.RetryAfter)
	_, _, err := s.State(context.Background(), "j")
	require.ErrorAs(t, err, &unavailable)
}

// The forwarding record of a job has to be removed once the job's new cell has forgotten the job.
func TestForwardingRecordOfForgottenJobIsRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const count = 2
		cl := newCellCluster(t, count, time.Second, "a", "b")
		defer cl.stop()
		j := submitUntilHandOver(t, cl, count)
		time.Sleep(2 * batch.DefaultTiming().Retention)
		_, leader := cl.leaderOf(0)
		require.Eventually(t, func() bool {
			leader.mu.Lock()
			defer leader.mu.Unlock()
			return !leader.core.HasJob(j.ID)
		}, 2*batch.DefaultTiming().Retention, time.Second)
		cl.store.update(func(s *fakeStore) { require.NotContains(t, s.items, keysOfCell(0).jobs+j.ID) })
	})
}

// longRunningJob returns the job with its steps replaced by long-running tasks that need a
// quarter of a worker each.
func longRunningJob(j batch.Job, tasks int) batch.Job {
	j.Steps = []batch.Step{{Tasks: tasks, Size: share.Resources{Processors: 8000, Memory: 1 << 30}, LongRunning: true}}
	return j
}

// runningTasks counts the tasks of a job that run on any worker.
func (cl *cluster) runningTasks(id string) int {
	n := 0
	cl.workers.update(func(f *fakeWorkers) {
		for _, worker := range f.workers {
			for name := range worker.running {
				if name.Job == id {
					n++
				}
			}
		}
	})
	return n
}

// Long-running tasks of a full cell have to run in another cell, go on there under
// the next leader, and end with their job.
func TestFullCellDelegatesLongRunningTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const count = 2
		cl := newCellCluster(t, count, time.Hour, "a", "b", "c")
		defer cl.stop()
		// The job does not fit into one cell: about half of its tasks fill its home cell.
		j := longRunningJob(jobAt(0, count, 1, 1), 28)
		require.NoError(t, submit(cl.nodes["a"], j))
		time.Sleep(5 * time.Second)
		require.Equal(t, 28, cl.runningTasks(j.ID), "long-running tasks wait although another cell has free capacity")
		for cell := range count {
			killed, _ := cl.leaderOf(cell)
			cl.addNode(fmt.Sprintf("%s-%d", killed, cell))
			cl.kill(killed)
			time.Sleep(6 * time.Second)
			require.Equal(t, 28, cl.runningTasks(j.ID), "cell %d has a new leader", cell)
		}
		for _, node := range cl.nodes {
			known, err := node.Cancel(context.Background(), j.ID)
			require.NoError(t, err)
			require.True(t, known)
		}
		time.Sleep(3 * time.Second)
		require.Zero(t, cl.runningTasks(j.ID))
	})
}

// A worker that was removed and a queue that was deleted must not be used after any
// restart, although the worker still answers.
func TestRemovedWorkerAndQueueStayUnusedAfterRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, time.Second, "w1", "w2")
		defer cl.stop()
		cl.addNode("a")
		time.Sleep(2 * time.Second)
		require.NoError(t, submit(cl.nodes["a"], testJob(1, 8)))
		time.Sleep(5 * time.Second)
		cl.store.remove(testPrefix + "w2")
		time.Sleep(time.Second)
		cl.workers.update(func(f *fakeWorkers) { clear(f.workers["w2"].highestEndedRun) })
		for i := range 3 {
			cl.kill("a")
			a := cl.addNode("a")
			table := testTable()
			table.Version = int64(2 + i)
			table.Queues["other"] = table.Queues["review"]
			delete(table.Queues, "review")
			a.SetTable(table)
			time.Sleep(3 * time.Second)
			j := testJob(10+i, 8)
			require.ErrorAs(t, submit(a, j), new(*batch.NoQueueError))
			j.Queue = "other"
			require.NoError(t, submit(a, j))
			time.Sleep(5 * time.Second)
			require.Equal(t, batch.Completed, state(t, a, j.ID))
		}
		cl.workers.update(func(f *fakeWorkers) {
			require.Empty(t, f.workers["w2"].highestEndedRun, "a removed worker was used again")
			require.Empty(t, f.workers["w2"].running)
		})
	})
}

// A node that the store refuses has to submit through the leader of another cell
// while the job's home cell has no leader.
func TestNodeRefusedByStoreSubmitsThroughAnotherCell(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const count = 2
		cl := newCellCluster(t, count, time.Second, "a", "b", "c")
		defer cl.stop()
		home, _ := cl.leaderOf(0)
		refused := ""
		for name, node := range cl.nodes {
			if node.member(0).localLeader() == nil && node.member(1).localLeader() == nil {
				refused = name
			}
		}
		require.NotEmpty(t, refused)
		cl.store.update(func(s *fakeStore) { s.refusedClients[refused] = true })
		cl.kill(home)
		j := jobAt(0, count, 1, 4)
		require.NoError(t, submit(cl.nodes[refused], j))
		time.Sleep(10 * time.Second)
		cl.store.update(func(s *fakeStore) { s.refusedClients[refused] = false })
		require.Equal(t, batch.Completed, state(t, cl.nodes[refused], j.ID))
	})
}

// Guards against a cancel that goes to the first cell: its job was being handed over to another cell, in a commit in progress.
func TestCancelAmidHandOverReachesJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const home, count = 2, 3
		cl := newCellCluster(t, count, time.Hour, "a", "b", "c")
		defer cl.stop()
		workers := 0
		for i := range 8 {
			if (batch.Cell{Index: home, Count: count}).HasWorker(fmt.Sprintf("w%d", i)) {
				workers++
			}
		}
		// Without the loads of the other cells, the home keeps a job that does not fit there.
		cl.store.update(func(s *fakeStore) { s.refusedPrefix = loadPrefix })
		time.Sleep(2 * loadValidity)
		require.NoError(t, submit(cl.nodes["a"], longRunningJob(jobAt(home, count, 1, 1), 4*workers)))
		time.Sleep(time.Second)
		j := jobAt(home, count, 100, 1)
		require.NoError(t, submit(cl.nodes["a"], j))
		handedOver := make(chan struct{})
		cl.store.update(func(s *fakeStore) {
			s.refusedPrefix = ""
			s.beforeCommit = func(_ string, txn store.Txn) error {
				if slices.ContainsFunc(txn.Then, func(op store.Op) bool { return op.Kind != store.OpDelete && strings.HasSuffix(op.Key, "/inbox/"+j.ID) }) {
					close(handedOver)
					time.Sleep(300 * time.Millisecond)
				}
				return nil
			}
		})
		<-handedOver
		known, err := cl.nodes["a"].Cancel(t.Context(), j.ID)
		require.NoError(t, err)
		require.True(t, known)
		time.Sleep(2 * time.Second)
		for _, node := range cl.nodes {
			require.Equal(t, batch.Cancelled, state(t, node, j.ID))
		}
	})
}
