package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// serve places n tasks of equal cost in one round and returns how many each share got.
func serve(o *Order, n int, now time.Time) map[string]int {
	got := map[string]int{}
	r := o.Round(now)
	for range n {
		i, ok := r.Next()
		if !ok {
			break
		}
		got[i.Share]++
		r.MarkPlaced(1)
	}
	return got
}

func TestSharesAreServedByWeight(t *testing.T) {
	o := NewOrder()
	o.SetShare("a", 3)
	o.SetShare("b", 1)
	for i := range 400 {
		o.Push(Item{Task: fmt.Sprint("a", i), Share: "a", QueuedAt: start})
		o.Push(Item{Task: fmt.Sprint("b", i), Share: "b", QueuedAt: start})
	}
	require.Equal(t, map[string]int{"a": 75, "b": 25}, serve(o, 100, start))
	// Once a share has queued tasks again, it is served by its weight, without credit for the time
	// in which it had none.
	o.Push(Item{Task: "c", Share: "c", QueuedAt: start})
	serve(o, 100, start)
	for i := range 100 {
		o.Push(Item{Task: fmt.Sprint("c", i), Share: "c", QueuedAt: start})
	}
	got := serve(o, 100, start)
	require.InDelta(t, 20, got["c"], 1)
	require.InDelta(t, 60, got["a"], 1)
}

func TestUrgentTasksGoFirstWithoutStarvingOthers(t *testing.T) {
	o := NewOrder()
	o.Push(Item{Task: "slow", Share: "a", QueuedAt: start})
	for i := range 200 {
		o.Push(Item{Task: fmt.Sprint("u", i), Share: "b", Urgent: true, QueuedAt: start})
	}
	require.Equal(t, map[string]int{"b": 100}, serve(o, 100, start), "no task of share a before it is overdue")
	got := serve(o, maxUrgentInRow+1, start.Add(overdueAfter))
	require.Equal(t, 1, got["a"], "the overdue task is among the next %d", maxUrgentInRow+1)
}

func TestSkippedFamilyDoesNotBlockOthers(t *testing.T) {
	o := NewOrder()
	for i := range 3 {
		o.Push(Item{Task: fmt.Sprint("big", i), Job: "big", Share: "a", QueuedAt: start})
	}
	o.Push(Item{Task: "small", Job: "small", Share: "a", QueuedAt: start})
	r := o.Round(start)
	first, _ := r.Next()
	require.Equal(t, "big0", first.Task)
	r.Skip()
	second, _ := r.Next()
	require.Equal(t, "small", second.Task)
	r.MarkPlaced(1)
	_, more := r.Next()
	require.False(t, more)
	require.Equal(t, 3, o.Len())
}

// Every task that was pushed and not removed is served once, and the tasks of a
// job family are served in the order in which they were pushed.
func TestOrderServesEachTaskOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := NewOrder()
		waiting := map[string]Item{}
		last := map[string]int{}
		var names []string
		for i := range rapid.IntRange(1, 150).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0, 1:
				item := Item{
					Task:   fmt.Sprint(i),
					Job:    rapid.SampledFrom([]string{"j", "k"}).Draw(t, "job"),
					Share:  rapid.SampledFrom([]string{"a", "b"}).Draw(t, "share"),
					Urgent: rapid.Bool().Draw(t, "urgent"),
				}
				waiting[item.Task] = item
				names = append(names, item.Task)
				o.Push(item)
				o.Push(item)
			case 2:
				if len(names) > 0 {
					name := rapid.SampledFrom(names).Draw(t, "removed")
					delete(waiting, name)
					o.Remove(name)
				}
			case 3:
				r := o.Round(start)
				if item, ok := r.Next(); ok {
					require.Equal(t, waiting[item.Task], item)
					requireInOrder(t, last, item)
					delete(waiting, item.Task)
					r.MarkPlaced(1)
				}
			}
			require.Equal(t, len(waiting), o.Len())
		}
		r := o.Round(start)
		for item, ok := r.Next(); ok; item, ok = r.Next() {
			require.Contains(t, waiting, item.Task)
			requireInOrder(t, last, item)
			delete(waiting, item.Task)
			r.MarkPlaced(1)
		}
		require.Empty(t, waiting)
	})
}

// requireInOrder checks that no later task of the same job family was served before.
func requireInOrder(t *rapid.T, last map[string]int, item Item) {
	key := fmt.Sprint(item.Share, item.Job, item.Urgent)
	var n int
	_, err := fmt.Sscan(item.Task, &n)
	require.NoError(t, err)
	require.GreaterOrEqual(t, n, last[key])
	last[key] = n
}
