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
