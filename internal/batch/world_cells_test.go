package batch

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/pkg/share"
)

// simCell is the part of a simWorld that is one cell of a divided deployment. The zero value is an undivided one.
type simCell struct {
	// all are the cells of the deployment; nil if it is undivided.
	all   []*simWorld
	index int
	// inbox is the cell's inbox in the store. inboxKeys has, by the ID of a record, the keys that the leader's next commit of it removes.
	inbox     map[string][]byte
	inboxKeys map[string][]string
	// undelivered are the entries of which the leader has not learned yet, in order. It learns of the newest at deliveredAt.
	undelivered []map[string][]byte
	deliveredAt time.Time
	// handedOver, delegated and cancels count what commits have brought to the inbox.
	handedOver, delegated, cancels int
	// lasting counts the long-running jobs whose tasks all ran in the end.
	lasting int
	// openMoves counts callers that were told that a job has moved while its hand-over was not durable.
	openMoves int
}

// simCancelTime is how long after the acknowledgement of a cancel other cells may start tasks of the job.
const simCancelTime = 20 * time.Second

// cancelTime returns how long after the acknowledgement of a cancel tasks of the job may be started.
func (c *simCell) cancelTime() time.Duration {
	if c.all == nil {
		return 0
	}
	return simCancelTime
}

// workers returns the workers of all cells.
func (c *simCell) workers(sim *simWorld) []*simWorker {
	if c.all == nil {
		return sim.workers
	}
	var all []*simWorker
	for _, cell := range c.all {
		all = append(all, cell.workers...)
	}
	return all
}

// home returns the cell that is the home of a job.
func (sim *simWorld) home(id string) *simWorld {
	if sim.cell.all == nil {
		return sim
	}
	return sim.cell.all[HomeOf(id, len(sim.cell.all))]
}

// newSimCells returns cells with the given numbers of workers. They share the time and what is known of jobs and tasks.
func newSimCells(t *testing.T, seed uint64, workers []int, faults simFaults) []*simWorld {
	clock := newSimClock(seed)
	var cells []*simWorld
	for i, n := range workers {
		sim := buildSimWorld(t, clock, fmt.Sprintf("w-%d", i), n, faults)
		if i > 0 {
			first := cells[0]
			sim.jobs, sim.endedAt, sim.failures, sim.acknowledged, sim.startedAt = first.jobs, first.endedAt, first.failures, first.acknowledged, first.startedAt
			sim.accepted, sim.cancelAsked, sim.cancelledAt = first.accepted, first.cancelAsked, first.cancelledAt
		}
		cells = append(cells, sim)
	}
	for i, sim := range cells {
		sim.cell = simCell{all: cells, index: i, inbox: map[string][]byte{}}
	}
	for _, sim := range cells {
		sim.takeOver()
	}
	cells[0].shareLoads()
	return cells
}

// beginCell prepares a new leader for its cell.
func (sim *simWorld) beginCell() {
	sim.cell.inboxKeys, sim.cell.undelivered = map[string][]string{}, nil
	if sim.cell.all != nil {
		sim.core.SetCell(Cell{Index: sim.cell.index, Count: len(sim.cell.all)})
	}
}

// shareLoads passes each leader the loads of the other cells, again and again.
func (sim *simWorld) shareLoads() {
	for _, cell := range sim.cell.all {
		peers := map[int]Load{}
		for i, peer := range sim.cell.all {
			if peer != cell {
				peers[i] = peer.core.Load(sim.now)
			}
		}
		cell.asLeader(cell.token, func() { cell.core.SetPeers(peers) })
	}
	sim.after(loadsSharedEvery, sim.shareLoads)
}

// traceJob logs what happens to a job, named by its ID or by a key that begins with it, if its tasks are traced.
func (sim *simWorld) traceJob(key, format string, args ...any) {
	id, _, _ := strings.Cut(key, "/")
	if sim.traced != nil && sim.traced(TaskName{Job: id}) {
		sim.trace("%v cell %d, term %d: "+format, append([]any{sim.now.Sub(time.Unix(1_000_000_000, 0)), sim.cell.index, sim.token}, args...)...)
	}
}

// The keys of an inbox, as in the package scheduler. Those of jobs are their IDs.
const (
	simCancelKey     = "/cancel"
	simDelegationKey = "/loan/"
)

var simCancelValue = []byte("cancel")

// carryOutTransfers does what a commit does for other cells, and removes keys from the cell's inbox.
func (sim *simWorld) carryOutTransfers(r Record, inboxKeys []string) {
	sim.traceJob(r.ID, "stores %.300s", r.Value)
	for _, key := range inboxKeys {
		sim.traceJob(key, "inbox loses %s", key)
		delete(sim.cell.inbox, key)
	}
	added := map[int]map[string][]byte{}
	add := func(to int, key string, value []byte) {
		if added[to] == nil {
			added[to] = map[string][]byte{}
		}
		added[to][key] = value
	}
	if r.HandedOver != nil {
		sim.cell.handedOver++
		add(r.To, r.ID, r.HandedOver)
	}
	for _, to := range r.CancelCells {
		sim.cell.cancels++
		add(to, r.CancelID+simCancelKey, simCancelValue)
	}
	if d := r.Delegation; d != nil {
		sim.cell.delegated++
		add(d.To, fmt.Sprintf("%s%s%d-%d", r.ID, simDelegationKey, sim.cell.index, d.Number), d.Value)
	}
	for to := range sim.cell.all {
		sim.cell.all[to].putInInbox(added[to])
	}
}

// putInInbox stores entries, of which the leader learns together after a while. The next one reads the inbox.
func (sim *simWorld) putInInbox(entries map[string][]byte) {
	if len(entries) == 0 {
		return
	}
	for _, key := range sortedKeys(entries) {
		sim.traceJob(key, "inbox gets %s", key)
		sim.cell.inbox[key] = entries[key]
	}
	token := sim.token
	at := later(sim.now, sim.store.silentUntil).Add(sim.exponential(20 * time.Millisecond))
	sim.cell.deliveredAt = later(sim.cell.deliveredAt, at)
	sim.cell.undelivered = append(sim.cell.undelivered, entries)
	sim.after(sim.cell.deliveredAt.Sub(sim.now), func() {
		sim.asLeader(token, func() {
			first := sim.cell.undelivered[0]
			sim.cell.undelivered = sim.cell.undelivered[1:]
			sim.acceptEntries(first)
		})
	})
}

// acceptInbox lets a new leader accept what the inbox contains.
func (sim *simWorld) acceptInbox() { sim.acceptEntries(sim.cell.inbox) }

// acceptEntries accepts jobs and delegated tasks, and then cancels, as the package scheduler does.
func (sim *simWorld) acceptEntries(entries map[string][]byte) {
	keys := sortedKeys(entries)
	for _, key := range keys {
		sim.traceJob(key, "accepts %s", key)
	}
	for _, key := range keys {
		job, _, isDelegation := strings.Cut(key, simDelegationKey)
		id := job
		switch {
		case strings.HasSuffix(key, simCancelKey):
			continue
		case isDelegation:
			var err error
			id, err = sim.core.AcceptDelegation(entries[key], sim.now)
			require.NoError(sim.t, err)
		default:
			require.NoError(sim.t, sim.core.AcceptHandedOver(entries[key], sim.now))
		}
		sim.addInboxKey(id, key)
		sim.core.MarkInInbox(id)
	}
	for _, key := range keys {
		id, isCancel := strings.CutSuffix(key, simCancelKey)
		if !isCancel {
			continue
		}
		id = sim.core.StorageID(id)
		sim.addInboxKey(id, key)
		if sim.core.Cancel(id, sim.now, nil) {
			sim.core.MarkDirty(id)
		}
	}
}

func (sim *simWorld) addInboxKey(id, key string) {
	if !slices.Contains(sim.cell.inboxKeys[id], key) {
		sim.cell.inboxKeys[id] = append(sim.cell.inboxKeys[id], key)
	}
}

// takeInboxKeys returns the keys that the commit of each record removes.
func (sim *simWorld) takeInboxKeys(changes Changes) map[string][]string {
	keys := map[string][]string{}
	for _, r := range changes.Records {
		keys[r.ID] = sim.cell.inboxKeys[r.ID]
		delete(sim.cell.inboxKeys, r.ID)
	}
	return keys
}

// restoreInboxKeys makes the keys of a commit that was not carried out part of the next one.
func (sim *simWorld) restoreInboxKeys(c *simCommit) {
	for _, r := range c.changes.Records {
		for _, key := range c.inboxKeys[r.ID] {
			sim.addInboxKey(r.ID, key)
		}
	}
}

// writesToInbox reports whether a caller's node writes to the inbox, since the leader does not answer.
func (sim *simWorld) writesToInbox() bool {
	return sim.cell.all != nil && (sim.now.Before(sim.frozenUntil) || sim.now.Before(sim.store.silentUntil)) && sim.chance(0.5)
}

// submitToInbox stores a submission in the inbox, unless the job is known.
func (sim *simWorld) submitToInbox(j Job) {
	if sim.records[j.ID] == nil && sim.cell.inbox[j.ID] == nil {
		value, err := EncodeJob(j)
		require.NoError(sim.t, err)
		sim.putInInbox(map[string][]byte{j.ID: value})
	}
	sim.accepted[j.ID] = true
}

// cancelInInbox stores a cancel in the inbox, if the job is known and has not ended.
func (sim *simWorld) cancelInInbox(id string) {
	stored := sim.records[id]
	if stored == nil {
		if sim.cell.inbox[id] == nil {
			return
		}
	} else {
		state, _, err := DecodeState(stored)
		require.NoError(sim.t, err)
		if state == Moved {
			sim.followJob(id)
			return
		}
		if state.Final() {
			sim.cancelled[id] = true
		}
	}
	if !sim.cancelled[id] && sim.cell.inbox[id+simCancelKey] == nil {
		sim.putInInbox(map[string][]byte{id + simCancelKey: simCancelValue})
	}
	if sim.cancelledAt[id].IsZero() {
		sim.cancelledAt[id] = sim.now
	}
}

// followJob cancels a job in the cell to which it was handed over.
func (sim *simWorld) followJob(id string) {
	state, to, err := DecodeState(sim.records[id])
	if err != nil || state != Moved {
		sim.cell.openMoves++
		return
	}
	sim.after(2*time.Millisecond, func() { sim.cell.all[to].cancelHere(id) })
}

// locate returns the cell that a job was handed over to last, or its home.
func (sim *simWorld) locate(id string) *simWorld {
	at := sim.home(id)
	for range sim.cell.all {
		to, moved := at.core.ForwardedTo(id)
		if !moved {
			break
		}
		at = sim.cell.all[to]
	}
	return at
}

// isGivenUp reports whether tasks of a job are given up in a cell because workers crashed under them. The other cells that run
// tasks of it are not told.
func (sim *simWorld) isGivenUp(id string) bool {
	return slices.ContainsFunc(sim.cell.all, func(cell *simWorld) bool {
		state, _ := cell.core.State(id)
		delegated, _ := cell.core.State(DelegatedID(id))
		return state == Failed || delegated == Failed
	})
}

// checkLongRunning checks that each task of the long-running jobs that were not cancelled has a run, and counts these jobs.
func (sim *simWorld) checkLongRunning(seed int) {
	sim.t.Helper()
	running := map[TaskName]int{}
	for _, w := range sim.cell.workers(sim) {
		sim.passTime(w)
		for key := range w.running {
			running[key.task]++
		}
	}
	for _, id := range sortedKeys(sim.jobs) {
		if !sim.jobs[id].Steps[0].LongRunning || sim.cancelAsked[id] || sim.isGivenUp(id) {
			continue
		}
		sim.cell.lasting++
		for i := range sim.jobs[id].Steps[0].Tasks {
			require.Equal(sim.t, 1, running[TaskName{Job: id, Index: i}], "seed %d: runs of task %d of job %s", seed, i, id)
		}
	}
}

// checkCells does what checkEnds does for all cells.
func (sim *simWorld) checkCells(seed int) {
	sim.t.Helper()
	for _, id := range sortedKeys(sim.jobs) {
		require.True(sim.t, sim.accepted[id], "seed %d: job %s was never accepted", seed, id)
		state, known := sim.locate(id).core.State(id)
		require.True(sim.t, known && state.Final(), "seed %d: job %s is %q", seed, id, state)
		if state == Completed {
			sim.checkTasksDone(seed, id)
		}
	}
	for _, cell := range sim.cell.all {
		cell.checkWorkers(seed)
		require.Empty(sim.t, cell.cell.inbox, "seed %d", seed)
	}
}

// Guards against violations of the scheduling rules while jobs and tasks go from cell to cell: commits take time, are withdrawn or
// lost with their leader, and callers cancel. Besides, no long-running task may be lost.
func TestSchedulingRulesHoldAmongCells(t *testing.T) {
	stops := simFaults{cancelWave: 8 * time.Second, slowStop: 800 * time.Millisecond, crash: 15 * time.Second}
	for _, c := range []struct {
		name    string
		commits simCommitFaults
		seeds   int
	}{
		{name: "no faults of commits", seeds: 2},
		{name: "slow commits", seeds: 6, commits: simCommitFaults{latency: 100 * time.Millisecond, lost: 0.02, late: 0.02}},
		{name: "withdrawn commits", seeds: 6, commits: simCommitFaults{latency: 10 * time.Millisecond, rejection: 2 * time.Second}},
		{name: "commits lost with their leader", seeds: 12, commits: simCommitFaults{
			latency: 20 * time.Millisecond, lost: 0.02, late: 0.02, rejection: 8 * time.Second, silence: 6 * time.Second, freeze: 8 * time.Second,
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var handedOver, delegated, cancels, lasting, lost int
			for seed := range c.seeds {
				faults := stops
				faults.commits = c.commits
				cells := playCells(t, seed, faults)
				for _, sim := range cells {
					handedOver, delegated, cancels = handedOver+sim.cell.handedOver, delegated+sim.cell.delegated, cancels+sim.cell.cancels
					lasting, lost = lasting+sim.cell.lasting, lost+sim.store.lost
				}
			}
			require.Positive(t, handedOver, "no job was handed over")
			require.Positive(t, delegated, "no task was delegated")
			require.Positive(t, cancels, "no cancel was forwarded")
			require.Positive(t, lasting, "no long-running job is left")
			require.Equal(t, c.commits.silence > 0, lost > 0)
		})
	}
}

// playCells simulates three cells, the first of which has few workers and most of the jobs, and loses workers.
func playCells(t *testing.T, seed int, faults simFaults) []*simWorld {
	t.Helper()
	cells := newSimCells(t, uint64(seed), []int{3, 6, 6}, faults)
	first := cells[0]
	until := first.now.Add(30 * time.Second)
	for _, sim := range cells {
		sim.injectFaults(until)
	}
	n := 0
	submit := func(j Job) {
		for n++; ; n++ {
			j.ID = fmt.Sprintf("%016x", n)
			if first.home(j.ID) == first || first.chance(0.3) {
				break
			}
		}
		first.submit(j)
	}
	for i := range 8 {
		first.after(time.Duration(i)*time.Second, func() {
			submit(Job{Queue: "review", Spec: "spec", Steps: []Step{{
				Tasks: 5, Size: share.Resources{Processors: 3000, Memory: 1 << 30}, LongRunning: true,
			}}})
		})
	}
	for i := range 50 {
		first.after(time.Duration(i/5)*3*time.Second, func() { submit(first.randomJob(0)) })
	}
	for i := range 3 {
		first.after(time.Duration(6+7*i)*time.Second, func() { first.crashFor(first.workers[i], 8*time.Second) })
	}
	first.run(30 * time.Second)
	for _, sim := range cells {
		sim.faults.commits.lost, sim.faults.commits.late = 0, 0
	}
	first.run(60 * time.Second)
	for _, sim := range cells {
		require.Empty(t, sim.violations, "seed %d", seed)
	}
	first.checkLongRunning(seed)
	for _, id := range sortedKeys(first.jobs) {
		if first.jobs[id].Steps[0].LongRunning {
			first.cancel(id)
		}
	}
	first.run(60 * time.Second)
	for _, sim := range cells {
		require.Empty(t, sim.violations, "seed %d", seed)
	}
	first.checkCells(seed)
	return cells
}
