package scheduler

import (
	"slices"
	"strings"

	"go.uber.org/zap"

	"github.com/oriolepond/oriolepond/internal/eventlog"
	"github.com/oriolepond/oriolepond/internal/store"
)

// inboxEntry is what nodes left in the store for a job while they reached no holder.
type inboxEntry struct {
	submitted bool
	cancelled bool
	// loans are the keys of tasks that were lent.
	loans []string
}

func (h *Holder) inboxSnapshot(s store.Snapshot) {
	h.takeInbox(s.Entries)
}

func (h *Holder) inboxUpdate(u store.Update) {
	var added []store.Entry
	for _, c := range u.Changes {
		if !c.Deleted {
			added = append(added, c.Entry)
		}
	}
	h.takeInbox(added)
}

// takeInbox takes submissions in, then cancels. Their keys go with the commit of the jobs.
func (h *Holder) takeInbox(entries []store.Entry) {
	h.guarded("inbox", func() { h.locked(func() { h.takeEntries(entries) }) })
	h.kick(h.plan)
}

// takeEntries is takeInbox with h.mu held.
func (h *Holder) takeEntries(entries []store.Entry) {
	for _, e := range entries {
		id, isCancel := h.keys.inboxID(e.Key)
		if isCancel {
			continue
		}
		if strings.Contains(id, loanMark) {
			h.takeLoan(e)
			continue
		}
		if err := h.core.AcceptHandedOver(e.Value, h.Now()); err != nil {
			h.Log.Emit(eventlog.RecordUnreadable, zap.String("key", e.Key), zap.Error(err))
			continue
		}
		h.noteInbox(id, func(n *inboxEntry) { n.submitted = true })
		h.core.MarkInInbox(id)
	}
	for _, e := range entries {
		id, isCancel := h.keys.inboxID(e.Key)
		if !isCancel {
			continue
		}
		h.noteInbox(id, func(n *inboxEntry) { n.cancelled = true })
		if h.core.Cancel(id, h.Now(), nil) {
			h.core.MarkDirty(id)
		}
	}
}

// takeLoan takes in tasks that another cell has lent; h.mu is held.
func (h *Holder) takeLoan(e store.Entry) {
	id, err := h.core.AcceptDelegation(e.Value, h.Now())
	if err != nil {
		h.Log.Emit(eventlog.RecordUnreadable, zap.String("key", e.Key), zap.Error(err))
		return
	}
	h.noteInbox(id, func(n *inboxEntry) {
		if !slices.Contains(n.loans, e.Key) {
			n.loans = append(n.loans, e.Key)
		}
	})
	h.core.MarkInInbox(id)
}

// noteInbox changes what is known of a job's inbox keys; h.mu is held.
func (h *Holder) noteInbox(id string, change func(*inboxEntry)) {
	n := h.inbox[id]
	change(&n)
	h.inbox[id] = n
}

// inboxKeys returns the inbox keys of a job, which its commit removes if there
// is room for them; else the job is written once more.
func (h *Holder) inboxKeys(id string, room int) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	n, ok := h.inbox[id]
	if !ok {
		return nil
	}
	var keys []string
	if n.submitted {
		keys = append(keys, h.keys.inbox+id)
	}
	if n.cancelled {
		keys = append(keys, h.keys.inbox+id+cancelSuffix)
	}
	keys = append(keys, n.loans...)
	if len(keys) > room {
		h.core.MarkDirty(id)
		return nil
	}
	delete(h.inbox, id)
	return keys
}
