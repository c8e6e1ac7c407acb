package intake_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/oriolepond/oriolepond/internal/intake"
)

// client is a connection of a test.
type client struct {
	lease  *intake.Lease
	closed bool
}

// clock is the time of a test, and the budget that uses it.
type clock struct {
	now    time.Time
	budget *intake.Budget
}

func newClock(l intake.Limits) *clock {
	c := &clock{now: time.Unix(1_800_000_000, 0)}
	c.budget = &intake.Budget{Limits: l, Now: func() time.Time { return c.now }}
	return c
}

// open opens a connection; nil means that it was refused.
func (c *clock) open() *client {
	n := &client{}
	var err error
	if n.lease, err = c.budget.Open(func() { n.closed = true }); err != nil {
		return nil
	}
	return n
}

// hold returns a client that has sent some bytes of a body after a time.
func (c *clock) hold(bytes int64, after time.Duration) *client {
	n := c.open()
	_ = n.lease.Enter(intake.Body)
	_ = n.lease.Take(intake.Allowance + bytes)
	c.now = c.now.Add(after)
	return n
}

// Guards against the choice of the wrong connection under load, by the pattern of the load.
func TestWhichConnectionIsClosed(t *testing.T) {
	const second = time.Second
	for _, c := range []struct {
		name   string
		limits intake.Limits
		// load returns the clients, and the error of the one that wants more.
		load func(c *clock) ([]*client, error)
		// closed are the clients that are closed.
		closed  []bool
		refused bool
	}{
		{"idle connections are kept open", intake.Limits{Conns: 2}, func(c *clock) ([]*client, error) {
			first := c.open()
			c.now = c.now.Add(second)
			return []*client{first, c.open(), c.open()}, nil
		}, []bool{true, false, false}, false},
		{"a body arrives beside idle connections", intake.Limits{Conns: 2}, func(c *clock) ([]*client, error) {
			body := c.hold(80, second/10)
			idle := c.open()
			c.now = c.now.Add(second / 10)
			return []*client{body, idle, c.open()}, nil
		}, []bool{false, true, false}, false},
		{"all bodies arrive", intake.Limits{Conns: 2}, func(c *clock) ([]*client, error) {
			large, small := c.hold(80_000, second/10), c.hold(0, second/10)
			return []*client{large, small, c.open()}, nil
		}, []bool{true, false, false}, false},
		{"a body has stalled beside idle connections", intake.Limits{Conns: 2}, func(c *clock) ([]*client, error) {
			body := c.hold(80, 0)
			idle := c.open()
			c.now = c.now.Add(second)
			return []*client{body, idle, c.open()}, nil
		}, []bool{true, false, false}, false},
		{"all requests are being served", intake.Limits{Conns: 1}, func(c *clock) ([]*client, error) {
			first := c.open()
			_ = first.lease.Enter(intake.Working)
			c.now = c.now.Add(time.Hour)
			_, err := c.budget.Open(func() {})
			return []*client{first}, err
		}, []bool{false}, true},
		{"large bodies stop short of their end", intake.Limits{Bytes: 100}, func(c *clock) ([]*client, error) {
			small, large, taker := c.hold(10, 0), c.hold(80, 2*second), c.hold(0, 0)
			return []*client{small, large, taker}, taker.lease.Take(50)
		}, []bool{false, true, false}, false},
		{"a large body arrives slowly but steadily", intake.Limits{Bytes: 100}, func(c *clock) ([]*client, error) {
			steady, stalled, taker := c.hold(80, 0), c.hold(10, 2*second), c.hold(0, 0)
			steady.lease.Progress(1 << 10)
			err := taker.lease.Take(50)
			return []*client{steady, stalled, taker}, err
		}, []bool{false, false, false}, true},
		{"a large body stalls beside a steady one", intake.Limits{Bytes: 100}, func(c *clock) ([]*client, error) {
			steady, stalled, taker := c.hold(80, 0), c.hold(10, 2*second), c.hold(0, 0)
			steady.lease.Progress(1 << 10)
			return []*client{steady, stalled, taker}, taker.lease.Take(20)
		}, []bool{false, true, false}, false},
		{"bytes trickle", intake.Limits{Bytes: 100}, func(c *clock) ([]*client, error) {
			trickling, taker := c.hold(80, 2*second), c.hold(0, 0)
			trickling.lease.Progress(1)
			return []*client{trickling, taker}, taker.lease.Take(50)
		}, []bool{true, false}, false},
		{"an ordinary request beside large ones", intake.Limits{Bytes: 100}, func(c *clock) ([]*client, error) {
			large, ordinary := c.hold(100, 0), c.open()
			return []*client{large, ordinary}, ordinary.lease.Take(intake.Allowance)
		}, []bool{false, false}, false},
		{"one request wants more than there is", intake.Limits{Bytes: 100}, func(c *clock) ([]*client, error) {
			large, taker := c.hold(10, 2*second), c.hold(0, 0)
			return []*client{large, taker}, taker.lease.Take(101)
		}, []bool{false, false}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			clients, err := c.load(newClock(c.limits))
			var full *intake.FullError
			if c.refused {
				require.ErrorAs(t, err, &full)
			} else {
				require.NoError(t, err)
			}
			for i, n := range clients {
				require.Equal(t, c.closed[i], n.closed, "client %d", i)
			}
		})
	}
}

// In any order of calls, the limits hold, what is served is not closed, an ordinary request finds room, and
// what is taken is given back.
func TestBudgetHoldsInAnyOrder(t *testing.T) {
	phases := []intake.Phase{intake.Idle, intake.Header, intake.Body, intake.Working, intake.Answering}
	rapid.Check(t, func(t *rapid.T) {
		limits := intake.Limits{Conns: rapid.IntRange(1, 6).Draw(t, "conns"), Bytes: rapid.Int64Range(1, 1<<20).Draw(t, "bytes")}
		c := newClock(limits)
		var clients []*client
		held := map[*client]int64{}
		working := map[*client]bool{}
		pick := func(t *rapid.T) *client {
			if len(clients) == 0 {
				t.Skip("no client")
			}
			return rapid.SampledFrom(clients).Draw(t, "client")
		}
		t.Repeat(map[string]func(*rapid.T){
			"open": func(*rapid.T) {
				if n := c.open(); n != nil {
					clients = append(clients, n)
				}
			},
			"take": func(t *rapid.T) {
				n, bytes := pick(t), rapid.Int64Range(0, 1<<19).Draw(t, "bytes")
				if err := n.lease.Take(bytes); err == nil {
					held[n] += bytes
				} else {
					require.True(t, n.closed || held[n]+bytes > intake.Allowance, "%d of %d bytes refused", bytes, held[n])
				}
			},
			"give": func(t *rapid.T) {
				n := pick(t)
				bytes := rapid.Int64Range(0, held[n]).Draw(t, "bytes")
				n.lease.Give(bytes)
				held[n] -= bytes
			},
			"enter": func(t *rapid.T) {
				n, p := pick(t), rapid.SampledFrom(phases).Draw(t, "phase")
				if n.lease.Enter(p) == nil {
					working[n] = p == intake.Working
				}
				if p == intake.Idle {
					held[n] = 0
				}
			},
			"progress": func(t *rapid.T) { pick(t).lease.Progress(rapid.IntRange(0, 512).Draw(t, "bytes")) },
			"wait": func(t *rapid.T) {
				c.now = c.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"close": func(t *rapid.T) {
				n := pick(t)
				n.lease.Close()
				n.closed, working[n] = true, false
			},
			"": func(t *rapid.T) {
				u, sum := c.budget.Usage(), int64(0)
				for _, n := range clients {
					require.False(t, n.closed && working[n], "a request was cut off")
					if n.closed {
						held[n] = 0
					}
					sum += max(0, held[n]-intake.Allowance)
				}
				require.LessOrEqual(t, u.Conns, limits.Conns)
				require.LessOrEqual(t, u.Bytes, limits.Bytes)
				require.Equal(t, sum, u.Bytes)
			},
		})
		for _, n := range clients {
			n.lease.Close()
		}
		u := c.budget.Usage()
		require.Zero(t, u.Conns)
		require.Zero(t, u.Bytes)
	})
}

// Guards against a memory with which a large body is refused though there is no other.
func TestLargeBodyAlone(t *testing.T) {
	const body, copies = 1 << 20, 9
	for _, memory := range []int64{intake.MinMemory, 96 << 20, 160 << 20} {
		limits := intake.LimitsFor(memory, 0)
		for _, l := range []intake.Limits{limits.Callers, limits.Submissions} {
			require.NoError(t, newClock(l).open().lease.Take(copies*body), "%d bytes of memory", memory)
		}
	}
}
