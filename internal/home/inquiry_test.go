package home_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/oriolepond/oriolepond/internal/grant"
	"github.com/oriolepond/oriolepond/internal/home"
)

// newPair returns the keys of two members, and the table that lists both: old was the only member
// for a minute, and joined has just been added.
func newPair() (old, joined *home.Keys, both grant.Table) {
	alone := grant.Table{}.With(grant.Member{ID: "a", Region: region})
	both = alone.With(grant.Member{ID: "b", Region: region})
	old, joined = home.NewKeys("a", region), home.NewKeys("b", region)
	old.Observe(alone)
	old.Settle(start)
	for _, k := range []*home.Keys{old, joined} {
		k.Observe(alone)
		k.Observe(both)
		k.Settle(start.Add(time.Minute))
	}
	return old, joined, both
}

// keyOwnedBy returns a key with the given timestamp whose home is the given member.
func keyOwnedBy(member string, t grant.Table, timestamp time.Time) home.Key {
	for n := 0; ; n++ {
		if key := keyAt(timestamp, n); t.Owner(key.Name(), region) == member {
			return key
		}
	}
}

// A member that has just joined begins a new key at once, but only if the key's previous home
// answers that it did not begin the key.
func TestPreviousHomeClearsKey(t *testing.T) {
	cases := []struct {
		name         string
		begun        bool
		unresponsive bool
		want         home.Kind
	}{
		{"the previous home did not begin it", false, false, home.Run},
		{"the previous home began it", true, false, home.AskPrevious},
		{"the previous home does not answer", false, true, home.AskPrevious},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			old, joined, both := newPair()
			now := start.Add(time.Minute)
			key := keyOwnedBy("b", both, now)
			if c.begun {
				early := home.NewKeys("a", region)
				early.Observe(grant.Table{}.With(grant.Member{ID: "a", Region: region}))
				early.Settle(start)
				require.Equal(t, home.Run, early.Begin(key, now).Kind)
				early.Observe(both)
				early.Settle(now)
				old = early
			}
			v := joined.Begin(key, now)
			require.Equal(t, home.AskPrevious, v.Kind)
			require.Equal(t, []string{"a"}, v.Inquiry.Previous)
			statements := map[string]home.Statement{"a": old.State(key, now)}
			if c.unresponsive {
				statements = nil
			}
			if !v.Inquiry.Cleared(key, statements) {
				require.Equal(t, c.want, home.AskPrevious)
				return
			}
			require.Equal(t, c.want, joined.BeginCleared(key, v.Inquiry, now).Kind)
		})
	}
}

// A key that an inquiry cleared does not run if its home has changed before it is begun.
func TestClearedKeyIsRefusedAfterAnotherChange(t *testing.T) {
	old, joined, both := newPair()
	now := start.Add(time.Minute)
	key := keyOwnedBy("b", both, now)
	v := joined.Begin(key, now)
	require.True(t, v.Inquiry.Cleared(key, map[string]home.Statement{"a": old.State(key, now)}))
	joined.Observe(both.Without("b"))
	require.Equal(t, home.Elsewhere, joined.BeginCleared(key, v.Inquiry, now).Kind)
}

// A key that an inquiry cleared does not run if another member was its home for a while before it
// is begun.
func TestClearedKeyIsRefusedAfterHomeMovedAndReturned(t *testing.T) {
	old, joined, both := newPair()
	now := start.Add(time.Minute)
	three := both.With(grant.Member{ID: "c", Region: region})
	key := keyOwnedBy("c", three, now)
	for n := 0; both.Owner(key.Name(), region) != "b" || three.Owner(key.Name(), region) != "c"; n++ {
		key = keyAt(now, n)
	}
	v := joined.Begin(key, now)
	require.True(t, v.Inquiry.Cleared(key, map[string]home.Statement{"a": old.State(key, now)}))
	joined.Observe(three)
	joined.Settle(now)
	joined.Observe(three.Without("c"))
	joined.Settle(now.Add(time.Millisecond))
	require.NotEqual(t, home.Run, joined.BeginCleared(key, v.Inquiry, now).Kind)
}

// modelMember is a member in the model of TestNoKeyRunsTwice. seenEpoch is the epoch of the newest
// table that it has observed.
type modelMember struct {
	id         string
	keys       *home.Keys
	seenEpoch  int64
	terminated bool
	// clockSkew is how far the member's clock is ahead of the model's.
	clockSkew time.Duration
	// A departed member begins keys until it expires.
	departed  bool
	expiredAt time.Time
}

// stopped reports whether the member begins no more keys.
func (c *modelMember) stopped() bool { return c.terminated || !c.expiredAt.IsZero() }

// memberModel is a set of members with a history of tables.
type memberModel struct {
	t       *rapid.T
	now     time.Time
	tables  []grant.Table
	members []*modelMember
	runs    map[string]int
	// cleared holds the keys that inquiries have cleared and that are not begun yet.
	cleared []clearedKey
}

type clearedKey struct {
	member  *modelMember
	key     home.Key
	inquiry home.Inquiry
}

func (m *memberModel) newest() grant.Table { return m.tables[len(m.tables)-1] }

func (m *memberModel) join() {
	c := &modelMember{id: fmt.Sprintf("m%d", len(m.members))}
	c.clockSkew = time.Duration(rapid.SampledFrom([]int{-450, 0, 450}).Draw(m.t, "clock")) * time.Millisecond
	c.keys = home.NewKeys(c.id, region)
	c.seenEpoch = m.newest().Epoch
	c.keys.Observe(m.newest())
	m.members = append(m.members, c)
	m.tables = append(m.tables, m.newest().With(grant.Member{ID: c.id, Region: region}))
}

// leave removes a member from the table. A member that is not terminated continues to begin keys
// until it expires.
func (m *memberModel) leave(c *modelMember, terminated bool) {
	if c.terminated || c.departed {
		return
	}
	c.terminated, c.departed = terminated, true
	if terminated {
		c.expiredAt = m.now
	}
	m.tables = append(m.tables, m.newest().Without(c.id))
}

func (m *memberModel) observe(c *modelMember) {
	for _, table := range m.tables {
		if table.Epoch > c.seenEpoch {
			c.seenEpoch = table.Epoch
			c.keys.Observe(table)
			return
		}
	}
}

// settle settles the newest table that a member has seen, if all members that still begin keys have
// seen it too. The member may date the expiry of others too late.
func (m *memberModel) settle(c *modelMember) {
	for _, o := range m.members {
		if !o.stopped() && o.seenEpoch < c.seenEpoch {
			return
		}
	}
	for _, o := range m.members {
		if o.stopped() {
			late := rapid.Int64Range(0, int64(m.now.Sub(o.expiredAt))).Draw(m.t, "late")
			c.keys.MemberExpired(o.id, o.expiredAt.Add(time.Duration(late)+c.clockSkew))
		}
	}
	c.keys.Settle(m.now.Add(c.clockSkew))
}

func (m *memberModel) begin(c *modelMember, key home.Key) {
	if c.stopped() {
		return
	}
	v := c.keys.Begin(key, m.now.Add(c.clockSkew))
	if v.Kind == home.Run {
		m.runs[key.Name()]++
	}
	if v.Kind != home.AskPrevious {
		return
	}
	statements := map[string]home.Statement{}
	for _, o := range m.members {
		if !o.terminated && slices.Contains(v.Inquiry.Previous, o.id) {
			statements[o.id] = o.keys.State(key, m.now.Add(o.clockSkew))
		}
	}
	if v.Inquiry.Cleared(key, statements) {
		m.cleared = append(m.cleared, clearedKey{c, key, v.Inquiry})
	}
}

func (m *memberModel) beginCleared() {
	if len(m.cleared) == 0 {
		return
	}
	a := m.cleared[0]
	m.cleared = m.cleared[1:]
	if !a.member.stopped() && a.member.keys.BeginCleared(a.key, a.inquiry, m.now.Add(a.member.clockSkew)).Kind == home.Run {
		m.runs[a.key.Name()]++
	}
}

// No key runs twice, whichever members join, leave, observe tables and settle in between. The
// saved failures in testdata depend on the order of the action names.
func TestNoKeyRunsTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &memberModel{t: t, now: start, tables: []grant.Table{{}}, runs: map[string]int{}}
		var issued []home.Key
		member := func() *modelMember { return m.members[rapid.IntRange(0, len(m.members)-1).Draw(t, "member")] }
		everywhere := func(key home.Key) {
			for _, c := range m.members {
				m.begin(c, key)
			}
		}
		m.join()
		t.Repeat(map[string]func(*rapid.T){
			"time": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
			},
			"join":   func(*rapid.T) { m.join() },
			"leave":  func(*rapid.T) { m.leave(member(), true) },
			"depart": func(*rapid.T) { m.leave(member(), false) },
			"lapse": func(*rapid.T) {
				if c := member(); c.departed && !c.stopped() {
					c.expiredAt = m.now
				}
			},
			"observe": func(*rapid.T) { m.observe(member()) },
			"settle":  func(*rapid.T) { m.settle(member()) },
			"all": func(*rapid.T) {
				for _, c := range m.members {
					for c.seenEpoch < m.newest().Epoch {
						m.observe(c)
					}
				}
				for _, c := range m.members {
					m.settle(c)
				}
			},
			"key": func(t *rapid.T) {
				skew := time.Duration(rapid.SampledFrom([]int{-1400, -500, 0, 500, 1400}).Draw(t, "skew")) * time.Millisecond
				issued = append(issued, keyAt(m.now.Add(skew), len(issued)))
			},
			"later": func(*rapid.T) {
				m.now = m.now.Add(2*home.ClockBound + time.Second)
				issued = append(issued, keyAt(m.now, len(issued)))
				everywhere(issued[len(issued)-1])
			},
			"begin": func(t *rapid.T) {
				if len(issued) > 0 {
					m.begin(member(), issued[rapid.IntRange(0, len(issued)-1).Draw(t, "key")])
				}
			},
			"begin everywhere": func(*rapid.T) {
				if len(issued) > 0 {
					everywhere(issued[len(issued)-1])
				}
			},
			"use": func(*rapid.T) { m.beginCleared() },
			"": func(t *rapid.T) {
				for name, runs := range m.runs {
					if runs > 1 {
						t.Fatalf("key %x ran %d times", name, runs)
					}
				}
			},
		})
	})
}

// The statement of a previous home must not cover a time in which another member was the home, even
// if the name returned to the previous home in a table that was never settled.
func TestStatementCoversOnlyLatestOwnership(t *testing.T) {
	old, _, both := newPair()
	without := both.Without("b")
	three := without.With(grant.Member{ID: "c", Region: region})
	now := start.Add(2 * time.Minute)
	key := keyAt(now, 0)
	for n := 0; both.Owner(key.Name(), region) != "b" || three.Owner(key.Name(), region) != "c"; n++ {
		key = keyAt(now, n)
	}
	joined := home.NewKeys("c", region)
	for _, k := range []*home.Keys{old, joined} {
		k.Observe(without)
		k.Observe(three)
		k.Settle(now)
	}
	v := joined.Begin(key, now)
	require.Equal(t, home.AskPrevious, v.Kind)
	statements := map[string]home.Statement{"a": old.State(key, now)}
	require.False(t, v.Inquiry.Cleared(key, statements), "b, which has left, may have begun the key")
}
