package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/oriolepond/oriolepond/internal/interference"
	"github.com/oriolepond/oriolepond/pkg/share"
)

const (
	testWindow = 5 * time.Second
	testLag    = 15 * time.Second
)

// yielderFor returns a yielder with one rule and a model with the given effects of job families on a service.
func yielderFor(rule share.YieldRule, effects map[string]float64) *Yielder {
	y := NewYielder()
	y.Model = interference.NewModel()
	s := y.Model.Service("finish")
	y.Model.SetBaseline(s, 0.5)
	for family, effect := range effects {
		y.Model.SetEffect(s, y.Model.Aggressor(family), effect)
	}
	y.SetRules([]share.YieldRule{rule})
	return y
}

func batchRule(limit share.YieldAction) share.YieldRule {
	return share.YieldRule{
		Name: "r", Yields: "batch", To: "front", Limit: limit,
		MinRunTime: 10 * time.Second, EvictionsPerHour: 100, TailWeight: 1,
	}
}

func resident(task, family string, since time.Time) ResidentView {
	return ResidentView{Task: task, Job: family, Share: "batch", Since: since, ThrottleRatio: 1}
}

func viewAt(worker string, strain float64, measured time.Time, residents ...ResidentView) View {
	return View{
		Worker:    worker,
		Services:  []ServiceView{{Service: "finish", Share: "front", Strain: strain, MeasuredAt: measured, Window: testWindow}},
		Residents: residents,
	}
}

func TestYieldPicksCheapestSufficientActions(t *testing.T) {
	old, young := start.Add(-time.Hour), start.Add(testLag-time.Second)
	noisy, mild := resident("noisy", "scan", old), resident("mild", "review", old)
	throttled := noisy
	throttled.ThrottleRatio = minRatio
	costly := throttled
	costly.Task, costly.Unsaved = "costly", time.Hour
	cheap := throttled
	cheap.Task, cheap.Checkpoints, cheap.Unsaved = "cheap", true, time.Hour
	fresh := throttled
	fresh.Task, fresh.Since = "fresh", young
	urgent := throttled
	urgent.Task, urgent.Urgent = "urgent", true
	foreign := noisy
	foreign.Share = "other"
	leaving := cheap
	leaving.Leaving = true
	cases := []struct {
		name   string
		limit  share.YieldAction
		strain float64
		tasks  []ResidentView
		want   []string
	}{
		{"within the objective", share.YieldEvict, 0.8, []ResidentView{noisy, mild}, nil},
		{"the task with the greatest effect is throttled first, just enough", share.YieldEvict, 1.0, []ResidentView{mild, noisy}, []string{"throttle noisy 0.50"}},
		{"a share without a rule does not yield", share.YieldEvict, 2, []ResidentView{foreign}, nil},
		{"evicted when already throttled to the minimum", share.YieldEvict, 1.3, []ResidentView{costly, cheap}, []string{"checkpoint cheap 0.00", "evict costly 0.00"}},
		{"checkpoint at most", share.YieldCheckpoint, 1.3, []ResidentView{costly, cheap}, []string{"checkpoint cheap 0.00"}},
		{"throttle at most", share.YieldThrottle, 1.3, []ResidentView{costly, cheap}, nil},
		{"not before its minimum run time", share.YieldEvict, 1.3, []ResidentView{fresh}, nil},
		{"urgent tasks last", share.YieldEvict, 1.12, []ResidentView{urgent, costly}, []string{"evict costly 0.00", "evict urgent 0.00"}},
		{"not evicted twice", share.YieldEvict, 1.3, []ResidentView{leaving}, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			y := yielderFor(batchRule(c.limit), map[string]float64{"scan": 0.6, "review": 0.05})
			var got []string
			for _, a := range y.Decide(viewAt("w", c.strain, start, c.tasks...), start.Add(testLag)) {
				got = append(got, fmt.Sprintf("%s %s %.2f", a.Kind, a.Task, a.ThrottleRatio))
			}
			require.Equal(t, c.want, got)
		})
	}
}

// A measurement whose window began before the last action must not cause another action.
func TestLateMeasurementsDoNotRepeatActions(t *testing.T) {
	y := yielderFor(batchRule(share.YieldEvict), map[string]float64{"scan": 0.6})
	r := resident("t", "scan", start.Add(-time.Hour))
	acted := start.Add(testLag)
	require.Len(t, y.Decide(viewAt("w", 1.0, start, r), acted), 1)
	for late := testWindow; late < testLag+testWindow; late += time.Second {
		require.Empty(t, y.Decide(viewAt("w", 1.0, start.Add(late), r), acted.Add(late)), "measured %s after the first measurement", late)
	}
	require.NotEmpty(t, y.Decide(viewAt("w", 1.0, acted.Add(testWindow), r), acted.Add(testWindow+testLag)))
}

// A throttle is lifted once the strain was low for long enough. If the service
// then suffers again at once, the next lift must wait longer.
func TestThrottlesAreLiftedWithHysteresis(t *testing.T) {
	y := yielderFor(batchRule(share.YieldEvict), map[string]float64{"scan": 0.6})
	r := resident("t", "scan", start.Add(-time.Hour))
	now := start
	lifts, last := 0, now
	for now.Sub(start) < time.Hour {
		now = now.Add(testWindow)
		// The strain is too high exactly while the throttle ratio is above 0.5.
		strain := 0.6
		if r.ThrottleRatio > 0.5 {
			strain = 1.1
		}
		for _, a := range y.Decide(viewAt("w", strain, now.Add(-testLag), r), now) {
			require.Equal(t, share.YieldThrottle, a.Kind)
			if a.ThrottleRatio > r.ThrottleRatio {
				require.GreaterOrEqual(t, now.Sub(last), minLiftDelay)
				lifts++
			}
			r.ThrottleRatio, last = a.ThrottleRatio, now
		}
	}
	require.Positive(t, lifts)
	require.LessOrEqual(t, lifts, 12, "the delay must double after each lift that is undone")
}

// No hour has more evictions than the rule allows, however many workers have
// strained services and however long.
func TestEvictionBudgetHoldsInEveryHour(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rule := batchRule(share.YieldEvict)
		rule.EvictionsPerHour = rapid.IntRange(0, 40).Draw(t, "perHour")
		y := yielderFor(rule, map[string]float64{"scan": 0.6})
		var evicted []time.Time
		now := start
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 120).Draw(t, "seconds")) * time.Second)
			worker := fmt.Sprint(rapid.IntRange(0, 20).Draw(t, "worker"))
			a, b := resident("a", "scan", start.Add(-time.Hour)), resident("b", "scan", start.Add(-time.Hour))
			a.ThrottleRatio, b.ThrottleRatio = minRatio, minRatio
			strain := rapid.Float64Range(0.5, 3).Draw(t, "strain")
			for _, action := range y.Decide(viewAt(worker, strain, now, a, b), now.Add(testLag)) {
				if action.Kind == share.YieldEvict {
					evicted = append(evicted, now)
				}
			}
		}
		for i := range evicted {
			if i >= rule.EvictionsPerHour {
				require.GreaterOrEqual(t, evicted[i].Sub(evicted[i-rule.EvictionsPerHour]), time.Hour)
			}
		}
	})
}

func TestOvercommittedWorkerIsUnloaded(t *testing.T) {
	y := NewYielder()
	v := View{Worker: "w", Free: cores(-3), Residents: []ResidentView{
		{Task: "lossy", Size: cores(4), Unsaved: time.Hour},
		{Task: "kept", Size: cores(4), Checkpoints: true},
		{Task: "urgent", Size: cores(4), Checkpoints: true, Urgent: true},
	}}
	actions := y.Decide(v, start)
	require.Equal(t, []Action{{Kind: share.YieldCheckpoint, Worker: "w", Task: "kept"}}, actions)
	v.Residents[1].Leaving = true
	require.Empty(t, y.Decide(v, start.Add(time.Second)))
}
