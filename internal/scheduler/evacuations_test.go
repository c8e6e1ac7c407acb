package scheduler

import (
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/internal/batch"
)

const testEvacuationPrefix = "evacuated/"

func testEvacuations() *EvacuationKeys {
	return &EvacuationKeys{Prefix: testEvacuationPrefix, Deadline: 5 * time.Second, Decode: func(key string) (string, error) {
		d := strings.TrimPrefix(key, testEvacuationPrefix)
		if d == "" {
			return "", errors.New("no name")
		}
		return d, nil
	}}
}

// Nothing starts in a data centre later than the deadline after its evacuation, whatever fails meanwhile, and
// no job is lost.
func TestNothingStartsLongAfterEvacuation(t *testing.T) {
	const evacuatedFor = 20 * time.Second
	for _, c := range []struct {
		name string
		// before happens 100 ms before the request, after 50 ms after it, over when it ends 8 s later.
		before, after, over func(cl *cluster)
		// all means that the other data centre is evacuated, too, withheld that nothing starts at all from the
		// deadline on until that is over.
		all, withheld bool
	}{
		{name: "no failure"},
		{name: "the leader crashes before", before: crashLeader},
		{name: "the leader crashes after", after: crashLeader},
		{
			name: "the store refuses all", after: func(cl *cluster) { cl.store.update(func(s *fakeStore) { s.refuseAll = true }) }, withheld: true,
			over: func(cl *cluster) { cl.store.update(func(s *fakeStore) { s.refuseAll = false }) },
		},
		{
			name: "the store refuses the leader", before: func(cl *cluster) { refuseLeader(cl) },
			over: func(cl *cluster) { cl.store.update(func(s *fakeStore) { clear(s.refusedClients) }) },
		},
		{
			name: "the store refuses listings, but renews leases", withheld: true,
			before: func(cl *cluster) { cl.store.update(func(s *fakeStore) { s.refusedPrefix = testEvacuationPrefix }) },
			over:   func(cl *cluster) { cl.store.update(func(s *fakeStore) { s.refusedPrefix = "" }) },
		},
		{
			name: "watches hear nothing, and the history is lost",
			before: func(cl *cluster) {
				cl.store.update(func(s *fakeStore) { s.stalledWatches["a"], s.stalledWatches["b"] = true, true })
			},
			over: func(cl *cluster) { cl.store.update(func(s *fakeStore) { clear(s.stalledWatches) }) },
		},
		{name: "a key without a name beside it", before: func(cl *cluster) { cl.store.put(testEvacuationPrefix, nil) }},
		{name: "a data centre without workers beside it", before: func(cl *cluster) { cl.store.put(testEvacuationPrefix+"west", nil) }},
		{name: "the request is repeated", after: func(cl *cluster) { cl.store.put(testEvacuationPrefix+"south", []byte("{}")) }},
		{name: "all data centres", all: true, withheld: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newCluster(t, 300*time.Millisecond, "north-1", "south-1")
				defer cl.stop()
				cl.addNode("a")
				cl.addNode("b")
				time.Sleep(3 * time.Second)
				stopLoad := loadCluster(cl)
				time.Sleep(2 * time.Second)
				call := func(f func(*cluster)) {
					if f != nil {
						f(cl)
					}
				}
				call(c.before)
				time.Sleep(100 * time.Millisecond)
				evacuatedAt := time.Now()
				cl.store.put(testEvacuationPrefix+"south", nil)
				if c.all {
					cl.store.put(testEvacuationPrefix+"north", nil)
				}
				time.Sleep(50 * time.Millisecond)
				call(c.after)
				time.Sleep(8 * time.Second)
				failureOver := time.Now()
				call(c.over)
				time.Sleep(evacuatedFor - 8*time.Second)
				takenBack := time.Now()
				cl.store.remove(testEvacuationPrefix + "south")
				cl.store.remove(testEvacuationPrefix + "north")
				time.Sleep(3 * time.Second)
				accepted := stopLoad()
				time.Sleep(20 * time.Second)
				from := evacuatedAt.Add(5 * time.Second)
				require.Zero(t, cl.workers.startsBetween("south-1", from, takenBack), "starts after the deadline")
				require.Positive(t, cl.workers.startsBetween("south-1", takenBack, takenBack.Add(3*time.Second)), "no starts although it was taken back")
				if c.withheld {
					require.Zero(t, cl.workers.startsBetween("north-1", from, failureOver))
				} else {
					require.Positive(t, cl.workers.startsBetween("north-1", from, takenBack))
				}
				for _, id := range accepted {
					require.Equal(t, batch.Completed, state(t, anyNode(cl), id))
				}
			})
		})
	}
}

// crashLeader ends the leader's node.
func crashLeader(cl *cluster) {
	name, _ := cl.leader()
	cl.crash(name)
}

// refuseLeader makes the store refuse the leader's node.
func refuseLeader(cl *cluster) {
	name, _ := cl.leader()
	cl.store.update(func(s *fakeStore) { s.refusedClients[name] = true })
}

// anyNode returns a node that runs.
func anyNode(cl *cluster) *Scheduler {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for _, n := range cl.nodes {
		return n
	}
	return nil
}

// loadCluster submits a job each 100 ms until the returned function is called, which returns the accepted ones.
func loadCluster(cl *cluster) (stop func() []string) {
	done, accepted := make(chan struct{}), make(chan []string)
	go func() {
		var ids []string
		for i := 1; ; i++ {
			select {
			case <-done:
				accepted <- ids
				return
			case <-time.After(100 * time.Millisecond):
			}
			if j := testJob(i, 4); submit(anyNode(cl), j) == nil {
				ids = append(ids, j.ID)
			}
		}
	}()
	return func() []string {
		close(done)
		return <-accepted
	}
}

// A short deadline still leaves time in which runs may be started.
func TestEvacuationKeysAreReadInTime(t *testing.T) {
	for _, c := range []struct {
		deadline, maxAge, interval time.Duration
	}{
		{deadline: 5 * time.Second, maxAge: 4 * time.Second, interval: time.Second},
		{deadline: 3 * time.Second, maxAge: 2 * time.Second, interval: 500 * time.Millisecond},
		{deadline: time.Second, maxAge: 500 * time.Millisecond, interval: 125 * time.Millisecond},
		{deadline: time.Millisecond, maxAge: 500 * time.Millisecond, interval: 125 * time.Millisecond},
	} {
		k := &EvacuationKeys{Deadline: c.deadline}
		require.Equal(t, c.maxAge, k.maxAge())
		require.Equal(t, c.interval, k.readInterval())
	}
}

// A leader that has just been elected knows what is evacuated before its first start, and does not serve without.
func TestNewLeaderReadsEvacuationsBeforeItsFirstStart(t *testing.T) {
	for _, c := range []struct {
		name    string
		refused time.Duration
	}{
		{name: "the store answers"},
		{name: "the store refuses the listing at first", refused: 6 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newCluster(t, 300*time.Millisecond, "north-1", "south-1")
				defer cl.stop()
				begin := time.Now()
				cl.store.put(testEvacuationPrefix+"south", nil)
				value, err := batch.EncodeJob(testJob(1, 40))
				require.NoError(t, err)
				cl.store.put(keysOfCell(0).inbox+testJob(1, 40).ID, value)
				if c.refused > 0 {
					cl.store.update(func(s *fakeStore) { s.refusedPrefix = testEvacuationPrefix })
				}
				a := cl.addNode("a")
				time.Sleep(c.refused)
				require.Zero(t, cl.workers.startsBetween("north-1", begin, begin.Add(c.refused)))
				cl.store.update(func(s *fakeStore) { s.refusedPrefix = "" })
				time.Sleep(6 * time.Second)
				require.Equal(t, batch.Completed, state(t, a, testJob(1, 40).ID))
				require.Zero(t, cl.workers.startsBetween("south-1", begin, time.Now()))
			})
		})
	}
}
