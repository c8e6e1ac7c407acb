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

// The prefixes of the store keys.
const (
	// Prefix is the prefix of all keys that hold counts: those of instances and those of slots.
	Prefix = "/oriolepond/burn/"
	// instancePrefix is the prefix of the keys with the counts of one instance
	// that were not yet moved to a slot key.
	instancePrefix = Prefix + "instance/"
	// slotPrefix is the prefix of the keys with the counts of all instances in one slot.
	slotPrefix = Prefix + "slot/"
	// startPrefix is the prefix of empty keys, one for each instance that has an instance key. Fold
	// lists the instances by them, without reading their counts.
	startPrefix = "/oriolepond/burnStart/"
	// foldedPrefix is the prefix of the keys with the counts that other instances
	// moved out of an instance's key. The instance subtracts them if it still runs.
	foldedPrefix = "/oriolepond/burnFolded/"
)

const (
	// sealDelay is the time from the end of a slot until the slot accepts no more requests.
	sealDelay = 10 * time.Second
	// slotRetention is how long the store keeps a slot key.
	slotRetention = KeptSlots * SlotLength
	// lastWriteTimeout bounds the writes during a planned stop.
	lastWriteTimeout = 2 * time.Second
	// maxInstanceBytes bounds the value of an instance's key, well below the value
	// limit of the store. Counts that exceed it after a long outage stay in memory
	// until they are moved.
	maxInstanceBytes = 512 << 10
)

// Keeper writes the counts of one instance to the store. The instance's key
// holds its counts in the open slots. Once a slot has ended, one transaction
// adds its counts to the slot's key and removes them from the instance's key.
//
// If an instance terminates without doing so, the keepers of other instances
// fold it: they move the remaining counts for it.
type Keeper struct {
	Recorder *Recorder
	Store    *store.Client
	// ID identifies one start of an instance; a restart gets a new one.
	ID string
	// Interval is the time between two writes of the counts.
	Interval time.Duration
	// Alive reports whether the instance with the given ID may still write its counts.
	// If Alive is nil, no instance is folded.
	Alive func(id string) bool
	// ShouldFold reports whether this instance folds terminated ones; nil means always.
	ShouldFold func() bool
	// Now returns the time; nil means time.Now.
	Now func() time.Time
	Log *eventlog.Log

	mu sync.Mutex
	// revision and foldedRevision are the revisions of the instance's key and of
	// its key under foldedPrefix; zero means that the key does not exist.
	revision       int64
	foldedRevision int64
	// moved is the index of the last slot whose counts were moved to its slot key.
	moved int64
	// folded holds the counts of this instance that other instances moved to slot keys, as last read
	// from the store.
	folded []encodedSeries
}

// Run writes the counts every Interval until the context ends, and then once more as final.
func (k *Keeper) Run(ctx context.Context) error {
	k.logFailure(k.Flush(ctx))
	ticker := time.NewTicker(k.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), lastWriteTimeout)
			defer cancel()
			k.logFailure(k.Finish(stopCtx))
			return nil
		case <-ticker.C:
		}
		k.logFailure(k.Move(ctx))
		k.logFailure(k.Flush(ctx))
		if k.ShouldFold == nil || k.ShouldFold() {
			k.logFailure(k.Fold(ctx))
		}
	}
}

func (k *Keeper) logFailure(err error) {
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

// Flush writes the counts that have not been moved to slot keys to the instance's key.
func (k *Keeper) Flush(ctx context.Context) error { return k.write(ctx, false) }

// Finish moves the counts of the slots that have ended, and writes the remaining
// counts as final. It is called once the instance has stopped counting.
func (k *Keeper) Finish(ctx context.Context) error {
	if err := k.Move(ctx); err != nil {
		return err
	}
	return k.write(ctx, true)
}

// maxWriteAttempts bounds the writes of one call. The first may conflict with an
// earlier write whose response was lost, or with a fold by another instance.
const maxWriteAttempts = 3

func (k *Keeper) write(ctx context.Context, final bool) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	for range maxWriteAttempts {
		s, err := k.unmoved()
		if err != nil {
			return err
		}
		s.final = final
		committed, err := k.commit(ctx, s, nil, nil)
		if committed || err != nil {
			return err
		}
	}
	return &store.ContendedError{Subject: "the burn counts of " + k.ID}
}

// unmoved returns the counts that neither this instance nor another one has
// moved to slot keys. The caller holds k.mu.
func (k *Keeper) unmoved() (state, error) {
	now := k.now()
	counted := k.Recorder.encodedAfter(max(k.moved, SlotOf(now)-KeptSlots))
	unmoved, err := subtractSeries(counted, filterSlots(k.folded, func(index int64) bool { return index > k.moved }))
	return state{series: unmoved, moved: k.moved, at: now}, err
}

// commit writes s to the instance's key in one transaction with ops, and reports
// whether it took effect. If the instance's keys changed since they were last
// read or if conditions fail, it writes nothing and reads the instance's keys
// again. The caller holds k.mu.
func (k *Keeper) commit(ctx context.Context, s state, conditions []store.Condition, ops []store.Op) (bool, error) {
	value, err := s.truncated(maxInstanceBytes).encode()
	if err != nil {
		return false, err
	}
	t := store.Txn{
		If: append([]store.Condition{
			{Key: instancePrefix + k.ID, Revision: k.revision},
			{Key: foldedPrefix + k.ID, Revision: k.foldedRevision},
		}, conditions...),
		Then: append([]store.Op{store.Put(instancePrefix+k.ID, value)}, ops...),
	}
	if k.revision == 0 {
		t.Then = append(t.Then, store.Put(startPrefix+k.ID, nil))
	}
	result, err := k.Store.Commit(ctx, t)
	if err != nil {
		return false, err
	}
	if !result.Done {
		return false, k.syncRevisions(ctx)
	}
	k.revision = result.Revision
	return true, nil
}

// syncRevisions reads the instance's keys again after a conflict. They have changed
// without the keeper's knowledge if the response to an earlier write was lost, or
// if another instance folded this one because it considered it terminated.
func (k *Keeper) syncRevisions(ctx context.Context) error {
	var revision, foldedRevision int64
	stored, _, err := k.readState(ctx, instancePrefix+k.ID, &revision)
	if err != nil {
		return err
	}
	folded, found, err := k.readState(ctx, foldedPrefix+k.ID, &foldedRevision)
	if err != nil {
		return err
	}
	k.revision, k.foldedRevision = revision, foldedRevision
	k.moved = max(k.moved, stored.moved, folded.moved)
	if found {
		k.folded = folded.series
	}
	return nil
}

// readState reads and decodes a key and reports whether it exists. It sets
// revision to that of the key, or to zero if the key does not exist.
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

// Move moves the counts of each slot that has ended from the instance's key to the
// key of that slot. If it conflicts with another write, it stops; the next call continues.
func (k *Keeper) Move(ctx context.Context) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	ended := SlotOf(k.now().Add(-sealDelay)) - 1
	if ended <= k.moved {
		return nil
	}
	k.Recorder.Seal(ended)
	s, err := k.unmoved()
	if err != nil {
		return err
	}
	for _, index := range slotIndexes(s.series) {
		if index > ended {
			break
		}
		if committed, err := k.moveSlot(ctx, s, index); !committed || err != nil {
			return err
		}
	}
	k.moved = max(k.moved, ended)
	return nil
}

// moveSlot moves the counts of one slot of s to the key of that slot. It reports false
// if a key changed concurrently and nothing was written. The caller holds k.mu.
func (k *Keeper) moveSlot(ctx context.Context, s state, index int64) (bool, error) {
	slot := filterSlots(s.series, func(n int64) bool { return n == index })
	condition, op, err := k.slotUpdate(ctx, index, slot, nil)
	if err != nil {
		return false, err
	}
	s.series = filterSlots(s.series, func(n int64) bool { return n > index })
	s.moved = index
	committed, err := k.commit(ctx, s, []store.Condition{condition}, []store.Op{op})
	if committed {
		k.moved = index
	}
	return committed, err
}

// slotStoreKey returns the store key of the slot with an index. The index is padded with zeros, so
// that keys sort by it.
func slotStoreKey(index int64) string { return fmt.Sprintf("%s%020d", slotPrefix, index) }

// slotUpdate returns the condition and the operation for a transaction that adds
// counts and gaps to the key of a slot.
func (k *Keeper) slotUpdate(ctx context.Context, index int64, counts []encodedSeries, gaps []Gap) (store.Condition, store.Op, error) {
	var revision int64
	merged, _, err := k.readState(ctx, slotStoreKey(index), &revision)
	if err != nil {
		return store.Condition{}, store.Op{}, err
	}
	if merged.series, err = addSeries(merged.series, counts); err != nil {
		return store.Condition{}, store.Op{}, err
	}
	merged.gaps = append(merged.gaps, gaps...)
	value, err := merged.encode()
	if err != nil {
		return store.Condition{}, store.Op{}, err
	}
	lease, err := k.Store.GrantLease(ctx, slotRetention)
	if err != nil {
		return store.Condition{}, store.Op{}, err
	}
	key := slotStoreKey(index)
	return store.Condition{Key: key, Revision: revision}, store.Put(key, value).WithLease(lease), nil
}
