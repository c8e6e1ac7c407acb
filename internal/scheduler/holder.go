package scheduler

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/oklog/run"
	"go.uber.org/zap"

	"github.com/oriolepond/oriolepond/internal/actor"
	"github.com/oriolepond/oriolepond/internal/batch"
	"github.com/oriolepond/oriolepond/internal/eventlog"
	"github.com/oriolepond/oriolepond/internal/lease"
	"github.com/oriolepond/oriolepond/internal/store"
)

// Holder is one term of a node as holder of a cell's jobs.
type Holder struct {
	Cell batch.Cell
	// Token fences orders and commits of earlier terms.
	Token        int64
	ID           string
	Store        *store.Client
	Workers      Workers
	Timing       batch.Timing
	WorkerPrefix string
	DecodeWorker func(key string, value []byte) (batch.WorkerInfo, error)
	Log          *eventlog.Log
	Meter        *Metrics
	// Now is the steady time.
	Now func() time.Time

	keys keys
	stop context.CancelFunc

	mu         sync.Mutex
	core       *batch.Core
	lookers    map[string]*looker
	reason     string
	validUntil time.Time
	// awaySince is when the store last answered a commit before one that has no answer yet.
	awaySince time.Time
	fenced    bool
	inbox     map[string]inboxEntry

	head      int64
	sequence  int64
	learnedAt time.Time
	plan      chan struct{}
	commit    chan struct{}
	running   sync.WaitGroup
	// orders holds a place for each start that is under way.
	orders   chan struct{}
	patience patience
	// spawn starts a looker of the term.
	spawn func(id string, l *looker)
}

// TermEndedError says why a term has ended.
type TermEndedError struct {
	Reason string
}

// Error returns the reason.
func (e *TermEndedError) Error() string { return "term ended: " + e.Reason }

const (
	// planEvery is how often time is let pass without news.
	planEvery = 100 * time.Millisecond
	// planGap is the least time between two plans, so that news share one.
	planGap = 8 * time.Millisecond
	// commitGap is the least time between two commits of an undivided deployment,
	// so that news share one; with more holders it grows up to longestCommitGap, a
	// small part of the shortest tasks, so that the store's calls do not.
	commitGap        = 8 * time.Millisecond
	longestCommitGap = 24 * time.Millisecond
	// workerSpacing gathers changes of the list of workers, hundreds a second in a
	// large pool; nothing is started on a leaving worker seconds after it says so.
	workerSpacing = 100 * time.Millisecond
	// commitTimeout bounds one try of a commit.
	commitTimeout = 700 * time.Millisecond
	// maxEntries is how many conditions and writes the store takes in one commit.
	maxEntries = 32
	// maxRecords leaves room for the conditions, the head and some inbox keys.
	maxRecords = 20
	// maxOrders bounds the starts that are under way at once: 330 a second at answers
	// that take two thirds of a second each.
	maxOrders = 256
)

// renewed notes that the lease was renewed by a call that was made at a time.
func (h *Holder) renewed(asked time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if until := asked.Add(lease.Shorter(holderTTL)); until.After(h.validUntil) {
		h.validUntil = until
	}
}

// graceEnds returns until when leases at workers are renewed without the store's word.
func (h *Holder) graceEnds() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.validUntil.Add(lease.Shorter(h.Timing.RenewGrace))
}

// holds reports whether no other holder can have been chosen.
func (h *Holder) holds(at time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return at.Before(h.validUntil)
}

// lose ends the term.
func (h *Holder) lose(reason string) {
	h.mu.Lock()
	if h.reason == "" {
		h.reason = reason
	}
	h.mu.Unlock()
	h.stop()
}

// supersede ends the term since another holder was chosen.
func (h *Holder) supersede() { go h.lose("another holder was chosen") }

func (h *Holder) size() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.core.Size()
}

// load reads all jobs back. How long that takes follows from their number; it
// ends with the term.
func (h *Holder) load(ctx context.Context, t batch.QueueConfig, unheard time.Duration) error {
	at := h.Now()
	core := batch.NewCore(h.Timing, at, at.Add(unheard))
	core.SetCell(h.Cell)
	core.SetWallOffset(h.wallOffset())
	core.SetQueueConfig(t)
	jobs, err := h.Store.List(ctx, h.keys.jobs)
	if err != nil {
		return err
	}
	for _, e := range jobs.Entries {
		if err := core.Restore(e.Value, at); err != nil {
			h.Log.Emit(eventlog.RecordUnreadable, zap.String("key", e.Key), zap.Error(err))
		}
	}
	head, found, err := h.Store.Read(ctx, h.keys.head)
	if err != nil {
		return err
	}
	if found {
		h.head = head.Revision
	}
	learned, found, err := h.Store.Read(ctx, h.keys.learned)
	if err != nil {
		return err
	}
	if found {
		if err := core.RestoreEffects(learned.Value); err != nil {
			h.Log.Emit(eventlog.RecordUnreadable, zap.String("key", h.keys.learned), zap.Error(err))
		}
	}
	silent, found, err := h.Store.Read(ctx, h.keys.silent)
	if err != nil {
		return err
	}
	if found {
		if err := core.RestoreUnresponsive(silent.Value, at); err != nil {
			h.Log.Emit(eventlog.RecordUnreadable, zap.String("key", h.keys.silent), zap.Error(err))
		}
	}
	inbox, err := h.Store.List(ctx, h.keys.inbox)
	if err != nil {
		return err
	}
	h.core = core
	h.lookers = map[string]*looker{}
	h.inbox = map[string]inboxEntry{}
	h.plan = make(chan struct{}, 1)
	h.commit = make(chan struct{}, 1)
	h.orders = make(chan struct{}, maxOrders)
	h.takeInbox(inbox.Entries)
	return nil
}

// run holds the term until it is lost or the context ends.
func (h *Holder) run(ctx context.Context) error {
	var g run.Group
	workers := &store.Follower{
		Client: h.Store, Prefix: h.WorkerPrefix,
		Snapshot: h.workerSnapshot, Update: h.workerUpdate, Spacing: workerSpacing, Lost: h.lost("workers"), Back: h.back("workers"),
	}
	inbox := &store.Follower{
		Client: h.Store, Prefix: h.keys.inbox,
		Snapshot: h.inboxSnapshot, Update: h.inboxUpdate, Lost: h.lost("inbox"), Back: h.back("inbox"),
	}
	h.spawn = func(id string, l *looker) { h.startLooker(ctx, id, l) }
	actor.Loop(ctx, &g, workers.Run)
	actor.Loop(ctx, &g, inbox.Run)
	actor.Loop(ctx, &g, h.planLoop)
	actor.Loop(ctx, &g, h.commitLoop)
	if !h.Cell.IsWhole() {
		actor.Loop(ctx, &g, h.shareLoads)
		actor.Loop(ctx, &g, h.forgetMoves)
	}
	err := g.Run()
	h.stop()
	h.running.Wait()
	h.mu.Lock()
	defer h.mu.Unlock()
	if err == nil && h.reason != "" {
		err = &TermEndedError{Reason: h.reason}
	}
	return err
}

func (h *Holder) lost(use string) func(error) {
	return func(err error) { h.Log.Emit(eventlog.StoreUnavailable, zap.String("use", use), zap.Error(err)) }
}

func (h *Holder) back(use string) func() {
	return func() { h.Log.Emit(eventlog.StoreRecovered, zap.String("use", use)) }
}

func (h *Holder) setTable(t batch.QueueConfig) {
	h.mu.Lock()
	h.core.SetQueueConfig(t)
	h.mu.Unlock()
	h.kick(h.plan)
}

func (h *Holder) kick(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (h *Holder) workerSnapshot(s store.Snapshot) {
	var all []batch.WorkerInfo
	for _, e := range s.Entries {
		id := strings.TrimPrefix(e.Key, h.WorkerPrefix)
		if !h.Cell.HasWorker(id) {
			continue
		}
		info, err := h.DecodeWorker(id, e.Value)
		if err != nil {
			h.Log.Emit(eventlog.WorkerEntryUnreadable, zap.String("key", e.Key), zap.Int64("revision", e.Revision), zap.Error(err))
			continue
		}
		all = append(all, info)
	}
	h.guarded("list of workers", func() { h.locked(func() { h.core.SetWorkers(all, h.Now()) }) })
	h.syncLookers()
	h.kick(h.plan)
}

func (h *Holder) workerUpdate(u store.Update) {
	for _, c := range u.Changes {
		id := strings.TrimPrefix(c.Entry.Key, h.WorkerPrefix)
		if !h.Cell.HasWorker(id) {
			continue
		}
		if c.Deleted {
			h.guarded("list of workers", func() { h.locked(func() { h.core.RemoveWorker(id, h.Now()) }) })
			continue
		}
		info, err := h.DecodeWorker(id, c.Entry.Value)
		if err != nil {
			h.Log.Emit(eventlog.WorkerEntryUnreadable, zap.String("key", c.Entry.Key), zap.Int64("revision", c.Entry.Revision), zap.Error(err))
			continue
		}
		h.guarded("list of workers", func() { h.locked(func() { h.core.SetWorker(info, h.Now()) }) })
	}
	h.syncLookers()
	h.kick(h.plan)
}

// planLoop decides whenever there is news, and lets time pass.
func (h *Holder) planLoop(ctx context.Context) error {
	tick := time.NewTicker(planEvery)
	defer tick.Stop()
	var last time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-h.plan:
		case <-tick.C:
		}
		if gap := planGap - h.Now().Sub(last); gap > 0 {
			time.Sleep(gap)
		}
		last = h.Now()
		away, dirty := h.isAway(last), false
		h.guarded("plan", func() {
			h.locked(func() {
				if away {
					h.core.DropUncommitted(last)
				}
				h.core.SetWallOffset(h.wallOffset())
				h.core.Plan(h.Now())
				dirty = h.core.HasChanges()
			})
		})
		if ctx.Err() != nil {
			return nil
		}
		h.carryOut(ctx, nil)
		if dirty {
			h.kick(h.commit)
		}
	}
}

// carryOut sends the orders that are ready, and logs what was decided.
func (h *Holder) carryOut(ctx context.Context, orders []batch.Command) {
	h.mu.Lock()
	orders = append(orders, h.core.TakeCommands()...)
	looks := h.core.TakePolls()
	acks := h.core.TakeAckable()
	questions := h.core.TakeQueries()
	notes := h.core.TakeNotes()
	h.mu.Unlock()
	for _, id := range acks {
		h.wake(id)
	}
	for _, id := range looks {
		h.lookNow(ctx, id)
	}
	for _, o := range orders {
		h.send(ctx, o)
	}
	for _, q := range questions {
		h.ask(ctx, q)
	}
	for _, n := range notes {
		h.log(n)
	}
}
