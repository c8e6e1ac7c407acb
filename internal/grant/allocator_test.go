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

// A new member may use a target's slots only after the other members have released them;
// each target is settled separately.
func TestJoinerWaitsForReleasedSlots(t *testing.T) {
	a, b := grant.NewAllocator("a", region), grant.NewAllocator("b", region)
	alone, both := tableOf("a"), tableOf("a", "b")
	a.Observe(alone)
	a.SetReport("a", grant.Report{Epoch: alone.Epoch})
	require.Equal(t, slots, a.Usable(runner, region, slots))

	b.Observe(both)
	b.SetReport("b", grant.Report{Epoch: both.Epoch})
	require.Zero(t, b.Usable(runner, region, slots), "a has not seen the table")

	a.Observe(both)
	require.Equal(t, 4, a.Usable(runner, region, slots), "a smaller allocation takes effect at once")
	b.SetReport("a", grant.Report{Epoch: both.Epoch, Over: []string{runner}})
	require.Zero(t, b.Usable(runner, region, slots), "a has more in flight than its allocation")
	require.Equal(t, 4, b.Usable("runner-2", region, slots), "no instance is over its allocation there")

	b.SetReport("a", grant.Report{Epoch: both.Epoch})
	require.Equal(t, 4, b.Usable(runner, region, slots))
}

// The slots of a departed member stay reserved until it has terminated.
func TestDepartedMemberKeepsAllocationUntilTerminated(t *testing.T) {
	a := grant.NewAllocator("a", region)
	both := tableOf("a", "b")
	for _, table := range []grant.Table{both, both.Without("b")} {
		a.Observe(table)
		a.SetReport("a", grant.Report{Epoch: table.Epoch})
		a.SetReport("b", grant.Report{Epoch: both.Epoch})
	}
	require.Equal(t, 4, a.Usable(runner, region, slots))
	a.MarkTerminated("b")
	require.Equal(t, slots, a.Usable(runner, region, slots))
}

// A departed member stays in the table, also when that is stored and read again, until it
// is forgotten.
func TestTableKeepsDepartedMembers(t *testing.T) {
	text, err := grant.Encode(tableOf("a", "b", "c").Without("b"))
	require.NoError(t, err)
	table, err := grant.Decode(text)
	require.NoError(t, err)
	require.Len(t, table.Entries(region), 3)
	require.True(t, table.HasDeparted("b"))
	require.False(t, table.Forget("b").HasDeparted("b"))
}

// A membership change reassigns only the keys of the members that changed.
func TestMemberChangeMovesOnlyItsKeys(t *testing.T) {
	before, after := tableOf("a", "b", "c"), tableOf("a", "b", "c").Without("b")
	for _, key := range []string{"1", "2", "3", "4", "5", "6", "7", "8"} {
		if owner := before.Owner(key, region); owner != "b" {
			require.Equal(t, owner, after.Owner(key, region))
		}
	}
}

func BenchmarkUsable(b *testing.B) {
	a := grant.NewAllocator("c", region)
	table := tableOf("a", "b", "c", "d", "e", "f", "g")
	a.Observe(table)
	b.ReportAllocs()
	for b.Loop() {
		a.Usable(runner, region, slots)
	}
}

func BenchmarkOwner(b *testing.B) {
	table := tableOf("a", "b", "c", "d", "e", "f", "g")
	b.ReportAllocs()
	for b.Loop() {
		table.Owner("0192f3c0-8a41-7cc1-9c1e-0f6a7b1d2e3f", region)
	}
}
