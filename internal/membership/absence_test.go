package membership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/internal/grant"
	"github.com/oriolepond/oriolepond/internal/store"
)

// A member's absence starts when the watch last saw its registration end. If another
// member was forgotten after that, the absence starts then, because the forgotten member
// may have given the absent one a promise.
func TestAbsenceStartsWhenWatchSeesDeletion(t *testing.T) {
	const region = "bajio"
	fullTable := grant.Table{}
	for _, id := range []string{"a", "b", "c"} {
		fullTable = fullTable.With(grant.Member{ID: id, Region: region})
	}
	start := time.Unix(1_800_000_000, 0)
	entry := func(id string) store.Entry { return store.Entry{Key: MemberPrefix + id} }
	deleted := func(id string) store.Change { return store.Change{Entry: entry(id), Deleted: true} }
	registered := func(id string) store.Change { return store.Change{Entry: entry(id)} }
	tableWritten := func(table grant.Table) store.Change {
		value, err := grant.Encode(table)
		require.NoError(t, err)
		return store.Change{Entry: store.Entry{Key: TableKey, Value: value}}
	}
	cases := []struct {
		name string
		// registered are the members in the snapshot that is read before the watch.
		registered []string
		// changes arrive one second apart, the first a second after the start of the watch.
		changes []store.Change
		// since is the start of c's absence in seconds after the start of the watch, or -1
		// if c is not known to be absent for good.
		since int
	}{
		{"its registration ends", []string{"a", "b", "c"}, []store.Change{deleted("c"), tableWritten(fullTable.Without("c"))}, 1},
		{"it was absent before the watch", []string{"a", "b"}, []store.Change{tableWritten(fullTable.Without("c"))}, 0},
		{
			"it registered again",
			[]string{"a", "b", "c"},
			[]store.Change{deleted("c"), registered("c"), deleted("c"), tableWritten(fullTable.Without("c"))},
			3,
		},
		{"it leaves on a planned stop", []string{"a", "b", "c"}, []store.Change{tableWritten(fullTable.Without("c")), deleted("c")}, -1},
		{
			"another member was forgotten meanwhile",
			[]string{"a", "c"},
			[]store.Change{
				tableWritten(fullTable.Without("b")), deleted("c"),
				tableWritten(fullTable.Without("b").Forget("b")), tableWritten(fullTable.Without("b").Forget("b").Without("c")),
			},
			3,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := &registry{peers: map[string]Peer{}, table: fullTable}
			for _, id := range c.registered {
				r.peers[id] = Peer{Member: id}
			}
			a := newAbsenceTracker(r, start)
			endedSince := map[string]time.Time{}
			for n, change := range c.changes {
				endedSince = a.apply(store.Update{Changes: []store.Change{change}}, start.Add(time.Duration(n+1)*time.Second))
				if len(endedSince) > 0 && !endedSince["c"].IsZero() {
					break
				}
			}
			if c.since < 0 {
				require.Empty(t, endedSince["c"])
				return
			}
			require.Equal(t, start.Add(time.Duration(c.since)*time.Second), endedSince["c"])
		})
	}
}
