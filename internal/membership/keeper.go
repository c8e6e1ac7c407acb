// Package membership keeps an entry instance registered in the store under a
// lease, knows its peers, keeps the grant table in step with them, and decides
// what the instance may use of each target.
//
// Core is the pure decision; Keeper is the shell around it.
//
// # Usage
//
//	k := &membership.Keeper{Store: client, Self: self, TTL: 10 * time.Second, Log: log}
//	k.Apply = func() ([]string, bool) { return applyLimits(k) }
//	go k.Run(ctx)
//	n := k.Usable("runner-17", "bajio", 8)
//	err := k.Leave(ctx) // A planned stop: hands its part over.
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

// Keeper keeps one instance registered. Its fields are set before Run.
type Keeper struct {
	Store *store.Client
	// Self is the instance; its member name is chosen at each registration.
	Self Peer
	TTL  time.Duration
	Log  *eventlog.Log
	// MaxRequestTime returns the longest time that a request other than a stream can
	// be in flight, or zero while that is not known.
	MaxRequestTime func() time.Duration
	// ListLag is how far the platform's list may lag.
	ListLag time.Duration
	// Cut ends every request in flight; it is called when a part that was lost
	// may soon be used by others.
	Cut func()
	// Apply brings what is in use in step with Usable, and returns the targets
	// at which more than Part is in flight, and whether anything is. It is
	// called once at a time.
	Apply func() (over []string, busy bool)
	// Changed is called after each change of the view.
	Changed func(View)
	// AskPromise asks a peer for a promise and returns the member name that gave it.
	AskPromise func(ctx context.Context, p Peer, member string) (by string, ok bool)

	// turn is held through a change and its application.
	turn sync.Mutex
	// mu guards what follows.
	mu       sync.Mutex
	core     *Core
	registry *registry
	// stale is set while the view lacks a change of the registry.
	stale  bool
	absent map[string]time.Time
	// reached is since when the store has been reached without a failed call.
	reached time.Time
	held    bool
	applied int
	wake    *time.Timer
	cut     *time.Timer
	longest time.Duration
	pulsed  time.Time
	// entering is held through a registration or a renewal.
	entering sync.Mutex

	view    atomic.Pointer[View]
	lease   atomic.Int64
	until   atomic.Int64
	leaving atomic.Bool
}

// View is what an instance knows of membership.
type View struct {
	// Self is the instance's name in the table, or "".
	Self  string
	Peers []Peer
	Table grant.Table
	// Entitled reports whether the instance may use its part.
	Entitled bool
	// Settled reports whether all members of the region keep to the table.
	Settled bool
}

// Peer returns the peer of that instance id, and whether it is registered.
func (v View) Peer(id string) (Peer, bool) {
	for _, p := range v.Peers {
		if p.ID == id {
			return p, true
		}
	}
	return Peer{}, false
}

// Member returns the peer of that member name, and whether it is registered.
func (v View) Member(name string) (Peer, bool) {
	for _, p := range v.Peers {
		if p.Member == name {
			return p, true
		}
	}
	return Peer{}, false
}

// Joined reports whether the instance is a member of the table.
func (v View) Joined() bool { return v.Self != "" && v.Table.Has(v.Self) }

// View returns what is known now.
func (k *Keeper) View() View {
	if v := k.view.Load(); v != nil {
		return *v
	}
	return View{}
}

// Lease returns the store lease of the registration, or zero.
func (k *Keeper) Lease() store.LeaseID { return store.LeaseID(k.lease.Load()) }

// begun is the instant that Until and Held count from.
var begun = time.Now()

// Entitled reports whether the instance may use its part at this instant.
func (k *Keeper) Entitled() bool { return int64(time.Since(begun)) < k.until.Load() }

// Usable returns how many of a target's units may be in use here.
func (k *Keeper) Usable(target, region string, units int) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.held {
		return 0
	}
	return k.core.Usable(target, region, units)
}

// Allocation returns the instance's part of a target in the newest table.
func (k *Keeper) Allocation(target, region string, units int) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.held {
		return 0
	}
	return k.core.Part(target, region, units)
}

// Refresh applies what may be used once more, after targets or requests changed.
func (k *Keeper) Refresh() { k.change(true, func(*Core, time.Time) {}) }

// pulseInterval is the shortest time between two looks at requests in flight.
const pulseInterval = 50 * time.Millisecond

// RecheckUsage looks at the requests in flight if others wait for them to end.
func (k *Keeper) RecheckUsage() {
	k.mu.Lock()
	c := k.coreLocked()
	due := (len(c.Over()) > 0 || c.Table().HasDeparted(c.Self().ID)) && time.Since(k.pulsed) >= pulseInterval
	if due {
		k.pulsed = time.Now()
	}
	k.mu.Unlock()
	if due {
		k.Refresh()
	}
}

// ReceiveStatus takes the status of a peer, with its grant table if it sent one.
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
		c.Hear(s, now)
		c.Tick(now)
	})
	return nil
}

// Status returns what is told to peers.
func (k *Keeper) Status() Status {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.coreLocked().Status(time.Now())
}

// GrantPromise answers a peer's request for a promise, with this instance's member name.
func (k *Keeper) GrantPromise(member string) (by string, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	c := k.coreLocked()
	return c.Self().ID, c.Promise(member, time.Now())
}

// ObserveList takes the ids on the platform's list, and whether anything on the list
// has changed since the last call.
func (k *Keeper) ObserveList(listed map[string]bool, changed bool) {
	k.change(changed, func(c *Core, now time.Time) {
		c.List(listed, IDOf, now)
		c.Tick(now)
	})
}

// Home returns the member that is the home of a key in a region, or "".
func (k *Keeper) Home(key home.Key, region string) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.coreLocked().Table().Owner(key.Name(), region)
}

// Begin decides what is to be done with a key whose home this instance may be.
func (k *Keeper) Begin(key home.Key) home.Verdict {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.held || !k.Entitled() {
		return home.Verdict{Kind: home.NotYet}
	}
	return k.core.Keys.Begin(key, time.Now())
}

// BeginCleared is Begin for a key that an inquiry has cleared.
func (k *Keeper) BeginCleared(key home.Key, q home.Inquiry) home.Verdict {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.held || !k.Entitled() {
		return home.Verdict{Kind: home.NotYet}
	}
	return k.core.Keys.BeginCleared(key, q, time.Now())
}

// State says what this instance knows of a key whose home it was.
func (k *Keeper) State(key home.Key) home.Statement {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.coreLocked().Keys.State(key, time.Now())
}

// Undo frees a key that was begun and whose request was not run.
func (k *Keeper) Undo(key home.Key) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.coreLocked().Keys.Undo(key)
}

// coreLocked returns the core; k.mu is held.
func (k *Keeper) coreLocked() *Core {
	if k.core == nil {
		k.core = NewCore(k.newMember(), DefaultLongest, k.ListLag)
	}
	return k.core
}

// change makes a change of the core and applies it.
func (k *Keeper) change(always bool, f func(c *Core, now time.Time)) {
	k.turn.Lock()
	defer k.turn.Unlock()
	k.mu.Lock()
	now := time.Now()
	c := k.coreLocked()
	c.Longest = k.longestLocked()
	f(c, now)
	held := c.Held(now) && !k.leftLocked()
	due := always || held != k.held || c.Version() != k.applied || len(c.Over()) > 0
	k.note(held)
	k.held, k.applied = held, c.Version()
	k.guard(c, now)
	k.mu.Unlock()
	if due {
		k.apply()
	}
	k.publish()
}

// longestLocked returns the longest time in flight that any configuration
// known so far allows; k.mu is held.
func (k *Keeper) longestLocked() time.Duration {
	if k.MaxRequestTime != nil {
		k.longest = max(k.longest, k.MaxRequestTime())
	}
	if k.longest == 0 {
		return DefaultLongest
	}
	return k.longest
}

// note logs that the part was lost or regained; k.mu is held.
func (k *Keeper) note(held bool) {
	switch {
	case held && !k.held:
		k.Log.Emit(eventlog.AllocationRegained)
	case !held && k.held && !k.leaving.Load():
		k.Log.Emit(eventlog.AllocationLost)
	}
}

// leftLocked reports whether the instance has left the table; k.mu is held.
func (k *Keeper) leftLocked() bool { return !k.core.Table().Has(k.core.Self().ID) }

// apply applies what may be used and takes the own use; k.turn is held.
func (k *Keeper) apply() {
	var over []string
	busy := false
	if k.Apply != nil {
		over, busy = k.Apply()
	}
	k.mu.Lock()
	k.core.Own(over, busy, time.Now())
	again := k.core.Version() != k.applied
	k.applied = k.core.Version()
	k.mu.Unlock()
	if again && k.Apply != nil {
		k.Apply()
	}
}

// guard notes until when the part may be used, and wakes the keeper then; k.mu is held.
func (k *Keeper) guard(c *Core, now time.Time) {
	until, unbounded := c.Until()
	if unbounded {
		until = now.Add(k.TTL)
	}
	k.until.Store(int64(until.Sub(begun)))
	if k.wake != nil {
		k.wake.Stop()
	}
	if wait := until.Sub(now); wait > 0 {
		k.wake = time.AfterFunc(wait, k.Refresh)
	}
	if k.cut != nil {
		k.cut.Stop()
	}
	if wait := c.CutAt(now).Sub(now); wait > 0 && k.Cut != nil {
		k.cut = time.AfterFunc(wait, k.cutOff)
	}
}

// cutOff ends what is in flight if the part was not regained.
func (k *Keeper) cutOff() {
	k.mu.Lock()
	now := time.Now()
	due := !now.Before(k.core.CutAt(now))
	k.mu.Unlock()
	if due {
		k.Log.Emit(eventlog.StreamsEnded)
		k.Cut()
	}
}

// publish makes the view known if it changed; k.turn is held.
func (k *Keeper) publish() {
	k.mu.Lock()
	v := View{Table: k.core.Table(), Self: k.core.Self().ID, Entitled: k.held, Settled: k.core.Settled()}
	before := k.view.Load()
	if before != nil && !k.stale && before.Self == v.Self && before.Table.Epoch == v.Table.Epoch &&
		before.Entitled == v.Entitled && before.Settled == v.Settled {
		k.mu.Unlock()
		return
	}
	k.stale = false
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
