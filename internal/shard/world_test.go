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
	worldWorkers  = 3
	worldTTL      = 5 * time.Second
	worldRun      = 60 * time.Second
	worldShortRun = 4 * time.Second
	worldDrift    = 0.009
)

var worldSize = share.Resources{Processors: 8000, Memory: 8 << 30}

// world is one shard with holders, workers, a store and a network under virtual time.
type world struct {
	shard string
	// prefix tells its jobs and workers from those of other shards.
	prefix string
	// listed returns the workers of all shards.
	listed func() map[string][]roster.Instance
	// pass lets time pass for all shards; nil if there is only this one.
	pass    func(time.Duration)
	now     time.Time
	timing  Timing
	config  release.Config
	ledger  *standin.TaskLedger
	workers []*standin.Worker
	// cut are the pairs of a holder's epoch and a worker that do not reach each other.
	cut  map[[2]int64]bool
	gone []bool
	// runners are on the platform's list beside the workers.
	runners []roster.Instance
	// storeUp, epoch, clean and batches are the store's state; current is the holder of the epoch.
	storeUp bool
	epoch   int64
	clean   bool
	batches []journal.Batch
	holders []*worldHolder
	stuck   []stuckExchange
	// accepted are the jobs whose submission was committed and answered.
	accepted  map[string]int
	cancelled map[string]bool
	next      int
	// durable is what the journal holds of the usage of each task's incarnations, final the tasks that it says have ended.
	durable readings
	// sent are the incarnations whose start was sent to a worker.
	sent  map[worker.Ack]bool
	final map[string]bool
}

type worldHolder struct {
	core        *Core
	epoch       int64
	validUntil  time.Time
	confirmedAt time.Time
	// isolated holders do not reach the store.
	isolated bool
	// unknown is a batch that took effect without the holder having the answer.
	unknown uint64
	pending map[string]uint64
	counts  map[string]int
	// heard is what the holder knows of the usage of incarnations.
	heard readings
	// answers are given once their batch is durable.
	answers []worldAnswer
}

type worldAnswer struct {
	batch  uint64
	answer func()
}

type stuckExchange struct {
	worker int
	e      worker.Exchange
}

func newWorld() *world {
	w := newShardWorld("r.0", "", standin.NewTaskLedger())
	w.listed = func() map[string][]roster.Instance { return map[string][]roster.Instance{w.shard: w.listing().Workers} }
	w.take()
	return w
}

// newShardWorld returns the world of one shard of several, without a holder.
func newShardWorld(shard, prefix string, ledger *standin.TaskLedger) *world {
	w := &world{
		shard:     shard,
		prefix:    prefix,
		now:       time.Unix(1_000_000, 0),
		timing:    DefaultTiming(),
		ledger:    ledger,
		storeUp:   true,
		accepted:  map[string]int{},
		cancelled: map[string]bool{},
		durable:   readings{},
		sent:      map[worker.Ack]bool{},
		final:     map[string]bool{},
		config: release.Config{Revision: 1, Declarations: release.Declarations{
			Neighbours: []share.Neighbour{{Name: "n", Region: "r"}},
			Shares:     []share.Share{{Name: "s", Neighbour: "n", Weight: 1, Quota: worldSize.Times(worldWorkers)}},
			Jobs: []release.Job{
				{Name: "batch", Neighbour: "n", Share: "s", Size: worldSize.Times(1).Minus(share.Resources{Processors: 5000, Memory: 5 << 30}), Checkpoints: true, MaxStarts: 1000},
				{Name: "plain", Neighbour: "n", Share: "s", Size: share.Resources{Processors: 5000, Memory: 1 << 30}, MaxStarts: 1000},
				{Name: "urgent", Neighbour: "n", Share: "s", Size: share.Resources{Processors: 6000, Memory: 1 << 30}, Urgent: true, Checkpoints: true, MaxStarts: 1000},
			},
		}},
	}
	w.timing.Grace = 30 * time.Second
	for i := range worldWorkers {
		rate := 1 + worldDrift*float64(i-1)
		base := w.now
		w.workers = append(w.workers, &standin.Worker{
			ID: fmt.Sprintf("%sw%d", prefix, i), Capacity: worldSize, Ledger: w.ledger,
			Work: worldWork,
			Now:  func() time.Time { return base.Add(time.Duration(float64(w.now.Sub(base)) * rate)) },
		})
	}
	w.cut = map[[2]int64]bool{}
	w.gone = make([]bool, worldWorkers)
	return w
}

func worldWork(job string) standin.Work {
	work := standin.Work{RunTime: worldRun, Size: share.Resources{Processors: 1000, Memory: 1 << 28}}
	if job == "plain" {
		work.RunTime = worldShortRun
	}
	return work
}

func (w *world) listing() Listing {
	l := Listing{Runners: w.runners}
	for i, s := range w.workers {
		if !w.gone[i] {
			l.Workers = append(l.Workers, roster.Instance{
				ID: s.ID, Kind: roster.KindWorker, State: roster.Live, Address: s.ID, Region: "r", Rack: "k", Capacity: s.Capacity,
			})
		}
	}
	return l
}

func (w *world) quotas() Quotas {
	return NewQuotas(w.shard, w.listed(), w.config)
}

func (w *world) advance(d time.Duration) {
	if w.pass != nil {
		w.pass(d)
		return
	}
	w.elapse(d)
}

func (w *world) elapse(d time.Duration) {
	w.now = w.now.Add(d)
	for _, s := range w.workers {
		s.Advance()
	}
}

// take lets a new holder take the shard, once the lease of the one before has lapsed.
func (w *world) take() {
	if !w.storeUp {
		return
	}
	for _, h := range w.holders {
		if h.epoch == w.epoch && w.now.Before(h.validUntil.Add(time.Second)) {
			return
		}
	}
	w.epoch++
	h := &worldHolder{
		core: NewCore(w.timing, w.now, w.clean), epoch: w.epoch,
		validUntil: w.now.Add(worldTTL), confirmedAt: w.now, pending: map[string]uint64{}, counts: map[string]int{},
		heard: w.durable.clone(),
	}
	w.clean = false
	h.core.Configure(w.config, w.quotas())
	h.core.Restore(w.batches, w.now)
	h.core.SetListing(w.listing(), w.now)
	w.holders = append(w.holders, h)
	if len(w.holders) > 3 {
		w.holders = w.holders[1:]
	}
}

// handOver is a planned stop of the holder.
func (w *world) handOver(h *worldHolder) {
	if !w.storeUp || h.isolated || h.epoch != w.epoch {
		return
	}
	w.commit(h, false)
	w.clean = h.core.IsSole(w.now)
	w.drop(h)
	w.epoch++
	w.take()
}

func (w *world) drop(h *worldHolder) {
	for i, o := range w.holders {
		if o == h {
			w.holders = append(w.holders[:i:i], w.holders[i+1:]...)
			return
		}
	}
}

// keepAlive renews the holder's lease, or tells it that the shard is lost.
func (w *world) keepAlive(h *worldHolder) {
	if !w.storeUp || h.isolated {
		return
	}
	if h.epoch != w.epoch {
		w.drop(h)
		return
	}
	h.validUntil = w.now.Add(worldTTL)
	h.confirmedAt = w.now
}

// commit plans and commits; a lost answer leaves the holder in doubt until the next call.
func (w *world) commit(h *worldHolder, lost bool) {
	if !w.storeUp || h.isolated {
		return
	}
	if h.unknown != 0 {
		w.known(h, h.unknown)
		h.unknown = 0
	}
	h.core.Configure(w.config, w.quotas())
	h.core.SetListing(w.listing(), w.now)
	h.core.Plan(w.now)
	if !h.core.HasChanges() {
		return
	}
	if h.epoch != w.epoch {
		w.drop(h)
		return
	}
	batch, number := h.core.Batch()
	text, err := journal.Encode(batch)
	if err != nil {
		panic(err)
	}
	stored, err := journal.Decode(text)
	if err != nil {
		panic(err)
	}
	w.batches = append(w.batches, stored)
	w.keep(h, stored)
	if lost {
		h.unknown = number
		return
	}
	w.known(h, number)
}

// known tells a holder that a batch is durable, and the callers that waited for it.
func (w *world) known(h *worldHolder, number uint64) {
	h.core.Committed(number)
	for id, n := range h.pending {
		if n <= number {
			w.accepted[id] = h.counts[id]
			delete(h.pending, id)
		}
	}
	for len(h.answers) > 0 && h.answers[0].batch <= number {
		h.answers[0].answer()
		h.answers = h.answers[1:]
	}
}

func (w *world) submit(h *worldHolder, family string, tasks int) {
	if !w.now.Before(h.validUntil) {
		return
	}
	w.next++
	id := fmt.Sprintf("%sj%d", w.prefix, w.next)
	if _, err := h.core.Submit(task.Part{ID: id, Neighbour: "n", Share: "s", Name: family, Tasks: tasks}, w.now); err != nil {
		panic(err)
	}
	h.pending[id] = h.core.PendingBatch()
	h.counts[id] = tasks
}

// fate is what becomes of one exchange.
type fate string

const (
	answered   fate = "answered"
	answerLost fate = "answerLost"
	lostSend   fate = "lost"
	delayed    fate = "delayed"
)

func (w *world) exchange(h *worldHolder, i int, f fate) {
	if w.now.After(h.confirmedAt.Add(w.timing.Grace)) {
		return
	}
	e, ok := h.core.Exchange(w.workers[i].ID, w.now.Before(h.validUntil), w.now)
	if !ok {
		return
	}
	e.Epoch = h.epoch
	for _, command := range e.Commands {
		if command.Kind == worker.Start {
			w.sent[worker.Ack{Task: command.Task, Incarnation: command.Incarnation}] = true
		}
	}
	switch {
	case f == delayed:
		w.stuck = append(w.stuck, stuckExchange{worker: i, e: e})
	case w.gone[i] || w.cut[[2]int64{h.epoch, int64(i)}] || f == lostSend:
	default:
		report, taken := w.workers[i].Exchange(e)
		if f == answerLost {
			return
		}
		if taken {
			h.core.Observe(report, w.now)
			h.heard.take(report)
		} else if report.Epoch > h.epoch {
			w.drop(h)
		}
	}
}

// arrive delivers a delayed exchange, perhaps long after its holder was replaced.
func (w *world) arrive(n int) {
	s := w.stuck[n]
	w.stuck = append(w.stuck[:n:n], w.stuck[n+1:]...)
	if !w.gone[s.worker] {
		w.workers[s.worker].Exchange(s.e)
	}
}

// round lets a holder renew, commit and speak to each worker once.
func (w *world) round(h *worldHolder) {
	w.keepAlive(h)
	w.commit(h, false)
	for i := range w.workers {
		w.exchange(h, i, answered)
	}
}

// coast lets time pass with all holders at work; it may end on a fraction of a second.
func (w *world) coast(seconds int, fraction time.Duration) {
	for range seconds {
		w.advance(time.Second)
		for _, h := range slices.Clone(w.holders) {
			w.round(h)
		}
	}
	w.advance(fraction)
	for range 2 {
		for _, h := range slices.Clone(w.holders) {
			w.round(h)
		}
	}
}

// fill brings the pool to work.
func (w *world) fill() {
	for _, family := range []string{"batch", "plain", "batch"} {
		w.submit(w.holders[0], family, 2)
	}
	w.coast(3, 0)
}

// replace takes a worker away for good, or brings a new one in its place.
func (w *world) replace(i int) {
	if !w.gone[i] {
		w.workers[i].Crash()
	}
	w.gone[i] = !w.gone[i]
}
