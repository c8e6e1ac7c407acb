package batch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/pkg/share"
)

// simFaults are the probabilities and rates of injected faults.
type simFaults struct {
	// lostAnswer is the probability that the answer to a command is lost, whether the command was
	// executed or not.
	lostAnswer float64
	// lateCommand is the probability that a command is executed 2 to 12 s late and not answered.
	lateCommand float64
	// latePoll is the probability that a poll renews the lease again, 2 to 10 s late, even if the worker has
	// restarted.
	latePoll float64
	// inherit means that each leader tells the next one which workers it has called, and renews no more.
	inherit bool
	// crash, outage and takeover are the mean times between these events; zero means never.
	crash    time.Duration
	outage   time.Duration
	takeover time.Duration
	// resize is the mean time between changes of a worker's capacity.
	resize time.Duration
	// endsPerReport is the number of ended runs that a worker lists at a time; zero means all.
	endsPerReport int
	// evacuation is the mean time between evacuations of a data centre, each of which is taken back after up to
	// 15 s. The leader reads them once a second, unless the answer is lost.
	evacuation time.Duration
	// fail is the probability that a run fails, cancel the probability that a job is cancelled.
	fail   float64
	cancel float64
	// cancelWave is the mean time between waves in which callers cancel most of the jobs that have not ended.
	cancelWave time.Duration
	// slowStop is how long a run goes on at most after its worker was told to stop it.
	slowStop time.Duration
	// commits are the faults of the store and of leaders that commit.
	commits simCommitFaults
}

// simWorld simulates a core and its workers in virtual time, without a network. It records
// violations of the scheduling rules, see startRun and acknowledgeEnds.
type simWorld struct {
	t *testing.T
	*simClock
	faults simFaults
	core   *Core
	token  int64
	// cell is the cell that the world is, if the deployment is divided.
	cell simCell
	// frozenUntil is until when the leader does nothing. head is the store's head as the leader knows it, committing the commit
	// whose outcome it does not know.
	frozenUntil time.Time
	head        int
	committing  *simCommit
	store       simStore
	records     map[string][]byte
	// unresponsive is the stored record of unresponsive workers.
	unresponsive []byte
	// storeLimit is the size of the largest record that the store takes; zero means any size.
	// refusals counts the records that it refused.
	storeLimit int
	refusals   int
	workers    []*simWorker
	jobs       map[string]Job
	// endedAt is when tasks ended successfully on their workers. acknowledged is the same for the
	// tasks whose end was acknowledged before the worker's lease expired.
	endedAt      map[TaskName]time.Time
	acknowledged map[TaskName]time.Time
	startedAt    map[TaskName]time.Time
	failures     map[TaskName]int
	// accepted are the jobs whose submission was acknowledged to the caller, cancelledAt is when cancels were.
	// cancelAsked are the jobs that a wave of cancels has chosen, cancelled those whose cancel this leader's cell has stored.
	cancelled   map[string]bool
	accepted    map[string]bool
	cancelAsked map[string]bool
	cancelledAt map[string]time.Time
	startCount  int
	// crashedUnder counts the workers that crashed under each task.
	crashedUnder map[TaskName]int
	// evacuatedAt is when the data centres were evacuated that are, evacuations counts all evacuations.
	evacuatedAt map[string]time.Time
	evacuations int
	// crasher makes tasks crash their workers; nil means that none does.
	crasher    *simCrasher
	violations []string
	// trace and traced are only set to debug a seed: trace logs the events of the tasks that traced
	// selects.
	trace  func(string, ...any)
	traced func(TaskName) bool
}

func newSimWorld(t *testing.T, seed uint64, workers int, faults simFaults) *simWorld {
	sim := buildSimWorld(t, newSimClock(seed), "w", workers, faults)
	sim.takeOver()
	return sim
}

// buildSimWorld returns a world without a leader. The prefix begins the IDs of its workers.
func buildSimWorld(t *testing.T, clock *simClock, prefix string, workers int, faults simFaults) *simWorld {
	sim := &simWorld{
		t: t, simClock: clock, faults: faults,
		records: map[string][]byte{}, jobs: map[string]Job{}, endedAt: map[TaskName]time.Time{}, failures: map[TaskName]int{},
		acknowledged: map[TaskName]time.Time{}, startedAt: map[TaskName]time.Time{},
		cancelled: map[string]bool{}, accepted: map[string]bool{}, cancelAsked: map[string]bool{}, cancelledAt: map[string]time.Time{}, crashedUnder: map[TaskName]int{},
		evacuatedAt: map[string]time.Time{},
	}
	for i := range workers {
		id := fmt.Sprintf("%s-%03d", prefix, i)
		sim.workers = append(sim.workers, &simWorker{
			info: WorkerInfo{
				ID: id, Address: id, Service: "pool", DataCentre: fmt.Sprintf("dc-%d", i%3), Incarnation: 1, Rack: fmt.Sprintf("r-%d", i/8),
				Capacity: share.Resources{Processors: 16_000, Memory: 64 << 30},
			},
			incarnationStart: sim.now, running: map[runKey]*simRun{}, highestEndedRun: map[TaskName]int64{}, slowdown: 1,
		})
	}
	return sim
}

func simQueueConfig() QueueConfig {
	return QueueConfig{Version: 1, Queues: map[string]Queue{
		"check":  {Name: "check", Service: "pool", Attempts: 4, Slack: 1.5, Target: 400 * time.Millisecond},
		"review": {Name: "review", Service: "pool", Priority: 2, Attempts: 4, Slack: 2, Target: time.Second},
	}}
}

// takeOver replaces the leader by a new one that knows only the stored records.
func (sim *simWorld) takeOver() {
	if sim.traced != nil {
		sim.trace("takeover %d", sim.token+1)
	}
	sim.token++
	if sim.committing != nil && sim.store.stamp != sim.committing {
		sim.store.lost++
	}
	sim.head, sim.committing, sim.frozenUntil, sim.store.silentUntil = sim.store.head, nil, time.Time{}, time.Time{}
	timing, previous := DefaultTiming(), sim.core
	sim.core = NewCore(timing, sim.now, sim.now.Add(timing.Lease+timing.RenewGrace+time.Second))
	if sim.token == 1 {
		sim.core.SetFirstTerm()
	}
	sim.inheritContacts(previous)
	sim.beginCell()
	sim.core.SetQueueConfig(simQueueConfig())
	for _, id := range sortedKeys(sim.records) {
		require.NoError(sim.t, sim.core.Restore(sim.records[id], sim.now))
	}
	if sim.unresponsive != nil {
		require.NoError(sim.t, sim.core.RestoreUnresponsive(sim.unresponsive, sim.now))
	}
	if sim.faults.inherit {
		sim.core.LimitRenewals(sim.now)
	}
	var infos []WorkerInfo
	for _, w := range sim.workers {
		if !w.removed {
			infos = append(infos, w.info)
		}
	}
	sim.core.SetWorkers(infos, nil, sim.now)
	sim.acceptInbox()
	sim.checkAccepted()
	token := sim.token
	sim.followEvacuations(token)
	for _, w := range sim.workers {
		sim.pollLoop(w, token)
	}
	sim.planLoop(token)
}

func sortedKeys[V any](m map[string]V) []string {
	var keys []string
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

func (sim *simWorld) planLoop(token int64) {
	if token != sim.token {
		return
	}
	sim.core.Plan(sim.now)
	sim.sendCommands(sim.core.TakeCommands())
	for _, id := range slices.Sorted(slices.Values(sim.core.TakePolls())) {
		sim.poll(sim.find(id), token)
	}
	sim.core.TakeAckable()
	for _, n := range sim.core.TakeNotes() {
		if sim.traced != nil && (sim.traced(n.Task) || n.Task.Job == "" && n.Job == "") {
			sim.trace("note %+v", n)
		}
	}
	if sim.committing == nil {
		changes, err := sim.core.TakeChanges(20, sim.now)
		require.NoError(sim.t, err)
		sim.startCommit(changes, nil, sim.takeInboxKeys(changes))
	}
	sim.after(20*time.Millisecond, func() { sim.asLeader(token, func() { sim.planLoop(token) }) })
}

// isRefused reports whether the store refuses changes.
func (sim *simWorld) isRefused(changes Changes) bool {
	return sim.storeLimit > 0 && slices.ContainsFunc(changes.Records, func(r Record) bool { return len(r.Value) > sim.storeLimit })
}

func (sim *simWorld) find(id string) *simWorker {
	for _, w := range sim.workers {
		if w.info.ID == id {
			return w
		}
	}
	return nil
}

// sendCommands sends commands, some of which are lost or late.
func (sim *simWorld) sendCommands(commands []Command) {
	token, core := sim.token, sim.core
	for _, command := range commands {
		call, ok := core.PrepareCall(command, sim.now)
		if !ok {
			continue
		}
		sent, worker := sim.now, sim.find(call.Worker)
		sim.checkEvacuation(call)
		if at := sim.cancelledAt[call.Task.Job]; call.Kind == CommandStart && !at.IsZero() && sim.now.Sub(at) >= sim.cell.cancelTime() {
			sim.violate("%v is started %v after the cancel of its job was acknowledged", call.Task, sim.now.Sub(at))
		}
		answer := func(r Result) {
			sim.asLeader(token, func() { core.HandleAnswer(command, r, sent, sim.now) })
		}
		draw := sim.random.Float64()
		switch {
		case draw < sim.faults.lateCommand:
			delay := 2*time.Second + time.Duration(sim.random.Int64N(int64(10*time.Second)))
			incarnation := worker.info.Incarnation
			sim.after(delay, func() {
				if worker.info.Incarnation == incarnation {
					sim.execute(worker, call, token)
				}
			})
			sim.after(600*time.Millisecond, func() { answer(Result{Answer: AnswerNone}) })
		case draw < sim.faults.lateCommand+sim.faults.lostAnswer:
			if sim.chance(0.5) {
				sim.after(2*time.Millisecond, func() { sim.execute(worker, call, token) })
			}
			sim.after(600*time.Millisecond, func() { answer(Result{Answer: AnswerNone}) })
		default:
			sim.after(2*time.Millisecond, func() {
				if sim.now.Before(worker.unresponsiveUntil) {
					sim.after(600*time.Millisecond, func() { answer(Result{Answer: AnswerNone}) })
					return
				}
				r := sim.execute(worker, call, token)
				sim.after(2*time.Millisecond, func() { answer(r) })
			})
		}
	}
}

// pollLoop polls a worker until the leader changes.
func (sim *simWorld) pollLoop(w *simWorker, token int64) {
	if token != sim.token {
		return
	}
	if sim.core.NeedsPoll(w.info.ID, sim.now) {
		sim.poll(w, token)
	}
	sim.after(100*time.Millisecond, func() { sim.asLeader(token, func() { sim.pollLoop(w, token) }) })
}

func (sim *simWorld) poll(w *simWorker, token int64) {
	if w == nil {
		return
	}
	core, sent := sim.core, sim.now
	poll, ok := core.BeginPoll(w.info.ID, sent, true)
	if !ok {
		return
	}
	sim.repeatPollLate(w, poll, token)
	sim.after(2*time.Millisecond, func() {
		sim.passTime(w)
		if sim.now.Before(w.unresponsiveUntil) || sim.chance(sim.faults.lostAnswer) {
			sim.after(600*time.Millisecond, func() {
				sim.asLeader(token, func() { core.PollFailed(w.info.ID, AnswerNone, sent, sim.now) })
			})
			return
		}
		if token < w.token {
			return
		}
		w.token = token
		if poll.Deadline > 0 {
			sim.grant(w, poll.Deadline)
		}
		sim.acknowledgeEnds(w, poll.Ack)
		rep := Report{Incarnation: w.info.Incarnation, Clock: sim.clock(w)}
		for _, e := range w.unackedEnds {
			if rep.MayOmitEnds = sim.faults.endsPerReport > 0 && len(rep.Ended) == sim.faults.endsPerReport; rep.MayOmitEnds {
				break
			}
			rep.Ended = append(rep.Ended, e.EndedRow)
		}
		for _, key := range sortedRunKeys(w.running) {
			rep.Running = append(rep.Running, RunningRow{Task: key.task, Run: key.run, Percent: 10})
		}
		sim.after(2*time.Millisecond, func() {
			sim.asLeader(token, func() { core.ApplyReport(w.info.ID, rep, sent, sim.now) })
		})
	})
}

// acknowledgeEnds removes the run ends that the leader has acknowledged, and checks that the tasks
// which ended successfully have not started again.
func (sim *simWorld) acknowledgeEnds(w *simWorker, upTo int64) {
	for len(w.unackedEnds) > 0 && w.unackedEnds[0].Number <= upTo {
		e := w.unackedEnds[0]
		w.unackedEnds = w.unackedEnds[1:]
		if e.How != EndDone || e.expired {
			continue
		}
		sim.acknowledged[e.Task] = e.at
		if sim.startedAt[e.Task].After(e.at) {
			sim.violate("%v had started again before its end was acknowledged", e.Task)
		}
	}
}

// Guards against violations of the scheduling rules under faults: a task must not run twice at the
// same time, nor start after its acknowledged end, before the steps that it depends on, after too
// many failures or beyond the capacity of a worker. Once the faults are over, each job has to end.
func TestSchedulingRulesHoldUnderFaults(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults simFaults
		// storeLimit is the size of the largest record that the store takes during the faults.
		storeLimit int
		seeds      int
		// regressionSeeds are additional seeds that have failed before.
		regressionSeeds []int
	}{
		{name: "no faults", seeds: 3},
		{name: "failing tasks and cancels", seeds: 8, faults: simFaults{fail: 0.1, cancel: 0.2}},
		{name: "lost answers", seeds: 10, faults: simFaults{lostAnswer: 0.1, fail: 0.05}},
		{name: "late commands", seeds: 10, faults: simFaults{lateCommand: 0.1, fail: 0.05}},
		{name: "crashes", seeds: 10, faults: simFaults{crash: 2 * time.Second}},
		{
			// Seed 138: a worker that became unresponsive while it ran nothing was never polled
			// again.
			name: "unresponsive workers", seeds: 10, regressionSeeds: []int{138}, faults: simFaults{outage: 2 * time.Second},
		},
		{name: "leader changes", seeds: 10, faults: simFaults{takeover: 4 * time.Second, cancel: 0.1}},
		{name: "evacuations", seeds: 10, faults: simFaults{evacuation: 4 * time.Second, takeover: 6 * time.Second, lostAnswer: 0.05, crash: 5 * time.Second, cancel: 0.1}},
		{name: "evacuations that are read late", seeds: 5, faults: simFaults{evacuation: 4 * time.Second, lostAnswer: 0.6}},
		{name: "changing capacity", seeds: 10, faults: simFaults{resize: 200 * time.Millisecond, takeover: 8 * time.Second, cancel: 0.2}},
		{name: "long lists of ends", seeds: 10, faults: simFaults{endsPerReport: 2, takeover: 4 * time.Second, outage: 2 * time.Second, cancel: 0.1, fail: 0.05}},
		{name: "slow commits", seeds: 8, faults: simFaults{cancelWave: 6 * time.Second, slowStop: 800 * time.Millisecond, fail: 0.05, commits: simCommitFaults{
			latency: 100 * time.Millisecond, lost: 0.02, late: 0.02,
		}}},
		{name: "withdrawn commits and refused records", seeds: 8, storeLimit: 800, faults: simFaults{takeover: 8 * time.Second, cancelWave: 6 * time.Second, slowStop: 800 * time.Millisecond, commits: simCommitFaults{
			latency: 10 * time.Millisecond, rejection: 2 * time.Second,
		}}},
		{name: "commits lost with their leader", seeds: 16, faults: simFaults{cancelWave: 6 * time.Second, slowStop: 800 * time.Millisecond, commits: simCommitFaults{
			latency: 20 * time.Millisecond, lost: 0.02, late: 0.02, rejection: 8 * time.Second, silence: 4 * time.Second, freeze: 6 * time.Second,
		}}},
		// Seed 89: a start command reached a restarted worker with a deadline on the clock of its
		// previous incarnation.
		{name: "all faults", seeds: 30, regressionSeeds: []int{89}, faults: simFaults{
			lostAnswer: 0.05, lateCommand: 0.05, crash: 5 * time.Second, outage: 5 * time.Second, takeover: 6 * time.Second, fail: 0.05, cancel: 0.1,
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			seeds := slices.Clone(c.regressionSeeds)
			for seed := range c.seeds {
				seeds = append(seeds, seed)
			}
			withdrawn, lost, refused := 0, 0, 0
			for _, seed := range seeds {
				sim := newSimWorld(t, uint64(seed), 10, c.faults)
				sim.storeLimit = c.storeLimit
				sim.injectFaults(sim.now.Add(30 * time.Second))
				for i := range 60 {
					sim.after(time.Duration(i)*500*time.Millisecond, func() { sim.submit(sim.randomJob(i)) })
				}
				sim.run(30 * time.Second)
				sim.faults.lostAnswer, sim.faults.lateCommand, sim.faults.fail = 0, 0, 0
				sim.faults.commits.lost, sim.faults.commits.late = 0, 0
				sim.storeLimit = 0
				if c.faults.resize > 0 {
					sim.restoreCapacity()
				}
				sim.run(90 * time.Second)
				require.Empty(t, sim.violations, "seed %d", seed)
				sim.checkEnds(seed)
				require.Equal(t, c.faults.evacuation > 0, sim.evacuations > 0)
				withdrawn, lost, refused = withdrawn+sim.store.withdrawn, lost+sim.store.lost, refused+sim.refusals
			}
			require.Equal(t, c.faults.commits.rejection > 0, withdrawn > 0, "%d withdrawn commits", withdrawn)
			require.Equal(t, c.storeLimit > 0, refused > 0, "%d refused records", refused)
			if c.faults.commits.silence > 0 {
				require.Positive(t, lost)
			}
		})
	}
}

// restoreCapacity gives all workers their full capacity.
func (sim *simWorld) restoreCapacity() {
	for _, w := range sim.workers {
		w.info.Capacity.Processors = 16_000
		sim.core.SetWorker(w.info, sim.now)
	}
}

// checkEnds checks that all jobs have ended, that all tasks of completed jobs have ended
// successfully, and that no runs are left on the workers.
func (sim *simWorld) checkEnds(seed int) {
	sim.t.Helper()
	for _, id := range sortedKeys(sim.jobs) {
		state, known := sim.core.State(id)
		require.True(sim.t, known, "seed %d, job %s", seed, id)
		require.True(sim.t, state.Final(), "seed %d, job %s is %s", seed, id, state)
		if state == Completed {
			sim.checkTasksDone(seed, id)
		}
	}
	sim.checkWorkers(seed)
}

// checkTasksDone checks that all tasks of a job have ended successfully.
func (sim *simWorld) checkTasksDone(seed int, id string) {
	sim.t.Helper()
	for s, step := range sim.jobs[id].Steps {
		for i := range step.Tasks {
			_, done := sim.endedAt[TaskName{Job: id, Step: s, Index: i}]
			require.True(sim.t, done, "seed %d, job %s is completed without task %d.%d", seed, id, s, i)
		}
	}
}

// checkWorkers checks that no runs are left on the workers, and that all ends are acknowledged.
func (sim *simWorld) checkWorkers(seed int) {
	sim.t.Helper()
	for _, w := range sim.workers {
		sim.passTime(w)
		require.Empty(sim.t, w.running, "seed %d: runs are left over", seed)
	}
	for tries := 0; tries < 4 && slices.ContainsFunc(sim.workers, (*simWorker).listsEnds); tries++ {
		// An idle worker is polled rarely.
		sim.run(maxClockAge)
	}
	for _, w := range sim.workers {
		require.False(sim.t, w.listsEnds(), "seed %d: ends at %s are never acknowledged", seed, w.info.ID)
	}
}
