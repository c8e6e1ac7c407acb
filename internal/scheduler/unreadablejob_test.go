package scheduler

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/internal/batch"
)

// Guards against a job that is lost, or whose tasks run again, because one leader cannot load its record: it was accepted anew
// when its submission was repeated, and the ends of its runs were acknowledged.
func TestJobOutlastsLeaderThatCannotLoadIt(t *testing.T) {
	for _, c := range []struct {
		name  string
		value string
		// readable means that the state in the record can be read.
		readable bool
	}{
		{name: "record of a newer version", value: `{"id":"1","queue":"review","state":"active","new":{}}`, readable: true},
		{name: "record that cannot be decoded", value: `{"id":`},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newCluster(t, 1200*time.Millisecond, "w1")
				defer cl.stop()
				for _, name := range []string{"a", "b", "c"} {
					cl.addNode(name)
				}
				time.Sleep(2 * time.Second)
				other := testJob(2, 1)
				cl.workers.durations = map[string]time.Duration{other.ID: time.Hour}
				j := testJob(1, 2)
				j.Steps = j.Steps[:1]
				first, _ := cl.leader()
				require.NoError(t, submit(cl.nodes[first], other))
				require.NoError(t, submit(cl.nodes[first], j))
				time.Sleep(300 * time.Millisecond)
				require.Equal(t, 3, cl.workers.startCount())

				key := keysOfCell(0).jobs + j.ID
				var record []byte
				cl.store.update(func(s *fakeStore) { record = s.items[key].Value })
				cl.crash(first)
				cl.store.put(key, []byte(c.value))
				time.Sleep(8 * time.Second)
				second, leader := cl.leader()
				require.NotNil(t, leader)
				node := cl.nodes[second]
				ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
				defer cancel()
				require.NoError(t, submit(node, j), "a repeated submission is the same job")
				s, known, err := node.State(ctx, j.ID)
				if c.readable {
					require.NoError(t, err)
					require.True(t, known)
					require.Equal(t, batch.Active, s)
				} else {
					require.Error(t, err)
				}
				time.Sleep(2 * time.Second)
				cl.store.update(func(s *fakeStore) { require.Equal(t, c.value, string(s.items[key].Value)) })

				cl.store.put(key, record)
				cl.crash(second)
				time.Sleep(10 * time.Second)
				third, _ := cl.leader()
				require.Equal(t, batch.Completed, state(t, cl.nodes[third], j.ID))
				require.Equal(t, 3, cl.workers.startCount())
			})
		})
	}
}

// A cancel of a job whose record the leader cannot load stays in the inbox for the next one.
func TestCancelOfUnreadableJobAwaitsNextLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, time.Hour, "w1")
		defer cl.stop()
		for _, name := range []string{"a", "b", "c"} {
			cl.addNode(name)
		}
		time.Sleep(2 * time.Second)
		j := testJob(1, 2)
		first, _ := cl.leader()
		require.NoError(t, submit(cl.nodes[first], j))
		time.Sleep(300 * time.Millisecond)
		k := keysOfCell(0)
		var record []byte
		cl.store.update(func(s *fakeStore) { record = s.items[k.jobs+j.ID].Value })
		cl.crash(first)
		cl.store.put(k.jobs+j.ID, []byte(`{"id":"1","queue":"review","state":"active","new":{}}`))
		time.Sleep(8 * time.Second)
		second, leader := cl.leader()
		require.NotNil(t, leader)
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		known, err := cl.nodes[second].Cancel(ctx, j.ID)
		require.NoError(t, err)
		require.True(t, known)
		time.Sleep(2 * time.Second)
		require.True(t, cl.store.has(k.inbox+j.ID+cancelSuffix))

		cl.store.put(k.jobs+j.ID, record)
		cl.crash(second)
		time.Sleep(10 * time.Second)
		third, _ := cl.leader()
		require.Equal(t, batch.Cancelled, state(t, cl.nodes[third], j.ID))
		require.False(t, cl.store.has(k.inbox+j.ID+cancelSuffix))
		require.Equal(t, 2, cl.workers.startCount())
	})
}
