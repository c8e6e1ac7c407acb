package membership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/internal/grant"
	"github.com/oriolepond/oriolepond/internal/store"
)

// A lapse is dated by the last time at which the watch saw a registration end,
// and not before anything was forgotten that could have made a promise.
func TestAbsenceIsDatedByTheWatch(t *testing.T) {
	const region = "bajio"
	all := grant.Table{}
	for _, id := range []string{"a", "b", "c"} {
		all = all.With(grant.Member{ID: id, Region: region})
	}
	start := time.Unix(1_800_000_000, 0)
	entry := func(id string) store.Entry { return store.Entry{Key: MemberPrefix + id} }
	ends := func(id string) store.Change { return store.Change{Entry: entry(id), Deleted: true} }
	begins := func(id string) store.Change { return store.Change{Entry: entry(id)} }
	becomes := func(table grant.Table) store.Change {
		value, err := grant.Encode(table)
		require.NoError(t, err)
		return store.Change{Entry: store.Entry{Key: TableKey, Value: value}}
	}
	cases := []struct {
		name string
		// registered are the members that the reading before the watch shows.
		registered []string
		// changes come one second after the other.
		changes []store.Change
		// since is after how many seconds c is absent for good, or -1.
		since int
	}{
		{"its registration ends", []string{"a", "b", "c"}, []store.Change{ends("c"), becomes(all.Without("c"))}, 1},
		{"it was absent before the watch", []string{"a", "b"}, []store.Change{becomes(all.Without("c"))}, 0},
		{
			"it registered again",
			[]string{"a", "b", "c"},
			[]store.Change{ends("c"), begins("c"), ends("c"), becomes(all.Without("c"))},
			3,
		},
		{"it leaves by itself", []string{"a", "b", "c"}, []store.Change{becomes(all.Without("c")), ends("c")}, -1},
		{
			"another was forgotten meanwhile",
			[]string{"a", "c"},
			[]store.Change{
				becomes(all.Without("b")), ends("c"),
				becomes(all.Without("b").Forget("b")), becomes(all.Without("b").Forget("b").Without("c")),
			},
			3,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := &registry{peers: map[string]Peer{}, table: all}
			for _, id := range c.registered {
				r.peers[id] = Peer{Member: id}
			}
			a := newAbsence(r, start)
			gone := map[string]time.Time{}
			for n, change := range c.changes {
				gone = a.apply(store.Update{Changes: []store.Change{change}}, start.Add(time.Duration(n+1)*time.Second))
				if len(gone) > 0 && !gone["c"].IsZero() {
					break
				}
			}
			if c.since < 0 {
				require.Empty(t, gone["c"])
				return
			}
			require.Equal(t, start.Add(time.Duration(c.since)*time.Second), gone["c"])
		})
	}
}
