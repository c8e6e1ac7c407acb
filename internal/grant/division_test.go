package grant_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/internal/grant"
)

const (
	region = "bajio"
	runner = "runner-1"
	slots  = 8
)

func tableOf(ids ...string) grant.Table {
	var t grant.Table
	for _, id := range ids {
		t = t.With(grant.Member{ID: id, Region: region})
	}
	return t
}

// A joiner gets nothing before the others have given it up, target by target.
func TestGainWaitsForRelease(t *testing.T) {
	a, b := grant.NewDivision("a", region), grant.NewDivision("b", region)
	alone, both := tableOf("a"), tableOf("a", "b")
	a.Observe(alone)
	a.Report("a", grant.Report{Epoch: alone.Epoch})
	require.Equal(t, slots, a.Usable(runner, region, slots))

	b.Observe(both)
	b.Report("b", grant.Report{Epoch: both.Epoch})
	require.Zero(t, b.Usable(runner, region, slots), "a has not seen the table")

	a.Observe(both)
	require.Equal(t, 4, a.Usable(runner, region, slots), "a loss takes effect at once")
	b.Report("a", grant.Report{Epoch: both.Epoch, Over: []string{runner}})
	require.Zero(t, b.Usable(runner, region, slots), "a has more in flight than its part")
	require.Equal(t, 4, b.Usable("runner-2", region, slots), "nothing is over there")

	b.Report("a", grant.Report{Epoch: both.Epoch})
	require.Equal(t, 4, b.Usable(runner, region, slots))
}

// A departed member keeps its part from others until it is gone.
func TestPartOfDepartedMember(t *testing.T) {
	a := grant.NewDivision("a", region)
	both := tableOf("a", "b")
	for _, table := range []grant.Table{both, both.Without("b")} {
		a.Observe(table)
		a.Report("a", grant.Report{Epoch: table.Epoch})
		a.Report("b", grant.Report{Epoch: both.Epoch})
	}
	require.Equal(t, 4, a.Usable(runner, region, slots))
	a.Gone("b")
	require.Equal(t, slots, a.Usable(runner, region, slots))
}

func TestTableKeepsDepartedMembers(t *testing.T) {
	text, err := grant.Encode(tableOf("a", "b", "c").Without("b"))
	require.NoError(t, err)
	table, err := grant.Decode(text)
	require.NoError(t, err)
	require.Len(t, table.Entries(region), 3)
	require.True(t, table.HasDeparted("b"))
	require.False(t, table.Forget("b").HasDeparted("b"))
}

// A change of members moves only the keys of the members that changed.
func TestOwnersMoveLittle(t *testing.T) {
	before, after := tableOf("a", "b", "c"), tableOf("a", "b", "c").Without("b")
	for _, key := range []string{"1", "2", "3", "4", "5", "6", "7", "8"} {
		if owner := before.Owner(key, region); owner != "b" {
			require.Equal(t, owner, after.Owner(key, region))
		}
	}
}

func BenchmarkUsable(b *testing.B) {
	d := grant.NewDivision("c", region)
	table := tableOf("a", "b", "c", "d", "e", "f", "g")
	d.Observe(table)
	b.ReportAllocs()
	for b.Loop() {
		d.Usable(runner, region, slots)
	}
}

func BenchmarkOwner(b *testing.B) {
	table := tableOf("a", "b", "c", "d", "e", "f", "g")
	b.ReportAllocs()
	for b.Loop() {
		table.Owner("0192f3c0-8a41-7cc1-9c1e-0f6a7b1d2e3f", region)
	}
}
