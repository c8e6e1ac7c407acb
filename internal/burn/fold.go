package burn

import (
	"context"
	"strings"

	"github.com/oriolepond/oriolepond/internal/store"
)

// Fold moves the counts of instances that are gone into the keys of their slots.
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
		if err := k.foldAll(ctx, id); err != nil {
			return err
		}
	}
	return nil
}

// foldAll folds one slot of an instance after the other, until none is left or
// another instance has changed something.
func (k *Keeper) foldAll(ctx context.Context, id string) error {
	for {
		again, err := k.foldSlot(ctx, id)
		if !again || err != nil {
			return err
		}
	}
}

// foldSlot moves the oldest slot of an instance, and reports whether there is more to move.
func (k *Keeper) foldSlot(ctx context.Context, id string) (bool, error) {
	f := fold{id: id}
	own, found, err := k.readState(ctx, ownPrefix+id, &f.revision)
	if !found || err != nil {
		return false, err
	}
	if f.before, _, err = k.readState(ctx, foldedPrefix+id, &f.beforeRevision); err != nil {
		return false, err
	}
	index := SlotOf(own.at)
	if all := indexes(own.series); len(all) > 0 {
		index = all[0]
	}
	f.slot = slotsOf(own.series, func(n int64) bool { return n == index })
	f.rest = own
	f.rest.series = slotsOf(own.series, func(n int64) bool { return n > index })
	last := len(f.rest.series) == 0
	var gaps []Gap
	if last && !own.final {
		gaps = []Gap{{Instance: id, Since: own.at}}
	}
	t, err := k.foldTxn(ctx, f, index, gaps)
	if err != nil {
		return false, err
	}
	result, err := k.Store.Commit(ctx, t)
	return result.Done && !last, err
}

// fold is one step of folding an instance.
type fold struct {
	id string
	// revision is that of the instance's key, and rest what is left in it.
	revision int64
	rest     state
	// slot is what moves, and before what was moved earlier.
	slot           []packed
	before         state
	beforeRevision int64
}

// foldTxn returns the commit of one step. What was moved is noted for the
// instance, in case that it lives.
func (k *Keeper) foldTxn(ctx context.Context, f fold, index int64, gaps []Gap) (store.Txn, error) {
	condition, op, err := k.addToSlot(ctx, index, f.slot, gaps)
	if err != nil {
		return store.Txn{}, err
	}
	folded := state{moved: max(f.before.moved, f.rest.moved), at: f.rest.at}
	if folded.series, err = plus(f.before.series, f.slot); err != nil {
		return store.Txn{}, err
	}
	noted, err := folded.encode()
	if err != nil {
		return store.Txn{}, err
	}
	t := store.Txn{
		If: []store.Condition{
			{Key: ownPrefix + f.id, Revision: f.revision},
			{Key: foldedPrefix + f.id, Revision: f.beforeRevision},
			condition,
		},
		Then: []store.Op{op, store.Put(foldedPrefix+f.id, noted).WithLease(op.Lease)},
	}
	if len(f.rest.series) == 0 {
		t.Then = append(t.Then, store.Delete(ownPrefix+f.id), store.Delete(startPrefix+f.id))
		return t, nil
	}
	rest, err := f.rest.encode()
	t.Then = append(t.Then, store.Put(ownPrefix+f.id, rest))
	return t, err
}
