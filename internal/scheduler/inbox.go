package scheduler

import (
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/oriolepond/oriolepond/internal/batch"
	"github.com/oriolepond/oriolepond/internal/eventlog"
	"github.com/oriolepond/oriolepond/internal/store"
)

func (l *Leader) inboxSnapshot(s store.Snapshot) {
	l.acceptInbox(s.Entries)
}

func (l *Leader) inboxUpdate(u store.Update) {
	var added []store.Entry
	for _, c := range u.Changes {
		if !c.Deleted {
			added = append(added, c.Entry)
		}
	}
	l.acceptInbox(added)
}

// acceptInbox accepts jobs and delegated tasks, and then cancels, which may refer to these
// jobs. The commit of a job also removes its inbox keys.
func (l *Leader) acceptInbox(entries []store.Entry) {
	l.guarded("inbox", func() { l.withLock(func() { l.acceptEntries(entries) }) })
	l.signal(l.planNeeded)
}

// acceptEntries is acceptInbox with l.mu held.
func (l *Leader) acceptEntries(entries []store.Entry) {
	for _, e := range entries {
		id, isCancel := l.keys.parseInboxKey(e.Key)
		if isCancel {
			continue
		}
		if strings.Contains(id, delegationMark) {
			l.acceptDelegation(e)
			continue
		}
		if err := l.core.AcceptHandedOver(e.Value, l.Now()); err != nil {
			l.Log.Emit(eventlog.RecordUnreadable, zap.String("key", e.Key), zap.Error(err))
			continue
		}
		l.addInboxKey(id, e.Key)
		l.core.MarkInInbox(id)
	}
	for _, e := range entries {
		id, isCancel := l.keys.parseInboxKey(e.Key)
		if !isCancel {
			continue
		}
		id = l.core.StorageID(id)
		l.addInboxKey(id, e.Key)
		if l.core.Cancel(id, l.Now(), nil) {
			l.core.MarkDirty(id)
		}
	}
}

// acceptDelegation accepts tasks that another cell has delegated; l.mu is held.
func (l *Leader) acceptDelegation(e store.Entry) {
	id, err := l.core.AcceptDelegation(e.Value, l.Now())
	if err != nil {
		l.Log.Emit(eventlog.RecordUnreadable, zap.String("key", e.Key), zap.Error(err))
		return
	}
	l.addInboxKey(id, e.Key)
	l.core.MarkInInbox(id)
}

// inboxKey is a key of the inbox that is to be removed. Keys are numbered in the order in which the core gets their entries.
type inboxKey struct {
	key    string
	number int64
}

// addInboxKey records that an inbox key is to be removed with the next record of a job; l.mu is held.
func (l *Leader) addInboxKey(id, key string) {
	l.lastInboxKey++
	l.putInboxKey(id, inboxKey{key: key, number: l.lastInboxKey})
}

// putInboxKey adds a key to those that are to be removed, unless it is one of them; l.mu is held.
func (l *Leader) putInboxKey(id string, k inboxKey) {
	if !slices.ContainsFunc(l.inbox[id], func(o inboxKey) bool { return o.key == k.key }) {
		l.inbox[id] = append(l.inbox[id], k)
	}
}

// takeChanges returns the core's changes for the next commit; l.mu is held.
func (l *Leader) takeChanges(now time.Time) (batch.Changes, error) {
	l.recordedInboxKey = l.lastInboxKey
	return l.core.TakeChanges(maxCommitRecords, now)
}

// inboxKeys returns the inbox keys of a job for removal in the commit of its record: those whose entries the record contains.
// If there are more than limit, it returns none and has the job committed again.
func (l *Leader) inboxKeys(id string, limit int) []inboxKey {
	l.mu.Lock()
	defer l.mu.Unlock()
	var keys, others []inboxKey
	for _, k := range l.inbox[id] {
		if k.number <= l.recordedInboxKey {
			keys = append(keys, k)
		} else {
			others = append(others, k)
		}
	}
	if len(keys) > limit {
		l.core.MarkDirty(id)
		return nil
	}
	if l.inbox[id] = others; len(others) == 0 {
		delete(l.inbox, id)
	}
	return keys
}
