package replay

import (
	"errors"
	"fmt"
	"time"

	"github.com/oriolepond/oriolepond/internal/placement"
	"github.com/oriolepond/oriolepond/pkg/share"
)

// job is one submitted task and its life.
type job struct {
	item    placement.Item
	family  int
	group   string
	size    share.Resources
	left    float64
	run     float64
	started bool
}

// runner carries a trace through with one policy.
type runner struct {
	world  *World
	policy Policy
	order  *placement.Order
	jobs   map[string]*job
	next   int
	shift  int
	score  *score
	// leaving are the tasks that leave for urgent ones once the round is over.
	leaving []func()
}

// Run replays a trace with one policy under one user's rule.
func Run(t Trace, user User, make NewPolicy) Result {
	r := &runner{
		world:  newWorld(t),
		policy: make(t, user),
		order:  placement.NewOrder(),
		jobs:   map[string]*job{},
		score:  newScore(t),
	}
	for r.world.now.Before(epoch.Add(t.Duration)) {
		r.step()
	}
	return r.score.result(r.policy.Name, user.Name)
}

func (r *runner) step() {
	w := r.world
	r.shiftLoads()
	r.submit()
	r.deliver()
	if r.policy.Sees != nil {
		r.policy.Sees(w)
	}
	r.yield()
	r.place()
	r.advance()
	w.now = w.now.Add(step)
	if w.now.Sub(epoch)%w.trace.Window == 0 {
		w.report()
	}
}

func (r *runner) elapsed() time.Duration { return r.world.now.Sub(epoch) }

func (r *runner) shiftLoads() {
	loads := r.world.trace.Loads
	for r.shift < len(loads) && loads[r.shift].At <= r.elapsed() {
		r.world.loads[loads[r.shift].Service] = loads[r.shift].Load
		r.shift++
	}
}

func (r *runner) submit() {
	all := r.world.trace.Submissions
	for r.next < len(all) && all[r.next].At <= r.elapsed() {
		s := all[r.next]
		family := r.world.trace.family(s.Family)
		f := r.world.trace.Families[family]
		for i := range s.Tasks {
			id := fmt.Sprintf("%s-%d-%d", s.Family, r.next, i)
			j := &job{family: family, group: fmt.Sprint(r.next), left: s.RunTime.Seconds(), run: s.RunTime.Seconds()}
			j.size = trueSize(f, id)
			j.item = placement.Item{Task: id, Job: f.Name, Share: f.Share, Urgent: f.Urgent, QueuedAt: r.world.now}
			r.jobs[id] = j
			r.order.Push(j.item)
		}
		r.next++
	}
}

// deliver hands the reports that have arrived to the policy.
func (r *runner) deliver() {
	for len(r.world.reports) > 0 && !r.world.reports[0].arrives.After(r.world.now) {
		if r.policy.Measure != nil {
			r.policy.Measure(r.world.reports[0].Measurement)
		}
		r.world.reports = r.world.reports[1:]
	}
}

func (r *runner) yield() {
	if r.policy.Yield == nil {
		return
	}
	for _, f := range r.world.workers {
		for _, a := range r.policy.Yield(f.ID, r.world.now) {
			r.carryOut(f, a)
		}
	}
}

// carryOut does to a task what an action asks.
func (r *runner) carryOut(f *fakeWorker, a placement.Action) {
	i, ok := f.find(a.Task)
	if !ok {
		return
	}
	if a.Kind == share.YieldThrottle {
		f.tasks[i].ratio = a.ThrottleRatio
		r.policy.Throttled(f.ID, a.Task, a.ThrottleRatio, r.world.now)
		return
	}
	j := r.jobs[a.Task]
	lost := 0.0
	if a.Kind == share.YieldEvict {
		lost = j.run - j.left
		j.left = j.run
	}
	r.score.evicted(r.elapsed(), lost)
	r.end(f, a.Task, placement.OutcomeMoved)
	r.order.Push(j.item)
}

func (r *runner) end(f *fakeWorker, task string, end placement.Outcome) {
	f.remove(task)
	r.policy.Ended(f.ID, task, end, r.world.now)
}

func (r *runner) place() {
	round := r.order.Round(r.world.now)
	for {
		item, ok := round.Next()
		if !ok {
			break
		}
		j := r.jobs[item.Task]
		c := placement.Candidate{
			Task:     item.Task,
			Group:    j.group,
			Job:      item.Job,
			Share:    item.Share,
			Urgent:   item.Urgent,
			QueuedAt: item.QueuedAt,
		}
		id, size, err := r.policy.Place(c, r.world.now)
		var never *placement.UnschedulableError
		switch {
		case errors.As(err, &never):
			round.Drop()
		case err != nil:
			r.makeRoom(round.Waiting(maxRoomMade), c)
			round.Skip()
		default:
			round.MarkPlaced(float64(size.Processors))
			r.start(id, j, c, size)
		}
	}
	for _, leave := range r.leaving {
		leave()
	}
	r.leaving = nil
}

// maxRoomMade bounds the urgent tasks of one family that room is made for in one round.
const maxRoomMade = 16

// makeRoom lets tasks that are not urgent leave for the waiting ones of an urgent family.
func (r *runner) makeRoom(waiting []placement.Item, c placement.Candidate) {
	if !c.Urgent || r.policy.MakeRoom == nil {
		return
	}
	for _, item := range waiting {
		c.Task = item.Task
		c.Group = r.jobs[item.Task].group
		c.QueuedAt = item.QueuedAt
		for _, a := range r.policy.MakeRoom(c, r.world.now) {
			f := r.world.byID[a.Worker]
			r.leaving = append(r.leaving, func() { r.carryOut(f, a) })
		}
	}
}

func (r *runner) start(id string, j *job, c placement.Candidate, size share.Resources) {
	c.Size = size
	t := &fakeTask{id: c.Task, family: j.family, size: j.size, ratio: 1}
	r.world.byID[id].add(t)
	r.policy.Started(id, c.Resident(r.world.now), r.world.now)
	if !j.started {
		j.started = true
		r.score.waited(r.elapsed(), j.item, r.world.now)
	}
}

// advance lets one step pass on all workers.
func (r *runner) advance() {
	for _, f := range r.world.workers {
		r.score.overcommit(r.elapsed(), f)
		for _, s := range f.Runners {
			strain := r.world.strain(f, s.Service)
			f.strains[s.Service] += strain
			r.score.tail(r.elapsed(), f.ID, s.Service, strain, r.world.loads[s.Service])
		}
		f.steps++
		r.work(f)
	}
}

// work advances the tasks of one worker.
func (r *runner) work(f *fakeWorker) {
	speeds := make([]float64, len(f.tasks))
	for i, t := range f.tasks {
		speeds[i] = r.world.speed(f, t)
	}
	var finished []string
	for i, t := range f.tasks {
		t.done += speeds[i]
		t.full += t.ratio
		j := r.jobs[t.id]
		if j.left -= speeds[i]; j.left <= 0 {
			finished = append(finished, t.id)
		}
	}
	for _, id := range finished {
		r.end(f, id, placement.OutcomeFinished)
		r.score.finished(r.elapsed())
	}
}
