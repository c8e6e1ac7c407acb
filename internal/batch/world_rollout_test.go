package batch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/pkg/share"
)

// The bounds of the users' specification: a long-running task has another run within restartDeadline
// after its last one, or it has none for idleTime while all is calm and has been for stableWindow.
const (
	simRestartDeadline = 6 * time.Second
	simIdleTime        = 3 * time.Second
	simStableWindow    = 4 * time.Second
)

const (
	// simRestarts is the number of leaders that a rolling restart replaces, simRestartGap the time
	// between two of them.
	simRestarts   = 5
	simRestartGap = time.Second
	// simDrainTime is how long a worker serves after it has announced its departure, and
	// simExtraDrainTime by how much longer it does at most.
	simDrainTime      = 2500 * time.Millisecond
	simExtraDrainTime = 3 * time.Second
	// simEntryTime is how long the platform lists a worker that was lost.
	simEntryTime = 4500 * time.Millisecond
)

// simRollout simulates rolling restarts while workers depart for good.
type simRollout struct {
	*simWorld
	// changedAt is the time of the last change of the leader.
	changedAt time.Time
	// idleSince is when the last run of each long-running task ended; zero while it runs.
	idleSince map[TaskName]time.Time
	// fullAt is when there was last no capacity for each long-running task.
	fullAt map[TaskName]time.Time
	// violated are the tasks for which a violation was recorded.
	violated map[TaskName]bool
}

// replaceLeader replaces a leader that was stopped as planned. Its successor knows at once that it
// grants no more leases.
func (s *simRollout) replaceLeader() {
	s.takeOver()
	s.core.LimitRenewals(s.now)
	s.changedAt = s.now
}

// rollOut replaces the leader again and again, and lets workers depart meanwhile.
func (s *simRollout) rollOut() {
	for i := range simRestarts {
		s.after(time.Duration(i)*simRestartGap, s.replaceLeader)
	}
	for range 1 + s.random.IntN(3) {
		w := s.workers[s.random.IntN(len(s.workers))]
		for w.departing {
			w = s.workers[s.random.IntN(len(s.workers))]
		}
		w.departing = true
		depart := s.lose
		if s.chance(0.5) {
			depart = s.drain
		}
		s.after(time.Duration(s.random.Int64N(int64(simRestarts*simRestartGap))), func() { depart(w) })
	}
}

// lose makes a worker end without a word.
func (s *simRollout) lose(w *simWorker) {
	s.end(w)
	s.after(simEntryTime, func() { s.remove(w) })
}

// drain makes a worker announce its departure, serve for a time and end.
func (s *simRollout) drain(w *simWorker) {
	w.info.Draining = true
	s.core.SetWorker(w.info, s.now)
	s.after(simDrainTime+time.Duration(s.random.Int64N(int64(simExtraDrainTime))), func() {
		s.end(w)
		s.remove(w)
	})
}

func (s *simRollout) end(w *simWorker) {
	s.passTime(w)
	clear(w.running)
	w.departed, w.unresponsiveUntil = true, s.now.Add(simLongRun)
}

func (s *simRollout) remove(w *simWorker) {
	w.removed = true
	s.core.RemoveWorker(w.info.ID)
}

// watch checks the bounds for long-running tasks at short intervals.
func (s *simRollout) watch() {
	running := map[TaskName]bool{}
	for _, w := range s.workers {
		s.passTime(w)
		for key := range w.running {
			running[key.task] = true
		}
	}
	for _, id := range sortedKeys(s.jobs) {
		if s.records[id] == nil || !s.jobs[id].Steps[0].LongRunning {
			continue
		}
		for i := range s.jobs[id].Steps[0].Tasks {
			s.watchTask(TaskName{Job: id, Index: i}, running)
		}
	}
	s.after(100*time.Millisecond, s.watch)
}

// watchTask checks the bounds for one task. running are the tasks that run.
func (s *simRollout) watchTask(name TaskName, running map[TaskName]bool) {
	if !s.hasCapacity(s.jobs[name.Job].Steps[0].Size.Processors) {
		s.fullAt[name] = s.now
	}
	if s.startedAt[name].IsZero() || running[name] {
		s.idleSince[name] = time.Time{}
		return
	}
	if s.idleSince[name].IsZero() {
		s.idleSince[name] = s.now
	}
	from := later(s.idleSince[name].Add(simRestartDeadline), later(s.changedAt.Add(simStableWindow), s.fullAt[name]))
	if s.now.Sub(from) > simIdleTime && !s.violated[name] {
		s.violated[name] = true
		s.violate("%v has no run for %v, %v after the last change of the leader", name, s.now.Sub(s.idleSince[name]), s.now.Sub(s.changedAt))
	}
}

// hasCapacity reports whether the workers have capacity for two tasks that need some processors.
func (s *simRollout) hasCapacity(processors share.MilliCores) bool {
	spare := 0
	for _, w := range s.workers {
		if w.info.Draining || w.departed {
			continue
		}
		free := w.info.Capacity.Processors
		for key := range w.running {
			free -= s.jobs[key.task.Job].Steps[key.task.Step].Size.Processors
		}
		spare += int(max(0, free) / processors)
	}
	return spare >= 2
}

// Guards against long-running tasks that have no run for long because each new leader waits anew for
// the leases of a worker that is gone.
func TestLongRunningTasksRunAgainAfterLeaderChanges(t *testing.T) {
	for seed := range 20 {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { checkRollouts(t, uint64(seed), 0) })
	}
}

// Guards against the same on workers that have run for long, so that no lease there has a deadline
// which was meant for an earlier incarnation.
func TestLongRunningTasksOfSettledWorkersRunAgainAfterLeaderChanges(t *testing.T) {
	for seed := range 20 {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { checkRollouts(t, uint64(seed), time.Minute) })
	}
}

// checkRollouts plays two rolling restarts in a pool whose workers have run for the given time.
func checkRollouts(t *testing.T, seed uint64, age time.Duration) {
	s := &simRollout{
		simWorld: newSimWorld(t, seed, 12, simFaults{}), idleSince: map[TaskName]time.Time{},
		fullAt: map[TaskName]time.Time{}, violated: map[TaskName]bool{},
	}
	for _, w := range s.workers {
		w.incarnationStart = w.incarnationStart.Add(-age)
	}
	for i := range 6 {
		s.submit(Job{ID: fmt.Sprintf("%016x", 1000+i), Queue: "review", Spec: "spec", Steps: []Step{{
			Tasks: 4, Size: share.Resources{Processors: 2000, Memory: 1 << 30}, LongRunning: true,
		}}})
	}
	for i := range 100 {
		s.after(time.Duration(i)*500*time.Millisecond, func() { s.submit(s.randomJob(i)) })
	}
	s.watch()
	s.after(5*time.Second, s.rollOut)
	s.after(30*time.Second, s.rollOut)
	s.run(55 * time.Second)
	require.Empty(t, s.violations)
	for i := range 24 {
		name := TaskName{Job: fmt.Sprintf("%016x", 1000+i/4), Index: i % 4}
		require.NotZero(t, s.startedAt[name], "%v has not started", name)
	}
}
