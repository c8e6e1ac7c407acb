package burn

import (
	"context"
	"strings"

	"github.com/oriolepond/oriolepond/internal/store"
)

// Fold moves the counts of terminated instances to the slot keys.
func (k *Keeper) Fold(ctx context.Context) error {
	if k.Alive == nil {
		return nil
	}
	starts, err := k.Store.List(ctx, startPrefix)
	if err != nil {
		return err
	}
	for _, e := range starts.Entries {
		id := strings.TrimPrefix(e.Key, startPrefix)
		if id == k.ID || k.Alive(id) {
			continue
		}
		if err := k.foldInstance(ctx, id); err != nil {
			return err
		}
	}
	return nil
}

// foldInstance moves the slots of an instance one by one, until none is left or a
// concurrent write causes a conflict.
func (k *Keeper) foldInstance(ctx context.Context, id string) error {
	for {
		more, err := k.foldSlot(ctx, id)
		if !more || err != nil {
			return err
		}
	}
}

// foldSlot moves the counts of an instance's oldest slot to the key of that slot,
// and reports whether more slots can be moved. With the last slot it deletes the
// instance's key, and records a gap if the instance had not written a final state.
func (k *Keeper) foldSlot(ctx context.Context, id string) (bool, error) {
	f := foldStep{id: id}
	stored, found, err := k.readState(ctx, instancePrefix+id, &f.revision)
	if !found || err != nil {
		return false, err
	}
	if f.foldedBefore, _, err = k.readState(ctx, foldedPrefix+id, &f.foldedBeforeRevision); err != nil {
		return false, err
	}
	index := SlotOf(stored.at)
	if all := slotIndexes(stored.series); len(all) > 0 {
		index = all[0]
	}
	f.slot = filterSlots(stored.series, func(n int64) bool { return n == index })
	f.remaining = stored
	f.remaining.series = filterSlots(stored.series, func(n int64) bool { return n > index })
	last := len(f.remaining.series) == 0
	var gaps []Gap
	if last && !stored.final {
		gaps = []Gap{{Instance: id, Since: stored.at}}
	}
	t, err := k.foldTxn(ctx, f, index, gaps)
	if err != nil {
		return false, err
	}
	result, err := k.Store.Commit(ctx, t)
	return result.Done && !last, err
}

// foldStep is one step of folding an instance.
type foldStep struct {
	id string
	// revision is the revision of the instance's key before the step.
	revision int64
	// remaining is the state that stays in the instance's key.
	remaining state
	// slot holds the counts to move.
	slot []encodedSeries
	// foldedBefore holds the counts that earlier steps moved, as stored under foldedPrefix.
	foldedBefore         state
	foldedBeforeRevision int64
}

// foldTxn returns the transaction of one step. It also records the moved counts
// under foldedPrefix, so that an instance that still runs does not count them again.
func (k *Keeper) foldTxn(ctx context.Context, f foldStep, index int64, gaps []Gap) (store.Txn, error) {
	condition, op, err := k.slotUpdate(ctx, index, f.slot, gaps)
	if err != nil {
		return store.Txn{}, err
	}
	folded := state{moved: max(f.foldedBefore.moved, f.remaining.moved), at: f.remaining.at}
	if folded.series, err = addSeries(f.foldedBefore.series, f.slot); err != nil {
		return store.Txn{}, err
	}
	foldedValue, err := folded.encode()
	if err != nil {
		return store.Txn{}, err
	}
	t := store.Txn{
		If: []store.Condition{
			{Key: instancePrefix + f.id, Revision: f.revision},
			{Key: foldedPrefix + f.id, Revision: f.foldedBeforeRevision},
			condition,
		},
		Then: []store.Op{op, store.Put(foldedPrefix+f.id, foldedValue).WithLease(op.Lease)},
	}
	if len(f.remaining.series) == 0 {
		t.Then = append(t.Then, store.Delete(instancePrefix+f.id), store.Delete(startPrefix+f.id))
		return t, nil
	}
	remainingValue, err := f.remaining.encode()
	t.Then = append(t.Then, store.Put(instancePrefix+f.id, remainingValue))
	return t, err
}
