package placement

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/oriolepond/oriolepond/pkg/share"
)

func TestUrgentTaskGetsRoomAtLeastLoss(t *testing.T) {
	p := NewPlanner()
	p.SetFamily(Family{Name: "keeps", Declared: cores(2), Checkpoints: true})
	p.SetFamily(Family{Name: "loses", Declared: cores(2)})
	p.SetFamily(Family{Name: "urgent", Declared: cores(1)})
	for i, family := range []string{"loses", "keeps", "loses"} {
		p.SetWorker(worker(i, cores(8)), start)
		r := Resident{Task: fmt.Sprint("t", i), Job: family, Size: cores(8), Since: start}
		p.Start(fmt.Sprint("w-", i), r, start)
	}
	now := start.Add(time.Minute)
	c := Candidate{Task: "u", Job: "urgent", Urgent: true}
	_, _, err := p.Place(c, now)
	var full *FullError
	require.ErrorAs(t, err, &full)
	require.Equal(t, []Action{{Kind: share.YieldCheckpoint, Worker: "w-1", Task: "t1"}}, p.Preempt(c, now))
	require.Empty(t, p.Preempt(c, now.Add(time.Second)), "room is being made")
	calm := c
	calm.Urgent = false
	require.Empty(t, p.Preempt(calm, now))
	p.End("w-1", "t1", OutcomeMoved, now.Add(2*time.Second))
	id, size, err := p.Place(c, now.Add(2*time.Second))
	require.NoError(t, err)
	require.Equal(t, "w-1", id)
	require.Equal(t, cores(8), size, "a family that was never seen gets a margin")
}

// A long-waiting urgent task that had a worker reserved gets room on another
// one; the reservation goes with it, so that others get that worker reserved.
func TestRoomReplacesAReservation(t *testing.T) {
	p := NewPlanner()
	p.SetFamily(Family{Name: "f", Declared: cores(8), Checkpoints: true})
	for i := range 2 {
		p.SetWorker(worker(i, cores(8)), start)
		p.Start(fmt.Sprint("w-", i), Resident{Task: fmt.Sprint("t", i), Job: "f", Size: cores(8), Since: start, Urgent: i == 0}, start)
	}
	now := start.Add(overdueAfter)
	c := Candidate{Task: "u", Job: "f", Urgent: true, QueuedAt: start}
	p.Pool.reserve(Candidate{Task: "u", Size: cores(8), QueuedAt: start}, now)
	require.Contains(t, p.Pool.reserved, "u")
	for range 10 {
		now = now.Add(claimTime)
		p.Preempt(c, now)
		held := 0
		for _, s := range p.Pool.workers {
			if s.reservation.task == "u" {
				held++
			}
		}
		require.Equal(t, 1, held)
	}
}

// A task that holds more than it was given counts with what it holds, and its
// worker is unloaded if that is too much.
func TestTrueHoldingsCount(t *testing.T) {
	p := NewPlanner()
	p.SetFamily(Family{Name: "f", Declared: cores(1), Checkpoints: true})
	p.SetWorker(worker(0, cores(8)), start)
	for _, task := range []string{"a", "b"} {
		p.Start("w-0", Resident{Task: task, Job: "f", Size: cores(4), Since: start}, start)
	}
	at := start.Add(time.Minute)
	p.Measure(Measurement{Worker: "w-0", At: at, Window: testWindow, Tasks: []TaskMeasurement{{Task: "a", Peak: cores(5), Speed: 1}}})
	require.Equal(t, cores(-1), p.Pool.Free("w-0"))
	require.Len(t, p.Yield("w-0", at.Add(testLag)), 1)
	size, _ := p.Sizes.Estimate("f", cores(1), cores(8))
	require.True(t, cores(5).Fits(size))
}

// However tasks come, grow, fail and go, the planner never places beyond what
// a worker has left, and its counts stay true.
func TestPlannerKeepsItsCounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := NewPlanner()
		families := []string{"f", "g"}
		for _, f := range families {
			p.SetFamily(Family{Name: f, Declared: cores(1), Checkpoints: f == "f"})
		}
		for i := range 4 {
			w := worker(i, cores(16))
			w.Runners = []Runner{{Service: "s", Share: "front"}}
			p.SetWorker(w, start)
		}
		now := start
		at := map[string]string{}
		family := map[string]string{}
		for step := range 80 {
			now = now.Add(time.Duration(rapid.IntRange(1, 30).Draw(t, "seconds")) * time.Second)
			var names []string
			for name := range at {
				names = append(names, name)
			}
			if len(names) == 0 || rapid.Bool().Draw(t, "new") {
				c := Candidate{Task: fmt.Sprintf("%03d", step), Job: rapid.SampledFrom(families).Draw(t, "family")}
				id, size, err := p.Place(c, now)
				if err == nil {
					require.True(t, size.Fits(p.Pool.Free(id)))
					c.Size = size
					p.Start(id, c.Resident(now), now)
					at[c.Task], family[c.Task] = id, c.Job
				} else {
					var full *FullError
					require.True(t, errors.As(err, &full), "%v", err)
				}
				continue
			}
			name := rapid.SampledFrom(slices.Sorted(slices.Values(names))).Draw(t, "task")
			switch rapid.IntRange(0, 2).Draw(t, "event") {
			case 0:
				end := rapid.SampledFrom([]Outcome{OutcomeFinished, OutcomeFailed, OutcomeMoved}).Draw(t, "end")
				p.End(at[name], name, end, now)
				p.End(at[name], name, end, now)
				delete(at, name)
			case 1:
				p.Measure(Measurement{Worker: at[name], At: now, Window: testWindow, Tasks: []TaskMeasurement{
					{Task: name, Peak: cores(rapid.Int64Range(0, 6).Draw(t, "peak")), Speed: 0.9},
				}})
			case 2:
				p.Throttle(at[name], name, 0.5, now)
			}
			counts := map[string]int{}
			for task := range at {
				counts[family[task]]++
			}
			for _, f := range families {
				require.Equal(t, counts[f], p.running[f])
			}
			require.Len(t, at, residentsOf(p))
		}
	})
}

func residentsOf(p *Planner) int {
	n := 0
	for _, s := range p.Pool.workers {
		n += len(s.residents)
	}
	return n
}

// Where a service is past its limit by itself, tasks that do not add to that
// are placed all the same, and harmful ones once they are overdue.
func TestServiceInTroubleDoesNotStarveBatchWork(t *testing.T) {
	p := NewPlanner()
	w := worker(0, cores(8))
	w.Runners = []Runner{{Service: "s", Share: "front"}}
	p.SetWorker(w, start)
	m := p.Learner.Model
	m.SetBaseline(m.Service("s"), 2)
	m.SetEffect(m.Service("s"), m.Aggressor("mild"), 0.001)
	m.SetEffect(m.Service("s"), m.Aggressor("noisy"), 0.5)
	for _, family := range []string{"mild", "noisy"} {
		p.SetFamily(Family{Name: family, Declared: cores(1)})
	}
	_, _, err := p.Place(Candidate{Task: "a", Job: "mild", QueuedAt: start}, start)
	require.NoError(t, err)
	noisy := Candidate{Task: "b", Job: "noisy", QueuedAt: start}
	_, _, err = p.Place(noisy, start)
	var full *FullError
	require.ErrorAs(t, err, &full)
	require.Equal(t, Harmful, full.Reason)
	_, _, err = p.Place(noisy, start.Add(harmAfter))
	require.NoError(t, err)
}

// A service without requests, as at night, does not keep batch work away; it
// does again once it is measured beyond its objective.
func TestQuietServiceDoesNotHoldBatchWorkBack(t *testing.T) {
	p := NewPlanner()
	w := worker(0, cores(1000))
	w.Runners = []Runner{{Service: "s", Share: "front"}}
	p.SetWorker(w, start)
	p.Learner.Model.SetBaseline(p.Learner.Model.Service("s"), 0.8)
	p.SetFamily(Family{Name: "review", Declared: cores(1)})
	for range trustedSamples {
		p.Sizes.Observe("review", cores(1))
	}
	place := func(task string, at time.Time) error {
		worker, size, err := p.Place(Candidate{Task: task, Job: "review", QueuedAt: at}, at)
		if err == nil {
			p.Start(worker, Resident{Task: task, Job: "review", Size: size, Since: at}, at)
		}
		return err
	}
	fill := func(prefix string, at time.Time) int {
		n := 0
		for n < 20 && place(prefix+strconv.Itoa(n), at) == nil {
			n++
		}
		return n
	}
	require.Equal(t, maxTrials, fill("unmeasured", start))
	p.Measure(Measurement{Worker: w.ID, At: start, Window: time.Second})
	later := start.Add(quietAfter + time.Second)
	p.Measure(Measurement{Worker: w.ID, At: later, Window: time.Second})
	require.Equal(t, 20, fill("quiet", later))
	busy := later.Add(time.Second)
	tail := ServiceView{Service: "s", Strain: 2}
	p.Measure(Measurement{Worker: w.ID, At: busy, Window: time.Second, Tails: []ServiceView{tail}})
	require.Zero(t, fill("busy", busy))
}
