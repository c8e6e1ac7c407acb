package shard

import (
	"fmt"
	"slices"
	"time"

	"github.com/oriolepond/oriolepond/internal/journal"
	"github.com/oriolepond/oriolepond/internal/roster"
	"github.com/oriolepond/oriolepond/internal/standin"
	"github.com/oriolepond/oriolepond/internal/task"
	"github.com/oriolepond/oriolepond/internal/worker"
	"github.com/oriolepond/oriolepond/pkg/release"
	"github.com/oriolepond/oriolepond/pkg/share"
)

const (
	simWorkers   = 3
	simLeaseTTL  = 5 * time.Second
	longRunTime  = 60 * time.Second
	shortRunTime = 4 * time.Second
	simDrift     = 0.009
)

var simCapacity = share.Resources{Processors: 8000, Memory: 8 << 30}

// simulation simulates one shard in virtual time: its leaders and workers, the store, and the
// network between them.
type simulation struct {
	shard string
	// prefix begins the names of the shard's jobs and workers, and differs between shards.
	prefix string
	// workersByShard returns the workers of all shards.
	workersByShard func() map[string][]roster.Instance
	// advanceAll advances the time of all shards. It is nil if there is only this one.
	advanceAll func(time.Duration)
	now        time.Time
	timing     Timing
	config     release.Config
	ledger     *standin.TaskLedger
	workers    []*standin.Worker
	// partitioned holds the pairs of a leader and a worker that can't reach each other, as the
	// leader's epoch and the worker's index.
	partitioned map[[2]int64]bool
	// removed tells which workers are removed, by index.
	removed []bool
	// runners are on the platform's list in addition to the workers.
	runners []roster.Instance
	// storeUp, epoch, handedOver and batches are the state of the store. The current leader is the
	// one with that epoch. handedOver is set if the last leader stopped cleanly.
	storeUp          bool
	epoch            int64
	handedOver       bool
	batches          []journal.Batch
	leaders          []*simLeader
	delayedExchanges []delayedExchange
	// accepted are the jobs whose submission was committed and confirmed to the caller, with their
	// numbers of tasks.
	accepted  map[string]int
	cancelled map[string]bool
	// confirmedCancels are the jobs whose cancellation was committed and confirmed to the caller. startsAfterCancel counts the
	// starts of their tasks that were sent afterwards.
	confirmedCancels  map[string]bool
	startsAfterCancel int
	submitted         int
	// reportedEnds are the most tasks of each accepted job that a leader has reported as ended.
	reportedEnds map[string]int
	// durableReadings are the usages of each task's incarnations that the journal holds.
	durableReadings readings
	// sent are the incarnations whose start was sent to a worker. endedTasks are the tasks that
	// have ended according to the journal.
	sent       map[worker.Ack]bool
	endedTasks map[string]bool
}

// simLeader is a leader, or a previous one that doesn't know yet that it was replaced.
type simLeader struct {
	core        *Core
	epoch       int64
	validUntil  time.Time
	confirmedAt time.Time
	// isolated leaders can't reach the store.
	isolated bool
	// inProgress is the commit whose outcome the leader does not know.
	inProgress  *commitInProgress
	pendingJobs map[string]uint64
	taskCounts  map[string]int
	// received are the usages that the leader knows from reports and the journal.
	received readings
	// pendingAnswers are the responses to other shards that wait for their batch to be durable.
	pendingAnswers []pendingAnswer
}

// commitInProgress is a batch whose commit was sent to the store. The store has carried it out if stored is set.
type commitInProgress struct {
	batch  journal.Batch
	number uint64
	stored bool
	// received are the usages that the leader knew when it sent the commit.
	received readings
}

type pendingAnswer struct {
	batch  uint64
	answer func()
}

type delayedExchange struct {
	worker int
	e      worker.Exchange
}

func newSimulation() *simulation {
	w := newShardSimulation("r.0", "", standin.NewTaskLedger())
	w.workersByShard = func() map[string][]roster.Instance { return map[string][]roster.Instance{w.shard: w.listing().Workers} }
	w.takeOver()
	return w
}

// newShardSimulation returns the simulation of one shard, without a leader. Several shards can
// share a ledger.
func newShardSimulation(shard, prefix string, ledger *standin.TaskLedger) *simulation {
	w := &simulation{
		shard:            shard,
		prefix:           prefix,
		now:              time.Unix(1_000_000, 0),
		timing:           DefaultTiming(),
		ledger:           ledger,
		storeUp:          true,
		accepted:         map[string]int{},
		cancelled:        map[string]bool{},
		reportedEnds:     map[string]int{},
		confirmedCancels: map[string]bool{},
		durableReadings:  readings{},
		sent:             map[worker.Ack]bool{},
		endedTasks:       map[string]bool{},
		config: release.Config{Revision: 1, Declarations: release.Declarations{
			Neighbours: []share.Neighbour{{Name: "n", Region: "r"}},
			Shares:     []share.Share{{Name: "s", Neighbour: "n", Weight: 1, Quota: simCapacity.Times(simWorkers)}},
			Jobs: []release.Job{
				{Name: "batch", Neighbour: "n", Share: "s", Size: simCapacity.Times(1).Minus(share.Resources{Processors: 5000, Memory: 5 << 30}), Checkpoints: true, MaxStarts: 1000},
				{Name: "plain", Neighbour: "n", Share: "s", Size: share.Resources{Processors: 5000, Memory: 1 << 30}, MaxStarts: 1000},
				{Name: "urgent", Neighbour: "n", Share: "s", Size: share.Resources{Processors: 6000, Memory: 1 << 30}, Urgent: true, Checkpoints: true, MaxStarts: 1000},
			},
		}},
	}
	w.timing.Grace = 30 * time.Second
	for i := range simWorkers {
		rate := 1 + simDrift*float64(i-1)
		base := w.now
		w.workers = append(w.workers, &standin.Worker{
			ID: fmt.Sprintf("%sw%d", prefix, i), Capacity: simCapacity, Ledger: w.ledger,
			Work: simWork,
			Now:  func() time.Time { return base.Add(time.Duration(float64(w.now.Sub(base)) * rate)) },
		})
	}
	w.partitioned = map[[2]int64]bool{}
	w.removed = make([]bool, simWorkers)
	return w
}

func simWork(job string) standin.Work {
	work := standin.Work{RunTime: longRunTime, Size: share.Resources{Processors: 1000, Memory: 1 << 28}}
	if job == "plain" {
		work.RunTime = shortRunTime
	}
	return work
}

func (w *simulation) listing() Listing {
	l := Listing{Runners: w.runners}
	for i, s := range w.workers {
		if !w.removed[i] {
			l.Workers = append(l.Workers, roster.Instance{
				ID: s.ID, Kind: roster.KindWorker, State: roster.Live, Address: s.ID, Region: "r", Rack: "k", Capacity: s.Capacity,
			})
		}
	}
	return l
}

func (w *simulation) quotas() Quotas {
	return NewQuotas(w.shard, w.workersByShard(), w.config)
}

func (w *simulation) advance(d time.Duration) {
	if w.advanceAll != nil {
		w.advanceAll(d)
		return
	}
	w.advanceOne(d)
}

func (w *simulation) advanceOne(d time.Duration) {
	w.now = w.now.Add(d)
	for _, s := range w.workers {
		s.Advance()
	}
}

// takeOver starts a new leader once the lease of the current one has expired.
func (w *simulation) takeOver() {
	if !w.storeUp {
		return
	}
	for _, leader := range w.leaders {
		if leader.epoch == w.epoch && w.now.Before(leader.validUntil.Add(time.Second)) {
			return
		}
	}
	w.epoch++
	leader := &simLeader{
		core: NewCore(w.timing, w.now, w.handedOver), epoch: w.epoch,
		validUntil: w.now.Add(simLeaseTTL), confirmedAt: w.now, pendingJobs: map[string]uint64{}, taskCounts: map[string]int{},
		received: w.durableReadings.clone(),
	}
	w.handedOver = false
	leader.core.Configure(w.config, w.quotas())
	leader.core.Restore(w.batches, w.now)
	leader.core.SetListing(w.listing(), w.now)
	w.leaders = append(w.leaders, leader)
	if len(w.leaders) > 3 {
		w.leaders = w.leaders[1:]
	}
}

// handOver stops a leader cleanly and starts a new one.
func (w *simulation) handOver(leader *simLeader) {
	if !w.storeUp || leader.isolated || leader.epoch != w.epoch {
		return
	}
	w.commit(leader, false)
	w.handedOver = leader.core.IsExclusive(w.now)
	w.removeLeader(leader)
	w.epoch++
	w.takeOver()
}

func (w *simulation) removeLeader(leader *simLeader) {
	for i, o := range w.leaders {
		if o == leader {
			w.leaders = append(w.leaders[:i:i], w.leaders[i+1:]...)
			return
		}
	}
}

// keepAlive renews a leader's lease in the store, or removes the leader if it was replaced.
func (w *simulation) keepAlive(leader *simLeader) {
	if !w.storeUp || leader.isolated {
		return
	}
	if leader.epoch != w.epoch {
		w.removeLeader(leader)
		return
	}
	leader.validUntil = w.now.Add(simLeaseTTL)
	leader.confirmedAt = w.now
}

// commit makes a leader plan and commit. If the store's response is lost, the leader doesn't learn
// the outcome before the next call. A commit in progress is completed first.
func (w *simulation) commit(leader *simLeader, lost bool) {
	if !w.storeUp || leader.isolated || !w.completeCommit(leader) {
		return
	}
	w.beginCommit(leader)
	if !w.carryOut(leader) || lost {
		return
	}
	w.completeCommit(leader)
}

// beginCommit makes a leader plan, and send a commit unless there is nothing to commit or a commit is in progress.
func (w *simulation) beginCommit(leader *simLeader) {
	if leader.inProgress != nil {
		return
	}
	leader.core.Configure(w.config, w.quotas())
	leader.core.SetListing(w.listing(), w.now)
	leader.core.Plan(w.now)
	if !leader.core.HasChanges() {
		return
	}
	batch, number := leader.core.TakeBatch()
	leader.inProgress = &commitInProgress{batch: recoded(batch), number: number, received: leader.received.clone()}
}

// recoded returns a batch as the next leader reads it.
func recoded(b journal.Batch) journal.Batch {
	text, err := journal.Encode(b)
	if err != nil {
		panic(err)
	}
	stored, err := journal.Decode(text)
	if err != nil {
		panic(err)
	}
	return stored
}

// compact replaces the journal by a leader's snapshot, which also contains the changes since its last commit. A leader
// does so only while no commit is in progress.
func (w *simulation) compact(leader *simLeader) {
	if !w.storeUp || leader.isolated || leader.epoch != w.epoch || leader.inProgress != nil {
		return
	}
	snapshot := recoded(leader.core.Snapshot())
	w.batches = []journal.Batch{snapshot}
	w.recordDurable(leader.received, snapshot)
	w.durableReadings = leader.received.clone()
}

// carryOut makes the store carry out a leader's commit in progress. It returns false if the leader was replaced, and
// removes it.
func (w *simulation) carryOut(leader *simLeader) bool {
	c := leader.inProgress
	if c == nil || c.stored {
		return true
	}
	if leader.epoch != w.epoch {
		w.removeLeader(leader)
		return false
	}
	w.batches = append(w.batches, c.batch)
	w.recordDurable(c.received, c.batch)
	c.stored = true
	return true
}

// completeCommit carries out a leader's commit in progress, if there is one, and notifies the leader. It returns false if
// the leader was replaced.
func (w *simulation) completeCommit(leader *simLeader) bool {
	if !w.carryOut(leader) {
		return false
	}
	if c := leader.inProgress; c != nil {
		leader.inProgress = nil
		w.confirmBatch(leader, c.number)
	}
	return true
}

// confirmBatch notifies a leader, and the callers that wait for it, that a batch is durable.
func (w *simulation) confirmBatch(leader *simLeader, number uint64) {
	leader.core.Committed(number)
	for id, n := range leader.pendingJobs {
		if n <= number {
			w.accepted[id] = leader.taskCounts[id]
			delete(leader.pendingJobs, id)
		}
	}
	for len(leader.pendingAnswers) > 0 && leader.pendingAnswers[0].batch <= number {
		leader.pendingAnswers[0].answer()
		leader.pendingAnswers = leader.pendingAnswers[1:]
	}
}

func (w *simulation) submit(leader *simLeader, family string, tasks int) {
	if !w.now.Before(leader.validUntil) {
		return
	}
	w.submitted++
	id := fmt.Sprintf("%sj%d", w.prefix, w.submitted)
	if _, err := leader.core.Submit(task.Part{ID: id, Neighbour: "n", Share: "s", Name: family, Tasks: tasks}, w.now); err != nil {
		panic(err)
	}
	leader.pendingJobs[id] = leader.core.PendingBatch()
	leader.taskCounts[id] = tasks
}

// delivery is what the network does to one message and its response.
type delivery string

const (
	answered   delivery = "answered"
	answerLost delivery = "answerLost"
	lostSend   delivery = "lost"
	delayed    delivery = "delayed"
)

func (w *simulation) exchange(leader *simLeader, i int, f delivery) {
	if w.now.After(leader.confirmedAt.Add(w.timing.Grace)) {
		return
	}
	e, ok := leader.core.NextExchange(w.workers[i].ID, w.now.Before(leader.validUntil), w.now)
	if !ok {
		return
	}
	e.Epoch = leader.epoch
	for _, command := range e.Commands {
		if command.Kind == worker.Start {
			w.sent[worker.Ack{Task: command.Task, Incarnation: command.Incarnation}] = true
			if w.confirmedCancels[leader.core.tasks[command.Task].Job] {
				w.startsAfterCancel++
			}
		}
	}
	switch {
	case f == delayed:
		w.delayedExchanges = append(w.delayedExchanges, delayedExchange{worker: i, e: e})
	case w.removed[i] || w.partitioned[[2]int64{leader.epoch, int64(i)}] || f == lostSend:
	default:
		report, accepted := w.workers[i].Exchange(e)
		if f == answerLost {
			return
		}
		if accepted {
			leader.core.ApplyReport(report, w.now)
			leader.received.record(report)
		} else if report.Epoch > leader.epoch {
			w.removeLeader(leader)
		}
	}
}

// deliver delivers the nth delayed exchange, possibly long after its leader was replaced.
func (w *simulation) deliver(n int) {
	s := w.delayedExchanges[n]
	w.delayedExchanges = append(w.delayedExchanges[:n:n], w.delayedExchanges[n+1:]...)
	if !w.removed[s.worker] {
		w.workers[s.worker].Exchange(s.e)
	}
}

// leaderRound makes a leader renew its lease, commit, and exchange with each worker once.
func (w *simulation) leaderRound(leader *simLeader) {
	w.keepAlive(leader)
	w.commit(leader, false)
	for i := range w.workers {
		w.exchange(leader, i, answered)
	}
}

// run advances the time by the given seconds, with one round of all leaders each second. Then it
// advances the time by a fraction of a second and makes two more rounds.
func (w *simulation) run(seconds int, fraction time.Duration) {
	for range seconds {
		w.advance(time.Second)
		for _, leader := range slices.Clone(w.leaders) {
			w.leaderRound(leader)
		}
	}
	w.advance(fraction)
	for range 2 {
		for _, leader := range slices.Clone(w.leaders) {
			w.leaderRound(leader)
		}
	}
}

// submitMixedLoad submits jobs of several families and lets them start.
func (w *simulation) submitMixedLoad() {
	for _, family := range []string{"batch", "plain", "batch"} {
		w.submit(w.leaders[0], family, 2)
	}
	w.run(3, 0)
}

// toggleWorker removes a worker or, if it was removed before, adds a new one in its place.
func (w *simulation) toggleWorker(i int) {
	if !w.removed[i] {
		w.workers[i].Crash()
	}
	w.removed[i] = !w.removed[i]
}
