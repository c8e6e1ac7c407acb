package target

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1_000_000, 0)

// tableOf returns a table with count targets of one service in the instance's own data centre.
func tableOf(count, slots int) *Table {
	t := NewTable()
	t.Region, t.DataCentre = "r", "a"
	var targets []Target
	for n := range count {
		targets = append(targets, Target{ID: fmt.Sprint(n), Service: "s", Region: "r", DataCentre: "a", Slots: slots})
	}
	t.Set(targets)
	return t
}

func criteria(now time.Time) Criteria { return Criteria{Service: "s", Now: now} }

func TestSlotsAreNeverExceeded(t *testing.T) {
	table := tableOf(3, 2)
	taken := map[string]int{}
	for range 6 {
		slot, ok := table.Acquire(criteria(start))
		require.True(t, ok)
		taken[slot.Target]++
	}
	require.Equal(t, map[string]int{"0": 2, "1": 2, "2": 2}, taken)
	_, ok := table.Acquire(criteria(start))
	require.False(t, ok)
	require.Zero(t, table.Idle("s"))
}

// A target that is removed from the list with a request in flight and listed again keeps the
// request's slot occupied.
func TestSetKeepsRequestsInFlight(t *testing.T) {
	table := tableOf(1, 1)
	slot, ok := table.Acquire(criteria(start))
	require.True(t, ok)
	table.Set(nil)
	require.Equal(t, 1, table.InFlight())
	table.Set([]Target{{ID: "0", Service: "s", Slots: 1}})
	_, ok = table.Acquire(criteria(start))
	require.False(t, ok)
	table.Release(slot)
	_, ok = table.Acquire(criteria(start))
	require.True(t, ok)
}

func TestUnusableTargetsGetNoRequests(t *testing.T) {
	cases := []struct {
		name   string
		target Target
	}{
		{"leaving", Target{Slots: 1, Leaving: true}},
		{"without slots", Target{}},
		{"of another service", Target{Slots: 1, Service: "other"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := NewTable()
			c.target.ID = "x"
			if c.target.Service == "" {
				c.target.Service = "s"
			}
			table.Set([]Target{c.target})
			_, ok := table.Acquire(criteria(start))
			require.False(t, ok)
		})
	}
}

func TestConnectionLimitBoundsSlots(t *testing.T) {
	table := NewTable()
	table.Set([]Target{{ID: "x", Service: "s", Slots: 8, Connections: 3}})
	require.Equal(t, 3, table.Idle("s"))
	table.SetSlots(map[string]Limits{"x": {Slots: 1, Connections: 3}})
	require.Equal(t, 1, table.Idle("s"))
}

func TestNearestTierIsPreferred(t *testing.T) {
	table := NewTable()
	table.Region, table.DataCentre = "r", "a"
	table.Set([]Target{
		{ID: "far", Service: "s", Region: "q", DataCentre: "c", Slots: 1},
		{ID: "region", Service: "s", Region: "r", DataCentre: "b", Slots: 1},
		{ID: "near", Service: "s", Region: "r", DataCentre: "a", Slots: 1},
	})
	for _, id := range []string{"near", "region", "far"} {
		slot, ok := table.Acquire(criteria(start))
		require.True(t, ok)
		require.Equal(t, id, slot.Target)
	}
}

// However many targets fail, at most a third of them is ejected.
func TestEjectionIsBounded(t *testing.T) {
	for _, c := range []struct{ targets, left int }{{1, 1}, {2, 2}, {3, 2}, {9, 6}} {
		table := tableOf(c.targets, 1)
		for range failuresToEject * c.targets * 10 {
			slot, ok := table.Acquire(criteria(start))
			require.True(t, ok)
			table.Report(slot, Failed, time.Millisecond, start)
			table.Release(slot)
		}
		require.Equal(t, c.left, table.Idle("s"), "of %d targets", c.targets)
	}
}

// An ejected target is probed with one idempotent request at a time. A failed probe extends the
// ejection, a successful one ends it.
func TestSuccessfulProbeReadmitsTarget(t *testing.T) {
	table := tableOf(3, 2)
	eject(t, table)
	now := start.Add(firstEjection)
	require.Equal(t, 4, table.Idle("s"))
	slot, ok := table.Acquire(criteria(now))
	require.True(t, ok)
	require.False(t, slot.Probe, "a request that is not idempotent was a probe")
	idempotent := criteria(now)
	idempotent.Idempotent = true
	probe, ok := table.Acquire(idempotent)
	require.True(t, ok)
	require.True(t, probe.Probe)
	second, ok := table.Acquire(idempotent)
	require.True(t, ok)
	require.False(t, second.Probe)
	table.Report(probe, Failed, time.Millisecond, now)
	table.Release(probe)
	third, ok := table.Acquire(idempotent)
	require.True(t, ok)
	require.False(t, third.Probe, "a failed probe lengthens the ejection")
	idempotent.Now = now.Add(2 * firstEjection)
	probe, ok = table.Acquire(idempotent)
	require.True(t, ok)
	require.True(t, probe.Probe)
	table.Report(probe, Succeeded, time.Millisecond, idempotent.Now)
	table.Release(probe)
	require.Equal(t, 3, table.Idle("s"), "six slots, three of them taken")
}

// Guards against a target that stays out of use for good because no idempotent request probes it.
func TestTargetIsProbedWithoutIdempotentRequests(t *testing.T) {
	table := tableOf(3, 2)
	eject(t, table)
	due := start.Add(firstEjection)
	for _, c := range []struct {
		name  string
		after time.Duration
		probe bool
	}{
		{name: "just due"},
		{name: "left to idempotent requests", after: longestEjection - 1},
		{name: "no idempotent request has come", after: longestEjection, probe: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			slot, ok := table.Acquire(criteria(due.Add(c.after)))
			require.True(t, ok)
			require.Equal(t, c.probe, slot.Probe)
			if c.probe {
				require.Equal(t, Readmitted, table.Report(slot, Succeeded, time.Millisecond, due.Add(c.after)))
			}
			table.Release(slot)
		})
	}
}

// eject reports failures for target 0 until it is ejected.
func eject(t *testing.T, table *Table) {
	t.Helper()
	for table.Idle("s") == 6 {
		slot, ok := table.Acquire(criteria(start))
		require.True(t, ok)
		r := Succeeded
		if slot.Target == "0" {
			r = Failed
		}
		table.Report(slot, r, time.Millisecond, start)
		table.Release(slot)
	}
}

func TestAcquireDoesNotAllocate(t *testing.T) {
	table := tableOf(50, 2)
	allocations := testing.AllocsPerRun(1000, func() {
		slot, _ := table.Acquire(criteria(start))
		table.Report(slot, Succeeded, time.Millisecond, start)
		table.Release(slot)
	})
	require.Zero(t, allocations)
}
