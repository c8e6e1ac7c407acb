package scheduler

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/oriolepond/oriolepond/internal/batch"
	"github.com/oriolepond/oriolepond/internal/eventlog"
	"github.com/oriolepond/oriolepond/internal/store"
)

// commitOrIsolate commits changes and returns the start commands that may be sent. If the store
// refuses the commit as invalid, it commits the records one by one, and leaves out those that are
// refused again: otherwise one of them would end this term and each later one. Changes that are known
// not to have been committed are withdrawn.
func (l *Leader) commitOrIsolate(ctx context.Context, changes batch.Changes) ([]batch.Command, error) {
	learned := l.learnedWrite()
	outcome, err := l.commitChanges(ctx, changes, learned)
	if !l.isRefused(err, "") {
		return l.finishCommit(outcome, changes), err
	}
	var starts []batch.Command
	refused := false
	parts := changes.Split()
	for i, part := range parts {
		outcome, partErr := l.commitChanges(ctx, part, nil)
		if l.isRefused(partErr, l.keyOf(part)) {
			refused = true
			l.withLock(func() { l.core.Refuse(part, l.Now()) })
			continue
		}
		starts = append(starts, l.finishCommit(outcome, part)...)
		if partErr != nil {
			for _, unsent := range parts[i+1:] {
				l.finishCommit(commitNotApplied, unsent)
			}
			return nil, partErr
		}
	}
	if !refused && learned != nil {
		l.isRefused(err, l.keys.learned)
		l.learnedWrittenAt = l.Now().Add(learnedRefusedPause)
	}
	return starts, nil
}

// learnedRefusedPause is how long the learned effects are not written after the store has refused
// them.
const learnedRefusedPause = time.Minute

// finishCommit tells the core the outcome of a commit, and returns the start commands that may be sent.
// If the store carries out no commits, submissions in a commit that was withdrawn are dropped.
func (l *Leader) finishCommit(outcome commitOutcome, changes batch.Changes) []batch.Command {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch outcome {
	case commitApplied:
		return l.core.Committed(changes)
	case commitNotApplied:
		l.core.Withdraw(changes)
		if now := l.Now(); l.isStoreUnavailable(now) {
			l.core.DropUncommitted(now)
		}
	}
	return nil
}

// isRefused reports whether an error means that the store refuses a commit as invalid, and logs
// it. The key names what is left out; it is empty if that is not known yet.
func (l *Leader) isRefused(err error, key string) bool {
	if !errors.As(err, new(*store.InvalidError)) {
		return false
	}
	l.Metrics.CommitRefused()
	l.Log.Emit(eventlog.CommitRefused, zap.String("key", key), zap.Int64("token", l.Token), zap.Error(err))
	return true
}

// keyOf returns the key of the only record in changes.
func (l *Leader) keyOf(part batch.Changes) string {
	if len(part.Records) == 0 {
		return l.keys.unresponsive
	}
	return l.keys.jobs + part.Records[0].ID
}

// restoreInboxKeys makes inbox keys of jobs that a failed commit should have removed part of the
// next one.
func (l *Leader) restoreInboxKeys(keys map[string][]inboxKey) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, ofJob := range keys {
		for _, k := range ofJob {
			l.putInboxKey(id, k)
		}
	}
}
