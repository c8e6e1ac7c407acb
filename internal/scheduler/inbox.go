package scheduler

import (
	"slices"
	"strings"

	"go.uber.org/zap"

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
		l.addInboxKey(id, e)
		l.core.MarkInInbox(id)
	}
	for _, e := range entries {
		id, isCancel := l.keys.parseInboxKey(e.Key)
		if !isCancel {
			continue
		}
		id = l.core.StorageID(id)
		l.addInboxKey(id, e)
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
	l.addInboxKey(id, e)
	l.core.MarkInInbox(id)
}

// inboxKey is a key of the inbox with the revision of its entry: a key that was removed may be written again.
type inboxKey struct {
	key      string
	revision int64
}

// addInboxKey records that the key of an inbox entry is to be removed with a record of a job; l.mu is held.
func (l *Leader) addInboxKey(id string, e store.Entry) {
	i := slices.IndexFunc(l.inbox[id], func(k inboxKey) bool { return k.key == e.Key })
	if i < 0 {
		l.inbox[id] = append(l.inbox[id], inboxKey{key: e.Key, revision: e.Revision})
		return
	}
	l.inbox[id][i].revision = max(l.inbox[id][i].revision, e.Revision)
}

// forgetInboxKeys records which inbox keys a commit of jobs has removed. Jobs that still have some are committed again.
func (l *Leader) forgetInboxKeys(removed map[string][]inboxKey) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, keys := range removed {
		l.inbox[id] = slices.DeleteFunc(l.inbox[id], func(k inboxKey) bool { return slices.Contains(keys, k) })
		if len(l.inbox[id]) == 0 {
			delete(l.inbox, id)
			continue
		}
		l.core.MarkDirty(id)
	}
}
