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
	f := &cellsSim{
		t: t, now: time.Unix(1_000_000_000, 0), runEnds: map[string]map[runKey]time.Time{}, lastEnds: map[string]int64{},
		removed: map[string]bool{}, running: map[TaskName]int{}, completedAt: map[string]time.Time{}, submittedAt: map[string]time.Time{},
	}
	for i := range cells {
		c := NewCore(DefaultTiming(), f.now, f.now)
		c.SetCell(Cell{Index: i, Count: cells})
		c.SetQueueConfig(simQueueConfig())
		f.cells = append(f.cells, c)
	}
	for i := range workers {
		id := fmt.Sprintf("i-%d", i)
		f.runEnds[id] = map[runKey]time.Time{}
		for _, c := range f.cells {
			if c.cell.HasWorker(id) {
				c.SetWorker(WorkerInfo{
					ID: id, Address: id, Service: "pool", Incarnation: 1, Rack: fmt.Sprintf("r-%d", i/20),
					Capacity: share.Resources{Processors: 32_000, Memory: 128 << 30},
				}, f.now)
			}
		}
	}
	f.tick()
	return f
}

// submit submits a job to its home.
func (f *cellsSim) submit(j Job) {
	f.submittedAt[j.ID] = f.now
	require.NoError(f.t, f.cells[HomeOf(j.ID, len(f.cells))].Submit(j, f.now, nil))
}

// tick simulates one tick.
func (f *cellsSim) tick() {
	f.now = f.now.Add(cellsTick)
	for _, c := range f.cells {
		for _, id := range slices.Sorted(maps.Keys(c.workers)) {
			if !f.removed[id] {
				c.ApplyReport(id, f.report(id), f.now, f.now)
				c.renewLease(id, f.now)
			}
		}
		c.Plan(f.now)
		for _, o := range c.TakeCommands() {
			if call, ok := c.PrepareCall(o, f.now); ok {
				c.HandleAnswer(o, Result{Answer: AnswerDone, Clock: time.Hour}, f.now, f.now)
				f.stopRun(call)
			}
		}
		f.commit(c)
		for _, n := range c.TakeNotes() {
			if n.Kind == NoteJobEnded {
				f.completedAt[n.Job] = f.now
			}
		}
	}
	if f.now.Sub(f.loadsSharedAt) >= loadsSharedEvery {
		f.shareLoads()
	}
}

// renewLease renews a worker's lease, as a poll does.
func (c *Core) renewLease(id string, now time.Time) { c.BeginPoll(id, now) }

// shareLoads passes each cell the loads of the others.
func (f *cellsSim) shareLoads() {
	f.loadsSharedAt = f.now
	for _, c := range f.cells {
		peers := map[int]Load{}
		for i, o := range f.cells {
			if o != c {
				peers[i] = o.Load(f.now)
			}
		}
		c.SetPeers(peers)
	}
}

// report returns what runs on a worker and what has ended since the last report.
func (f *cellsSim) report(id string) Report {
	rep := Report{Incarnation: 1, Clock: time.Hour}
	keys := slices.SortedFunc(maps.Keys(f.runEnds[id]), func(a, b runKey) int { return cmp.Compare(a.task.String(), b.task.String()) })
	for _, key := range keys {
		if until := f.runEnds[id][key]; !until.IsZero() && !f.now.Before(until) {
			f.lastEnds[id]++
			rep.Ended = append(rep.Ended, EndedRow{Number: f.lastEnds[id], Task: key.task, Run: key.run, How: EndDone})
			f.endRun(id, key)
			continue
		}
		rep.Running = append(rep.Running, RunningRow{Task: key.task, Run: key.run, Percent: 100})
	}
	return rep
}

func (f *cellsSim) endRun(id string, key runKey) {
	delete(f.runEnds[id], key)
	f.running[key.task]--
}

func (f *cellsSim) stopRun(call Call) {
	key := runKey{task: call.Task, run: call.Run}
	if _, runs := f.runEnds[call.Worker][key]; runs && call.Kind == CommandStop {
		f.endRun(call.Worker, key)
	}
}

// commit commits a core's changes and delivers hand-overs and delegations to other cells.
func (f *cellsSim) commit(c *Core) {
	for c.HasChanges() {
		changes, err := c.TakeChanges(20, f.now)
		require.NoError(f.t, err)
		for _, r := range changes.Records {
			if r.HandedOver != nil {
				require.NoError(f.t, f.cells[r.To].AcceptHandedOver(r.HandedOver, f.now))
				f.handedOver++
			}
			if r.Delegation != nil {
				_, err := f.cells[r.Delegation.To].AcceptDelegation(r.Delegation.Value, f.now)
				require.NoError(f.t, err)
				f.delegations++
			}
		}
		for _, o := range c.Committed(changes) {
			call, ok := c.PrepareCall(o, f.now)
			if !ok {
				continue
			}
			c.HandleAnswer(o, Result{Answer: AnswerDone, Clock: time.Hour}, f.now, f.now)
			key := runKey{task: call.Task, run: call.Run}
			f.running[call.Task]++
			require.Equal(f.t, 1, f.running[call.Task], "%v runs twice", call.Task)
			var until time.Time
			if s := o.run.task.stage.step; !s.LongRunning {
				until = f.now.Add(s.Estimate)
			}
			f.runEnds[call.Worker][key] = until
		}
	}
}

// run simulates a duration.
func (f *cellsSim) run(d time.Duration) {
	for until := f.now.Add(d); f.now.Before(until); {
		f.tick()
	}
}

// removeWorkers removes a fraction of a core's workers with all their runs.
func (f *cellsSim) removeWorkers(c *Core, fraction float64) {
	ids := slices.Sorted(maps.Keys(c.workers))
	for _, id := range ids[:int(fraction*float64(len(ids)))] {
		f.removed[id] = true
		for _, key := range slices.Collect(maps.Keys(f.runEnds[id])) {
			f.endRun(id, key)
		}
		c.PollFailed(id, AnswerNone, true, f.now, f.now)
		c.RemoveWorker(id, f.now)
	}
}

// onTime returns the fraction of jobs that ended within a duration.
func (f *cellsSim) onTime(jobs []Job, within time.Duration) float64 {
	n := 0
	for _, j := range jobs {
		if at, ended := f.completedAt[j.ID]; ended && at.Sub(f.submittedAt[j.ID]) <= within {
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

// Guards against a division into cells that serves far fewer jobs in time than one cell whose leader
// has unlimited processor time. The load patterns are those in which a division costs most.
func TestThreeCellsServeAlmostAsManyJobsAsOne(t *testing.T) {
	const workers = 240
	for _, c := range []struct {
		name string
		// widths returns the number of tasks in the first step of each job. rate is the number of jobs
		// submitted per second; 0 submits all at the same time.
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
				f := newCellsSim(t, cells, workers)
				f.shareLoads()
				widths := c.widths(rand.New(rand.NewPCG(7, 11)))
				var jobs, widest []Job
				for i, width := range widths {
					j := twoStepJob(i, width)
					f.submit(j)
					jobs = append(jobs, j)
					if width >= slices.Max(widths)*9/10 {
						widest = append(widest, j)
					}
					if c.rate > 0 && i%c.rate == c.rate-1 {
						f.run(time.Second)
					}
				}
				f.run(30 * time.Second)
				served[cells] = f.onTime(jobs, c.within)
				require.InDelta(t, 1, f.onTime(jobs, time.Hour), 1e-9, "%d cells: a job did not end", cells)
				require.GreaterOrEqual(t, f.onTime(widest, c.within), served[cells]/2, "%d cells: the widest jobs are served less than half as often as all jobs", cells)
				t.Logf("%d cells: %.3f of the jobs within %s, widest %.3f; %d handed over", cells, served[cells], c.within,
					f.onTime(widest, c.within), f.handedOver)
			}
			// A division may cost a tenth: the scaling target is 0.9 of the smallest size.
			require.GreaterOrEqual(t, served[3], 0.9*served[1])
		})
	}
}

// Guards against long-running tasks that keep waiting in a cell which has lost most of its workers.
// They have to run in other cells before the platform counts them as lost, and none may run twice.
func TestCellThatLosesWorkersDelegatesLongRunningTasks(t *testing.T) {
	f := newCellsSim(t, 3, 150)
	f.shareLoads()
	const jobs, width = 40, 12
	for i := range jobs {
		f.submit(Job{ID: fmt.Sprintf("%016x", i), Queue: "check", Steps: []Step{{
			Tasks: width, Size: share.Resources{Processors: 6400, Memory: 13 << 30}, LongRunning: true,
		}}})
		f.tick()
	}
	f.run(3 * time.Second)
	count := func() int {
		n := 0
		for _, runs := range f.running {
			n += runs
		}
		return n
	}
	require.Equal(t, jobs*width, count())
	f.removeWorkers(f.cells[0], 0.8)
	require.Less(t, count(), jobs*width)
	f.run(5 * time.Second)
	require.Equal(t, jobs*width, count(), "long-running tasks wait although other cells have free capacity")
	require.Positive(t, f.delegations)
}
