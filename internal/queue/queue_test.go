package queue

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

func item(neighbour string, weight int, timeout time.Duration) *Item {
	return &Item{Neighbour: neighbour, Weight: weight, Deadline: start.Add(timeout)}
}

// newQueue returns a queue with a mean run time of ten milliseconds.
func newQueue(limit, slots int) *Queue {
	q := &Queue{Limit: limit, Slots: slots}
	q.ObserveRunTime(10 * time.Millisecond)
	return q
}

// Neighbours are served in proportion to their weights, whoever came first.
func TestNeighboursShareByWeight(t *testing.T) {
	q := newQueue(1000, 10)
	for range 100 {
		_, err := q.Push(start, item("flood", 1, time.Hour))
		require.NoError(t, err)
	}
	for range 60 {
		_, err := q.Push(start, item("heavy", 3, time.Hour))
		require.NoError(t, err)
	}
	served := map[string]int{}
	for range 40 {
		i, _ := q.Pop(start)
		served[i.Neighbour]++
	}
	require.InDelta(t, 30, served["heavy"], 1)
}

// A neighbour that often has no items waiting must not get more than its weight
// by rejoining the queue.
func TestRejoiningNeighbourGainsNoCredit(t *testing.T) {
	q := newQueue(1000, 10)
	for range 200 {
		_, err := q.Push(start, item("steady", 1, time.Hour))
		require.NoError(t, err)
	}
	served := map[string]int{}
	for range 100 {
		if served["guest"]+served["steady"] < 100 && !q.hasWaiting("guest") {
			_, err := q.Push(start, item("guest", 1, time.Hour))
			require.NoError(t, err)
		}
		i, _ := q.Pop(start)
		served[i.Neighbour]++
	}
	require.InDelta(t, 50, served["guest"], 1)
}

// hasWaiting reports whether the queue has an item of a neighbour.
func (q *Queue) hasWaiting(neighbour string) bool {
	f, ok := q.byNeighbour[neighbour]
	return ok && len(f.items) > 0
}

func TestPushRefusesFullOrLate(t *testing.T) {
	cases := []struct {
		name    string
		waiting int
		limit   int
		timeout time.Duration
		refused bool
	}{
		{"capacity and time left", 5, 10, time.Second, false},
		{"queue full", 10, 10, time.Second, true},
		{"wait longer than the deadline", 100, 1000, 100 * time.Millisecond, true},
		{"wait just short of the deadline", 50, 1000, 100 * time.Millisecond, false},
		{"deadline already passed", 0, 10, -time.Millisecond, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			q := newQueue(c.limit, 10)
			for range c.waiting {
				_, err := q.Push(start, item("a", 1, time.Hour))
				require.NoError(t, err)
			}
			_, err := q.Push(start, item("a", 1, c.timeout))
			var refused *RefusedError
			if !c.refused {
				require.NoError(t, err)
				return
			}
			require.ErrorAs(t, err, &refused)
			require.Equal(t, c.waiting, q.Len())
		})
	}
}

// In a full queue, a neighbour with fewer items for its weight displaces the
// items of a flooding neighbour until both have the same.
func TestFloodingNeighbourIsDisplaced(t *testing.T) {
	q := newQueue(10, 10)
	for range 10 {
		_, err := q.Push(start, item("flood", 1, time.Hour))
		require.NoError(t, err)
	}
	for range 5 {
		displaced, err := q.Push(start, item("guest", 1, time.Hour))
		require.NoError(t, err)
		require.Equal(t, "flood", displaced.Neighbour)
		require.False(t, displaced.Waiting())
	}
	_, err := q.Push(start, item("guest", 1, time.Hour))
	require.Error(t, err)
	require.Equal(t, 10, q.Len())
}

// An item that can no longer meet its deadline is returned as expired.
func TestPopSkipsItemsPastDeadline(t *testing.T) {
	q := newQueue(10, 10)
	short, long := item("a", 1, 50*time.Millisecond), item("a", 1, time.Hour)
	for _, i := range []*Item{short, long} {
		_, err := q.Push(start, i)
		require.NoError(t, err)
	}
	next, expired := q.Pop(start.Add(45 * time.Millisecond))
	require.Same(t, long, next)
	require.Equal(t, []*Item{short}, expired)
}

// One slow request raises the mean run time above the deadlines of the next
// ones. They must still be queued and served.
func TestSlowRequestDoesNotBlockQueue(t *testing.T) {
	q := &Queue{Limit: 10, Slots: 100}
	q.ObserveRunTime(time.Hour)
	q.Slots = 1 << 30
	_, err := q.Push(start, item("a", 1, time.Second))
	require.NoError(t, err)
	next, _ := q.Pop(start.Add(100 * time.Millisecond))
	require.NotNil(t, next)
}

// Whatever sequence of calls, the queue stays within its limit and neither loses
// nor duplicates items.
func TestQueueNeitherLosesNorDuplicatesItems(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := newQueue(8, 4)
		now := start
		queued := map[*Item]bool{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "millis")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0, 1:
				n := rapid.IntRange(0, 3).Draw(t, "neighbour")
				i := &Item{Neighbour: fmt.Sprint(n), Weight: n, Deadline: now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "left")) * time.Millisecond)}
				displaced, err := q.Push(now, i)
				queued[i] = err == nil
				if displaced != nil {
					queued[displaced] = false
				}
			case 2:
				next, expired := q.Pop(now)
				for _, i := range append(expired, next) {
					if i != nil && !queued[i] {
						t.Fatal("an item was returned twice")
					}
					queued[i] = false
				}
			case 3:
				for i, isQueued := range queued {
					if isQueued {
						q.Remove(i)
						queued[i] = false
						break
					}
				}
			}
			count := 0
			for i, isQueued := range queued {
				if i != nil && isQueued != i.Waiting() {
					t.Fatal("Item.Waiting does not match the queue")
				}
				if isQueued {
					count++
				}
			}
			if count != q.Len() || count > q.Limit {
				t.Fatalf("%d items in the queue, %d expected", q.Len(), count)
			}
		}
	})
}
