package scheduler

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/oriolepond/oriolepond/internal/batch"
	"github.com/oriolepond/oriolepond/internal/eventlog"
	"github.com/oriolepond/oriolepond/internal/lease"
)

// A leader that has lost the store cannot know whether it was replaced, and its successor cannot know
// whether it still renews leases at workers that the successor does not reach. Both ask the workers.
// Each leader stores the set of workers that have answered it, its witnesses. Without the store's lease
// it renews leases only while half of them have answered it within witnessWindow. A worker that has
// answered the successor rejects it. So once more than half of the witnesses have answered the successor,
// the former leader renews no lease after witnessWindow has passed, alive or not.

const (
	// witnessWindow is how old the answers of witnesses may be. It is no shorter than leaderTTL: a
	// leader whose key was revoked considers its lease valid for as long.
	witnessWindow = leaderTTL
	// outagePollWait is how long workers may hold back the answers to polls of a leader that has lost
	// the store, so that two polls fit into witnessWindow.
	outagePollWait = 500 * time.Millisecond
	// witnessUpdateInterval is how often the stored set of witnesses is compared with the workers that
	// answer. It is written again if more than 1/witnessChangeDivisor of it has changed.
	witnessUpdateInterval = 250 * time.Millisecond
	witnessChangeDivisor  = 8
	// fencingCheckInterval is how often a leader checks whether the witnesses of earlier terms have answered it.
	fencingCheckInterval = 50 * time.Millisecond
)

// renewalQuorum returns how many of n witnesses have to answer a leader that has lost the store.
func renewalQuorum(n int) int { return (n + 1) / 2 }

// fencingQuorum returns how many of n witnesses have to answer a successor, so that fewer than
// renewalQuorum are left.
func fencingQuorum(n int) int { return n - renewalQuorum(n) + 1 }

// mayRenew reports whether the leader may renew leases at workers: it has the store's lease, or lost it
// no longer than RenewGrace ago and enough witnesses answer.
func (l *Leader) mayRenew(now time.Time) bool {
	return l.isLeaseValid(now) || !now.After(l.renewalsEnd()) && !now.After(l.witnessedUntil(now))
}

// logSuspension logs when the leader stops to renew leases, or renews them again.
func (l *Leader) logSuspension(suspended bool) {
	if l.renewalsSuspended.Swap(suspended) != suspended {
		l.Log.Emit(eventlog.RenewalsSuspended, zap.Int64("token", l.Token), zap.Bool("suspended", suspended))
	}
}

// witnessedUntil returns until when the leader may renew leases without the store's lease, by the answers
// of its witnesses until now.
func (l *Leader) witnessedUntil(now time.Time) time.Time {
	t := l.terms
	t.mu.Lock()
	defer t.mu.Unlock()
	if !now.After(t.witnessedUntil) {
		return t.witnessedUntil
	}
	var until time.Time
	for i, set := range t.storedWitnesses() {
		var answered time.Time
		l.withLock(func() { answered = l.core.AnsweredSince(set, renewalQuorum(len(set))) })
		if end := answered.Add(lease.Shorter(witnessWindow)); i == 0 || end.Before(until) {
			until = end
		}
	}
	t.witnessedUntil = until
	return until
}

// storedWitnesses returns the sets of witnesses that may be in the store, none if there may be no set; t.mu is held.
func (t *terms) storedWitnesses() []batch.Witnesses {
	switch {
	case len(t.durable) == 0:
		return nil
	case len(t.inDoubt) == 0:
		return []batch.Witnesses{t.durable}
	}
	return []batch.Witnesses{t.durable, t.inDoubt}
}

// updateWitnesses replaces the term's witnesses by the workers that answer, if enough have changed, and
// reports whether the record has to be written.
func (t *terms) updateWitnesses(answering batch.Witnesses) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(answering) == 0 || len(t.inDoubt) > 0 || t.witnesses.Difference(answering)*witnessChangeDivisor <= len(t.witnesses) {
		return false
	}
	t.witnesses, t.writeDue = answering, true
	return true
}

// recordWitnesses keeps the stored set of witnesses up to date until the term ends.
func (l *Leader) recordWitnesses(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(witnessUpdateInterval):
		}
		if !l.isLeaseValid(l.Now()) {
			continue
		}
		var answering batch.Witnesses
		l.withLock(func() { answering = l.core.Witnesses() })
		if l.terms.updateWitnesses(answering) {
			l.signal(l.commitNeeded)
		}
	}
}

// fenceEarlierTerms shortens the time for which earlier terms may renew leases, once enough of their
// witnesses have answered this leader. It returns when no term is left that witnesses could shorten.
func (l *Leader) fenceEarlierTerms(ctx context.Context) {
	for {
		waits := false
		for _, o := range l.terms.openAt(l.Now()) {
			if len(o.witnesses) == 0 || o.fenced {
				continue
			}
			waits = true
			answered := 0
			l.withLock(func() { answered = l.core.CountFenced(o.witnesses) })
			if answered >= fencingQuorum(len(o.witnesses)) {
				now := l.Now()
				l.terms.fence(o.leaderRef, now.Add(lease.Longer(witnessWindow)))
				l.limitRenewals(now)
			}
		}
		if !waits {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(fencingCheckInterval):
		}
	}
}

// fence records that enough witnesses of an earlier term have answered this leader, so that it renews
// leases until the given time at most.
func (t *terms) fence(term leaderRef, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range t.open {
		if o := &t.open[i]; o.leaderRef == term {
			o.fenced = true
			if until.Before(o.renewsUntil) {
				o.renewsUntil, t.writeDue = until, true
			}
		}
	}
}
