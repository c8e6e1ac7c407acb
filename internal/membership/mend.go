package membership

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/oriolepond/oriolepond/internal/eventlog"
	"github.com/oriolepond/oriolepond/internal/grant"
	"github.com/oriolepond/oriolepond/internal/store"
)

// mend takes members whose registration is gone out of the table, and forgets
// departed ones that hold nothing. Members take turns by their place in the
// table, so that mostly one of them writes.
func (k *Keeper) mend(ctx context.Context) {
	k.change(false, func(c *Core, now time.Time) { c.Tick(now) })
	next, t, due := k.mended()
	if !due || k.leaving.Load() {
		return
	}
	if err := k.commit(ctx, next, t); err != nil && ctx.Err() == nil {
		k.unreachable(err)
	}
}

// mended returns the table that fits the registry, and the conditions of its write.
func (k *Keeper) mended() (grant.Table, store.Txn, bool) {
	k.turn.Lock()
	defer k.turn.Unlock()
	k.mu.Lock()
	defer k.mu.Unlock()
	c := k.coreLocked()
	if k.registry == nil || !c.Reachable() || k.registry.table.Epoch != c.Table().Epoch {
		return grant.Table{}, store.Txn{}, false
	}
	now := time.Now()
	next := c.Table()
	t := store.Txn{If: []store.Condition{{Key: TableKey, Revision: k.registry.revision}}}
	gone := k.overdue(now)
	for _, id := range gone {
		t.If = append(t.If, store.Condition{Key: MemberPrefix + id})
	}
	if len(gone) > 0 {
		next = next.Without(gone...)
	}
	if forget := c.Forgettable(); len(forget) > 0 {
		next = next.Forget(forget...)
	}
	return next, t, next.Epoch != c.Table().Epoch
}

// overdue returns the members whose registration has been gone for longer than
// the time in which a member comes back after an outage; k.mu is held.
func (k *Keeper) overdue(now time.Time) []string {
	if k.absent == nil {
		k.absent = map[string]time.Time{}
	}
	var overdue []string
	grace := k.grace(now)
	for _, m := range k.registry.table.Members {
		if _, ok := k.registry.peers[m.ID]; ok || m.ID == k.core.Self().ID {
			delete(k.absent, m.ID)
			continue
		}
		since, known := k.absent[m.ID]
		if !known {
			k.absent[m.ID] = now
		} else if now.Sub(since) >= grace {
			overdue = append(overdue, m.ID)
		}
	}
	return overdue
}

// graceDivisor divides the lease into the time in which a member whose
// registration has lapsed registers anew, where the store works.
const graceDivisor = 4

// grace returns how long a registration has to be gone before this instance
// takes its member out of the table; k.mu is held. After an outage, leases
// lapse of members that are well. Members take turns in the table's order.
func (k *Keeper) grace(now time.Time) time.Duration {
	grace := k.TTL / 2
	if !k.reached.IsZero() && now.Sub(k.reached) >= k.TTL {
		grace = k.TTL / graceDivisor
	}
	for _, m := range k.registry.table.Members {
		if m.ID == k.core.Self().ID {
			break
		}
		if _, ok := k.registry.peers[m.ID]; ok {
			grace += mendInterval
		}
	}
	return grace
}

// commit writes a table. A lost answer needs no care: the table's revision
// lets the write take effect at most once, and the registry shows whether it did.
func (k *Keeper) commit(ctx context.Context, next grant.Table, t store.Txn) error {
	value, err := grant.Encode(next)
	if err != nil {
		return err
	}
	t.Then = append(t.Then, store.Put(TableKey, value))
	result, err := k.Store.Commit(ctx, t)
	if err != nil {
		return err
	}
	if result.Done {
		k.Log.Emit(eventlog.GrantTableChanged, zap.Int64("epoch", next.Epoch),
			zap.Int("members", len(next.Members)), zap.Int("departed", len(next.Departed)))
	}
	return k.read(ctx)
}

// Leave hands the instance's part over to the others, while its requests in
// flight go on.
func (k *Keeper) Leave(ctx context.Context) error {
	k.leaving.Store(true)
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	for {
		if err := k.read(ctx); err != nil {
			return err
		}
		k.mu.Lock()
		t := store.Txn{If: []store.Condition{{Key: TableKey, Revision: k.registry.revision}}}
		self, table := k.core.Self().ID, k.registry.table
		k.mu.Unlock()
		if !table.Has(self) {
			return nil
		}
		if err := k.commit(ctx, table.Without(self), t); err != nil {
			return err
		}
	}
}

// withdraw ends the registration; the member is forgotten if it holds nothing.
func (k *Keeper) withdraw() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := k.Leave(ctx); err != nil {
		k.Log.Emit(eventlog.StoreUnavailable, zap.Error(err))
		return
	}
	k.Refresh()
	k.mu.Lock()
	t := store.Txn{If: []store.Condition{{Key: TableKey, Revision: k.registry.revision}}}
	self, table, idle := k.core.Self().ID, k.registry.table, k.core.Idle(time.Now())
	k.mu.Unlock()
	if idle && table.HasDeparted(self) {
		_ = k.commit(ctx, table.Forget(self), t)
	}
	if id := k.Lease(); id != 0 {
		_ = k.Store.RevokeLease(ctx, id)
	}
}
