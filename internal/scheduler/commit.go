package scheduler

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/oriolepond/oriolepond/internal/batch"
	"github.com/oriolepond/oriolepond/internal/eventlog"
	"github.com/oriolepond/oriolepond/internal/store"
)

// commitLoop makes changes durable, one commit at a time.
func (h *Holder) commitLoop(ctx context.Context) error {
	var last time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-h.commit:
		}
		if gap := h.commitGap() - h.Now().Sub(last); gap > 0 {
			time.Sleep(gap)
		}
		last = h.Now()
		h.mu.Lock()
		changes, err := h.core.TakeChanges(maxRecords, last)
		h.mu.Unlock()
		if err != nil {
			return err
		}
		if changes.IsEmpty() {
			continue
		}
		if err := h.write(ctx, changes); err != nil {
			return err
		}
		h.mu.Lock()
		starts := h.core.Committed(changes)
		dirty := h.core.HasChanges()
		h.mu.Unlock()
		h.carryOut(ctx, starts)
		if dirty {
			h.kick(h.commit)
		}
	}
}

// commitGap returns the least time between two commits of the cell.
func (h *Holder) commitGap() time.Duration {
	return min(longestCommitGap, commitGap*time.Duration(max(1, h.Cell.Count)))
}

// write commits records, and repeats that until the outcome is known.
func (h *Holder) write(ctx context.Context, changes batch.Changes) error {
	h.sequence++
	stamp := fmt.Sprintf("%d/%d", h.Token, h.sequence)
	txn := store.Txn{
		If:   []store.Condition{{Key: h.keys.holder, Revision: h.Token}, {Key: h.keys.head, Revision: h.head}},
		Then: []store.Op{store.Put(h.keys.head, []byte(stamp))},
	}
	txn.Then = append(txn.Then, h.learned()...)
	if changes.Unresponsive != nil {
		txn.Then = append(txn.Then, store.Put(h.keys.silent, changes.Unresponsive))
	}
	room := maxEntries - len(txn.If) - len(txn.Then) - changes.Writes()
	for _, r := range changes.Records {
		if r.HandedOver != nil {
			txn.Then = append(txn.Then, store.Put(keysOf(r.To).inbox+r.ID, r.HandedOver))
		}
		for _, cell := range r.CancelCells {
			txn.Then = append(txn.Then, store.Put(keysOf(cell).inbox+r.CancelID+cancelSuffix, cancelValue))
		}
		if l := r.Delegation; l != nil {
			txn.Then = append(txn.Then, store.Put(keysOf(l.To).loan(r.ID, h.Cell.Index, l.Number), l.Value))
		}
		if r.Value == nil {
			txn.Then = append(txn.Then, store.Delete(h.keys.jobs+r.ID))
		} else {
			txn.Then = append(txn.Then, store.Put(h.keys.jobs+r.ID, r.Value))
		}
		for _, key := range h.inboxKeys(r.ID, room) {
			txn.Then = append(txn.Then, store.Delete(key))
			room--
		}
	}
	began := h.Now()
	defer func() { h.Meter.Commit(h.Now().Sub(began)) }()
	for try := 0; ; try++ {
		revision, known, err := h.tryWrite(ctx, txn, stamp, try > 0)
		switch {
		case err != nil:
			return err
		case known:
			h.setAway(time.Time{})
			h.head = revision
			return nil
		}
		h.setAway(began)
		select {
		case <-ctx.Done():
			return &TermEndedError{Reason: "the outcome of commit " + stamp + " is not known"}
		case <-time.After(retryCommit):
		}
	}
}

const (
	// learnEvery is how often what was learned goes along with a commit; it changes slowly.
	learnEvery = 3 * time.Second
	// teachEvery is the same where the holders of other cells use it, too.
	teachEvery = time.Second
)

// learned returns the write of what was learned, if its time has come.
func (h *Holder) learned() []store.Op {
	at, every := h.Now(), learnEvery
	if !h.Cell.IsWhole() {
		every = teachEvery
	}
	if at.Sub(h.learnedAt) < every {
		return nil
	}
	h.learnedAt = at
	h.mu.Lock()
	value, err := h.core.EncodeEffects()
	h.mu.Unlock()
	if err != nil {
		h.Log.Emit(eventlog.RecordUnreadable, zap.String("key", h.keys.learned), zap.Error(err))
		return nil
	}
	return []store.Op{store.Put(h.keys.learned, value)}
}

// retryCommit is the pause between two tries of a commit.
const retryCommit = 60 * time.Millisecond

// tryWrite makes one try of a commit; it reports whether the commit surely took effect.
func (h *Holder) tryWrite(ctx context.Context, txn store.Txn, stamp string, uncertain bool) (int64, bool, error) {
	call, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	result, err := h.Store.Commit(call, txn)
	var invalid *store.InvalidError
	switch {
	case errors.As(err, &invalid):
		return 0, false, err
	case err != nil:
		h.Log.Emit(eventlog.CommitUnanswered, zap.String("commit", stamp), zap.Error(err))
		return 0, false, nil
	case result.Done:
		return result.Revision, true, nil
	case !uncertain:
		return 0, false, &TermEndedError{Reason: "the holder's key or the head has changed"}
	}
	// An earlier try may have taken effect.
	head, found, err := h.Store.Read(call, h.keys.head)
	switch {
	case err != nil:
		return 0, false, nil
	case found && string(head.Value) == stamp:
		return head.Revision, true, nil
	}
	return 0, false, &TermEndedError{Reason: "the holder's key or the head has changed"}
}

// setAway notes since when the store leaves a commit unanswered.
func (h *Holder) setAway(since time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.awaySince = since
}

// isAway reports whether the store lately did not answer.
func (h *Holder) isAway(at time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !at.Before(h.validUntil) || !h.awaySince.IsZero() && at.Sub(h.awaySince) > awayAfter
}

// awayAfter is how long a commit goes unanswered until submissions are refused: an order
// of magnitude above the usual time of a commit at a slow store's.
const awayAfter = 400 * time.Millisecond
