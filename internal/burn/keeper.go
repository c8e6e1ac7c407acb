package burn

import (
	"context"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/oriolepond/oriolepond/internal/eventlog"
	"github.com/oriolepond/oriolepond/internal/store"
)

// The keys of the counts in the store.
const (
	// Prefix is where the counts stand: those of instances, and those of slots.
	Prefix    = "/oriolepond/burn/"
	ownPrefix = Prefix + "instance/"
	// slotPrefix is where the counts of all instances stand by slot.
	slotPrefix = Prefix + "slot/"
	// startPrefix is where the starts of instances that have counts are named.
	startPrefix = "/oriolepond/burnStart/"
	// foldedPrefix is where stands what others moved of an instance, in case that it lives.
	foldedPrefix = "/oriolepond/burnFolded/"
)

const (
	// sealAfter is how long after its end a slot takes no more requests.
	sealAfter = 10 * time.Second
	// keptFor is how long the store keeps the counts of a slot.
	keptFor = KeptSlots * SlotLength
	// lastWriteTimeout bounds the writes of a planned stop.
	lastWriteTimeout = 2 * time.Second
	// maxOwnBytes bounds the value of an instance's key, well under what the
	// store holds; after a long outage the rest stays in memory until it is moved.
	maxOwnBytes = 512 << 10
)

// Keeper keeps the counts of one instance in the store. The instance's own key
// holds what it counted in the open slots; what it counted in a slot that has
// ended moves into the slot's key, in the commit that takes it out of its own.
type Keeper struct {
	Recorder *Recorder
	Store    *store.Client
	// ID is unique for each start of an instance.
	ID string
	// Interval is how often the counts are written.
	Interval time.Duration
	// Alive reports whether an instance may still write its counts; nil means that none is folded.
	Alive func(id string) bool
	// ShouldFold reports whether it is on this instance to fold; nil means that it always is.
	ShouldFold func() bool
	// Now is the clock; nil is the system's.
	Now func() time.Time
	Log *eventlog.Log

	mu sync.Mutex
	// revision and foldedRevision are those of the own key and of what others folded.
	revision       int64
	foldedRevision int64
	// moved is the last slot whose counts were moved out of the own key.
	moved int64
	// folded is what others moved of the slots after it.
	folded []packed
}

// Run writes the counts until the context ends, and once more then.
func (k *Keeper) Run(ctx context.Context) error {
	k.report(k.Flush(ctx))
	ticker := time.NewTicker(k.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			last, cancel := context.WithTimeout(context.WithoutCancel(ctx), lastWriteTimeout)
			defer cancel()
			k.report(k.Finish(last))
			return nil
		case <-ticker.C:
		}
		k.report(k.Move(ctx))
		k.report(k.Flush(ctx))
		if k.ShouldFold == nil || k.ShouldFold() {
			k.report(k.Fold(ctx))
		}
	}
}

func (k *Keeper) report(err error) {
	if err != nil {
		k.Log.Emit(eventlog.StoreUnavailable, zap.Error(err))
	}
}

func (k *Keeper) now() time.Time {
	if k.Now != nil {
		return k.Now()
	}
	return time.Now()
}

// Flush writes the counts of the slots that were not moved.
func (k *Keeper) Flush(ctx context.Context) error { return k.write(ctx, false) }

// Finish writes the counts of an instance that counts no more.
func (k *Keeper) Finish(ctx context.Context) error {
	if err := k.Move(ctx); err != nil {
		return err
	}
	return k.write(ctx, true)
}

// writeTries bounds the writes of one call; the first may find its key changed
// by a write whose answer was lost, or by a fold.
const writeTries = 3

func (k *Keeper) write(ctx context.Context, final bool) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	for range writeTries {
		s, err := k.pending()
		if err != nil {
			return err
		}
		s.final = final
		done, err := k.commit(ctx, s, nil, nil)
		if done || err != nil {
			return err
		}
	}
	return &ContendedError{ID: k.ID}
}

// ContendedError says that the counts of an instance changed in the store during each write.
type ContendedError struct {
	ID string
}

// Error returns the instance.
func (e *ContendedError) Error() string { return "the burn counts of " + e.ID + " change too often" }

// pending returns what was counted and not moved; k.mu is held.
func (k *Keeper) pending() (state, error) {
	now := k.now()
	counted := k.Recorder.after(max(k.moved, SlotOf(now)-KeptSlots))
	rest, err := minus(counted, slotsOf(k.folded, func(index int64) bool { return index > k.moved }))
	return state{series: rest, moved: k.moved, at: now}, err
}

// commit writes the own key together with other keys, if nothing has changed
// since it was last read. Otherwise it reads what did; k.mu is held.
func (k *Keeper) commit(ctx context.Context, s state, conditions []store.Condition, ops []store.Op) (bool, error) {
	value, err := s.bounded(maxOwnBytes).encode()
	if err != nil {
		return false, err
	}
	t := store.Txn{
		If: append([]store.Condition{
			{Key: ownPrefix + k.ID, Revision: k.revision},
			{Key: foldedPrefix + k.ID, Revision: k.foldedRevision},
		}, conditions...),
		Then: append([]store.Op{store.Put(ownPrefix+k.ID, value)}, ops...),
	}
	if k.revision == 0 {
		t.Then = append(t.Then, store.Put(startPrefix+k.ID, nil))
	}
	result, err := k.Store.Commit(ctx, t)
	if err != nil {
		return false, err
	}
	if !result.Done {
		return false, k.reread(ctx)
	}
	k.revision = result.Revision
	return true, nil
}

// reread finds out what became of the own key: an earlier write whose answer
// was lost, or a fold by an instance that took this one for gone.
func (k *Keeper) reread(ctx context.Context) error {
	var revision, foldedRevision int64
	own, _, err := k.readState(ctx, ownPrefix+k.ID, &revision)
	if err != nil {
		return err
	}
	folded, found, err := k.readState(ctx, foldedPrefix+k.ID, &foldedRevision)
	if err != nil {
		return err
	}
	k.revision, k.foldedRevision = revision, foldedRevision
	k.moved = max(k.moved, own.moved, folded.moved)
	if found {
		k.folded = folded.series
	}
	return nil
}

// readState reads a key and sets its revision, which is zero if there is none.
func (k *Keeper) readState(ctx context.Context, key string, revision *int64) (state, bool, error) {
	e, found, err := k.Store.Read(ctx, key)
	if err != nil {
		return state{}, false, err
	}
	if !found {
		*revision = 0
		return state{}, false, nil
	}
	s, err := decodeState(e.Value)
	*revision = e.Revision
	return s, true, err
}

// Move moves what was counted in slots that have ended into their keys.
func (k *Keeper) Move(ctx context.Context) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	ended := SlotOf(k.now().Add(-sealAfter)) - 1
	if ended <= k.moved {
		return nil
	}
	k.Recorder.Seal(ended)
	s, err := k.pending()
	if err != nil {
		return err
	}
	for _, index := range indexes(s.series) {
		if index > ended {
			break
		}
		if done, err := k.moveSlot(ctx, s, index); !done || err != nil {
			return err
		}
	}
	k.moved = max(k.moved, ended)
	return nil
}

// moveSlot moves one slot, and reports whether nothing had changed meanwhile; k.mu is held.
func (k *Keeper) moveSlot(ctx context.Context, s state, index int64) (bool, error) {
	slot := slotsOf(s.series, func(n int64) bool { return n == index })
	condition, op, err := k.addToSlot(ctx, index, slot, nil)
	if err != nil {
		return false, err
	}
	s.series = slotsOf(s.series, func(n int64) bool { return n > index })
	s.moved = index
	done, err := k.commit(ctx, s, []store.Condition{condition}, []store.Op{op})
	if done {
		k.moved = index
	}
	return done, err
}

func slotName(index int64) string { return fmt.Sprintf("%s%020d", slotPrefix, index) }

// addToSlot returns what adds counts and gaps to the key of a slot.
func (k *Keeper) addToSlot(ctx context.Context, index int64, counts []packed, gaps []Gap) (store.Condition, store.Op, error) {
	var revision int64
	s, _, err := k.readState(ctx, slotName(index), &revision)
	if err != nil {
		return store.Condition{}, store.Op{}, err
	}
	if s.series, err = plus(s.series, counts); err != nil {
		return store.Condition{}, store.Op{}, err
	}
	s.gaps = append(s.gaps, gaps...)
	value, err := s.encode()
	if err != nil {
		return store.Condition{}, store.Op{}, err
	}
	lease, err := k.Store.GrantLease(ctx, keptFor)
	if err != nil {
		return store.Condition{}, store.Op{}, err
	}
	name := slotName(index)
	return store.Condition{Key: name, Revision: revision}, store.Put(name, value).WithLease(lease), nil
}
