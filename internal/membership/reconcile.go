package membership

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/oriolepond/oriolepond/internal/eventlog"
	"github.com/oriolepond/oriolepond/internal/grant"
	"github.com/oriolepond/oriolepond/internal/store"
)

// reconcile removes members whose registration has ended from the table, and forgets
// departed members that have nothing in flight. The grace period depends on a member's
// position in the table, so that usually only one member writes.
func (k *Keeper) reconcile(ctx context.Context) {
	k.change(false, func(c *Core, now time.Time) { c.Tick(now) })
	next, txn, due := k.reconciledTable()
	if !due || k.leaving.Load() {
		return
	}
	if err := k.commitTable(ctx, next, txn); err != nil && ctx.Err() == nil {
		k.markUnreachable(err)
	}
}

// reconciledTable returns the table that matches the registry, the transaction conditions
// for writing it, and whether it differs from the current one.
func (k *Keeper) reconciledTable() (grant.Table, store.Txn, bool) {
	k.changeMu.Lock()
	defer k.changeMu.Unlock()
	k.mu.Lock()
	defer k.mu.Unlock()
	c := k.coreLocked()
	if k.registry == nil || !c.Reachable() || k.registry.table.Epoch != c.Table().Epoch {
		return grant.Table{}, store.Txn{}, false
	}
	now := time.Now()
	next := c.Table()
	txn := store.Txn{If: []store.Condition{{Key: TableKey, Revision: k.registry.revision}}}
	overdue := k.overdue(now)
	for _, id := range overdue {
		txn.If = append(txn.If, store.Condition{Key: MemberPrefix + id})
	}
	if len(overdue) > 0 {
		next = next.Without(overdue...)
	}
	if forget := c.Forgettable(); len(forget) > 0 {
		next = next.Forget(forget...)
	}
	return next, txn, next.Epoch != c.Table().Epoch
}

// overdue returns the members whose registration has been absent for at least the grace
// period, within which healthy members register again after an outage; k.mu must be held.
func (k *Keeper) overdue(now time.Time) []string {
	if k.absentSince == nil {
		k.absentSince = map[string]time.Time{}
	}
	var overdue []string
	grace := k.grace(now)
	for _, m := range k.registry.table.Members {
		if _, ok := k.registry.peers[m.ID]; ok || m.ID == k.core.Self().ID {
			delete(k.absentSince, m.ID)
			continue
		}
		since, known := k.absentSince[m.ID]
		if !known {
			k.absentSince[m.ID] = now
		} else if now.Sub(since) >= grace {
			overdue = append(overdue, m.ID)
		}
	}
	return overdue
}

// graceDivisor sets the grace period in normal operation, as a fraction of the TTL. A
// member whose lease has expired registers again within that time, provided that the
// store works.
const graceDivisor = 4

// grace returns how long a registration must be absent before this instance removes its
// member from the table; k.mu must be held. Leases of healthy members expire during an
// outage of the store, so the period is longer until the store has been reachable for a
// whole TTL. Each registered member ahead of this one in the table adds another
// reconcileInterval.
func (k *Keeper) grace(now time.Time) time.Duration {
	grace := k.TTL / 2
	if !k.reachableSince.IsZero() && now.Sub(k.reachableSince) >= k.TTL {
		grace = k.TTL / graceDivisor
	}
	for _, m := range k.registry.table.Members {
		if m.ID == k.core.Self().ID {
			break
		}
		if _, ok := k.registry.peers[m.ID]; ok {
			grace += reconcileInterval
		}
	}
	return grace
}

// commitTable writes a table. A lost reply is harmless: the condition on the table's
// revision lets the write take effect at most once, and the registry shows whether it
// did.
func (k *Keeper) commitTable(ctx context.Context, next grant.Table, txn store.Txn) error {
	value, err := grant.Encode(next)
	if err != nil {
		return err
	}
	txn.Then = append(txn.Then, store.Put(TableKey, value))
	result, err := k.Store.Commit(ctx, txn)
	if err != nil {
		return err
	}
	if result.Done {
		k.Log.Emit(eventlog.GrantTableChanged, zap.Int64("epoch", next.Epoch),
			zap.Int("members", len(next.Members)), zap.Int("departed", len(next.Departed)))
	}
	return k.readRegistry(ctx)
}

// Leave hands the instance's allocation over to the other members; requests in flight
// continue.
func (k *Keeper) Leave(ctx context.Context) error {
	k.leaving.Store(true)
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	for {
		if err := k.readRegistry(ctx); err != nil {
			return err
		}
		k.mu.Lock()
		txn := store.Txn{If: []store.Condition{{Key: TableKey, Revision: k.registry.revision}}}
		self, table := k.core.Self().ID, k.registry.table
		k.mu.Unlock()
		if !table.Has(self) {
			return nil
		}
		if err := k.commitTable(ctx, table.Without(self), txn); err != nil {
			return err
		}
	}
}

// deregister ends the registration. The member is also deleted from the table if it has
// nothing in flight.
func (k *Keeper) deregister() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := k.Leave(ctx); err != nil {
		k.Log.Emit(eventlog.StoreUnavailable, zap.Error(err))
		return
	}
	k.Refresh()
	k.mu.Lock()
	txn := store.Txn{If: []store.Condition{{Key: TableKey, Revision: k.registry.revision}}}
	self, table, idle := k.core.Self().ID, k.registry.table, k.core.Idle(time.Now())
	k.mu.Unlock()
	if idle && table.HasDeparted(self) {
		_ = k.commitTable(ctx, table.Forget(self), txn)
	}
	if id := k.Lease(); id != 0 {
		_ = k.Store.RevokeLease(ctx, id)
	}
}
