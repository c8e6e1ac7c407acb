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

// addInboxKey records that an inbox key is to be removed with a record of a job; l.mu is held.
func (l *Leader) addInboxKey(id, key string) {
	if !slices.Contains(l.inbox[id], key) {
		l.inbox[id] = append(l.inbox[id], key)
	}
}

// forgetInboxKeys records which inbox keys a commit of jobs has removed. Jobs that still have some are committed again.
func (l *Leader) forgetInboxKeys(removed map[string][]string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, keys := range removed {
		l.inbox[id] = slices.DeleteFunc(l.inbox[id], func(key string) bool { return slices.Contains(keys, key) })
		if len(l.inbox[id]) == 0 {
			delete(l.inbox, id)
			continue
		}
		l.core.MarkDirty(id)
	}
}
