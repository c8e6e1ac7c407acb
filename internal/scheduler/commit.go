package scheduler

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/oriolepond/oriolepond/internal/batch"
	"github.com/oriolepond/oriolepond/internal/eventlog"
	"github.com/oriolepond/oriolepond/internal/store"
)

// commitLoop commits the core's changes to the store, one commit at a time. At a planned stop it
// commits what the core knows before it ends: a worker that leaves meanwhile would not report it again.
func (l *Leader) commitLoop(ctx context.Context) error {
	commits, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	defer context.AfterFunc(ctx, func() {
		if !l.isStopPlanned() {
			cancel()
			return
		}
		time.AfterFunc(commitTimeout, cancel)
	})()
	var last time.Time
	for {
		select {
		case <-ctx.Done():
			if l.isStopPlanned() {
				return l.commitRest(commits)
			}
			return nil
		case <-l.commitNeeded:
		}
		if wait := l.commitInterval() - l.Now().Sub(last); wait > 0 {
			time.Sleep(wait)
		}
		last = l.Now()
		l.mu.Lock()
		changes, err := l.takeChanges(last)
		l.spent.encoding += l.Now().Sub(last)
		l.spent.commits++
		l.mu.Unlock()
		if err != nil {
			return err
		}
		if changes.IsEmpty() && !l.terms.isDue() && !l.isProbeDue() {
			continue
		}
		starts, err := l.commitOrIsolate(commits, changes)
		if err != nil {
			return err
		}
		l.mu.Lock()
		dirty := l.core.HasChanges()
		l.mu.Unlock()
		if ctx.Err() == nil {
			l.dispatch(ctx, starts)
		}
		if dirty || l.isProbeDue() {
			l.signal(l.commitNeeded)
		}
	}
}

// commitRest commits all changes at a planned stop. Starts that were not sent are withdrawn first.
func (l *Leader) commitRest(ctx context.Context) error {
	for withdrawn := false; ; withdrawn = true {
		l.mu.Lock()
		if !withdrawn {
			l.core.WithdrawUnsent(l.Now())
		}
		changes, err := l.takeChanges(l.Now())
		l.mu.Unlock()
		if err != nil {
			return err
		}
		if changes.IsEmpty() {
			return nil
		}
		if _, err := l.commitOrIsolate(ctx, changes); err != nil {
			return err
		}
	}
}

// isStopPlanned reports whether the term ends because the node is stopping.
func (l *Leader) isStopPlanned() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.endReason == plannedStop
}

// commitInterval returns the minimum time between two commits of the cell.
func (l *Leader) commitInterval() time.Duration {
	return min(maxCommitInterval, baseCommitInterval*time.Duration(max(1, l.Cell.Count)))
}

// takenChanges are changes of the core with the inbox keys, by job ID, of the entries that the records contain. A commit of
// the records may remove these keys, but none of entries that have arrived since.
type takenChanges struct {
	batch.Changes
	inboxKeys map[string][]inboxKey
}

// takeChanges takes the core's changes for a commit; l.mu is held.
func (l *Leader) takeChanges(now time.Time) (takenChanges, error) {
	if l.corePanicked {
		return takenChanges{}, &TermEndedError{Reason: "the core has panicked"}
	}
	taken, err := l.core.TakeChanges(maxCommitRecords, now)
	if err != nil {
		return takenChanges{}, err
	}
	keys := map[string][]inboxKey{}
	for _, r := range taken.Records {
		keys[r.ID] = slices.Clone(l.inbox[r.ID])
	}
	return takenChanges{Changes: taken, inboxKeys: keys}, nil
}

// split returns the changes as parts that can be committed one by one.
func (c takenChanges) split() []takenChanges {
	var parts []takenChanges
	for _, part := range c.Split() {
		parts = append(parts, takenChanges{Changes: part, inboxKeys: c.inboxKeys})
	}
	return parts
}

// commitChanges commits records. An error means that the term ends, or that the store refuses the
// commit as invalid. Each commit is conditional on the leader's key and on the head, a key that names
// the latest commit, so that neither an earlier leader nor a late retry can overwrite newer records.
func (l *Leader) commitChanges(ctx context.Context, changes takenChanges, learned []store.Op) (commitOutcome, error) {
	l.commitSequence++
	stamp := fmt.Sprintf("%d/%d", l.Token, l.commitSequence)
	txn := store.Txn{
		If:   []store.Condition{{Key: l.keys.leader, Revision: l.Token}, {Key: l.keys.head, Revision: l.headRevision}},
		Then: []store.Op{store.Put(l.keys.head, []byte(stamp))},
	}
	txn.Then = append(txn.Then, learned...)
	termsWrite := l.termsWrite()
	txn.Then = append(txn.Then, termsWrite...)
	if changes.Unresponsive != nil {
		txn.Then = append(txn.Then, store.Put(l.keys.unresponsive, changes.Unresponsive))
	}
	removed := map[string][]inboxKey{}
	freeEntries := maxCommitEntries - len(txn.If) - len(txn.Then) - changes.Writes()
	for _, r := range changes.Records {
		if r.HandedOver != nil {
			txn.Then = append(txn.Then, store.Put(keysOfCell(r.To).inbox+r.ID, r.HandedOver))
		}
		for _, cell := range r.CancelCells {
			txn.Then = append(txn.Then, store.Put(keysOfCell(cell).inbox+r.CancelID+cancelSuffix, cancelValue))
		}
		if delegation := r.Delegation; delegation != nil {
			txn.Then = append(txn.Then, store.Put(keysOfCell(delegation.To).delegation(r.ID, l.Cell.Index, delegation.Number), delegation.Value))
		}
		if r.Value == nil {
			txn.Then = append(txn.Then, store.Delete(l.keys.jobs+r.ID))
		} else {
			txn.Then = append(txn.Then, store.Put(l.keys.jobs+r.ID, r.Value))
		}
		keys := changes.inboxKeys[r.ID]
		keys = keys[:min(len(keys), max(0, freeEntries))]
		removed[r.ID] = keys
		for _, k := range keys {
			txn.Then = append(txn.Then, store.Delete(k.key))
			freeEntries--
		}
	}
	outcome, err := l.resolveCommit(ctx, txn, stamp)
	if outcome == commitApplied {
		l.forgetInboxKeys(removed)
	}
	if len(termsWrite) > 0 {
		l.terms.endWrite(outcome == commitApplied)
	}
	return outcome, err
}

// resolveCommit sends a commit until its outcome is known, or the context ends. A commit that the
// store has only refused has not taken effect; it is given up after storeUnavailableAfter, so that what
// it contains can be dropped or become part of another one.
func (l *Leader) resolveCommit(ctx context.Context, txn store.Txn, stamp string) (commitOutcome, error) {
	startedAt := l.Now()
	defer func() { l.Metrics.Commit(l.Now().Sub(startedAt)) }()
	l.setCommitStartedAt(startedAt)
	defer l.setCommitStartedAt(time.Time{})
	unanswered := false
	for {
		if ctx.Err() != nil && !unanswered {
			return commitNotApplied, &TermEndedError{Reason: "commit " + stamp + " was given up"}
		}
		revision, outcome, err := l.tryCommit(ctx, txn, stamp, unanswered)
		if outcome == commitApplied {
			l.setUncommittedSince(time.Time{})
			l.setLastCommit(stamp)
			l.headRevision = revision
		}
		if err != nil || outcome == commitApplied {
			return outcome, err
		}
		l.setUncommittedSince(startedAt)
		if outcome == commitUnknown {
			unanswered = true
			l.setUnansweredCommit(stamp)
		}
		if !unanswered && l.Now().Sub(startedAt) >= storeUnavailableAfter {
			l.Log.Emit(eventlog.CommitWithdrawn, zap.String("commit", stamp), zap.Int64("token", l.Token), zap.Duration("after", l.Now().Sub(startedAt)))
			return commitNotApplied, nil
		}
		select {
		case <-ctx.Done():
			if unanswered {
				return commitUnknown, &TermEndedError{Reason: "the outcome of commit " + stamp + " is unknown"}
			}
		case <-time.After(commitRetryInterval):
		}
	}
}

// commitOutcome is what is known about the effect of a commit.
type commitOutcome string

const (
	commitApplied commitOutcome = "applied"
	// commitNotApplied means that the commit has not taken effect and never will.
	commitNotApplied commitOutcome = "notApplied"
	// commitUnknown means that the commit may have taken effect, or may do so later.
	commitUnknown commitOutcome = "unknown"
)

const (
	// learnedWriteInterval is the minimum time between two writes of the interference effects
	// that the core has measured, which change slowly.
	learnedWriteInterval = 3 * time.Second
	// sharedLearnedWriteInterval is the same for a divided deployment, where the leaders of other cells read them, too.
	sharedLearnedWriteInterval = time.Second
)

// learnedWrite returns the write of the interference effects that the core has measured, if it is due.
func (l *Leader) learnedWrite() []store.Op {
	now, interval := l.Now(), learnedWriteInterval
	if !l.Cell.IsWhole() {
		interval = sharedLearnedWriteInterval
	}
	if now.Sub(l.learnedWrittenAt) < interval {
		return nil
	}
	l.learnedWrittenAt = now
	l.mu.Lock()
	value, err := l.core.EncodeEffects()
	l.mu.Unlock()
	if err != nil {
		l.Log.Emit(eventlog.RecordUnreadable, zap.String("key", l.keys.learned), zap.Error(err))
		return nil
	}
	return []store.Op{store.Put(l.keys.learned, value)}
}

// commitRetryInterval is the pause between two tries of a commit.
const commitRetryInterval = 60 * time.Millisecond

// tryCommit sends a commit once. Unanswered means that an earlier try may have taken effect.
func (l *Leader) tryCommit(ctx context.Context, txn store.Txn, stamp string, unanswered bool) (int64, commitOutcome, error) {
	call, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	result, err := l.Store.Commit(call, txn)
	invalid := errors.As(err, new(*store.InvalidError))
	switch {
	case invalid && unanswered:
		// This try has no effect, but an earlier one may have.
	case invalid:
		return 0, commitNotApplied, err
	case errors.As(err, new(*store.RefusedError)):
		l.Log.Emit(eventlog.CommitNotCarriedOut, zap.String("commit", stamp), zap.Error(err))
		return 0, commitNotApplied, nil
	case err != nil:
		l.Log.Emit(eventlog.CommitUnanswered, zap.String("commit", stamp), zap.Error(err))
		return 0, commitUnknown, nil
	case result.Done:
		return result.Revision, commitApplied, nil
	case !unanswered:
		return 0, commitNotApplied, errSuperseded
	}
	head, found, err := l.Store.Read(call, l.keys.head)
	switch {
	case err != nil:
		return 0, commitUnknown, nil
	case found && string(head.Value) == stamp:
		return head.Revision, commitApplied, nil
	case invalid:
		return 0, commitUnknown, &TermEndedError{Reason: "the store refuses commit " + stamp + ", an earlier try of which has no answer"}
	case head.Revision == l.headRevision:
		// The commit would have changed the head, and the leader's key is gone for good.
		return 0, commitNotApplied, errSuperseded
	}
	return 0, commitUnknown, errSuperseded
}

// errSuperseded means that a condition of a commit does not hold, and never will again.
var errSuperseded = &TermEndedError{Reason: "the leader's key or the head has changed"}

// setUncommittedSince records that a commit, sent at the given time, was not carried out; zero means
// that it was.
func (l *Leader) setUncommittedSince(since time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if since.IsZero() || l.uncommittedSince.IsZero() {
		l.uncommittedSince = since
	}
}

// setLastCommit records the stamp of a commit that the store has carried out.
func (l *Leader) setLastCommit(stamp string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastCommit = stamp
}

// latestCommit returns the stamp of the last commit that the store has carried out.
func (l *Leader) latestCommit() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastCommit
}

// setCommitStartedAt records since when a commit is in progress; zero means that none is.
func (l *Leader) setCommitStartedAt(startedAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.commitStartedAt, l.unansweredCommit = startedAt, ""
}

// setUnansweredCommit records the stamp of the commit in progress, a try of which has no answer.
func (l *Leader) setUnansweredCommit(stamp string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unansweredCommit = stamp
}

// isStoreUnavailable reports whether the leader's lease may have expired, or the store has carried out
// no commit for longer than storeUnavailableAfter; l.mu is held.
func (l *Leader) isStoreUnavailable(now time.Time) bool {
	return !l.isLeaseValid(now) || !l.uncommittedSince.IsZero() && now.Sub(l.uncommittedSince) >= storeUnavailableAfter
}

// isProbeDue reports whether a commit has to be sent even if nothing has changed, to find out whether
// the store carries out commits again.
func (l *Leader) isProbeDue() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.uncommittedSince.IsZero()
}

// storeUnavailableAfter is how long a commit may take before submissions are refused: an
// order of magnitude above the usual duration of a commit at a slow store.
const storeUnavailableAfter = 400 * time.Millisecond
