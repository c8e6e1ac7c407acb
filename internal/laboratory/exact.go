package laboratory

import (
	"fmt"
	"slices"
	"time"

	"github.com/oriolepond/oriolepond/pkg/share"
)

// maxExactTasks is the largest number of tasks for which ExactBound searches all schedules.
const maxExactTasks = 7

// NotExactError reports that a day has no exact bound, and why.
type NotExactError struct {
	Reason string
}

// Error returns the reason.
func (e *NotExactError) Error() string { return "no exact bound: " + e.Reason }

// ExactBound returns the greatest worth that a schedule can have on a tiny day, by exhaustive search:
// each task in each possible order on each worker as early as possible. The day has a few tasks that
// are allocated processors, and neither services nor disruptions.
func ExactBound(d *Day, p Policy) (float64, error) {
	s := exactSearch{day: d, end: d.Experiment.Duration + d.Experiment.Settle}
	for i := range d.jobs {
		j := &d.jobs[i]
		for step, declared := range j.job.Steps {
			if declared.MaxPerWorker > 0 || declared.Filler && !p.AllocateFillers {
				return 0, &NotExactError{Reason: "a step is limited per worker or fills idle processors"}
			}
			for k := range j.times[step] {
				s.tasks = append(s.tasks, exactTask{job: i, step: step, size: declared.Size, length: j.times[step][k]})
			}
		}
	}
	for _, w := range newPool(d, p).workers {
		if !w.joinsAt.Equal(epoch) {
			return 0, &NotExactError{Reason: "workers come later"}
		}
		s.free = append(s.free, w.info.Capacity)
	}
	switch e := d.Experiment; {
	case len(s.tasks) > maxExactTasks:
		return 0, &NotExactError{Reason: fmt.Sprintf("%d tasks; %d are possible", len(s.tasks), maxExactTasks)}
	case len(e.Services) > 0 || len(e.Disruptions) > 0:
		return 0, &NotExactError{Reason: "there are services or disruptions"}
	}
	s.search(0)
	return s.best, nil
}

// exactSearch searches all schedules that place tasks one by one.
type exactSearch struct {
	day   *Day
	end   time.Duration
	tasks []exactTask
	free  []share.Resources
	best  float64
}

type exactTask struct {
	job, step int
	size      share.Resources
	length    time.Duration
	placed    bool
	worker    int
	begin     time.Duration
}

func (t *exactTask) end() time.Duration { return t.begin + t.length }

// search places each task that may come next on each worker, and goes on from there.
func (s *exactSearch) search(placed int) {
	s.best = max(s.best, s.worth())
	if placed == len(s.tasks) {
		return
	}
	for i := range s.tasks {
		t := &s.tasks[i]
		ready, ok := s.readyAt(t)
		if t.placed || !ok {
			continue
		}
		for w := range s.free {
			if !t.size.Fits(s.free[w]) {
				continue
			}
			t.worker, t.begin = w, s.earliest(t, w, ready)
			t.placed = true
			s.search(placed + 1)
			t.placed = false
		}
	}
}

// readyAt returns when all that a task depends on has ended, and whether all that is placed.
func (s *exactSearch) readyAt(t *exactTask) (time.Duration, bool) {
	j := &s.day.jobs[t.job]
	ready := j.at
	for i := range s.tasks {
		o := &s.tasks[i]
		if o.job != t.job || !slices.Contains(j.job.Steps[t.step].After, o.step) {
			continue
		}
		if !o.placed {
			return 0, false
		}
		ready = max(ready, o.end())
	}
	return ready, true
}

// earliest returns the earliest time from ready on at which a task fits on a worker until it ends.
func (s *exactSearch) earliest(t *exactTask, worker int, ready time.Duration) time.Duration {
	begins := []time.Duration{ready}
	for i := range s.tasks {
		if o := &s.tasks[i]; o.placed && o.worker == worker && o.end() > ready {
			begins = append(begins, o.end())
		}
	}
	slices.Sort(begins)
	for _, begin := range begins[:len(begins)-1] {
		if s.fits(t, worker, begin) {
			return begin
		}
	}
	return begins[len(begins)-1]
}

// fits reports whether a task fits on a worker from a time until it ends. What is in use changes only
// where another task begins.
func (s *exactSearch) fits(t *exactTask, worker int, begin time.Duration) bool {
	if !s.fitsAt(t, worker, begin) {
		return false
	}
	for i := range s.tasks {
		o := &s.tasks[i]
		if o.placed && o.worker == worker && o.begin > begin && o.begin < begin+t.length && !s.fitsAt(t, worker, o.begin) {
			return false
		}
	}
	return true
}

func (s *exactSearch) fitsAt(t *exactTask, worker int, at time.Duration) bool {
	free := s.free[worker]
	for i := range s.tasks {
		if o := &s.tasks[i]; o.placed && o.worker == worker && o.begin <= at && at < o.end() {
			free = free.Minus(o.size)
		}
	}
	return t.size.Fits(free)
}

// worth returns what the jobs earn of which all tasks are placed.
func (s *exactSearch) worth() float64 {
	e := s.day.Experiment
	shares := make([]float64, len(e.Jobs))
	for i := range s.day.jobs {
		j := &s.day.jobs[i]
		end, complete := j.at, true
		for k := range s.tasks {
			if t := &s.tasks[k]; t.job == i {
				complete = complete && t.placed
				end = max(end, t.end())
			}
		}
		k := slices.IndexFunc(e.Jobs, func(kind JobKind) bool { return kind.Name == j.kind.Name })
		share := 1 / float64(s.day.count(j.kind))
		switch {
		case !complete || end > s.end || end-j.at > lateFactor*j.objective:
		case end-j.at > j.objective:
			shares[k] += float64(share * j.kind.LateWorth)
		default:
			shares[k] += share
		}
	}
	return s.day.weigh(shares)
}
