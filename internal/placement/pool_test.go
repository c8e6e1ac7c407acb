package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/oriolepond/oriolepond/pkg/share"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func cores(n int64) share.Resources {
	return share.Resources{Processors: share.MilliCores(n * 1000), Memory: share.Bytes(n << 30)}
}

func worker(i int, capacity share.Resources) Worker {
	return Worker{
		ID:         fmt.Sprintf("w-%d", i),
		Rack:       fmt.Sprintf("r-%d", i/8),
		DataCentre: fmt.Sprintf("dc-%d", i/24),
		Capacity:   capacity,
		Accepting:  true,
	}
}

func TestChooseTellsLackNowFromLackForEver(t *testing.T) {
	gpu := share.Resources{Processors: 4000, Memory: 4 << 30, Accelerators: 1}
	cases := []struct {
		name          string
		size          share.Resources
		share         string
		full          FullReason
		unschedulable bool
	}{
		{name: "fits", size: cores(2), share: "a"},
		{name: "taken now", size: cores(4), share: "a", full: NoFreeCapacity},
		{name: "more than any worker", size: cores(9), share: "a", unschedulable: true},
		{name: "no accelerator anywhere", size: gpu, share: "a", unschedulable: true},
		{name: "quota used", size: cores(2), share: "b", full: QuotaExhausted},
		{name: "more than the quota", size: cores(4), share: "b", unschedulable: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := NewPool()
			p.SetWorker(worker(0, cores(8)))
			p.SetQuota("b", cores(3))
			p.Assign("w-0", Resident{Task: "x", Share: "a", Size: cores(4)})
			p.Assign("w-0", Resident{Task: "y", Share: "b", Size: cores(2)})
			_, err := p.Choose(Candidate{Task: "t", Share: c.share, Size: c.size}, start)
			var full *FullError
			var never *UnschedulableError
			switch {
			case c.full != "":
				require.ErrorAs(t, err, &full)
				require.Equal(t, c.full, full.Reason)
			case c.unschedulable:
				require.ErrorAs(t, err, &never)
				require.NotEmpty(t, never.Reason)
			default:
				require.NoError(t, err)
			}
		})
	}
}

// Whatever comes and goes, no worker is given more than it holds, no quota is
// passed, and room is found wherever there is some.
func TestPoolNeverExceedsWorkersOrQuotas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := NewPool()
		n := rapid.IntRange(1, 40).Draw(t, "workers")
		for i := range n {
			capacity := cores(rapid.Int64Range(1, 8).Draw(t, "capacity"))
			capacity.Accelerators = share.Accelerators(rapid.IntRange(0, 2).Draw(t, "accelerators"))
			p.SetWorker(worker(i, capacity))
		}
		quota := cores(rapid.Int64Range(4, 100).Draw(t, "quota"))
		quota.Accelerators = share.Accelerators(rapid.IntRange(1, 10).Draw(t, "accelerator quota"))
		p.SetQuota("a", quota)
		held := map[string]string{}
		for step := range 60 {
			task := fmt.Sprintf("t-%d", step)
			c := Candidate{Task: task, Group: "g", Job: "j", Share: "a", Size: cores(rapid.Int64Range(1, 4).Draw(t, "size"))}
			c.Size.Accelerators = share.Accelerators(rapid.IntRange(0, 1).Draw(t, "takes accelerators"))
			id, err := p.Choose(c, start)
			if err == nil {
				p.Assign(id, c.Resident(start))
				held[task] = id
			} else {
				requireTrueRefusal(t, p, c, quota, err)
			}
			if step%3 == 2 {
				for gone, at := range held {
					p.Release(at, gone)
					delete(held, gone)
					break
				}
			}
			used := share.Resources{}
			for _, s := range p.workers {
				require.False(t, p.Free(s.ID).IsNegative())
				used = used.Plus(s.Capacity.Minus(p.Free(s.ID)))
			}
			require.Equal(t, used, p.Used("a"))
			require.True(t, used.Fits(quota))
		}
	})
}

// requireTrueRefusal checks that nothing was overlooked.
func requireTrueRefusal(t *rapid.T, p *Pool, c Candidate, quota share.Resources, err error) {
	if !p.Used(c.Share).Plus(c.Size).Fits(quota) {
		return
	}
	for _, s := range p.workers {
		require.False(t, c.Size.Fits(p.Free(s.ID)), "%v, but %s has room", err, s.ID)
	}
}

func TestGroupIsSpreadOverRacksAndDataCentres(t *testing.T) {
	p := NewPool()
	for i := range 48 {
		p.SetWorker(worker(i, cores(32)))
	}
	racks := map[string]int{}
	centres := map[string]int{}
	for i := range 6 {
		c := Candidate{Task: fmt.Sprint(i), Group: "g", Size: cores(2)}
		id, err := p.Choose(c, start)
		require.NoError(t, err)
		p.Assign(id, c.Resident(start))
		w, _ := p.Worker(id)
		racks[w.Rack]++
		centres[w.DataCentre]++
	}
	require.Len(t, racks, 6)
	require.Equal(t, map[string]int{"dc-0": 3, "dc-1": 3}, centres)
}

func TestStridesVisitEveryWorker(t *testing.T) {
	for n := 1; n < 200; n++ {
		for _, stride := range strides(n) {
			seen := map[int]bool{}
			for i, at := 0, 0; i < n; i++ {
				seen[at] = true
				at = (at + stride) % n
			}
			require.Len(t, seen, n, "stride %d of %d", stride, n)
		}
	}
}

// Small tasks come and go so that a worker is never empty by itself; a large
// one must get in all the same, once it is overdue.
func TestSmallTasksDoNotStarveLargeOnes(t *testing.T) {
	p := NewPool()
	for i := range 4 {
		p.SetWorker(worker(i, cores(4)))
	}
	type small struct {
		worker string
		ends   int
	}
	running := map[string]small{}
	large := Candidate{Task: "large", Size: cores(4), QueuedAt: start}
	const minute, longest = 60, 120
	for second := range 10 * minute {
		now := start.Add(time.Duration(second) * time.Second)
		for task, s := range running {
			if s.ends <= second {
				p.Release(s.worker, task)
				delete(running, task)
			}
		}
		for i := 0; ; i++ {
			c := Candidate{Task: fmt.Sprint(second, "-", i), Size: cores(1), QueuedAt: now}
			id, err := p.Choose(c, now)
			if err != nil {
				break
			}
			p.Assign(id, c.Resident(now))
			running[c.Task] = small{id, second + minute + (second*7+i*13)%(longest-minute)}
		}
		if _, err := p.Choose(large, now); err == nil {
			require.GreaterOrEqual(t, now.Sub(start), overdueAfter)
			require.LessOrEqual(t, now.Sub(start), overdueAfter+longest*time.Second+reservedTime)
			return
		}
	}
	require.Fail(t, "the large task never ran")
}
