package membership_test

import (
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/internal/grant"
	"github.com/oriolepond/oriolepond/internal/home"
	"github.com/oriolepond/oriolepond/internal/membership"
)

// trio is three members that have complied with the same table for a minute. Its time
// starts at the last renewal of the lost member's lease; the others renew theirs then, too.
type trio struct {
	now   time.Time
	table grant.Table
	cores []*membership.Core
}

const lostMember = "c"

func newTrio() *trio {
	r := &trio{now: time.Unix(1_800_000_000, 0)}
	for _, id := range []string{"a", "b", lostMember} {
		self := grant.Member{ID: id, Region: region}
		r.table = r.table.With(self)
		r.cores = append(r.cores, membership.NewCore(self, simMaxRequestTime, simListLag))
	}
	r.observe(r.cores...)
	r.now = r.now.Add(time.Minute)
	for _, c := range r.cores {
		c.SetReachable(true)
		c.RecordRenewal(r.now, simTTL)
	}
	return r
}

// observe applies the table to the members and exchanges their statuses.
func (r *trio) observe(cores ...*membership.Core) {
	registered := map[string]bool{}
	for _, c := range cores {
		registered[c.Self().ID] = true
	}
	for _, c := range cores {
		c.SetRegistered(registered, r.table)
		c.Observe(r.table, r.now)
		c.SetOwnUsage(nil, false, r.now)
	}
	r.exchange(cores...)
}

func (r *trio) exchange(cores ...*membership.Core) {
	for _, from := range cores {
		for _, to := range cores {
			if from != to {
				to.ReceiveStatus(from.Status(r.now), r.now)
				to.Tick(r.now)
			}
		}
	}
}

// removeLost removes the lost member from the table and makes the others observe that.
func (r *trio) removeLost() {
	r.table = r.table.Without(lostMember)
	r.observe(r.cores[:2]...)
}

// keyOfLostMember returns a key with the given timestamp whose home was the lost member in
// the table before, and its new home.
func (r *trio) keyOfLostMember(before grant.Table, timestamp time.Time) (home.Key, *membership.Core) {
	for n := byte(0); ; n++ {
		var id uuid.UUID
		for k := range 6 {
			id[k] = byte(timestamp.UnixMilli() >> (8 * (5 - k)))
		}
		id[6], id[8], id[15] = 0x70, 0x80, n
		key := home.Key{Value: id.String()}
		if before.Owner(key.Name(), region) != lostMember {
			continue
		}
		for _, c := range r.cores[:2] {
			if r.table.Owner(key.Name(), region) == c.Self().ID {
				return key, c
			}
		}
	}
}

// The keys of a lost member move to other members once its entitlement has expired; its
// slots move later. A key runs only if the lost member cannot have begun it. Otherwise its
// request may already have run, and is refused.
func TestKeysOfLostMemberMoveAfterItsLeaseExpires(t *testing.T) {
	const removal = simTTL + simTTL/4
	cases := []struct {
		name string
		// endSeen is set if the other members saw the registration end. promised is how
		// long before the removal from the table a peer gave the lost member a promise, or
		// zero if none did.
		endSeen  bool
		promised time.Duration
		// keysOwned is the time from the last renewal until the other members own the
		// keys, and keysRun the time until new keys run.
		keysOwned, keysRun time.Duration
	}{
		{"its lease expires", true, 0, removal, removal},
		{"the end of its registration is not seen", false, 0, removal, removal + 2*home.ClockBound},
		{"a promise to it has expired", true, 2 * membership.PromiseTime, removal, removal + 2*home.ClockBound},
		{
			"a promise to it is open", true, time.Second,
			removal + membership.PromiseTime - time.Second,
			removal + membership.PromiseTime - time.Second + 2*home.ClockBound,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newTrio()
			before, renewed := r.table, r.now
			if c.promised > 0 {
				r.cores[1].SetReachable(false)
				require.True(t, r.cores[1].Promise(lostMember, renewed.Add(removal-c.promised)))
			}
			r.now = renewed.Add(removal)
			if c.endSeen {
				for _, each := range r.cores[:2] {
					each.SetAbsentSince(lostMember, renewed.Add(simTTL))
				}
			}
			r.removeLost()
			keysOwned, keysRun, slotsUsed := r.awaitTakeover(before)
			require.Equal(t, c.keysOwned, keysOwned.Sub(renewed))
			require.InDelta(t, c.keysRun, keysRun.Sub(renewed), float64(2*awaitStep))
			require.Greater(t, slotsUsed, keysRun)
		})
	}
}

// awaitStep is the interval at which awaitTakeover checks the state.
const awaitStep = 10 * time.Millisecond

// awaitTakeover advances the time until the other members may use all slots. It returns
// when they own the keys of the lost member, when they first run a new one of these keys,
// and when they may use all slots.
func (r *trio) awaitTakeover(before grant.Table) (keysOwned, keysRun, slotsUsed time.Time) {
	for ; slotsUsed.IsZero(); r.now = r.now.Add(awaitStep) {
		r.exchange(r.cores[:2]...)
		key, newHome := r.keyOfLostMember(before, r.now)
		switch newHome.Keys.Begin(key, r.now).Kind {
		case home.NotYet:
		case home.Run:
			keysRun = firstNonZero(keysRun, r.now)
			fallthrough
		default:
			keysOwned = firstNonZero(keysOwned, r.now)
		}
		if r.cores[0].Usable("t", region, simSlots)+r.cores[1].Usable("t", region, simSlots) == simSlots {
			slotsUsed = r.now
		}
	}
	return keysOwned, keysRun, slotsUsed
}

func firstNonZero(recorded, now time.Time) time.Time {
	if recorded.IsZero() {
		return now
	}
	return recorded
}

// Two members that are lost at once cannot support each other's takeover. Their keys
// move as soon as they are removed from the table if the platform's instance list has
// lacked both for longer than its lag.
func TestKeysOfTwoLostMembersMoveByInstanceList(t *testing.T) {
	r := newTrio()
	before, alive := r.table, r.cores[0]
	listed := map[string]bool{"a": true}
	name := func(member string) string { return member }
	alive.ObserveList(listed, name, r.now)
	r.now = r.now.Add(simTTL)
	alive.ObserveList(listed, name, r.now)
	r.table = r.table.Without("b", lostMember)
	r.observe(alive)
	alive.Tick(r.now)
	key, _ := r.keyOfLostMember(before, r.now)
	require.Equal(t, home.Run, alive.Keys.Begin(key, r.now).Kind)
}

// An instance list that is not read again after its lag does not prove that a member has
// stopped.
func TestInstanceListReadOnceProvesNothing(t *testing.T) {
	r := newTrio()
	alive := r.cores[0]
	alive.ObserveList(map[string]bool{"a": true}, func(member string) string { return member }, r.now)
	r.now = r.now.Add(time.Hour)
	r.table = r.table.Without("b", lostMember)
	r.observe(alive)
	alive.Tick(r.now)
	require.Empty(t, alive.Forgettable())
}

// A terminated peer may have given the lost member a promise. The lost member's expiry is
// then not dated back to the end of its registration.
func TestPromiseOfTerminatedPeerDelaysExpiry(t *testing.T) {
	r := newTrio()
	before, alive := r.table, r.cores[0]
	expiredAt := r.now.Add(simTTL)
	r.now = expiredAt.Add(time.Minute)
	r.table = r.table.Without("b")
	r.observe(alive)
	for _, pause := range []time.Duration{0, 2 * simListLag, 2 * simMaxRequestTime} {
		r.now = r.now.Add(pause)
		alive.ObserveList(map[string]bool{"a": true, lostMember: true}, func(member string) string { return member }, r.now)
		alive.Tick(r.now)
	}
	require.Equal(t, []string{"b"}, alive.Forgettable())
	alive.SetAbsentSince(lostMember, expiredAt)
	r.table = r.table.Without(lostMember)
	r.observe(alive)
	alive.Tick(r.now)
	key, _ := r.keyOfLostMember(before, r.now)
	require.Equal(t, home.AskPrevious, alive.Keys.Begin(key, r.now).Kind)
}

// A departed member depended on the members that were still in the table when it
// departed, but not on one that had departed before. Found by the property test (seed
// 22).
func TestDepartedMemberDependedOnMembersThatStayed(t *testing.T) {
	cases := []struct {
		name   string
		tables func(grant.Table) []grant.Table
		known  bool
	}{
		{"it departed first", func(t grant.Table) []grant.Table {
			return []grant.Table{t.Without(lostMember), t.Without(lostMember).Without("a")}
		}, true},
		{"it departed later", func(t grant.Table) []grant.Table {
			return []grant.Table{t.Without("a"), t.Without("a").Without(lostMember)}
		}, false},
		{"the order was not seen", func(t grant.Table) []grant.Table {
			return []grant.Table{t.Without("a").Without(lostMember)}
		}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newTrio()
			for _, r.table = range c.tables(r.table) {
				r.observe(r.cores[0])
			}
			require.Equal(t, []membership.Support{{Holder: lostMember, KnownToHolder: c.known, Unpromised: true}},
				r.cores[0].Status(r.now).Supports)
		})
	}
}

// A snapshot of the store that is older than a departure does not show that the departed
// member's registration has ended. Found by the property test (seed 13).
func TestOldSnapshotProvesNoExpiry(t *testing.T) {
	r := newTrio()
	withoutLost := r.table.Without(lostMember)
	for _, c := range r.cores[:2] {
		c.SetRegistered(map[string]bool{"a": true, "b": true}, r.table)
		c.Observe(withoutLost, r.now)
		c.SetOwnUsage(nil, false, r.now)
	}
	for range 3 {
		r.exchange(r.cores[:2]...)
		r.now = r.now.Add(time.Minute)
	}
	require.Empty(t, r.cores[0].Forgettable())
	r.table = withoutLost
	for range 2 {
		r.observe(r.cores[:2]...)
		r.now = r.now.Add(time.Minute)
	}
	require.Equal(t, []string{lostMember}, r.cores[0].Forgettable())
}

// The streams of the only member must be cut once its lease has expired, if it was removed
// from the table. Found by the property test (seed 11).
func TestStreamsOfLastMemberAreCutAfterRemoval(t *testing.T) {
	self := grant.Member{ID: "a", Region: region}
	core := membership.NewCore(self, simMaxRequestTime, simListLag)
	now := time.Unix(1_800_000_000, 0)
	alone := grant.Table{}.With(self)
	core.Observe(alone, now)
	core.RecordRenewal(now, simTTL)
	require.True(t, core.CutDeadline(now.Add(time.Hour)).After(now.Add(time.Hour)), "without peers, no one can take the allocation over")
	core.Observe(alone.Without(self.ID), now)
	require.False(t, core.CutDeadline(now.Add(time.Hour)).After(now.Add(simTTL+simMaxRequestTime)))
}

// A member that joins again under another name must cut the streams of its previous name
// at once, because instances that have not seen the new name consider the previous one
// terminated.
func TestRejoinCutsStreams(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.maxRequestTime = time.Hour
	a, b := f.start(), f.start()
	f.awaitUsable(map[string]int{a: simSlots / 2, b: simSlots / 2})
	m := f.currentMembers()[b]
	m.storeCut.Store(true)
	previous := m.keeper.View().Self
	require.Eventually(t, func() bool { return !f.currentMembers()[a].keeper.View().Table.Has(previous) }, waitTimeout, pollInterval)
	require.Zero(t, m.cuts.Load())
	m.storeCut.Store(false)
	require.Eventually(t, func() bool { return m.keeper.View().Self != previous && m.keeper.View().Entitled }, waitTimeout, pollInterval)
	require.Positive(t, m.cuts.Load())
}
