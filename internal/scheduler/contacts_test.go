package scheduler

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/internal/batch"
	"github.com/oriolepond/oriolepond/internal/store"
)

// Guards against tasks that have no run for over 10 s although their worker never had another incarnation:
// it was lost soon after its start, and after leaders had changed. If a leader was lost as well, the next
// one cannot know that.
func TestYoungWorkerIsWaitedForAsKnownByEarlierLeaders(t *testing.T) {
	for _, c := range []struct {
		name string
		// late means that the worker that is lost starts in the second term.
		late  bool
		crash bool
		long  bool
	}{
		{name: "planned stops"},
		{name: "planned stops, a worker that starts in the second term", late: true},
		{name: "the first leader is lost", crash: true, long: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newCluster(t, 10*time.Minute, "w1", "w2", "w3")
				defer cl.stop()
				cl.workers.age = time.Second
				if c.late {
					cl.store.remove(testPrefix + "w1")
				}
				for _, name := range []string{"a", "b", "c"} {
					cl.addNode(name)
				}
				time.Sleep(2 * time.Second)
				first := cl.awaitLeader()
				if c.crash {
					cl.crash(first)
					time.Sleep(3 * time.Second)
				} else {
					cl.nodes[first].StepDown()
					time.Sleep(500 * time.Millisecond)
				}
				second := cl.awaitLeader()
				require.NotEqual(t, first, second)
				if c.late {
					cl.store.put(testPrefix+"w1", []byte("w1"))
				}
				time.Sleep(500 * time.Millisecond)
				require.NoError(t, submit(cl.nodes[second], testJob(1, 9)))
				time.Sleep(500 * time.Millisecond)
				require.Equal(t, 9, cl.runningOn("w1", "w2", "w3"))
				require.Positive(t, cl.runningOn("w1"))
				cl.lose("w1")
				cl.nodes[second].StepDown()
				waited := cl.awaitRunning(9, 20*time.Second, "w2", "w3")
				timing := batch.DefaultTiming()
				if c.long {
					require.Greater(t, waited, timing.MaxLease)
				} else {
					require.Less(t, waited, timing.Lease+time.Second)
				}
			})
		})
	}
}

// Guards against a term that ends while it restores the cell's records and forgets which workers earlier
// leaders have called.
func TestContactsOutlastTermThatWasNotRestored(t *testing.T) {
	now := time.Unix(1_000_000_000, 0)
	want := batch.Contacts{Seen: batch.Witnesses{1, 2}, First: batch.Witnesses{3}}
	for _, c := range []struct {
		name      string
		inherited *batch.Contacts
		open      []openTerm
		want      *batch.Contacts
	}{
		{name: "contacts known", inherited: &want, want: &want},
		{name: "contacts unknown"},
		{
			name: "an earlier leader may still call workers", inherited: &want,
			open: []openTerm{{leaderRef: leaderRef{ID: "a"}, renewsUntil: now.Add(time.Second)}},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := &Leader{terms: &terms{inherited: c.inherited, open: c.open}}
			l.recordContacts()
			value, err := l.terms.value(now, true)
			require.NoError(t, err)
			require.Equal(t, c.want, inheritedContacts(store.Entry{Value: value}))
		})
	}
}
