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
	// fleetTick is how often workers report and cores plan; a commit lasts as long.
	fleetTick = 50 * time.Millisecond
	// fleetTell is how often the cells tell each other their loads.
	fleetTell = 700 * time.Millisecond
)

// fleet are the cores of a divided deployment with workers in virtual time:
// orders are answered at once and tasks last as long as their estimate.
type fleet struct {
	t     *testing.T
	now   time.Time
	told  time.Time
	cells []*Core
	// ends are the times at which what runs on a worker ends; zero for never.
	ends  map[string]map[runKey]time.Time
	count map[string]int64
	// lost are workers that have left.
	lost map[string]bool
	// handed counts the jobs that were handed to another cell, lent the tasks.
	handed, lent int
	// running counts the runs of each task, over all cells.
	running map[TaskName]int
	done    map[string]time.Time
	began   map[string]time.Time
}

// newFleet returns cells with a number of workers of 32 cores in all.
func newFleet(t *testing.T, cells, workers int) *fleet {
	f := &fleet{
		t: t, now: time.Unix(1_000_000_000, 0), ends: map[string]map[runKey]time.Time{}, count: map[string]int64{},
		lost: map[string]bool{}, running: map[TaskName]int{}, done: map[string]time.Time{}, began: map[string]time.Time{},
	}
	for i := range cells {
		c := NewCore(DefaultTiming(), f.now, f.now)
		c.SetCell(Cell{Index: i, Count: cells})
		c.SetQueueConfig(simTable())
		f.cells = append(f.cells, c)
	}
	for i := range workers {
		id := fmt.Sprintf("i-%d", i)
		f.ends[id] = map[runKey]time.Time{}
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

// submit hands a job in at its home.
func (f *fleet) submit(j Job) {
	f.began[j.ID] = f.now
	require.NoError(f.t, f.cells[HomeOf(j.ID, len(f.cells))].Submit(j, f.now, nil))
}

// tick lets one tick pass.
func (f *fleet) tick() {
	f.now = f.now.Add(fleetTick)
	for _, c := range f.cells {
		for _, id := range slices.Sorted(maps.Keys(c.workers)) {
			if !f.lost[id] {
				c.ApplyReport(id, f.report(id), f.now, f.now)
				c.deadlineOf(id, f.now)
			}
		}
		c.Plan(f.now)
		for _, o := range c.TakeCommands() {
			if call, ok := c.PrepareCall(o, f.now); ok {
				c.HandleAnswer(o, Result{Answer: AnswerDone, Clock: time.Hour}, f.now, f.now)
				f.stop(call)
			}
		}
		f.commit(c)
		for _, n := range c.TakeNotes() {
			if n.Kind == NoteJobEnded {
				f.done[n.Job] = f.now
			}
		}
	}
	if f.now.Sub(f.told) >= fleetTell {
		f.tell()
	}
}

// deadlineOf renews a worker's lease, as a look does.
func (c *Core) deadlineOf(id string, now time.Time) { c.BeginPoll(id, now) }

// tell lets the cells know each other's loads.
func (f *fleet) tell() {
	f.told = f.now
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

// report tells what runs on a worker and what has ended since the last one.
func (f *fleet) report(id string) Report {
	rep := Report{Incarnation: 1, Clock: time.Hour}
	keys := slices.SortedFunc(maps.Keys(f.ends[id]), func(a, b runKey) int { return cmp.Compare(a.task.String(), b.task.String()) })
	for _, key := range keys {
		if until := f.ends[id][key]; !until.IsZero() && !f.now.Before(until) {
			f.count[id]++
			rep.Ended = append(rep.Ended, EndedRow{Number: f.count[id], Task: key.task, Run: key.run, How: EndDone})
			f.end(id, key)
			continue
		}
		rep.Running = append(rep.Running, RunningRow{Task: key.task, Run: key.run, Percent: 100})
	}
	return rep
}

func (f *fleet) end(id string, key runKey) {
	delete(f.ends[id], key)
	f.running[key.task]--
}

func (f *fleet) stop(call Call) {
	key := runKey{task: call.Task, run: call.Run}
	if _, runs := f.ends[call.Worker][key]; runs && call.Kind == CommandStop {
		f.end(call.Worker, key)
	}
}

// commit makes a core's changes durable and delivers what goes to other cells.
func (f *fleet) commit(c *Core) {
	for c.HasChanges() {
		changes, err := c.TakeChanges(20, f.now)
		require.NoError(f.t, err)
		for _, r := range changes.Records {
			if r.HandedOver != nil {
				require.NoError(f.t, f.cells[r.To].AcceptHandedOver(r.HandedOver, f.now))
				f.handed++
			}
			if r.Delegation != nil {
				_, err := f.cells[r.Delegation.To].AcceptDelegation(r.Delegation.Value, f.now)
				require.NoError(f.t, err)
				f.lent++
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
			f.ends[call.Worker][key] = until
		}
	}
}

// pass lets a time pass.
func (f *fleet) pass(d time.Duration) {
	for until := f.now.Add(d); f.now.Before(until); {
		f.tick()
	}
}

// lose takes workers away, with all that runs there.
func (f *fleet) lose(c *Core, part float64) {
	all := slices.Sorted(maps.Keys(c.workers))
	for _, id := range all[:int(part*float64(len(all)))] {
		f.lost[id] = true
		for _, key := range slices.Collect(maps.Keys(f.ends[id])) {
			f.end(id, key)
		}
		c.PollFailed(id, AnswerNone, true, f.now, f.now)
		c.RemoveWorker(id, f.now)
	}
}

// onTime returns the part of jobs that ended within a time.
func (f *fleet) onTime(jobs []Job, within time.Duration) float64 {
	n := 0
	for _, j := range jobs {
		if at, ended := f.done[j.ID]; ended && at.Sub(f.began[j.ID]) <= within {
			n++
		}
	}
	return float64(n) / float64(max(1, len(jobs)))
}

// fleetJob is a job of two steps, of which the first one is wide.
func fleetJob(i, width int) Job {
	size := share.Resources{Processors: 3500, Memory: 6 << 30}
	return Job{ID: fmt.Sprintf("%016x", i), Queue: "check", Steps: []Step{
		{Tasks: width, Size: size, Estimate: 2 * time.Second},
		{Tasks: 1 + width/4, Size: size, Estimate: time.Second, After: []int{0}},
	}}
}

// What three cells make of a load is close to what one holder with endless
// processor time makes of it, in the patterns that are hardest on a division.
func TestCellsServeAlmostAsOneHolder(t *testing.T) {
	const workers = 240
	for _, c := range []struct {
		name string
		// widths are those of the jobs, of which rate come in a second; 0 means all at once.
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
		{name: "hand-in wave after an outage of the store", within: 6 * time.Second, widths: func(r *rand.Rand) []int {
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
				f := newFleet(t, cells, workers)
				f.tell()
				widths := c.widths(rand.New(rand.NewPCG(7, 11)))
				var jobs, widest []Job
				for i, width := range widths {
					j := fleetJob(i, width)
					f.submit(j)
					jobs = append(jobs, j)
					if width >= slices.Max(widths)*9/10 {
						widest = append(widest, j)
					}
					if c.rate > 0 && i%c.rate == c.rate-1 {
						f.pass(time.Second)
					}
				}
				f.pass(30 * time.Second)
				served[cells] = f.onTime(jobs, c.within)
				require.InDelta(t, 1, f.onTime(jobs, time.Hour), 1e-9, "%d cells: a job did not end", cells)
				require.GreaterOrEqual(t, f.onTime(widest, c.within), served[cells]/2, "%d cells: the widest jobs are served less than half as often", cells)
				t.Logf("%d cells: %.3f of the jobs within %s, widest %.3f; %d handed over", cells, served[cells], c.within,
					f.onTime(widest, c.within), f.handed)
			}
			// A tenth is what a division may cost: the target of the sweep is 0.9 of the smallest size.
			require.GreaterOrEqual(t, served[3], 0.9*served[1])
		})
	}
}

// A cell loses most of its workers: the tasks that last run elsewhere before the
// platform counts them as lost, and none twice.
func TestCellThatLosesItsWorkersLendsItsLastingTasks(t *testing.T) {
	f := newFleet(t, 3, 150)
	f.tell()
	const jobs, width = 40, 12
	for i := range jobs {
		f.submit(Job{ID: fmt.Sprintf("%016x", i), Queue: "check", Steps: []Step{{
			Tasks: width, Size: share.Resources{Processors: 6400, Memory: 13 << 30}, LongRunning: true,
		}}})
		f.tick()
	}
	f.pass(3 * time.Second)
	count := func() int {
		n := 0
		for _, runs := range f.running {
			n += runs
		}
		return n
	}
	require.Equal(t, jobs*width, count())
	f.lose(f.cells[0], 0.8)
	require.Less(t, count(), jobs*width)
	f.pass(5 * time.Second)
	require.Equal(t, jobs*width, count(), "tasks that last wait although other cells have room")
	require.Positive(t, f.lent)
}
