package scheduler

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/internal/batch"
)

// Guards against an accepted job that never runs: its queue was removed between its arrival and the
// commit that stored it, or on the node that stored it for another one.
func TestJobKeepsThePolicyThatItArrivedWith(t *testing.T) {
	removed := batch.QueueConfig{Version: 2, Queues: map[string]batch.Queue{}}
	for _, c := range []struct {
		name string
		// submit submits a job, whose queue the front has, while the leader does not serve.
		submit func(cl *cluster, leader, front, other string, j batch.Job) error
	}{
		{"removed while the node calls the leader", func(cl *cluster, leader, front, other string, j batch.Job) error {
			thaw := cl.freeze(leader)
			defer thaw()
			done := make(chan error, 1)
			go func() { done <- submit(cl.nodes[front], j) }()
			time.Sleep(leaderCallTimeout / 2)
			for _, name := range []string{front, other} {
				cl.nodes[name].SetTable(removed)
			}
			cl.crash(leader)
			return <-done
		}},
		{"removed on the node that stores it for another", func(cl *cluster, leader, front, other string, j batch.Job) error {
			cl.crash(leader)
			cl.nodes[other].SetTable(removed)
			cl.nodes[front].Peers = []string{other}
			cl.store.update(func(s *fakeStore) { s.refusedClients[front] = true })
			return submit(cl.nodes[front], j)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newCluster(t, time.Second, "w1")
				defer cl.stop()
				for _, name := range []string{"a", "b", "c"} {
					cl.addNode(name)
				}
				time.Sleep(3 * time.Second)
				leader := cl.awaitLeader()
				nodes := others(leader)
				j := testJob(1, 2)
				require.NoError(t, c.submit(cl, leader, nodes[0], nodes[1], j))
				for _, node := range cl.nodes {
					node.SetTable(removed)
				}
				time.Sleep(10 * time.Second)
				require.Equal(t, batch.Completed, state(t, cl.nodes[nodes[1]], j.ID))
			})
		})
	}
}
