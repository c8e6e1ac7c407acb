package laboratory

import (
	"context"
	"time"

	"github.com/oriolepond/oriolepond/internal/batch"
)

// Outcome is what a day has earned under a policy.
type Outcome struct {
	Seed uint64
	// Worth is the mean of the kinds' shares, weighted by their worth.
	Worth float64
	Kinds []KindOutcome
	// IdleBeside is the mean number of cores that no run used while tasks waited, and Waiting the
	// share of the day in which any did.
	IdleBeside float64
	Waiting    float64
	// Throttled and Suspended are the shares of the time of filler runs that they spent below full
	// speed, and at none.
	Throttled float64
	Suspended float64
	// Harmed is the share of the time of serving tasks in which they missed their targets because of
	// batch runs; LongestHarm is the longest such time on end on a worker.
	Harmed      float64
	LongestHarm time.Duration
	// Reasons counts why steps waited for a worker, once in five seconds for each step that waits for
	// longer than a second.
	Reasons []ReasonCount
}

// ReasonCount is how often a step waited for a reason.
type ReasonCount struct {
	Reason string
	Count  int
}

// KindOutcome is what one kind of jobs, or one service, has earned.
type KindOutcome struct {
	Name string
	// Share is what was earned of what was owed.
	Share float64
	// Jobs counts the jobs that were submitted, OnTime those that ended within their objective, and
	// Late those within three times of it. They are zero for a service.
	Jobs   int
	OnTime int
	Late   int
	// MeanWait is how long tasks waited for a worker each time that they got one.
	MeanWait    time.Duration
	LongestWait time.Duration
}

// tally counts what happens on a day.
type tally struct {
	services []serviceTally
	waits    map[string]*waitTally
	reasons  map[string]int
	// ticks counts the observations, waitingTicks those at which tasks waited; idle is the sum of
	// idle cores at the latter.
	ticks, waitingTicks int
	idle                float64
	// waiting means that tasks waited when the core was last asked.
	waiting                      bool
	fillers, throttled, suspends int
	serving, harmed              int
	// harmedFor counts the ticks for which serving tasks on each worker have been harmed on end.
	harmedFor   map[string]int
	longestHarm int
}

// serviceTally is what a service was owed and has earned, in tasks times ticks.
type serviceTally struct {
	owed, earned float64
	// window is what was earned in the present window.
	window float64
}

type waitTally struct {
	count        int
	sum, longest time.Duration
}

const (
	// serviceWindow is the time in which a service earns, in ticks.
	serviceWindow = int(2 * time.Second / tick)
	// harmCost is the weight of a target that is missed because of batch runs.
	harmCost = 4
	// askEvery is how often the core is asked whether tasks wait, in ticks.
	askEvery = 5
)

func newTally(e *Experiment) tally {
	return tally{
		services: make([]serviceTally, len(e.Services)), waits: map[string]*waitTally{}, reasons: map[string]int{}, harmedFor: map[string]int{},
	}
}

// note counts a decision of the core.
func (t *tally) note(n batch.Note) {
	if n.Kind == batch.NoteWaits {
		t.reasons[n.Reason]++
	}
	if n.Kind != batch.NotePlaced {
		return
	}
	w := t.waits[n.Task.Job]
	if w == nil {
		w = &waitTally{}
		t.waits[n.Task.Job] = w
	}
	w.count++
	w.sum += n.Age
	w.longest = max(w.longest, n.Age)
}

// observe counts what the workers did in the tick that has ended.
func (sim *world) observe() {
	t := &sim.tally
	t.ticks++
	if sim.leader.core != nil && t.ticks%askEvery == 0 {
		t.waiting = sim.leader.core.TakeWork(sim.now).QueuedTasks > 0
	}
	idle := 0.0
	working := make([]float64, len(t.services))
	losses := make([]float64, len(t.services))
	for _, w := range sim.workers {
		if w.down || w.gone || sim.now.Before(w.joinsAt) {
			continue
		}
		idle += w.idle / 1000
		sim.observeWorker(w, working, losses)
	}
	if t.waiting {
		t.waitingTicks++
		t.idle += idle
	}
	for i, s := range sim.day.Experiment.Services {
		tally := &t.services[i]
		tally.owed += float64(s.Tasks)
		tally.window += min(working[i], float64(s.Tasks)) - losses[i]
		if t.ticks%serviceWindow == 0 {
			tally.earned += max(0, tally.window)
			tally.window = 0
		}
	}
	sim.observeJobs()
}

// observeWorker counts the runs on a worker. It adds to the tasks at work of each service, and to what
// is lost by missed targets.
func (sim *world) observeWorker(w *simWorker, working, losses []float64) {
	t := &sim.tally
	harmed := false
	for _, r := range w.runs {
		switch {
		case r.step.Filler:
			t.fillers++
			if r.ratio < 100 {
				t.throttled++
			}
			if r.ratio == 0 {
				t.suspends++
			}
		case r.isServing() && r.remaining == 0:
			t.serving++
			working[r.service]++
			switch {
			case r.headroom >= 1:
			case float64(r.baseline*r.speed) < 1:
				losses[r.service]++
			default:
				losses[r.service] += harmCost
				t.harmed++
				harmed = true
			}
		}
	}
	if !harmed {
		delete(t.harmedFor, w.info.ID)
		return
	}
	t.harmedFor[w.info.ID]++
	t.longestHarm = max(t.longestHarm, t.harmedFor[w.info.ID])
}

// observeJobs records which jobs callers see as ended.
func (sim *world) observeJobs() {
	if sim.leader.core == nil {
		return
	}
	for _, c := range sim.callers {
		if c.done || c.drawn == nil || c.sentAt.IsZero() {
			continue
		}
		if state, known := sim.leader.core.State(c.job.ID); known && state.Final() {
			c.done, c.doneAt, c.state = true, sim.now, state
		}
	}
}

// outcome returns what the day has earned.
func (sim *world) outcome() Outcome {
	t := &sim.tally
	o := Outcome{
		Seed: sim.day.Seed, IdleBeside: ratio(t.idle, t.waitingTicks), Waiting: ratio(float64(t.waitingTicks), t.ticks),
		Throttled: ratio(float64(t.throttled), t.fillers), Suspended: ratio(float64(t.suspends), t.fillers),
		Harmed: ratio(float64(t.harmed), t.serving), LongestHarm: time.Duration(t.longestHarm) * tick,
	}
	e := sim.day.Experiment
	var shares []float64
	for i, s := range e.Services {
		k := KindOutcome{Name: s.Name}
		if tally := t.services[i]; tally.owed > 0 {
			k.Share = (tally.earned + max(0, tally.window)) / tally.owed
		}
		o.Kinds = append(o.Kinds, k)
		shares = append(shares, k.Share)
	}
	for i := range e.Jobs {
		k := sim.kindOutcome(&e.Jobs[i])
		o.Kinds = append(o.Kinds, k)
		shares = append(shares, k.Share)
	}
	o.Worth = sim.day.weigh(shares)
	for _, reason := range sortedKeys(t.reasons) {
		o.Reasons = append(o.Reasons, ReasonCount{Reason: reason, Count: t.reasons[reason]})
	}
	return o
}

// kindOutcome returns what the jobs of a kind have earned.
func (sim *world) kindOutcome(kind *JobKind) KindOutcome {
	k := KindOutcome{Name: kind.Name}
	earned := 0.0
	placed := 0
	var waited time.Duration
	for _, c := range sim.callers {
		if c.drawn == nil || c.drawn.kind != kind {
			continue
		}
		k.Jobs++
		if w := sim.tally.waits[c.job.ID]; w != nil {
			placed += w.count
			waited += w.sum
			k.LongestWait = max(k.LongestWait, w.longest)
		}
		switch took := c.doneAt.Sub(c.sentAt); {
		case !c.done || c.state != batch.Completed || took > lateFactor*c.drawn.objective:
		case took > c.drawn.objective:
			k.Late++
			earned += kind.LateWorth
		default:
			k.OnTime++
			earned++
		}
	}
	k.Share = ratio(earned, k.Jobs)
	if placed > 0 {
		k.MeanWait = waited / time.Duration(placed)
	}
	return k
}

// weigh returns the mean of the shares of services and kinds of jobs, weighted by their worth. Kinds
// without any job on the day do not count.
func (d *Day) weigh(shares []float64) float64 {
	e := d.Experiment
	sum, weights := 0.0, 0.0
	for i, share := range shares {
		weight := 0.0
		if i < len(e.Services) {
			weight = e.Services[i].Worth
		} else if kind := &e.Jobs[i-len(e.Services)]; d.count(kind) > 0 {
			weight = kind.Worth
		}
		sum += float64(weight * share)
		weights += weight
	}
	if weights == 0 {
		return 0
	}
	return sum / weights
}

// count returns how many jobs of a kind the day has.
func (d *Day) count(kind *JobKind) int {
	n := 0
	for i := range d.jobs {
		if d.jobs[i].kind == kind {
			n++
		}
	}
	return n
}

func ratio(sum float64, n int) float64 {
	if n == 0 {
		return 0
	}
	return sum / float64(n)
}

// Result is what the days of an experiment have earned under one policy, in the order of the seeds.
type Result struct {
	Policy   Policy
	Outcomes []Outcome
}

// Run plays the days of all seeds under all policies.
func Run(ctx context.Context, e *Experiment) ([]Result, error) {
	results := make([]Result, len(e.Policies))
	for i, p := range e.Policies {
		results[i].Policy = p
	}
	for _, seed := range e.Seeds {
		day := Draw(e, seed)
		for i, p := range e.Policies {
			if err := ctx.Err(); err != nil {
				return nil, err
			}
			outcome, err := Play(day, p)
			if err != nil {
				return nil, err
			}
			results[i].Outcomes = append(results[i].Outcomes, outcome)
		}
	}
	return results, nil
}
