package replay

import (
	"errors"
	"fmt"
	"time"

	"github.com/oriolepond/oriolepond/internal/placement"
	"github.com/oriolepond/oriolepond/pkg/share"
)

// taskRun is one submitted task with its remaining run time.
type taskRun struct {
	item             placement.Item
	family           int
	group            string
	size             share.Resources
	remainingSeconds float64
	runSeconds       float64
	started          bool
}

// replayer replays a trace with one policy.
type replayer struct {
	world          *World
	policy         Policy
	order          *placement.Order
	tasks          map[string]*taskRun
	nextSubmission int
	nextLoad       int
	score          *score
	// preemptions are the actions that free capacity for urgent tasks. They are applied
	// at the end of the round.
	preemptions []func()
}

// Run replays a trace with one policy under one user's yield rule.
func Run(t Trace, user User, make NewPolicy) Result {
	r := &replayer{
		world:  newWorld(t),
		policy: make(t, user),
		order:  placement.NewOrder(),
		tasks:  map[string]*taskRun{},
		score:  newScore(t),
	}
	for r.world.now.Before(epoch.Add(t.Duration)) {
		r.step()
	}
	return r.score.result(r.policy.Name, user.Name)
}

func (r *replayer) step() {
	w := r.world
	r.applyLoadShifts()
	r.submit()
	r.deliver()
	if r.policy.ObserveWorld != nil {
		r.policy.ObserveWorld(w)
	}
	r.yield()
	r.place()
	r.advance()
	w.now = w.now.Add(step)
	if w.now.Sub(epoch)%w.trace.Window == 0 {
		w.sendReports()
	}
}

func (r *replayer) elapsed() time.Duration { return r.world.now.Sub(epoch) }

func (r *replayer) applyLoadShifts() {
	loads := r.world.trace.Loads
	for r.nextLoad < len(loads) && loads[r.nextLoad].At <= r.elapsed() {
		r.world.loads[loads[r.nextLoad].Service] = loads[r.nextLoad].Load
		r.nextLoad++
	}
}

func (r *replayer) submit() {
	all := r.world.trace.Submissions
	for r.nextSubmission < len(all) && all[r.nextSubmission].At <= r.elapsed() {
		s := all[r.nextSubmission]
		family := r.world.trace.family(s.Family)
		f := r.world.trace.Families[family]
		for i := range s.Tasks {
			id := fmt.Sprintf("%s-%d-%d", s.Family, r.nextSubmission, i)
			run := &taskRun{family: family, group: fmt.Sprint(r.nextSubmission), remainingSeconds: s.RunTime.Seconds(), runSeconds: s.RunTime.Seconds()}
			run.size = trueSize(f, id)
			run.item = placement.Item{Task: id, Job: f.Name, Share: f.Share, Urgent: f.Urgent, QueuedAt: r.world.now}
			r.tasks[id] = run
			r.order.Push(run.item)
		}
		r.nextSubmission++
	}
}

// deliver passes the reports that have arrived to the policy.
func (r *replayer) deliver() {
	for len(r.world.reports) > 0 && !r.world.reports[0].arrivesAt.After(r.world.now) {
		if r.policy.Measure != nil {
			r.policy.Measure(r.world.reports[0].Measurement)
		}
		r.world.reports = r.world.reports[1:]
	}
}

func (r *replayer) yield() {
	if r.policy.Yield == nil {
		return
	}
	for _, f := range r.world.workers {
		for _, a := range r.policy.Yield(f.ID, r.world.now) {
			r.applyAction(f, a)
		}
	}
}

// applyAction throttles, evicts or checkpoints a task.
func (r *replayer) applyAction(f *fakeWorker, a placement.Action) {
	i, ok := f.find(a.Task)
	if !ok {
		return
	}
	if a.Kind == share.YieldThrottle {
		f.tasks[i].ratio = a.ThrottleRatio
		r.policy.Throttled(f.ID, a.Task, a.ThrottleRatio, r.world.now)
		return
	}
	run := r.tasks[a.Task]
	lostSeconds := 0.0
	if a.Kind == share.YieldEvict {
		lostSeconds = run.runSeconds - run.remainingSeconds
		run.remainingSeconds = run.runSeconds
	}
	r.score.recordEviction(r.elapsed(), lostSeconds)
	r.endTask(f, a.Task, placement.OutcomeMoved)
	r.order.Push(run.item)
}

func (r *replayer) endTask(f *fakeWorker, task string, end placement.Outcome) {
	f.remove(task)
	r.policy.Ended(f.ID, task, end, r.world.now)
}

func (r *replayer) place() {
	round := r.order.Round(r.world.now)
	for {
		item, ok := round.Next()
		if !ok {
			break
		}
		run := r.tasks[item.Task]
		c := placement.Candidate{
			Task:     item.Task,
			Group:    run.group,
			Job:      item.Job,
			Share:    item.Share,
			Urgent:   item.Urgent,
			QueuedAt: item.QueuedAt,
		}
		id, size, err := r.policy.Place(c, r.world.now)
		var unschedulable *placement.UnschedulableError
		switch {
		case errors.As(err, &unschedulable):
			round.Drop()
		case err != nil:
			r.preempt(round.Waiting(maxPreemptingTasks), c)
			round.Skip()
		default:
			round.MarkPlaced(float64(size.Processors))
			r.startTask(id, run, c, size)
		}
	}
	for _, preempt := range r.preemptions {
		preempt()
	}
	r.preemptions = nil
}

// maxPreemptingTasks bounds the urgent tasks of a family for which capacity is freed in one round.
const maxPreemptingTasks = 16

// preempt schedules the actions that free capacity for waiting tasks of an urgent family,
// for the end of the round.
func (r *replayer) preempt(waiting []placement.Item, c placement.Candidate) {
	if !c.Urgent || r.policy.Preempt == nil {
		return
	}
	for _, item := range waiting {
		c.Task = item.Task
		c.Group = r.tasks[item.Task].group
		c.QueuedAt = item.QueuedAt
		for _, a := range r.policy.Preempt(c, r.world.now) {
			f := r.world.byID[a.Worker]
			r.preemptions = append(r.preemptions, func() { r.applyAction(f, a) })
		}
	}
}

func (r *replayer) startTask(id string, run *taskRun, c placement.Candidate, size share.Resources) {
	c.Size = size
	t := &fakeTask{id: c.Task, family: run.family, size: run.size, ratio: 1}
	r.world.byID[id].add(t)
	r.policy.Started(id, c.Resident(r.world.now), r.world.now)
	if !run.started {
		run.started = true
		r.score.recordFirstStart(r.elapsed(), run.item, r.world.now)
	}
}

// advance simulates one step on all workers.
func (r *replayer) advance() {
	for _, f := range r.world.workers {
		r.score.recordOvercommit(r.elapsed(), f)
		for _, s := range f.Runners {
			strain := r.world.strain(f, s.Service)
			f.strainSums[s.Service] += strain
			r.score.recordTail(r.elapsed(), f.ID, s.Service, strain, r.world.loads[s.Service])
		}
		f.stepCount++
		r.runTasks(f)
	}
}

// runTasks advances the tasks of one worker by one step.
func (r *replayer) runTasks(f *fakeWorker) {
	speeds := make([]float64, len(f.tasks))
	for i, t := range f.tasks {
		speeds[i] = r.world.speed(f, t)
	}
	var finished []string
	for i, t := range f.tasks {
		t.progress += speeds[i]
		t.undisturbedProgress += t.ratio
		run := r.tasks[t.id]
		if run.remainingSeconds -= speeds[i]; run.remainingSeconds <= 0 {
			finished = append(finished, t.id)
		}
	}
	for _, id := range finished {
		r.endTask(f, id, placement.OutcomeFinished)
		r.score.recordFinished(r.elapsed())
	}
}
