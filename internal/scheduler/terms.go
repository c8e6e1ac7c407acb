package scheduler

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/oriolepond/oriolepond/internal/batch"
	"github.com/oriolepond/oriolepond/internal/eventlog"
	"github.com/oriolepond/oriolepond/internal/lease"
	"github.com/oriolepond/oriolepond/internal/store"
)

// wireTerms is the stored record of a cell's terms. It is written with the leader's key, in one
// commit that requires the record as it was read, so that no term is missing from it. A term that
// ends while it has the key removes itself.
type wireTerms struct {
	// Serving is the term of the leader that wrote the record; it is missing once that has ended.
	Serving *wireTerm `json:"serving,omitempty"`
	// Open are the earlier terms that may still renew leases at workers.
	Open []wireTerm `json:"open,omitempty"`
	// Last is the highest fencing token of a term that has written the record after its election.
	Last int64 `json:"last,omitempty"`
	// Contacts are missing unless the last term has ended as the only one that may call workers.
	Contacts *wireContacts `json:"contacts,omitempty"`
}

type wireTerm struct {
	leaderID
	// Token is missing until the term's leader writes the record again: the commit that determines
	// it contains the record. It is then the revision of the record.
	Token int64 `json:"token,omitempty"`
	// RemainingMs is how long an open term may renew leases, counted from when the record was written.
	RemainingMs int64 `json:"leftMillis,omitempty"`
	// Witnessed means that the leader needs its witnesses to renew leases without the store's lease.
	// Leaders of earlier versions do not. Witnesses is the encoded set; before it is written, the
	// leader renews none.
	Witnessed bool   `json:"witnessed,omitempty"`
	Witnesses []byte `json:"witnesses,omitempty"`
}

type leaderID struct {
	ID      string `json:"id"`
	Address string `json:"address,omitempty"`
}

// unknownTerm stands for terms of which there is no record.
var unknownTerm = leaderID{ID: "unknown"}

// renewalLimit returns how long a leader may renew leases at workers after its key is gone.
func (s *Scheduler) renewalLimit() time.Duration {
	return lease.Longer(s.Timing.RenewGrace + leaderTTL)
}

// terms is the record of terms as a leader has it.
type terms struct {
	mu    sync.Mutex
	own   wireTerm
	open  []openTerm
	last  int64
	limit time.Duration
	// first means that there was no record before, headChecked that the record was compared with the head.
	first       bool
	headChecked bool
	// writeDue means that the record has to be written.
	writeDue bool
	// witnesses is the set that the next write contains, durable the one in the store, and inDoubt one
	// that may have replaced it.
	witnesses, durable, inDoubt batch.Witnesses
	// witnessedUntil is the last result of Leader.witnessedUntil; zero if the sets have changed since.
	witnessedUntil time.Time
	// inherited are the contacts of the previous term, nil if they are not known; contacts are those of
	// this term once it calls no worker any more.
	inherited, contacts *batch.Contacts
}

// openTerm is an earlier term, and until when it may renew leases.
type openTerm struct {
	leaderRef
	renewsUntil time.Time
	// witnesses are those of its leader, none if it renews leases without them. Fenced means that
	// enough of them have answered this leader.
	witnesses batch.Witnesses
	fenced    bool
}

// successor returns the record for a new term, from the entry with the record before; found is
// false if there is none.
func (m *cellMember) successor(e store.Entry, found bool) wireTerms {
	var w wireTerms
	limitMs := m.scheduler.renewalLimit().Milliseconds() + 1
	if !found || json.Unmarshal(e.Value, &w) != nil {
		if found {
			m.Log.Emit(eventlog.RecordUnreadable, zap.String("key", e.Key), zap.ByteString("value", e.Value))
		}
		w = wireTerms{}
	}
	if former := w.Serving; former != nil {
		// A leader that has not written the record again has not recorded either what the head told it.
		w.Last = max(w.Last, former.Token)
		if former.Token == 0 {
			former.Token = e.Revision
		}
		former.RemainingMs = limitMs
		if former.Witnessed && len(former.Witnesses) == 0 {
			former.RemainingMs = lease.Longer(leaderTTL).Milliseconds() + 1
		}
		w.Open = append(w.Open, *former)
	}
	w.Serving = &wireTerm{leaderID: leaderID{ID: m.scheduler.ID, Address: m.scheduler.Address}, Witnessed: true}
	w.Contacts = nil
	return w
}

// newTerms returns the record with which a term was begun. Now is a time after that.
func newTerms(w wireTerms, token int64, limit time.Duration, now time.Time) *terms {
	t := &terms{own: *w.Serving, last: w.Last, limit: limit, writeDue: true}
	t.own.Token = token
	for _, o := range w.Open {
		t.open = append(t.open, openTerm{
			leaderRef:   leaderRef{ID: o.ID, Address: o.Address, Token: o.Token},
			renewsUntil: now.Add(lease.Longer(time.Duration(o.RemainingMs) * time.Millisecond)),
			witnesses:   o.witnesses(),
		})
	}
	return t
}

// witnesses returns the term's witnesses, none if the set cannot be used.
func (w wireTerm) witnesses() batch.Witnesses {
	set, err := batch.DecodeWitnesses(w.Witnesses)
	if err != nil || !w.Witnessed {
		return nil
	}
	return set
}

// checkHead compares the record with the head, the stamp of the cell's latest commit. Without a
// head, no earlier term has started any run. If the head is of a term that the record does not
// know, its leader does not write the record.
func (t *terms) checkHead(stamp string, found bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.headChecked = true
	if !found {
		t.open = nil
		return
	}
	token, _, _ := strings.Cut(stamp, "/")
	committed, err := strconv.ParseInt(token, 10, 64)
	if err != nil || committed > t.last {
		t.open = append(t.open, openTerm{leaderRef: leaderRef{ID: unknownTerm.ID}, renewsUntil: now.Add(t.limit)})
	}
}

// openAt returns the earlier terms that may still renew leases at the given time.
func (t *terms) openAt(now time.Time) []openTerm {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := len(t.open)
	t.open = slices.DeleteFunc(t.open, func(o openTerm) bool { return now.After(o.renewsUntil) })
	t.writeDue = t.writeDue || len(t.open) < n
	return slices.Clone(t.open)
}

// renewalsEnd returns until when earlier terms may renew leases; it is not before now.
func (t *terms) renewalsEnd(now time.Time) time.Time {
	end := now
	for _, o := range t.openAt(now) {
		if o.renewsUntil.After(end) {
			end = o.renewsUntil
		}
	}
	return end
}

// remove records that a term renews no more leases.
func (t *terms) remove(ended openTerm) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.open = slices.DeleteFunc(t.open, func(o openTerm) bool { return o.leaderRef == ended.leaderRef })
	t.writeDue = true
}

// setDue makes the record due if its remaining times are outdated.
func (t *terms) setDue() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.writeDue = t.writeDue || len(t.open) > 0
}

func (t *terms) isDue() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.writeDue
}

// value returns the record at the given time. Ended means that the own term has ended.
func (t *terms) value(now time.Time, ended bool) ([]byte, error) {
	open := t.openAt(now)
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.encode(open, now, ended)
}

// encode is value with t.mu held.
func (t *terms) encode(open []openTerm, now time.Time, ended bool) ([]byte, error) {
	w := wireTerms{Last: t.last}
	if t.headChecked {
		// Otherwise the head may be of a term that is not in the record.
		w.Last = max(t.last, t.own.Token)
	}
	if !ended {
		own := t.own
		own.Witnesses = t.witnesses.Encode()
		w.Serving = &own
	}
	if ended && len(open) == 0 && t.contacts != nil {
		w.Contacts = &wireContacts{Seen: t.contacts.Seen.Encode(), First: t.contacts.First.Encode()}
	}
	for _, o := range open {
		w.Open = append(w.Open, wireTerm{
			leaderID: leaderID{ID: o.ID, Address: o.Address}, Token: o.Token, RemainingMs: o.renewsUntil.Sub(now).Milliseconds() + 1,
			Witnessed: len(o.witnesses) > 0, Witnesses: o.witnesses.Encode(),
		})
	}
	return json.Marshal(w)
}

// beginWrite returns the record that is going to be written at the given time. The outcome is reported
// to endWrite.
func (t *terms) beginWrite(now time.Time) ([]byte, error) {
	open := t.openAt(now)
	t.mu.Lock()
	defer t.mu.Unlock()
	value, err := t.encode(open, now, false)
	if err != nil {
		return nil, err
	}
	t.writeDue = false
	t.inDoubt, t.witnessedUntil = t.witnesses, time.Time{}
	return value, nil
}

// endWrite records that the record was written, or else that it is not known whether it was, and has to
// be written again.
func (t *terms) endWrite(written bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !written {
		t.writeDue = true
		return
	}
	t.durable, t.inDoubt, t.witnessedUntil = t.inDoubt, nil, time.Time{}
}

// termsWrite returns the write of the record of terms, if it is due. The caller reports its outcome to
// endWrite.
func (l *Leader) termsWrite() []store.Op {
	if !l.terms.isDue() {
		return nil
	}
	value, err := l.terms.beginWrite(l.Now())
	if err != nil {
		l.Log.Emit(eventlog.RecordUnreadable, zap.String("key", l.keys.terms), zap.Error(err))
		return nil
	}
	return []store.Op{store.Put(l.keys.terms, value)}
}

// retire gives up the leader's key and removes the term from the record of terms, in one commit.
// The term sends nothing to workers any more. If the key is gone already, the term stays in the
// record, until this node is asked or its time has passed.
func (l *Leader) retire() {
	l.recordContacts()
	value, err := l.terms.value(l.Now(), true)
	if err != nil {
		l.Log.Emit(eventlog.RecordUnreadable, zap.String("key", l.keys.terms), zap.Error(err))
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), renewTimeout)
	defer cancel()
	if _, err := l.Store.Commit(ctx, store.Txn{
		If:   []store.Condition{{Key: l.keys.leader, Revision: l.Token}},
		Then: []store.Op{store.Delete(l.keys.leader), store.Put(l.keys.terms, value)},
	}); err != nil {
		l.Log.Emit(eventlog.StoreUnavailable, zap.String("use", "end of term"), zap.Error(err))
	}
}

// retiredCheckInterval is the pause between two rounds of calls to the leaders of earlier terms.
const retiredCheckInterval = 300 * time.Millisecond

// awaitEarlierTerms asks the leaders of the earlier terms that may still renew leases until none
// may, and shortens the wait for unreached workers accordingly. A leader that the store refused
// learns of its successor from the first such call, and may end its term only after that.
func (m *cellMember) awaitEarlierTerms(ctx context.Context, leader *Leader) {
	startedAt := m.scheduler.now()
	var logged, written time.Time
	for {
		now := m.scheduler.now()
		open := leader.terms.openAt(now)
		if len(open) == 0 {
			break
		}
		if now.Sub(logged) >= openTermsLogInterval {
			leader.logOpenTerms(open, now)
			logged = now
		}
		m.askOpenTerms(ctx, leader, open)
		now = m.scheduler.now()
		leader.limitRenewals(now)
		if now.Sub(written) >= termsWriteInterval {
			leader.terms.setDue()
			leader.signal(leader.commitNeeded)
			written = now
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(retiredCheckInterval):
		}
	}
	now := m.scheduler.now()
	leader.limitRenewals(now)
	leader.signal(leader.commitNeeded)
	m.Log.Emit(eventlog.PreviousLeadersStopped, zap.Int64("token", leader.Token), zap.Duration("after", now.Sub(startedAt)))
}

const (
	// openTermsLogInterval is how often the terms that may still renew leases are logged.
	openTermsLogInterval = 5 * time.Second
	// termsWriteInterval is how often the remaining times of open terms are written again.
	termsWriteInterval = time.Second
)

// limitRenewals tells the core until when earlier terms may renew leases.
func (l *Leader) limitRenewals(now time.Time) {
	end := l.terms.renewalsEnd(now)
	l.withLock(func() { l.core.LimitRenewals(end) })
}

// logOpenTerms logs which earlier leaders may still renew leases, and until when runs on workers
// that are not reached may wait for that.
func (l *Leader) logOpenTerms(open []openTerm, now time.Time) {
	ids := make([]string, 0, len(open))
	for _, o := range open {
		ids = append(ids, o.ID)
	}
	var work time.Duration
	l.withLock(func() { work = l.core.UncontactedExpiry().Sub(now) })
	l.Log.Emit(eventlog.EarlierLeadersOpen, zap.Int64("token", l.Token), zap.Strings("leaders", ids),
		zap.Duration("renewFor", l.terms.renewalsEnd(now).Sub(now)), zap.Duration("givenUpIn", work))
}

// askOpenTerms asks the leaders of earlier terms whether they have stopped, and removes those that
// confirm it. An unanswered call counts as no confirmation.
func (m *cellMember) askOpenTerms(ctx context.Context, leader *Leader, open []openTerm) {
	var calls sync.WaitGroup
	for _, o := range open {
		calls.Go(func() {
			if m.isLeaderRetired(ctx, o.leaderRef) {
				leader.terms.remove(o)
			}
		})
	}
	calls.Wait()
}

func (m *cellMember) isLeaderRetired(ctx context.Context, leader leaderRef) bool {
	if leader.Address == m.scheduler.Address {
		return true
	}
	if leader.Address == "" {
		return false
	}
	c, err := m.scheduler.Peer(leader.Address, m.Cell.Index)
	if err != nil {
		return false
	}
	bounded, cancel := context.WithTimeout(ctx, leaderCallTimeout)
	defer cancel()
	retired, err := c.Retired(bounded, leader.Token)
	return err == nil && retired
}
