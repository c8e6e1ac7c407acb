package laboratory

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/oriolepond/oriolepond/internal/batch"
	"github.com/oriolepond/oriolepond/pkg/share"
)

// world plays one day under one policy.
type world struct {
	day    *Day
	policy Policy
	now    time.Time
	end    time.Time
	events events
	// lastEvent numbers the events, so that those at the same time happen in the order in which they
	// were scheduled.
	lastEvent int
	workers   []*simWorker
	byID      map[string]*simWorker
	store     simStore
	leader    leader
	callers   []*caller
	// jobs finds what a task runs by the ID of its job.
	jobs  map[string]*caller
	tally tally
	// err is the first error of the core.
	err error
}

// event is something that happens at a time.
type event struct {
	at     time.Time
	number int
	do     func()
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(a, b int) bool {
	return e[a].at.Before(e[b].at) || e[a].at.Equal(e[b].at) && e[a].number < e[b].number
}

func (e events) Swap(a, b int) { e[a], e[b] = e[b], e[a] }

func (e *events) Push(x any) { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simStore is the model of the store: what is committed in it, and how long a commit takes.
type simStore struct {
	records      map[string][]byte
	unresponsive []byte
	effects      []byte
	slowUntil    time.Time
	awayUntil    time.Time
}

const (
	// oneWay is how long a message between two processes takes, commitTime how long a commit does,
	// and slowCommitTime how long it does at a slow store.
	oneWay         = 2 * time.Millisecond
	commitTime     = 5 * time.Millisecond
	slowCommitTime = 500 * time.Millisecond
	// callTimeout is how long a leader or caller waits for an answer.
	callTimeout = 600 * time.Millisecond
)

// commitsAt returns when a commit that is sent now takes effect.
func (s *simStore) commitsAt(now time.Time) time.Time {
	switch {
	case now.Before(s.awayUntil):
		return s.awayUntil.Add(commitTime)
	case now.Before(s.slowUntil):
		return now.Add(slowCommitTime)
	}
	return now.Add(commitTime)
}

// Play plays a day under a policy.
func Play(d *Day, p Policy) (Outcome, error) {
	sim := newWorld(d, p)
	sim.run()
	if sim.err != nil {
		return Outcome{}, fmt.Errorf("seed %d, policy %q: %w", d.Seed, p.Name, sim.err)
	}
	return sim.outcome(), nil
}

// run lets everything happen until the end of the day, or the first error.
func (sim *world) run() {
	for sim.err == nil && len(sim.events) > 0 && !sim.events[0].at.After(sim.end) {
		e := heap.Pop(&sim.events).(event)
		sim.now = e.at
		e.do()
	}
}

// newPool returns a world with the workers of a day that nobody leads or calls.
func newPool(d *Day, p Policy) *world {
	e := d.Experiment
	sim := &world{
		day: d, policy: p, now: epoch, end: epoch.Add(e.Duration + e.Settle), byID: map[string]*simWorker{}, jobs: map[string]*caller{},
		store: simStore{records: map[string][]byte{}}, tally: newTally(e),
	}
	sim.addWorkers()
	return sim
}

func newWorld(d *Day, p Policy) *world {
	e := d.Experiment
	sim := newPool(d, p)
	sim.lead()
	sim.after(tick, sim.tick)
	for i, s := range e.Services {
		job := batch.Job{ID: fmt.Sprintf("%016x", i+1), Queue: s.Queue, Steps: []batch.Step{{
			Tasks: s.Tasks, Size: s.Size, LongRunning: true, Image: s.Image, TailTarget: s.TailTarget, MaxUnavailable: s.MaxUnavailable,
			MaxPerWorker: s.MaxPerWorker,
		}}}
		sim.addCaller(&caller{job: job, service: i}, 0)
	}
	for i := range d.jobs {
		sim.addCaller(&caller{job: d.jobs[i].job, drawn: &d.jobs[i]}, d.jobs[i].at)
	}
	for _, disruption := range d.disruptions {
		sim.after(disruption.At, func() { sim.disrupt(disruption) })
	}
	return sim
}

func (sim *world) addWorkers() {
	for _, group := range sim.day.Experiment.Pool {
		n := group.Workers
		if replaced, ok := sim.policy.Workers[group.Name]; ok {
			n = replaced
		}
		for i := range n {
			id := fmt.Sprintf("%s-%04d", group.Name, i)
			w := &simWorker{
				info: batch.WorkerInfo{
					ID: id, Address: id, Service: poolService, Incarnation: 1, Rack: fmt.Sprintf("%s-rack-%d", group.Name, i%max(1, group.Racks)),
					Capacity: group.Capacity,
				},
				declared: group.Capacity.Processors, joinsAt: epoch.Add(group.Joins), incarnationStart: epoch.Add(group.Joins),
				highestEnded: map[batch.TaskName]int64{},
			}
			sim.workers = append(sim.workers, w)
			sim.byID[id] = w
			if group.Joins > 0 {
				sim.after(group.Joins, func() { sim.publish(w) })
			}
		}
	}
	slices.SortFunc(sim.workers, func(a, b *simWorker) int { return cmp.Compare(a.info.ID, b.info.ID) })
}

// poolService is the service of all workers and queues.
const poolService = "pool"

func (sim *world) after(d time.Duration, do func()) { sim.at(sim.now.Add(d), do) }

func (sim *world) at(t time.Time, do func()) {
	sim.lastEvent++
	heap.Push(&sim.events, event{at: t, number: sim.lastEvent, do: do})
}

// fail records the first error.
func (sim *world) fail(err error) {
	if sim.err == nil {
		sim.err = err
	}
}

// publish tells the leader what a worker publishes about itself.
func (sim *world) publish(w *simWorker) {
	if sim.leader.core != nil && !w.gone && !sim.now.Before(w.joinsAt) {
		sim.leader.core.SetWorker(w.info, sim.now)
	}
}

// tick lets all workers work for a tick, answers the polls that wait for it, and takes stock.
func (sim *world) tick() {
	for _, w := range sim.workers {
		if w.down || w.gone || sim.now.Before(w.joinsAt) {
			continue
		}
		ended := w.advance(sim.day, sim.now)
		if w.held != nil && (ended || !sim.now.Before(w.heldUntil)) {
			w.answerHeld()
		}
	}
	sim.pollWorkers()
	sim.observe()
	sim.after(tick, sim.tick)
}

func (w *simWorker) answerHeld() {
	answer := w.held
	w.held, w.cut = nil, nil
	answer()
}

// cutHeld leaves a poll that is held back without an answer.
func (w *simWorker) cutHeld() {
	if w.cut != nil {
		cut := w.cut
		w.held, w.cut = nil, nil
		cut()
	}
}

// caller submits one job until it is accepted, and watches it.
type caller struct {
	job     batch.Job
	service int
	// drawn is nil for a service.
	drawn    *drawnJob
	sentAt   time.Time
	accepted bool
	// done means that the job is shown as ended, doneAt is since when and state how.
	done   bool
	doneAt time.Time
	state  batch.State
}

// resubmitAfter is how long a caller waits before it repeats a submission.
const resubmitAfter = time.Second

func (sim *world) addCaller(c *caller, at time.Duration) {
	sim.callers = append(sim.callers, c)
	sim.jobs[c.job.ID] = c
	sim.after(at, func() {
		c.sentAt = sim.now
		sim.submit(c)
	})
}

func (sim *world) submit(c *caller) {
	if c.accepted {
		return
	}
	if core := sim.leader.core; core != nil {
		job := c.job
		job.Steps = slices.Clone(job.Steps)
		if sim.policy.AllocateFillers {
			for i := range job.Steps {
				job.Steps[i].Filler = false
			}
		}
		if err := core.Submit(job, sim.now, func(s batch.State) { c.accepted = c.accepted || s != batch.Dropped && s != batch.Refused }); err != nil {
			sim.fail(fmt.Errorf("job %s: %w", job.ID, err))
			return
		}
	}
	sim.after(resubmitAfter, func() { sim.submit(c) })
}

// disrupt begins a disruption.
func (sim *world) disrupt(d drawnDisruption) {
	switch d.Kind {
	case LeaderChange:
		sim.leader.core = nil
		sim.after(d.For, sim.lead)
	case StoreSlow:
		sim.store.slowUntil = sim.now.Add(d.For)
	case StoreAway:
		sim.store.awayUntil = sim.now.Add(d.For)
	default:
		for _, target := range d.targets {
			if w := sim.target(target); w != nil {
				sim.disruptWorker(w, d)
			}
		}
	}
}

// target returns the worker that a number between 0 and 1 selects among those that are up, or nil if
// there is none.
func (sim *world) target(number float64) *simWorker {
	up := slices.DeleteFunc(slices.Clone(sim.workers), func(w *simWorker) bool {
		return w.gone || w.down || w.info.Draining || sim.now.Before(w.joinsAt)
	})
	if len(up) == 0 {
		return nil
	}
	return up[min(len(up)-1, int(float64(number*float64(len(up)))))]
}

func (sim *world) disruptWorker(w *simWorker, d drawnDisruption) {
	switch d.Kind {
	case Leave:
		w.info.Draining, w.info.Remaining = true, d.For
		sim.publish(w)
		sim.after(d.For, func() {
			w.gone, w.runs = true, nil
			w.cutHeld()
			if sim.leader.core != nil {
				sim.leader.core.RemoveWorker(w.info.ID)
			}
		})
	case Crash:
		w.down, w.runs, w.ended = true, nil, nil
		w.cutHeld()
		w.lastEnd, w.token, w.leasedUntil = 0, 0, time.Time{}
		clear(w.highestEnded)
		sim.after(d.For, func() {
			w.down, w.incarnationStart = false, sim.now
			w.info.Incarnation++
			sim.publish(w)
		})
	case Silent:
		w.silentUntil = sim.now.Add(d.For)
		w.cutHeld()
	case Shrink:
		before := w.info.Capacity.Processors
		w.info.Capacity.Processors = share.MilliCores(math.Round(float64(before) * d.Left))
		lost := before - w.info.Capacity.Processors
		sim.publish(w)
		sim.after(d.For, func() {
			w.info.Capacity.Processors += lost
			sim.publish(w)
		})
	}
}

// queueConfig returns the queues as the policy sets them.
func (sim *world) queueConfig() batch.QueueConfig {
	config := batch.QueueConfig{Version: 1, Queues: map[string]batch.Queue{}}
	for _, q := range sim.day.Experiment.Queues {
		q.Service = poolService
		if priority, ok := sim.policy.Priorities[q.Name]; ok {
			q.Priority = priority
		}
		config.Queues[q.Name] = q
	}
	return config
}

// sortedKeys returns the keys of a map in order.
func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
