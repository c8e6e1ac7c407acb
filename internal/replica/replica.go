// Package replica keeps a node's replica of one document of the store up to
// date: the operator's configuration, which may be large and which every node
// needs.
//
// Every node polls the store for changes. A small version arrives with the poll.
// A large version is read only by the nodes that lead a cell (package scheduler);
// they publish a compressed copy in the store, which the other nodes apply. A
// node that gets no copy in time reads the original itself.
//
// # Usage
//
//	d := &replica.Document{Client: client, Prefix: prefix, Key: key, CopyKey: scheduler.ConfigCopyKey,
//		ApplyWithin: bound, IsLeader: s.IsLeader, StoreRTT: s.StoreRTT, Apply: apply, Log: log}
//	s.OnConfigCopies = d.ReceiveCopies
//	go d.Run(ctx)
//	if d.Freshness() == replica.Current {
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

// Source is where a version was read from: the document itself or a copy.
type Source string

// The sources of versions.
const (
	FromStore Source = "store"
	FromCopy  Source = "copy"
)

// Freshness is whether a node's version of a document is the newest one.
type Freshness string

const (
	// Current means that the store confirmed the version as the newest less than ApplyWithin ago.
	Current Freshness = "current"
	// Uncertain means that there may be, or is, a newer version.
	Uncertain Freshness = "uncertain"
	// Outdated means that the node has lacked a newer version for ApplyWithin or longer.
	Outdated Freshness = "outdated"
)

// Document is a node's replica of one key of the store. Its fields are set before Run.
type Document struct {
	Client *store.Client
	// Prefix is the polled prefix, Key the document's key, CopyKey the key of its copy.
	Prefix  string
	Key     string
	CopyKey string
	// ApplyWithin is the time within which a new version has to be in force.
	ApplyWithin time.Duration
	// IsLeader reports whether the node is one of the few that read large versions
	// for all; StoreRTT returns the round-trip time to the store.
	IsLeader func() bool
	StoreRTT func() time.Duration
	// Apply is called with each version that is newer than all before it.
	Apply func(value []byte, revision int64, from Source)
	Log   *eventlog.Log
	// Now returns the monotonic time; nil means the machine's clock.
	Now func() time.Time

	// applyMu serialises calls of Apply, so that versions are applied in order.
	applyMu sync.Mutex

	mu sync.Mutex
	// changed is closed when any field below changes.
	changed chan struct{}
	// appliedRevision is the revision of the newest applied version; nextRevision is the
	// first revision not yet polled for, zero if the document has to be read.
	appliedRevision int64
	nextRevision    int64
	// confirmedAt is when the store last confirmed that the node has seen every version;
	// behindSince is when the node learned of a version it lacks, zero if it knows of none.
	confirmedAt time.Time
	behindSince time.Time
	// minCopyRevision is the lowest revision that may be applied from a copy. Zero means that no
	// copy may be applied yet, since it could be older than the version in force before the node
	// started.
	minCopyRevision int64
	// keysListed is set once the watched keys, the copy among them, have been listed;
	// newestCopy is the newest copy seen.
	keysListed bool
	newestCopy storedCopy
	// lastLarge is the last large version that the node read from the store.
	lastLarge version
}

// version is the document at one of its revisions.
type version struct {
	revision int64
	value    []byte
}

const (
	// largeDocumentBytes is the minimum size of a large version, of which a copy is published.
	largeDocumentBytes = 32 << 10
	// maxPollWait bounds how long the store keeps a poll open without a change: long waits
	// cost fewer calls, short ones detect an unresponsive connection sooner.
	maxPollWait = 2 * time.Second
	// pollWaitFraction bounds the wait of a poll as a fraction of ApplyWithin: while nothing
	// changes, each poll has to confirm the version before it counts as uncertain.
	pollWaitFraction = 2. / 3
	// confirmWait is the wait of a poll that only checks whether there are more changes.
	confirmWait = time.Millisecond
	// followerPollBytes bounds the poll response of a node that isn't a leader: a version
	// below largeDocumentBytes, which base64 encodes in four bytes for every three.
	followerPollBytes = 48 << 10
	// leaderPollBytes bounds the poll response of a leader: one version of the maximum
	// size, a megabyte. If there are several, the document is read instead.
	leaderPollBytes = 1536 << 10
	// largeVersionSpacing is the pause after a large version, which limits the traffic of versions in
	// quick succession; it is short enough for the last one to be in force within 2.5 s.
	largeVersionSpacing = 500 * time.Millisecond
	// startCopyWait bounds the wait for the copy when a node starts.
	startCopyWait = time.Second
	// confirmTimeout bounds the check whether a copy is the newest version; a
	// slow store answers within 300 ms.
	confirmTimeout = 700 * time.Millisecond
	// minRetryInterval and maxRetryInterval bound the backoff after a failure: short enough
	// for a configuration to be in force within seconds of an outage's end.
	minRetryInterval = 50 * time.Millisecond
	maxRetryInterval = 500 * time.Millisecond
)

// Run keeps the document up to date until the context ends.
func (d *Document) Run(ctx context.Context) error {
	var g run.Group
	actor.Loop(ctx, &g, d.follow)
	actor.Loop(ctx, &g, d.applyCopies)
	actor.Loop(ctx, &g, d.publishCopies)
	return g.Run()
}

// Freshness returns how up to date the node's version is known to be.
func (d *Document) Freshness() Freshness {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	switch {
	case d.confirmedAt.IsZero():
		return Uncertain
	case !d.behindSince.IsZero() && now.Sub(d.behindSince) >= d.ApplyWithin:
		return Outdated
	case !d.behindSince.IsZero() || now.Sub(d.confirmedAt) >= d.ApplyWithin:
		return Uncertain
	}
	return Current
}

// Age returns how long ago the node last knew that it had the newest version,
// or zero if it never did.
func (d *Document) Age() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.confirmedAt.IsZero() {
		return 0
	}
	return d.now().Sub(d.confirmedAt)
}

// follow polls the store for changes and reads the document when a poll can't deliver them.
func (d *Document) follow(ctx context.Context) error {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval = minRetryInterval, maxRetryInterval
	failed := false
	d.applyCopyAtStart(ctx)
	for ctx.Err() == nil {
		err := d.poll(ctx)
		var (
			compacted *store.CompactedError
			large     *store.ResponseTooLargeError
		)
		switch {
		case ctx.Err() != nil:
			return nil
		case err == nil:
			retry.Reset()
			if failed {
				d.Log.Emit(eventlog.StoreRecovered, zap.String("use", "configuration"))
			}
			failed = false
		case errors.As(err, &large):
			retry.Reset()
			d.awaitLargeVersion(ctx)
		case errors.As(err, &compacted):
			d.update(func() { d.nextRevision = 0 })
		default:
			failed = true
			d.Log.Emit(eventlog.StoreUnavailable, zap.String("use", "configuration"), zap.Error(err))
			sleep(ctx, retry.NextBackOff())
		}
	}
	return nil
}

// poll reads the document if that is due, and otherwise polls once for changes.
func (d *Document) poll(ctx context.Context) error {
	d.mu.Lock()
	nextRevision, request := d.nextRevision, store.PollRequest{Prefix: d.Prefix, From: d.nextRevision, Wait: d.pollWait(), MaxBytes: followerPollBytes}
	if !d.behindSince.IsZero() || d.confirmedAt.IsZero() {
		request.Wait = confirmWait
	}
	d.mu.Unlock()
	if nextRevision == 0 {
		return d.readDocument(ctx)
	}
	if d.IsLeader() {
		request.MaxBytes = leaderPollBytes
	}
	u, err := d.Client.Poll(ctx, request)
	if err != nil {
		return err
	}
	var last store.Entry
	for _, c := range u.Changes {
		if c.Entry.Key == d.Key && !c.Deleted {
			last = c.Entry
		}
	}
	d.apply(version{revision: last.Revision, value: last.Value}, FromStore, u.Revision)
	if len(last.Value) >= largeDocumentBytes {
		sleep(ctx, largeVersionSpacing)
	}
	return nil
}

// pollWait returns how long the store may keep a poll open without a change.
func (d *Document) pollWait() time.Duration {
	return min(maxPollWait, time.Duration(pollWaitFraction*float64(d.ApplyWithin)))
}

// readDocument reads the document from the store and applies it.
func (d *Document) readDocument(ctx context.Context) error {
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
	d.apply(v, FromStore, s.Revision)
	return nil
}

// awaitLargeVersion waits for a copy of a version that was too large for a poll.
// If none arrives in time, the next poll reads the document itself.
func (d *Document) awaitLargeVersion(ctx context.Context) {
	startedAt := d.now()
	d.mu.Lock()
	missing := d.nextRevision
	if d.behindSince.IsZero() {
		d.behindSince = startedAt
	}
	d.minCopyRevision = max(d.minCopyRevision, missing)
	d.notify()
	d.mu.Unlock()
	wait := time.Duration(0)
	if !d.IsLeader() {
		wait = copyWait(d.StoreRTT())
	}
	d.Log.Emit(eventlog.ConfigAwaited, zap.Int64("after", missing-1), zap.Duration("patience", wait))
	if wait > 0 && d.waitFor(ctx, wait, func() bool { return d.appliedRevision >= missing }) {
		d.update(func() { d.nextRevision = max(d.nextRevision, d.appliedRevision+1) })
		return
	}
	if wait > 0 {
		d.Log.Emit(eventlog.ConfigCopyMissing, zap.Int64("after", missing-1), zap.Duration("age", d.now().Sub(startedAt)))
	}
	d.update(func() { d.nextRevision = 0 })
}

// apply applies a version if it is newer than all before it. confirmedRevision is the revision
// up to which the store has reported every change, or zero if this is not known.
func (d *Document) apply(v version, from Source, confirmedRevision int64) {
	d.applyMu.Lock()
	defer d.applyMu.Unlock()
	d.mu.Lock()
	newer := v.revision > d.appliedRevision
	d.mu.Unlock()
	if newer {
		d.Apply(v.value, v.revision, from)
	}
	d.update(func() {
		d.appliedRevision = max(d.appliedRevision, v.revision)
		if newer && from == FromStore && len(v.value) >= largeDocumentBytes {
			d.lastLarge = v
		}
		if confirmedRevision > 0 {
			d.confirmedAt, d.behindSince = d.now(), time.Time{}
			d.minCopyRevision, d.nextRevision = max(d.minCopyRevision, 1), max(d.nextRevision, confirmedRevision+1)
		}
	})
}

// update changes the state and wakes all waiters.
func (d *Document) update(change func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change()
	d.notify()
}

// notify wakes all waiters; d.mu is held.
func (d *Document) notify() {
	if d.changed != nil {
		close(d.changed)
		d.changed = nil
	}
}

// waitFor waits until a condition on the state holds, and reports whether it
// did before the timeout.
func (d *Document) waitFor(ctx context.Context, timeout time.Duration, condition func() bool) bool {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		d.mu.Lock()
		done := condition()
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
		case <-timer.C:
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

// sleep waits for a duration, or until the context ends.
func sleep(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}
