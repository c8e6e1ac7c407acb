package shard

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/oriolepond/oriolepond/internal/eventlog"
	"github.com/oriolepond/oriolepond/internal/roster"
	"github.com/oriolepond/oriolepond/internal/store"
	"github.com/oriolepond/oriolepond/internal/task"
	"github.com/oriolepond/oriolepond/internal/worker"
	"github.com/oriolepond/oriolepond/pkg/release"
)

// The keys of a shard in the store.
const (
	HolderKey = "/oriolepond/shard/0/holder"
	StateKey  = "/oriolepond/shard/0/state"
)

// NotHolderError says that another instance holds the shard, if any does.
type NotHolderError struct {
	Holder string
}

// Error returns the holder.
func (e *NotHolderError) Error() string {
	if e.Holder == "" {
		return "the shard has no holder at present"
	}
	return "the shard is held by " + e.Holder
}

// Holder holds the shard while it can, and stands by while another does.
type Holder struct {
	ID      string
	Store   *store.Client
	Writer  *store.Writer
	Workers *worker.Client
	// Lease returns the instance's lease in the store, or zero.
	Lease func() store.LeaseID
	// Config and List return what is known now.
	Config   func() release.Config
	List     func() roster.List
	Interval time.Duration
	Log      *eventlog.Log

	mu     sync.Mutex
	core   *Core // Nil while another instance holds the shard.
	holder string
	epoch  int64
	state  int64 // The revision of the state's key.
}

// Run holds or stands by until the context ends.
func (h *Holder) Run(ctx context.Context) error {
	ticker := time.NewTicker(h.Interval)
	defer ticker.Stop()
	for {
		if err := h.step(ctx); err != nil && ctx.Err() == nil {
			h.Log.Emit(eventlog.StoreUnavailable, zap.Error(err))
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (h *Holder) step(ctx context.Context) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if err := h.hold(ctx); err != nil || h.core == nil {
		return err
	}
	list := h.List()
	workers := list.OfKind(roster.KindWorker)
	exchanges := h.core.Plan(workers, h.Config())
	if err := h.persist(ctx); err != nil {
		return err
	}
	h.exchange(ctx, workers, exchanges)
	return h.persist(ctx)
}

// hold takes the shard if nobody holds it, and drops it if somebody else does.
func (h *Holder) hold(ctx context.Context) error {
	e, ok, err := h.Store.Read(ctx, HolderKey)
	if err != nil {
		return err
	}
	if ok {
		h.holder = string(e.Value)
		if h.holder != h.ID {
			h.core = nil
		}
		if h.core != nil || h.holder != h.ID {
			return nil
		}
	}
	lease := h.Lease()
	if lease == 0 {
		return nil
	}
	h.core = nil
	put := store.Put(HolderKey, []byte(h.ID)).WithLease(lease)
	result, err := h.Writer.Commit(ctx, store.Txn{
		If:   []store.Condition{{Key: HolderKey, Revision: e.Revision}},
		Then: []store.Op{put},
	})
	if err != nil || !result.Done {
		return err
	}
	h.epoch = result.Revision
	return h.load(ctx)
}

func (h *Holder) load(ctx context.Context) error {
	e, ok, err := h.Store.Read(ctx, StateKey)
	if err != nil {
		return err
	}
	core := NewCore()
	if ok {
		if core, err = Decode(e.Value); err != nil {
			return err
		}
	}
	h.state = e.Revision
	h.core = core
	h.holder = h.ID
	return nil
}

// persist writes the state if it changed, fenced by the holder's key.
func (h *Holder) persist(ctx context.Context) error {
	if !h.core.dirty {
		return nil
	}
	value, err := h.core.Encode()
	if err != nil {
		return err
	}
	result, err := h.Writer.Commit(ctx, store.Txn{
		If:   []store.Condition{{Key: HolderKey, Revision: h.epoch}, {Key: StateKey, Revision: h.state}},
		Then: []store.Op{store.Put(StateKey, value)},
	})
	if err != nil {
		return err
	}
	if !result.Done {
		h.core = nil
		return &NotHolderError{}
	}
	h.state = result.Revision
	h.core.dirty = false
	return nil
}

// exchange speaks to all workers at once and takes their reports.
func (h *Holder) exchange(ctx context.Context, workers []roster.Instance, exchanges map[string]worker.Exchange) {
	var group sync.WaitGroup
	reports := make(chan worker.Report, len(workers))
	for _, w := range workers {
		group.Go(func() {
			e := exchanges[w.ID]
			e.Holder = h.ID
			e.Epoch = h.epoch
			if r, err := h.Workers.Exchange(ctx, w.Address, e); err == nil {
				reports <- r
			}
		})
	}
	group.Wait()
	close(reports)
	for r := range reports {
		h.core.Observe(r)
	}
}

// Submit accepts a job once it is committed.
func (h *Holder) Submit(ctx context.Context, s task.Submission) (task.Status, error) {
	return h.call(ctx, func(c *Core) (task.Status, error) { return c.Submit(s, h.Config()) })
}

// Describe returns the state of a job.
func (h *Holder) Describe(ctx context.Context, neighbour, id string) (task.Status, error) {
	return h.call(ctx, func(c *Core) (task.Status, error) { return c.Describe(neighbour, id) })
}

// Cancel withdraws what of a job has not started.
func (h *Holder) Cancel(ctx context.Context, neighbour, id string) (task.Status, error) {
	return h.call(ctx, func(c *Core) (task.Status, error) { return c.Cancel(neighbour, id) })
}

// Accounts returns the usage of all shares.
func (h *Holder) Accounts(context.Context) ([]Account, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.core == nil {
		return nil, &NotHolderError{Holder: h.holder}
	}
	return h.core.Accounts(), nil
}

// call makes a change and commits it before it answers.
func (h *Holder) call(ctx context.Context, f func(*Core) (task.Status, error)) (task.Status, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.core == nil {
		return task.Status{}, &NotHolderError{Holder: h.holder}
	}
	s, err := f(h.core)
	if err != nil {
		return task.Status{}, err
	}
	return s, h.persist(ctx)
}

// HolderOf returns the holder that an error names, if it is a NotHolderError.
func HolderOf(err error) (string, bool) {
	var not *NotHolderError
	if errors.As(err, &not) {
		return not.Holder, true
	}
	return "", false
}
