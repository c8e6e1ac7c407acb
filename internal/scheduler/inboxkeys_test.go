package scheduler

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/internal/batch"
	"github.com/oriolepond/oriolepond/internal/store"
)

// Guards against a cancel that is lost with its leader after its caller was told that it is done: the commit of an older record of
// the job removed it from the inbox.
func TestCancelLeavesInboxWithItsRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, time.Second, "w1")
		defer cl.stop()
		node := cl.addNode("a")
		time.Sleep(2 * time.Second)
		cl.store.update(func(s *fakeStore) { s.latency["a"] = 100 * time.Millisecond })
		k := keysOfCell(0)
		first, cancelled := testJob(1, 1), testJob(3, 1)
		cancelKey := k.inbox + cancelled.ID + cancelSuffix
		var states []batch.State
		refused := false
		cl.store.update(func(s *fakeStore) {
			// The commit of three records is refused, so that they are committed one by one.
			s.refuseValue = func(key string, _ []byte) bool {
				if refused || key != k.jobs+first.ID {
					return false
				}
				refused = true
				go cl.store.put(cancelKey, cancelValue)
				return true
			}
			s.loseAnswer = func(txn store.Txn) (bool, time.Duration) {
				removed, recorded := false, batch.State("")
				for _, op := range txn.Then {
					removed = removed || op.Kind == store.OpDelete && op.Key == cancelKey
					if op.Kind != store.OpDelete && op.Key == k.jobs+cancelled.ID {
						recorded, _, _ = batch.DecodeState(op.Value)
					}
				}
				if removed {
					states = append(states, recorded)
				}
				return false, 0
			}
		})
		go func() { _ = submit(node, testJob(0, 1)) }()
		time.Sleep(20 * time.Millisecond)
		for _, j := range []batch.Job{first, testJob(2, 1), cancelled} {
			go func() { _ = submit(node, j) }()
			time.Sleep(time.Millisecond)
		}
		time.Sleep(4 * time.Second)
		require.True(t, refused)
		require.Equal(t, []batch.State{batch.Cancelled}, states, "the states that were stored when the cancel was removed")
		require.Equal(t, batch.Cancelled, state(t, node, cancelled.ID))
		require.False(t, cl.store.has(cancelKey))
	})
}

// Guards against a cancel that stays in the inbox: it was written again while the commit that removed the first one had no answer.
func TestCancelThatIsWrittenAgainLeavesInbox(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, time.Hour, "w1")
		defer cl.stop()
		node := cl.addNode("a")
		time.Sleep(2 * time.Second)
		j := testJob(1, 1)
		require.NoError(t, submit(node, j))
		cancelKey := keysOfCell(0).inbox + j.ID + cancelSuffix
		writes := 1
		cl.store.update(func(s *fakeStore) {
			s.loseAnswer = func(txn store.Txn) (bool, time.Duration) {
				if writes > 1 || !slices.ContainsFunc(txn.Then, func(op store.Op) bool { return op.Key == cancelKey }) {
					return false, 0
				}
				writes++
				go cl.store.put(cancelKey, cancelValue)
				return true, 0
			}
		})
		cl.store.put(cancelKey, cancelValue)
		time.Sleep(4 * time.Second)
		require.Equal(t, 2, writes)
		require.Equal(t, batch.Cancelled, state(t, node, j.ID))
		require.False(t, cl.store.has(cancelKey))
	})
}
