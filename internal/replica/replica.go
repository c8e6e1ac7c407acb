// Package replica keeps a node's replica of one document of the store up to
// date: the operator's configuration, which may be large and which every node
// needs.
//
// Every node polls the store for changes. A small version comes with the poll. Of
// a large one, only the nodes that lead read the original; they publish a
// compressed copy in the store, and the others take that. A node that waits for a
// copy in vain reads the original itself.
//
// # Usage
//
//	d := &replica.Document{Client: client, Prefix: prefix, Key: key, CopyKey: desk.ConfigCopyKey,
//		Within: bound, Leads: plane.Leads, Distance: plane.Distance, Take: apply, Log: log}
//	plane.Copies = d.NoteCopies
//	go d.Run(ctx)
//	if d.Standing() == replica.Current {
//		// What the document does not name does not exist.
//	}
package replica

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/oklog/run"
	"go.uber.org/zap"

	"github.com/oriolepond/oriolepond/internal/actor"
	"github.com/oriolepond/oriolepond/internal/eventlog"
	"github.com/oriolepond/oriolepond/internal/monotonic"
	"github.com/oriolepond/oriolepond/internal/store"
)

// Source is where a version came from.
type Source string

// The sources of versions.
const (
	FromStore Source = "store"
	FromCopy  Source = "copy"
)

// Freshness is what a node knows of its version of a document.
type Freshness string

const (
	// Current means that it was the newest one a short time ago.
	Current Freshness = "current"
	// Uncertain means that there may be, or is, a newer one.
	Uncertain Freshness = "uncertain"
	// Outdated means that a newer one should have been in force by now.
	Outdated Freshness = "outdated"
)

// Document is one key of the store as a node knows it. Its fields are set before Run.
type Document struct {
	Client *store.Client
	// Prefix is what the node polls, Key the document, CopyKey where its copy stands.
	Prefix  string
	Key     string
	CopyKey string
	// ApplyWithin is the time in which a new version has to be in force.
	ApplyWithin time.Duration
	// IsLeader reports whether the node is one of the few that read large versions
	// for all, Distance how far the store is.
	IsLeader func() bool
	StoreRTT func() time.Duration
	// Apply is given each version that is newer than those before.
	Apply func(value []byte, revision int64, from Source)
	Log   *eventlog.Log
	// Now is the steady time; nil means that of the machine.
	Now func() time.Time

	// taking is held while a version is taken, so that they are taken in their order.
	taking sync.Mutex

	mu sync.Mutex
	// changed is closed when anything below changes.
	changed chan struct{}
	// revision is that of the newest version which was taken, next the first one
	// that the node has not asked for; zero means that it has to read the document.
	revision int64
	next     int64
	// heard is when the store last told all that there is, behind when it told of a
	// version that the node does not have; zero if it has told of none since.
	heard  time.Time
	behind time.Time
	// floor is the lowest revision of which a copy may be put in force, zero while
	// a copy may be older than what was in force before the node started.
	floor int64
	// listed means that the keys beside the copy were read once; newest is the copy.
	listed bool
	newest stored
	// original is the last large version that the node read from the store.
	original version
}

// version is the document at one of its revisions.
type version struct {
	revision int64
	value    []byte
}

const (
	// largeValue is the size from which a version is published as a copy.
	largeValue = 32 << 10
	// longestPoll bounds how long the store keeps a poll without a change: long waits
	// cost fewer calls, short ones find a silent connection sooner.
	longestPoll = 2 * time.Second
	// pollPart is the part of Within that a poll may take, so that a node at rest
	// always knows that it is current.
	pollPart = 2. / 3
	// confirmWait is how long a poll takes that only asks whether there is more.
	confirmWait = time.Millisecond
	// followerBytes bounds what a node reads of a poll that does not lead: a
	// version below largeValue, which the store encodes in four bytes for three.
	followerBytes = 48 << 10
	// leaderBytes bounds it for a node that leads: one version of the greatest
	// size, a megabyte. Of several, the document is read.
	leaderBytes = 1536 << 10
	// gather spaces large versions that come in quick succession: short enough for
	// the last one to be in force within 2.5 s.
	gather = 500 * time.Millisecond
	// startWait bounds the wait for the copy when a node starts.
	startWait = time.Second
	// confirmTimeout bounds the question whether a copy is the newest version; a
	// slow store answers within 300 ms.
	confirmTimeout = 700 * time.Millisecond
	// firstPause and longestPause bound the wait after a failure: short enough for
	// a configuration to be in force seconds after an outage.
	firstPause   = 50 * time.Millisecond
	longestPause = 500 * time.Millisecond
)

// Run keeps the document up to date until the context ends.
func (d *Document) Run(ctx context.Context) error {
	var g run.Group
	actor.Loop(ctx, &g, d.follow)
	actor.Loop(ctx, &g, d.adopt)
	actor.Loop(ctx, &g, d.publish)
	return g.Run()
}

// Freshness returns what the node knows of its version.
func (d *Document) Freshness() Freshness {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	switch {
	case d.heard.IsZero():
		return Uncertain
	case !d.behind.IsZero() && now.Sub(d.behind) >= d.ApplyWithin:
		return Outdated
	case !d.behind.IsZero() || now.Sub(d.heard) >= d.ApplyWithin:
		return Uncertain
	}
	return Current
}

// Age returns how long ago the node last knew that it had the newest version,
// zero before it ever did.
func (d *Document) Age() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.heard.IsZero() {
		return 0
	}
	return d.now().Sub(d.heard)
}

// follow polls the store for changes.
func (d *Document) follow(ctx context.Context) error {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval, wait.MaxInterval = firstPause, longestPause
	failed := false
	d.start(ctx)
	for ctx.Err() == nil {
		err := d.step(ctx)
		var (
			compacted *store.CompactedError
			large     *store.ResponseTooLargeError
		)
		switch {
		case ctx.Err() != nil:
			return nil
		case err == nil:
			wait.Reset()
			if failed {
				d.Log.Emit(eventlog.StoreRecovered, zap.String("use", "configuration"))
			}
			failed = false
		case errors.As(err, &large):
			wait.Reset()
			d.catchUp(ctx)
		case errors.As(err, &compacted):
			d.set(func() { d.next = 0 })
		default:
			failed = true
			d.Log.Emit(eventlog.StoreUnavailable, zap.String("use", "configuration"), zap.Error(err))
			sleep(ctx, wait.NextBackOff())
		}
	}
	return nil
}

// step reads the document, or polls once for a change.
func (d *Document) step(ctx context.Context) error {
	d.mu.Lock()
	next, poll := d.next, store.PollRequest{Prefix: d.Prefix, From: d.next, Wait: d.pollWait(), MaxBytes: followerBytes}
	if !d.behind.IsZero() || d.heard.IsZero() {
		poll.Wait = confirmWait
	}
	d.mu.Unlock()
	if next == 0 {
		return d.read(ctx)
	}
	if d.IsLeader() {
		poll.MaxBytes = leaderBytes
	}
	u, err := d.Client.Poll(ctx, poll)
	if err != nil {
		return err
	}
	var last store.Entry
	for _, c := range u.Changes {
		if c.Entry.Key == d.Key && !c.Deleted {
			last = c.Entry
		}
	}
	d.take(version{revision: last.Revision, value: last.Value}, FromStore, u.Revision)
	if len(last.Value) >= largeValue {
		sleep(ctx, gather)
	}
	return nil
}

// pollWait is how long the store keeps a poll without a change.
func (d *Document) pollWait() time.Duration {
	return min(longestPoll, time.Duration(pollPart*float64(d.ApplyWithin)))
}

// read takes the document as it is in the store.
func (d *Document) read(ctx context.Context) error {
	s, err := d.Client.List(ctx, d.Prefix)
	if err != nil {
		return err
	}
	var v version
	for _, e := range s.Entries {
		if e.Key == d.Key {
			v = version{revision: e.Revision, value: e.Value}
		}
	}
	d.take(v, FromStore, s.Revision)
	return nil
}

// catchUp waits until there is a copy of the version that was too large to
// read, and else has the document read.
func (d *Document) catchUp(ctx context.Context) {
	began := d.now()
	d.mu.Lock()
	missing := d.next
	if d.behind.IsZero() {
		d.behind = began
	}
	d.floor = max(d.floor, missing)
	d.wake()
	d.mu.Unlock()
	wait := time.Duration(0)
	if !d.IsLeader() {
		wait = copyWait(d.StoreRTT())
	}
	d.Log.Emit(eventlog.ConfigAwaited, zap.Int64("after", missing-1), zap.Duration("patience", wait))
	if wait > 0 && d.await(ctx, wait, func() bool { return d.revision >= missing }) {
		d.set(func() { d.next = max(d.next, d.revision+1) })
		return
	}
	if wait > 0 {
		d.Log.Emit(eventlog.ConfigCopyMissing, zap.Int64("after", missing-1), zap.Duration("age", d.now().Sub(began)))
	}
	d.set(func() { d.next = 0 })
}

// take puts a version in force if it is newer than those before; upTo is the
// revision up to which the store has told all that there is, or zero if it has not.
func (d *Document) take(v version, from Source, upTo int64) {
	d.taking.Lock()
	defer d.taking.Unlock()
	d.mu.Lock()
	newer := v.revision > d.revision
	d.mu.Unlock()
	if newer {
		d.Apply(v.value, v.revision, from)
	}
	d.set(func() {
		d.revision = max(d.revision, v.revision)
		if newer && from == FromStore && len(v.value) >= largeValue {
			d.original = v
		}
		if upTo > 0 {
			d.heard, d.behind = d.now(), time.Time{}
			d.floor, d.next = max(d.floor, 1), max(d.next, upTo+1)
		}
	})
}

// set changes the state and wakes those that wait for it.
func (d *Document) set(change func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change()
	d.wake()
}

// wake tells those that wait of a change; d.mu is held.
func (d *Document) wake() {
	if d.changed != nil {
		close(d.changed)
		d.changed = nil
	}
}

// await waits until a condition on the state holds, at most for a time, and
// reports whether it does.
func (d *Document) await(ctx context.Context, most time.Duration, holds func() bool) bool {
	timeout := time.NewTimer(most)
	defer timeout.Stop()
	for {
		d.mu.Lock()
		done := holds()
		if d.changed == nil {
			d.changed = make(chan struct{})
		}
		changed := d.changed
		d.mu.Unlock()
		if done {
			return true
		}
		select {
		case <-changed:
		case <-timeout.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

func (d *Document) now() time.Time {
	if d.Now == nil {
		return monotonic.Now()
	}
	return d.Now()
}

// sleep waits for a time, or until the context ends.
func sleep(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}
