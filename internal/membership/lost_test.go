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

// trio is three members that have long kept to one table, and the instant at
// which the last of them renewed its lease for the last time.
type trio struct {
	now   time.Time
	table grant.Table
	cores []*membership.Core
}

const lost = "c"

func newTrio() *trio {
	r := &trio{now: time.Unix(1_800_000_000, 0)}
	for _, id := range []string{"a", "b", lost} {
		self := grant.Member{ID: id, Region: region}
		r.table = r.table.With(self)
		r.cores = append(r.cores, membership.NewCore(self, simLongest, simLag))
	}
	r.observe(r.cores...)
	r.now = r.now.Add(time.Minute)
	for _, c := range r.cores {
		c.SetReachable(true)
		c.Renewed(r.now, simTTL)
	}
	return r
}

// observe shows the table to the members, which then tell each other of it.
func (r *trio) observe(cores ...*membership.Core) {
	registered := map[string]bool{}
	for _, c := range cores {
		registered[c.Self().ID] = true
	}
	for _, c := range cores {
		c.Registered(registered, r.table)
		c.Observe(r.table, r.now)
		c.Own(nil, false, r.now)
	}
	r.exchange(cores...)
}

func (r *trio) exchange(cores ...*membership.Core) {
	for _, from := range cores {
		for _, to := range cores {
			if from != to {
				to.Hear(from.Status(r.now), r.now)
				to.Tick(r.now)
			}
		}
	}
}

// lose takes the last member out of the table.
func (r *trio) lose() {
	r.table = r.table.Without(lost)
	r.observe(r.cores[:2]...)
}

// key returns a key of that time that belonged to the lost member, and its new home.
func (r *trio) key(before grant.Table, at time.Time) (home.Key, *membership.Core) {
	for n := byte(0); ; n++ {
		var id uuid.UUID
		for k := range 6 {
			id[k] = byte(at.UnixMilli() >> (8 * (5 - k)))
		}
		id[6], id[8], id[15] = 0x70, 0x80, n
		key := home.Key{Value: id.String()}
		if before.Owner(key.Name(), region) != lost {
			continue
		}
		for _, c := range r.cores[:2] {
			if r.table.Owner(key.Name(), region) == c.Self().ID {
				return key, c
			}
		}
	}
}

// The keys of a lost member are taken over once its hold has surely lapsed,
// before its slots are: those that it cannot have begun run, the others may
// have run.
func TestKeysOfALostMember(t *testing.T) {
	const removal = simTTL + simTTL/4
	cases := []struct {
		name string
		// watched says that the end of the registration was seen, and promised
		// how long before the removal a peer promised the lost member something.
		watched  bool
		promised time.Duration
		// handedOver and runs are the times from the last renewal until the keys
		// are taken over, and until new ones run.
		handedOver, runs time.Duration
	}{
		{"its lease lapses", true, 0, removal, removal},
		{"the end of its registration is not seen", false, 0, removal, removal + 2*home.ClockBound},
		{"a promise to it has ended", true, 2 * membership.PromiseTime, removal, removal + 2*home.ClockBound},
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
				require.True(t, r.cores[1].Promise(lost, renewed.Add(removal-c.promised)))
			}
			r.now = renewed.Add(removal)
			if c.watched {
				for _, each := range r.cores[:2] {
					each.Unregistered(lost, renewed.Add(simTTL))
				}
			}
			r.lose()
			handedOver, runs, slots := r.await(before)
			require.Equal(t, c.handedOver, handedOver.Sub(renewed))
			require.InDelta(t, c.runs, runs.Sub(renewed), float64(2*await))
			require.Greater(t, slots, runs)
		})
	}
}

// await is the interval of the looks of trio.await.
const await = 10 * time.Millisecond

// await returns when the keys of the lost member are taken over, when new keys
// run, and when its slots are used again.
func (r *trio) await(before grant.Table) (handedOver, runs, slots time.Time) {
	for ; slots.IsZero(); r.now = r.now.Add(await) {
		r.exchange(r.cores[:2]...)
		key, at := r.key(before, r.now)
		switch at.Keys.Begin(key, r.now).Kind {
		case home.NotYet:
		case home.Run:
			runs = first(runs, r.now)
			fallthrough
		default:
			handedOver = first(handedOver, r.now)
		}
		if r.cores[0].Usable("t", region, simSlots)+r.cores[1].Usable("t", region, simSlots) == simSlots {
			slots = r.now
		}
	}
	return handedOver, runs, slots
}

func first(known, now time.Time) time.Time {
	if known.IsZero() {
		return now
	}
	return known
}

// Two members that are lost at once support nothing: the platform's list, which
// has lacked them for its lag, hands their keys over with the table.
func TestTwoMembersLostAtOnce(t *testing.T) {
	r := newTrio()
	before, alive := r.table, r.cores[0]
	listed := map[string]bool{"a": true}
	name := func(member string) string { return member }
	alive.List(listed, name, r.now)
	r.now = r.now.Add(simTTL)
	alive.List(listed, name, r.now)
	r.table = r.table.Without("b", lost)
	r.observe(alive)
	alive.Tick(r.now)
	key, _ := r.key(before, r.now)
	require.Equal(t, home.Run, alive.Keys.Begin(key, r.now).Kind)
}

// A list that was not read again after its lag proves nothing.
func TestListIsReadAgain(t *testing.T) {
	r := newTrio()
	alive := r.cores[0]
	alive.List(map[string]bool{"a": true}, func(member string) string { return member }, r.now)
	r.now = r.now.Add(time.Hour)
	r.table = r.table.Without("b", lost)
	r.observe(alive)
	alive.Tick(r.now)
	require.Empty(t, alive.Forgettable())
}

// What a peer that is gone may have promised bounds the lapse, too.
func TestPromiseOfALostPeer(t *testing.T) {
	r := newTrio()
	before, alive := r.table, r.cores[0]
	lapsed := r.now.Add(simTTL)
	r.now = lapsed.Add(time.Minute)
	r.table = r.table.Without("b")
	r.observe(alive)
	for _, pause := range []time.Duration{0, 2 * simLag, 2 * simLongest} {
		r.now = r.now.Add(pause)
		alive.List(map[string]bool{"a": true, lost: true}, func(member string) string { return member }, r.now)
		alive.Tick(r.now)
	}
	require.Equal(t, []string{"b"}, alive.Forgettable())
	alive.Unregistered(lost, lapsed)
	r.table = r.table.Without(lost)
	r.observe(alive)
	alive.Tick(r.now)
	key, _ := r.key(before, r.now)
	require.Equal(t, home.AskPrevious, alive.Keys.Begin(key, r.now).Kind)
}

// A departed member depended on the members that it left behind, not on one
// that had departed before it. It was found by the property test (seed 22).
func TestOnWhomADepartedMemberDepended(t *testing.T) {
	cases := []struct {
		name   string
		tables func(grant.Table) []grant.Table
		known  bool
	}{
		{"it left first", func(t grant.Table) []grant.Table {
			return []grant.Table{t.Without(lost), t.Without(lost).Without("a")}
		}, true},
		{"it left later", func(t grant.Table) []grant.Table {
			return []grant.Table{t.Without("a"), t.Without("a").Without(lost)}
		}, false},
		{"the order was not seen", func(t grant.Table) []grant.Table {
			return []grant.Table{t.Without("a").Without(lost)}
		}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newTrio()
			for _, r.table = range c.tables(r.table) {
				r.observe(r.cores[0])
			}
			require.Equal(t, []membership.Support{{Holder: lost, Known: c.known, Unpromised: true}},
				r.cores[0].Status(r.now).Supports)
		})
	}
}

// A reading of the store that is older than a departure does not show that the
// registration of the departed has lapsed. It was found by the property test (seed 13).
func TestOldReadingProvesNoLapse(t *testing.T) {
	r := newTrio()
	left := r.table.Without(lost)
	for _, c := range r.cores[:2] {
		c.Registered(map[string]bool{"a": true, "b": true}, r.table)
		c.Observe(left, r.now)
		c.Own(nil, false, r.now)
	}
	for range 3 {
		r.exchange(r.cores[:2]...)
		r.now = r.now.Add(time.Minute)
	}
	require.Empty(t, r.cores[0].Forgettable())
	r.table = left
	for range 2 {
		r.observe(r.cores[:2]...)
		r.now = r.now.Add(time.Minute)
	}
	require.Equal(t, []string{lost}, r.cores[0].Forgettable())
}

// The streams of a member that was taken out of a table without others end
// with its lease. It was found by the property test (seed 11).
func TestStreamsOfTheLastMemberAreCut(t *testing.T) {
	self := grant.Member{ID: "a", Region: region}
	core := membership.NewCore(self, simLongest, simLag)
	now := time.Unix(1_800_000_000, 0)
	alone := grant.Table{}.With(self)
	core.Observe(alone, now)
	core.Renewed(now, simTTL)
	require.True(t, core.CutAt(now.Add(time.Hour)).After(now.Add(time.Hour)), "nobody can take over")
	core.Observe(alone.Without(self.ID), now)
	require.False(t, core.CutAt(now.Add(time.Hour)).After(now.Add(simTTL+simLongest)))
}

// A member that joins anew under another name cuts the streams of the former
// one at once: others that do not hear of the new name judge the former one gone.
func TestRejoinCutsStreams(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.longest = time.Hour
	a, b := f.start(), f.start()
	f.awaitUsable(map[string]int{a: simSlots / 2, b: simSlots / 2})
	m := f.all()[b]
	m.cut.Store(true)
	former := m.keeper.View().Self
	require.Eventually(t, func() bool { return !f.all()[a].keeper.View().Table.Has(former) }, patience, poll)
	require.Zero(t, m.cuts.Load())
	m.cut.Store(false)
	require.Eventually(t, func() bool { return m.keeper.View().Self != former && m.keeper.View().Entitled }, patience, poll)
	require.Positive(t, m.cuts.Load())
}
