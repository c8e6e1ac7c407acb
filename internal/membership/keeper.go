// Package membership registers an entry instance in the store, tracks the other
// registered instances, and decides how much of each target the instance may use.
//
// An entry instance accepts requests from callers. The grant table in the store
// lists the entry instances (members) among which the slots of the targets are
// divided; package grant computes each member's allocation. The registration is a
// key under a lease. If the lease expires, the other members remove the member
// from the table and take its allocation over, after they have made sure that it
// uses nothing any more. While the store is down, members keep their allocations
// by promises of their peers, see package lease.
//
// Core makes the decisions and does no I/O. Keeper connects it to the store, the
// clock and the peers.
//
// # Usage
//
//	k := &membership.Keeper{Store: client, Self: self, TTL: 10 * time.Second, Log: log}
//	k.Apply = func() ([]string, bool) { return applyLimits(k) }
//	go k.Run(ctx)
//	n := k.Usable("runner-17", "bajio", 8)
//	err := k.Leave(ctx) // A planned stop: hands its allocation over.
package membership

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oriolepond/oriolepond/internal/eventlog"
	"github.com/oriolepond/oriolepond/internal/grant"
	"github.com/oriolepond/oriolepond/internal/home"
	"github.com/oriolepond/oriolepond/internal/store"
)

// Keeper keeps one instance registered. Its fields must be set before Run.
type Keeper struct {
	Store *store.Client
	// Self describes the instance. Its member name is chosen when it joins the table.
	Self Peer
	TTL  time.Duration
	Log  *eventlog.Log
	// MaxRequestTime returns the longest time that a request other than a stream can be
	// in flight, or zero while that is unknown.
	MaxRequestTime func() time.Duration
	// ListLag bounds how far the platform's instance list lags behind reality.
	ListLag time.Duration
	// Cut ends every request in flight. It is called when the instance has lost its
	// allocation and others may use it soon.
	Cut func()
	// Apply enforces the limits that Usable returns. It returns the targets at which more
	// than Allocation is in flight, and whether anything is in flight. Calls do not
	// overlap.
	Apply func() (over []string, busy bool)
	// Changed is called after each change of the view.
	Changed func(View)
	// AskPromise asks a peer for a promise and returns the name of the member that gave
	// it.
	AskPromise func(ctx context.Context, p Peer, member string) (by string, ok bool)

	// changeMu is held while a change is made and applied. It is locked before mu.
	changeMu sync.Mutex
	// mu guards the fields up to registerMu.
	mu       sync.Mutex
	core     *Core
	registry *registry
	// viewStale is set while the view lacks a change of the registry.
	viewStale bool
	// absentSince is the time since which a member in the table has had no registration,
	// as far as this instance has seen.
	absentSince map[string]time.Time
	// reachableSince is the time since which no call to the store has failed.
	reachableSince time.Time
	entitled       bool
	appliedVersion int
	expiryTimer    *time.Timer
	cutTimer       *time.Timer
	maxRequestTime time.Duration
	lastRecheck    time.Time
	// registerMu is held during a registration or a renewal, so that only one runs at once. It guards
	// unconfirmedLease, the lease of a registration whose outcome is not known.
	registerMu       sync.Mutex
	unconfirmedLease store.LeaseID

	view          atomic.Pointer[View]
	lease         atomic.Int64
	entitledUntil atomic.Int64
	leaving       atomic.Bool
}

// View is a snapshot of what an instance knows about membership.
type View struct {
	// Self is the instance's name in the table, or "".
	Self  string
	Peers []Peer
	Table grant.Table
	// Entitled reports whether the instance may use its allocation.
	Entitled bool
	// Settled reports whether all entries of the region comply with the table.
	Settled bool
}

// Peer returns the peer with an instance id, and whether it is registered.
func (v View) Peer(id string) (Peer, bool) {
	for _, p := range v.Peers {
		if p.ID == id {
			return p, true
		}
	}
	return Peer{}, false
}

// Member returns the peer with a member name, and whether it is registered.
func (v View) Member(name string) (Peer, bool) {
	for _, p := range v.Peers {
		if p.Member == name {
			return p, true
		}
	}
	return Peer{}, false
}

// Joined reports whether the instance is a member in the table.
func (v View) Joined() bool { return v.Self != "" && v.Table.Has(v.Self) }

// View returns the current view.
func (k *Keeper) View() View {
	if v := k.view.Load(); v != nil {
		return *v
	}
	return View{}
}

// Lease returns the store lease of the registration, or zero if there is none.
func (k *Keeper) Lease() store.LeaseID { return store.LeaseID(k.lease.Load()) }

// clockBase is the time from which entitledUntil counts nanoseconds.
var clockBase = time.Now()

// Entitled reports whether the instance may use its allocation at this instant.
func (k *Keeper) Entitled() bool { return int64(time.Since(clockBase)) < k.entitledUntil.Load() }

// Usable returns how many of a target's units this instance may have in use.
func (k *Keeper) Usable(target, region string, units int) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.entitled {
		return 0
	}
	return k.core.Usable(target, region, units)
}

// Allocation returns the instance's allocation of a target's units in the newest table.
func (k *Keeper) Allocation(target, region string, units int) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.entitled {
		return 0
	}
	return k.core.Allocation(target, region, units)
}

// Refresh enforces the current limits again, after targets or requests changed.
func (k *Keeper) Refresh() { k.change(true, func(*Core, time.Time) {}) }

// recheckInterval is the shortest time between two checks of the requests in flight.
const recheckInterval = 50 * time.Millisecond

// RecheckUsage checks the requests in flight if other instances wait for them to end.
func (k *Keeper) RecheckUsage() {
	k.mu.Lock()
	c := k.coreLocked()
	due := (len(c.OverTargets()) > 0 || c.Table().HasDeparted(c.Self().ID)) && time.Since(k.lastRecheck) >= recheckInterval
	if due {
		k.lastRecheck = time.Now()
	}
	k.mu.Unlock()
	if due {
		k.Refresh()
	}
}

// ReceiveStatus applies the status of a peer, and its grant table if it sent one.
func (k *Keeper) ReceiveStatus(s Status, table []byte) error {
	var t grant.Table
	if len(table) > 0 {
		var err error
		if t, err = grant.Decode(table); err != nil {
			return err
		}
	}
	k.change(false, func(c *Core, now time.Time) {
		c.Observe(t, now)
		c.ReceiveStatus(s, now)
		c.Tick(now)
	})
	return nil
}

// Status returns the status that is sent to peers.
func (k *Keeper) Status() Status {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.coreLocked().Status(time.Now())
}

// GrantPromise answers a peer's request for a promise. It returns this instance's member
// name and whether the promise is given.
func (k *Keeper) GrantPromise(member string) (by string, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	c := k.coreLocked()
	return c.Self().ID, c.Promise(member, time.Now())
}

// ObserveList applies the instance ids on the platform's list. The flag changed reports
// whether anything on the list has changed since the last call.
func (k *Keeper) ObserveList(listed map[string]bool, changed bool) {
	k.change(changed, func(c *Core, now time.Time) {
		c.ObserveList(listed, IDOf, now)
		c.Tick(now)
	})
}

// Home returns the home of a key in a region: the member that the key's hash selects, or
// "" if there is none.
func (k *Keeper) Home(key home.Key, region string) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.coreLocked().Table().Owner(key.Name(), region)
}

// Begin decides what to do with a request whose key may have its home at this instance.
func (k *Keeper) Begin(key home.Key) home.Verdict {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.entitled || !k.Entitled() {
		return home.Verdict{Kind: home.NotYet}
	}
	return k.core.Keys.Begin(key, time.Now())
}

// BeginCleared is like Begin, for a key that previous homes have declared unused in reply
// to an inquiry.
func (k *Keeper) BeginCleared(key home.Key, q home.Inquiry) home.Verdict {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.entitled || !k.Entitled() {
		return home.Verdict{Kind: home.NotYet}
	}
	return k.core.Keys.BeginCleared(key, q, time.Now())
}

// State returns the statement of this instance, as a previous home, about a key.
func (k *Keeper) State(key home.Key) home.Statement {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.coreLocked().Keys.State(key, time.Now())
}

// Undo forgets a key that was begun, after its request turned out not to have run. The key
// may then be begun again.
func (k *Keeper) Undo(key home.Key) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.coreLocked().Keys.Undo(key)
}

// coreLocked returns the core; k.mu must be held.
func (k *Keeper) coreLocked() *Core {
	if k.core == nil {
		k.core = NewCore(k.newMember(), DefaultMaxRequestTime, k.ListLag)
	}
	return k.core
}

// change updates the core, applies the new limits if they changed or if alwaysApply is
// set, and publishes the view.
func (k *Keeper) change(alwaysApply bool, update func(c *Core, now time.Time)) {
	k.changeMu.Lock()
	defer k.changeMu.Unlock()
	k.mu.Lock()
	now := time.Now()
	c := k.coreLocked()
	c.MaxRequestTime = k.maxRequestTimeLocked()
	update(c, now)
	entitled := c.Entitled(now) && !k.leftLocked()
	due := alwaysApply || entitled != k.entitled || c.Version() != k.appliedVersion || len(c.OverTargets()) > 0
	k.logEntitlement(entitled)
	k.entitled, k.appliedVersion = entitled, c.Version()
	k.scheduleExpiry(c, now)
	k.mu.Unlock()
	if due {
		k.apply()
	}
	k.publish()
}

// maxRequestTimeLocked returns the longest request time that any configuration seen so
// far allows; k.mu must be held.
func (k *Keeper) maxRequestTimeLocked() time.Duration {
	if k.MaxRequestTime != nil {
		k.maxRequestTime = max(k.maxRequestTime, k.MaxRequestTime())
	}
	if k.maxRequestTime == 0 {
		return DefaultMaxRequestTime
	}
	return k.maxRequestTime
}

// logEntitlement logs that the allocation was lost or regained; k.mu must be held.
func (k *Keeper) logEntitlement(entitled bool) {
	switch {
	case entitled && !k.entitled:
		k.Log.Emit(eventlog.AllocationRegained)
	case !entitled && k.entitled && !k.leaving.Load():
		k.Log.Emit(eventlog.AllocationLost)
	}
}

// leftLocked reports whether the instance is not in the table; k.mu must be held.
func (k *Keeper) leftLocked() bool { return !k.core.Table().Has(k.core.Self().ID) }

// apply enforces the current limits and records the instance's own usage; k.changeMu must
// be held.
func (k *Keeper) apply() {
	var over []string
	busy := false
	if k.Apply != nil {
		over, busy = k.Apply()
	}
	k.mu.Lock()
	k.core.SetOwnUsage(over, busy, time.Now())
	again := k.core.Version() != k.appliedVersion
	k.appliedVersion = k.core.Version()
	k.mu.Unlock()
	if again && k.Apply != nil {
		k.Apply()
	}
}

// scheduleExpiry records until when the allocation may be used, and sets the timers that
// enforce its expiry and that cut the requests in flight; k.mu must be held.
func (k *Keeper) scheduleExpiry(c *Core, now time.Time) {
	until, unbounded := c.EntitledUntil()
	if unbounded {
		until = now.Add(k.TTL)
	}
	k.entitledUntil.Store(int64(until.Sub(clockBase)))
	if k.expiryTimer != nil {
		k.expiryTimer.Stop()
	}
	if wait := until.Sub(now); wait > 0 {
		k.expiryTimer = time.AfterFunc(wait, k.Refresh)
	}
	if k.cutTimer != nil {
		k.cutTimer.Stop()
	}
	if wait := c.CutDeadline(now).Sub(now); wait > 0 && k.Cut != nil {
		k.cutTimer = time.AfterFunc(wait, k.cutRequests)
	}
}

// cutRequests ends all requests in flight, unless the deadline has moved since the timer
// was set because the allocation was regained.
func (k *Keeper) cutRequests() {
	k.mu.Lock()
	now := time.Now()
	due := !now.Before(k.core.CutDeadline(now))
	k.mu.Unlock()
	if due {
		k.Log.Emit(eventlog.StreamsEnded)
		k.Cut()
	}
}

// publish replaces the published view if it has changed; k.changeMu must be held.
func (k *Keeper) publish() {
	k.mu.Lock()
	v := View{Table: k.core.Table(), Self: k.core.Self().ID, Entitled: k.entitled, Settled: k.core.Settled()}
	published := k.view.Load()
	if published != nil && !k.viewStale && published.Self == v.Self && published.Table.Epoch == v.Table.Epoch &&
		published.Entitled == v.Entitled && published.Settled == v.Settled {
		k.mu.Unlock()
		return
	}
	k.viewStale = false
	if k.registry != nil {
		for _, p := range k.registry.peers {
			v.Peers = append(v.Peers, p)
		}
	}
	k.mu.Unlock()
	k.view.Store(&v)
	if k.Changed != nil {
		k.Changed(v)
	}
}
