package batch

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/pkg/share"
)

const (
	// cellsTick is how often workers report and cores plan; commits take effect within a tick.
	cellsTick = 50 * time.Millisecond
	// loadsSharedEvery is how often the cells exchange their loads.
	loadsSharedEvery = 700 * time.Millisecond
)

// cellsSim simulates the cores of a divided deployment and their workers in virtual time. Commands
// are answered immediately, and tasks run as long as their estimate.
type cellsSim struct {
	t             *testing.T
	now           time.Time
	loadsSharedAt time.Time
	cells         []*Core
	// runEnds is when the runs on each worker end, by worker ID; the zero time means never.
	runEnds  map[string]map[runKey]time.Time
	lastEnds map[string]int64
	// removed are the workers that have been removed.
	removed map[string]bool
	// handedOver and delegations count hand-overs of jobs and delegations of tasks.
	handedOver, delegations int
	// running counts the present runs of each task in all cells.
	running     map[TaskName]int
	completedAt map[string]time.Time
	submittedAt map[string]time.Time
}

// newCellsSim returns a simulation of a number of workers with 32 cores each, divided into cells.
func newCellsSim(t *testing.T, cells, workers int) *cellsSim {
	sim := &cellsSim{
		t: t, now: time.Unix(1_000_000_000, 0), runEnds: map[string]map[runKey]time.Time{}, lastEnds: map[string]int64{},
		removed: map[string]bool{}, running: map[TaskName]int{}, completedAt: map[string]time.Time{}, submittedAt: map[string]time.Time{},
	}
	for i := range cells {
		c := NewCore(DefaultTiming(), sim.now, sim.now)
		c.SetCell(Cell{Index: i, Count: cells})
		c.SetQueueConfig(simQueueConfig())
		sim.cells = append(sim.cells, c)
	}
	for i := range workers {
		id := fmt.Sprintf("i-%d", i)
		sim.runEnds[id] = map[runKey]time.Time{}
		for _, c := range sim.cells {
			if c.cell.HasWorker(id) {
				c.SetWorker(WorkerInfo{
					ID: id, Address: id, Service: "pool", Incarnation: 1, Rack: fmt.Sprintf("r-%d", i/20),
					Capacity: share.Resources{Processors: 32_000, Memory: 128 << 30},
				}, sim.now)
			}
		}
	}
	sim.tick()
	return sim
}

// submit submits a job to its home.
func (sim *cellsSim) submit(j Job) {
	sim.submittedAt[j.ID] = sim.now
	require.NoError(sim.t, sim.cells[HomeOf(j.ID, len(sim.cells))].Submit(j, sim.now, nil))
}

// tick simulates one tick.
func (sim *cellsSim) tick() {
	sim.now = sim.now.Add(cellsTick)
	for _, c := range sim.cells {
		for _, id := range slices.Sorted(maps.Keys(c.workers)) {
			if !sim.removed[id] {
				c.ApplyReport(id, sim.report(id), sim.now, sim.now)
				c.renewLease(id, sim.now)
			}
		}
		c.Plan(sim.now)
		for _, command := range c.TakeCommands() {
			if call, ok := c.PrepareCall(command, sim.now); ok {
				c.HandleAnswer(command, Result{Answer: AnswerDone, Clock: time.Hour}, sim.now, sim.now)
				sim.stopRun(call)
			}
		}
		sim.commit(c)
		for _, n := range c.TakeNotes() {
			if n.Kind == NoteJobEnded {
				sim.completedAt[n.Job] = sim.now
			}
		}
	}
	if sim.now.Sub(sim.loadsSharedAt) >= loadsSharedEvery {
		sim.shareLoads()
	}
}

// renewLease renews a worker's lease, as a poll does.
func (c *Core) renewLease(id string, now time.Time) { c.BeginPoll(id, now, true) }

// shareLoads passes each cell the loads of the others.
func (sim *cellsSim) shareLoads() {
	sim.loadsSharedAt = sim.now
	for _, c := range sim.cells {
		peers := map[int]Load{}
		for i, peer := range sim.cells {
			if peer != c {
				peers[i] = peer.Load(sim.now)
			}
		}
		c.SetPeers(peers)
	}
}

// report returns what runs on a worker and what has ended since the last report.
func (sim *cellsSim) report(id string) Report {
	rep := Report{Incarnation: 1, Clock: time.Hour}
	keys := slices.SortedFunc(maps.Keys(sim.runEnds[id]), func(a, b runKey) int { return cmp.Compare(a.task.String(), b.task.String()) })
	for _, key := range keys {
		if until := sim.runEnds[id][key]; !until.IsZero() && !sim.now.Before(until) {
			sim.lastEnds[id]++
			rep.Ended = append(rep.Ended, EndedRow{Number: sim.lastEnds[id], Task: key.task, Run: key.run, How: EndDone})
			sim.endRun(id, key)
			continue
		}
		rep.Running = append(rep.Running, RunningRow{Task: key.task, Run: key.run, Percent: 100})
	}
	return rep
}

func (sim *cellsSim) endRun(id string, key runKey) {
	delete(sim.runEnds[id], key)
	sim.running[key.task]--
}

func (sim *cellsSim) stopRun(call Call) {
	key := runKey{task: call.Task, run: call.Run}
	if _, runs := sim.runEnds[call.Worker][key]; runs && call.Kind == CommandStop {
		sim.endRun(call.Worker, key)
	}
}

// commit commits a core's changes and delivers hand-overs and delegations to other cells.
func (sim *cellsSim) commit(c *Core) {
	for c.HasChanges() {
		changes, err := c.TakeChanges(20, sim.now)
		require.NoError(sim.t, err)
		for _, r := range changes.Records {
			if r.HandedOver != nil {
				require.NoError(sim.t, sim.cells[r.To].AcceptHandedOver(r.HandedOver, sim.now))
				sim.handedOver++
			}
			if r.Delegation != nil {
				_, err := sim.cells[r.Delegation.To].AcceptDelegation(r.Delegation.Value, sim.now)
				require.NoError(sim.t, err)
				sim.delegations++
			}
		}
		for _, command := range c.Committed(changes) {
			call, ok := c.PrepareCall(command, sim.now)
			if !ok {
				continue
			}
			c.HandleAnswer(command, Result{Answer: AnswerDone, Clock: time.Hour}, sim.now, sim.now)
			key := runKey{task: call.Task, run: call.Run}
			sim.running[call.Task]++
			require.Equal(sim.t, 1, sim.running[call.Task], "%v runs twice", call.Task)
			var until time.Time
			if s := command.run.task.stage.step; !s.LongRunning {
				until = sim.now.Add(s.Estimate)
			}
			sim.runEnds[call.Worker][key] = until
		}
	}
}

// run simulates a duration.
func (sim *cellsSim) run(d time.Duration) {
	for until := sim.now.Add(d); sim.now.Before(until); {
		sim.tick()
	}
}

// removeWorkers removes a fraction of a core's workers with all their runs.
func (sim *cellsSim) removeWorkers(c *Core, fraction float64) {
	ids := slices.Sorted(maps.Keys(c.workers))
	for _, id := range ids[:int(fraction*float64(len(ids)))] {
		sim.removed[id] = true
		for _, key := range slices.Collect(maps.Keys(sim.runEnds[id])) {
			sim.endRun(id, key)
		}
		c.RemoveWorker(id)
		c.PollFailed(id, AnswerWrongIncarnation, sim.now, sim.now)
	}
}

// longRunning returns the number of runs of long-running tasks.
func (sim *cellsSim) longRunning() int {
	n := 0
	for _, runs := range sim.runEnds {
		for _, until := range runs {
			if until.IsZero() {
				n++
			}
		}
	}
	return n
}

// onTime returns the fraction of jobs that ended within a duration.
func (sim *cellsSim) onTime(jobs []Job, within time.Duration) float64 {
	n := 0
	for _, j := range jobs {
		if at, ended := sim.completedAt[j.ID]; ended && at.Sub(sim.submittedAt[j.ID]) <= within {
			n++
		}
	}
	return float64(n) / float64(max(1, len(jobs)))
}

// twoStepJob returns a job with a wide step and a narrower one that depends on it.
func twoStepJob(i, width int) Job {
	size := share.Resources{Processors: 3500, Memory: 6 << 30}
	return Job{ID: fmt.Sprintf("%016x", i), Queue: "check", Steps: []Step{
		{Tasks: width, Size: size, Estimate: 2 * time.Second},
		{Tasks: 1 + width/4, Size: size, Estimate: time.Second, After: []int{0}},
	}}
}

// Guards against a division into cells that serves far fewer jobs in time than one cell whose
// leader has unlimited processor time. The load patterns are those in which a division costs most.
func TestThreeCellsServeAlmostAsManyJobsAsOne(t *testing.T) {
	const workers = 240
	for _, c := range []struct {
		name string
		// widths returns the number of tasks in the first step of each job. rate is the number of
		// jobs submitted per second; 0 submits all at the same time.
		widths func(r *rand.Rand) []int
		rate   int
		within time.Duration
	}{
		{name: "burst of wide jobs", within: 7 * time.Second, widths: func(r *rand.Rand) []int {
			var all []int
			for range 40 {
				all = append(all, 60+r.IntN(100))
			}
			return all
		}},
		{name: "wave of submissions after an outage of the store", within: 6 * time.Second, widths: func(r *rand.Rand) []int {
			var all []int
			for range 300 {
				all = append(all, 1+r.IntN(30))
			}
			return all
		}},
		{name: "steady load of mixed widths", rate: 24, within: 4 * time.Second, widths: func(r *rand.Rand) []int {
			var all []int
			for range 480 {
				all = append(all, 1+r.IntN(60))
			}
			return all
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			served := map[int]float64{}
			for _, cells := range []int{1, 3} {
				sim := newCellsSim(t, cells, workers)
				sim.shareLoads()
				widths := c.widths(rand.New(rand.NewPCG(7, 11)))
				var jobs, widest []Job
				for i, width := range widths {
					j := twoStepJob(i, width)
					sim.submit(j)
					jobs = append(jobs, j)
					if width >= slices.Max(widths)*9/10 {
						widest = append(widest, j)
					}
					if c.rate > 0 && i%c.rate == c.rate-1 {
						sim.run(time.Second)
					}
				}
				sim.run(30 * time.Second)
				served[cells] = sim.onTime(jobs, c.within)
				require.InDelta(t, 1, sim.onTime(jobs, time.Hour), 1e-9, "%d cells: a job did not end", cells)
				require.GreaterOrEqual(t, sim.onTime(widest, c.within), served[cells]/2, "%d cells: the widest jobs are served less than half as often as all jobs", cells)
				t.Logf("%d cells: %.3f of the jobs within %s, widest %.3f; %d handed over", cells, served[cells], c.within,
					sim.onTime(widest, c.within), sim.handedOver)
			}
			// A division may lose a tenth of the served jobs: the scaling target is 0.9 of what the
			// smallest deployment reaches.
			require.GreaterOrEqual(t, served[3], 0.9*served[1])
		})
	}
}

// Guards against long-running tasks that keep waiting in a cell which has lost most of its workers.
// They have to run in other cells before the platform counts them as lost, and none may run twice.
func TestCellThatLosesWorkersDelegatesLongRunningTasks(t *testing.T) {
	sim := newCellsSim(t, 3, 150)
	sim.shareLoads()
	const jobs, width = 40, 12
	for i := range jobs {
		sim.submit(Job{ID: fmt.Sprintf("%016x", i), Queue: "check", Steps: []Step{{
			Tasks: width, Size: share.Resources{Processors: 6400, Memory: 13 << 30}, LongRunning: true,
		}}})
		sim.tick()
	}
	sim.run(3 * time.Second)
	count := func() int {
		n := 0
		for _, runs := range sim.running {
			n += runs
		}
		return n
	}
	require.Equal(t, jobs*width, count())
	sim.removeWorkers(sim.cells[0], 0.8)
	require.Less(t, count(), jobs*width)
	sim.run(5 * time.Second)
	require.Equal(t, jobs*width, count(), "long-running tasks wait although other cells have free capacity")
	require.Positive(t, sim.delegations)
}

// Guards against long-running tasks that wait in a full cell while other cells have capacity for them
// that a longer backlog of other tasks does not use.
func TestLostLongRunningTasksLeaveFullCellDespiteBacklogs(t *testing.T) {
	const (
		workers = 150
		width   = 10
		// bound is how long the platform lets a long-running task be without a run.
		bound = 9 * time.Second
	)
	for _, c := range []struct {
		name string
		// longRunning are the processors of the five long-running tasks on each worker of the other
		// cells, and backlog those of the tasks that wait there.
		longRunning, backlog share.MilliCores
	}{
		{name: "waiting tasks are too large for what is free", longRunning: 4800, backlog: 12_000},
		{name: "waiting tasks use what becomes free", longRunning: 3200, backlog: 3500},
	} {
		t.Run(c.name, func(t *testing.T) {
			sim := newCellsSim(t, 3, workers)
			n := 0
			submit := func(core *Core, tasks int, s Step) {
				n++
				s.Tasks, s.Size.Memory = tasks, 5<<30
				require.NoError(t, core.AcceptFromCell(Job{ID: fmt.Sprintf("%016x", n), Queue: "check", Steps: []Step{s}}, sim.now))
			}
			for i, core := range sim.cells {
				core.SetPeers(nil) // It keeps its jobs.
				size := c.longRunning
				if i == 0 {
					size = 6400
				}
				for left := 5 * len(core.workers); left > 0; left -= width {
					submit(core, min(left, width), Step{Size: share.Resources{Processors: size}, LongRunning: true})
				}
				sim.tick()
				if i > 0 {
					submit(core, 40*len(core.workers), Step{Size: share.Resources{Processors: c.backlog}, Estimate: 2 * time.Second})
				}
			}
			sim.run(3 * time.Second)
			require.Equal(t, 5*workers, sim.longRunning())
			sim.removeWorkers(sim.cells[0], 0.1)
			require.Less(t, sim.longRunning(), 5*workers)
			sim.run(bound)
			require.Equal(t, 5*workers, sim.longRunning(), "long-running tasks wait although other cells have capacity for them")
		})
	}
}

// Guards against a lost long-running task that stays in a full cell while another cell has capacity for it,
// because each leader of a rolling restart counts its wait anew.
func TestLostTaskLeavesFullCellThoughLeadersChange(t *testing.T) {
	now := time.Unix(1_000_000_000, 0)
	first := firstCellCore(t, now)
	j := longRunningJob(t, 4)
	loseFirstTask(t, first, j, now)
	_, records := commitAll(t, first, now)
	size := share.Resources{Processors: 4000, Memory: 8 << 30}
	delegated := false
	// Another cell has workers for two lost tasks, but nothing beyond its backlog.
	load := Load{Capacity: 16_000, Free: -16_000, LargestFree: 4000, FreeForLost: []FreeWorker{{Free: size}, {Free: size}}}
	const term = 900 * time.Millisecond
	for range 5 {
		next := NewCore(DefaultTiming(), now, now)
		next.SetQueueConfig(simQueueConfig())
		next.SetCell(Cell{Index: 0, Count: 3})
		require.NoError(t, next.Restore(records[len(records)-1], now))
		next.SetPeers(map[int]Load{1: load})
		for _, id := range next.WorkerIDs() {
			next.SetWorker(WorkerInfo{ID: id, Address: id, Service: "pool", Incarnation: 1, Capacity: size}, now)
			next.ApplyReport(id, reportOf(next.workers[id]), now, now)
		}
		for end := now.Add(term); now.Before(end); now = now.Add(cellsTick) {
			next.Plan(now)
			changes, err := next.TakeChanges(20, now)
			require.NoError(t, err)
			for _, r := range changes.Records {
				delegated = delegated || r.Delegation != nil
			}
			next.Committed(changes)
		}
	}
	require.True(t, delegated, "the task waits in the full cell")
}
