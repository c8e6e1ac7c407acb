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

// pair returns a member that has long been alone, another that has just
// joined it, and the table of both.
func pair() (old, joined *home.Keys, both grant.Table) {
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

// keyOwnedBy returns a key with a time whose home is the member.
func keyOwnedBy(member string, t grant.Table, at time.Time) home.Key {
	for n := 0; ; n++ {
		if key := keyAt(at, n); t.Owner(key.Name(), region) == member {
			return key
		}
	}
}

// A member that joins begins fresh keys at once if the former home excludes them.
func TestFormerHomeClearsAKey(t *testing.T) {
	cases := []struct {
		name  string
		begun bool
		gone  bool
		want  home.Kind
	}{
		{"the former home did not begin it", false, false, home.Run},
		{"the former home began it", true, false, home.AskPrevious},
		{"the former home is gone", false, true, home.AskPrevious},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			old, joined, both := pair()
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
			if c.gone {
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

// An inquiry does not clear a key whose home has moved on in the meantime.
func TestClearedKeyIsRefusedAfterAnotherChange(t *testing.T) {
	old, joined, both := pair()
	now := start.Add(time.Minute)
	key := keyOwnedBy("b", both, now)
	v := joined.Begin(key, now)
	require.True(t, v.Inquiry.Cleared(key, map[string]home.Statement{"a": old.State(key, now)}))
	joined.Observe(both.Without("b"))
	require.Equal(t, home.Elsewhere, joined.BeginCleared(key, v.Inquiry, now).Kind)
}

// An inquiry does not clear a key that another home held and gave back in the meantime.
func TestClearedKeyIsRefusedAfterHomeMovedAndReturned(t *testing.T) {
	old, joined, both := pair()
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

// cell is a member of the model, with the tables it has yet to observe.
type cell struct {
	id   string
	keys *home.Keys
	seen int64
	gone bool
	// skew is how far the member's clock is ahead.
	skew time.Duration
	// departed members begin keys until they have lapsed.
	departed bool
	lapsed   time.Time
}

// stopped reports whether the member begins nothing any more.
func (c *cell) stopped() bool { return c.gone || !c.lapsed.IsZero() }

// cellModel is a set of members over a history of tables.
type cellModel struct {
	t      *rapid.T
	now    time.Time
	tables []grant.Table
	cells  []*cell
	runs   map[string]int
	// asked are inquiries whose statements are in but not used yet.
	asked []askedKey
}

type askedKey struct {
	cell    *cell
	key     home.Key
	inquiry home.Inquiry
}

func (m *cellModel) newest() grant.Table { return m.tables[len(m.tables)-1] }

func (m *cellModel) join() {
	c := &cell{id: fmt.Sprintf("m%d", len(m.cells))}
	c.skew = time.Duration(rapid.SampledFrom([]int{-450, 0, 450}).Draw(m.t, "clock")) * time.Millisecond
	c.keys = home.NewKeys(c.id, region)
	c.seen = m.newest().Epoch
	c.keys.Observe(m.newest())
	m.cells = append(m.cells, c)
	m.tables = append(m.tables, m.newest().With(grant.Member{ID: c.id, Region: region}))
}

// leave takes a member out of the table; unless it is gone at once, it goes on
// until it lapses.
func (m *cellModel) leave(c *cell, gone bool) {
	if c.gone || c.departed {
		return
	}
	c.gone, c.departed = gone, true
	if gone {
		c.lapsed = m.now
	}
	m.tables = append(m.tables, m.newest().Without(c.id))
}

func (m *cellModel) observe(c *cell) {
	for _, table := range m.tables {
		if table.Epoch > c.seen {
			c.seen = table.Epoch
			c.keys.Observe(table)
			return
		}
	}
}

// settle settles a member if everybody that begins keys keeps to the newest
// table that it has seen. It may learn late of a lapse.
func (m *cellModel) settle(c *cell) {
	for _, o := range m.cells {
		if !o.stopped() && o.seen < c.seen {
			return
		}
	}
	for _, o := range m.cells {
		if o.stopped() {
			late := rapid.Int64Range(0, int64(m.now.Sub(o.lapsed))).Draw(m.t, "late")
			c.keys.MemberExpired(o.id, o.lapsed.Add(time.Duration(late)+c.skew))
		}
	}
	c.keys.Settle(m.now.Add(c.skew))
}

func (m *cellModel) begin(c *cell, key home.Key) {
	if c.stopped() {
		return
	}
	v := c.keys.Begin(key, m.now.Add(c.skew))
	if v.Kind == home.Run {
		m.runs[key.Name()]++
	}
	if v.Kind != home.AskPrevious {
		return
	}
	statements := map[string]home.Statement{}
	for _, o := range m.cells {
		if !o.gone && slices.Contains(v.Inquiry.Previous, o.id) {
			statements[o.id] = o.keys.State(key, m.now.Add(o.skew))
		}
	}
	if v.Inquiry.Cleared(key, statements) {
		m.asked = append(m.asked, askedKey{c, key, v.Inquiry})
	}
}

func (m *cellModel) useInquiry() {
	if len(m.asked) == 0 {
		return
	}
	a := m.asked[0]
	m.asked = m.asked[1:]
	if !a.cell.stopped() && a.cell.keys.BeginCleared(a.key, a.inquiry, m.now.Add(a.cell.skew)).Kind == home.Run {
		m.runs[a.key.Name()]++
	}
}

// No key runs twice, whatever joins, leaves, observes and settles in between.
func TestNoKeyRunsTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &cellModel{t: t, now: start, tables: []grant.Table{{}}, runs: map[string]int{}}
		var issued []home.Key
		member := func() *cell { return m.cells[rapid.IntRange(0, len(m.cells)-1).Draw(t, "member")] }
		everywhere := func(key home.Key) {
			for _, c := range m.cells {
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
					c.lapsed = m.now
				}
			},
			"observe": func(*rapid.T) { m.observe(member()) },
			"settle":  func(*rapid.T) { m.settle(member()) },
			"all": func(*rapid.T) {
				for _, c := range m.cells {
					for c.seen < m.newest().Epoch {
						m.observe(c)
					}
				}
				for _, c := range m.cells {
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
			"use": func(*rapid.T) { m.useInquiry() },
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

// A former home does not vouch for a time in which another member was the home,
// although the name came back to it in a table that was never settled.
func TestFormerHomeVouchesForItsLastTimeOnly(t *testing.T) {
	old, _, both := pair()
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
	require.False(t, v.Inquiry.Cleared(key, statements), "b, which is gone, may have begun it")
}
