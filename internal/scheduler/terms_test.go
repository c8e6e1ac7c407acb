package scheduler

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/internal/batch"
	"github.com/oriolepond/oriolepond/internal/eventlog"
	"github.com/oriolepond/oriolepond/internal/store"
)

// Guards against two runs of a task in a deployment whose earlier leaders wrote no record of terms:
// there, and where the record cannot be read, an unknown leader may still renew leases.
func TestLeaderWithoutRecordMayRenewLeases(t *testing.T) {
	for _, c := range []struct {
		name string
		// record is the value of the record; empty means that there is none.
		record string
		head   string
		want   int
	}{
		{"no record", "", "7/3", 1},
		{"no record and nothing committed", "", "", 0},
		{"unreadable record", "{", "7/3", 1},
		{"leader without record after the last one in it", `{"last":5}`, "7/3", 1},
		{"last leader has ended", `{"last":7}`, "7/3", 0},
		{"unreadable head", `{"last":7}`, "x", 1},
		{"last leader did not end", `{"serving":{"id":"a/1","address":"a","token":7},"last":5}`, "7/3", 1},
		{"last leader wrote no record after its election", `{"serving":{"id":"a/1","address":"a"},"last":7}`, "7/3", 1},
		{"and was the first to write one", `{"serving":{"id":"a/1","address":"a"}}`, "7/3", 2},
		{"and followed one without a record", `{"serving":{"id":"a/1","address":"a"},"last":5}`, "7/3", 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1_000_000_000, 0)
			s := &Scheduler{ID: "c/1", Address: "c", Timing: batch.DefaultTiming(), Log: eventlog.Discard(), Now: func() time.Time { return now }}
			s.setCellCount(1)
			m := s.homeMember("")
			record := m.successor(store.Entry{Value: []byte(c.record), Revision: 9}, c.record != "")
			terms := newTerms(record, 12, s.renewalLimit(), now)
			terms.checkHead(c.head, c.head != "", now)
			open := map[string]bool{}
			for _, o := range terms.openAt(now) {
				open[fmt.Sprint(o.ID, o.Token)] = true
				require.Contains(t, []leaderRef{{ID: "unknown"}, {ID: "a/1", Address: "a", Token: 7}, {ID: "a/1", Address: "a", Token: 9}}, o.leaderRef)
				require.False(t, o.renewsUntil.Before(now.Add(s.renewalLimit())))
			}
			require.Len(t, open, c.want)
			// A term that ends before it has checked the head vouches for nothing.
			unchecked, err := newTerms(record, 12, s.renewalLimit(), now).value(now, true)
			require.NoError(t, err)
			next := newTerms(m.successor(store.Entry{Value: unchecked, Revision: 13}, true), 14, s.renewalLimit(), now)
			next.checkHead(c.head, c.head != "", now)
			require.GreaterOrEqual(t, len(next.openAt(now)), c.want)
		})
	}
}

// Guards against a wait that begins anew, or ends too early, with each of several terms: the time for
// which an earlier leader may renew leases must only decrease in the record, and never by more than has passed.
func TestRecordKeepsTimesOfEarlierTerms(t *testing.T) {
	now := time.Unix(1_000_000_000, 0)
	s := &Scheduler{Timing: batch.DefaultTiming(), Log: eventlog.Discard()}
	limit := s.renewalLimit()
	value, err := json.Marshal(wireTerms{Serving: &wireTerm{leaderID: leaderID{ID: "a/1", Address: "a"}, Token: 1}, Last: 1})
	require.NoError(t, err)
	goneAt := now
	for i := range 3 {
		s.ID, s.Address = fmt.Sprintf("n%d/1", i), fmt.Sprintf("n%d", i)
		m := &cellMember{scheduler: s, Log: s.Log}
		terms := newTerms(m.successor(store.Entry{Value: value}, true), int64(i+2), limit, now)
		now = now.Add(3 * time.Second)
		value, err = terms.value(now, true)
		require.NoError(t, err)
		var w wireTerms
		require.NoError(t, json.Unmarshal(value, &w))
		require.Nil(t, w.Serving)
		require.Len(t, w.Open, 1, "only the first term did not end")
		require.Equal(t, int64(1), w.Open[0].Token)
		until := now.Add(time.Duration(w.Open[0].RemainingMs) * time.Millisecond)
		require.False(t, until.Before(goneAt.Add(limit)))
		require.Less(t, until.Sub(goneAt), limit+500*time.Millisecond)
	}
}

// Guards against a candidate that leads unseen: the leader's key is won with the record of terms as it
// was read, or not at all.
func TestKeyIsNotWonWithOutdatedRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := newFakeStore()
		s := &Scheduler{ID: "c/1", Address: "c", Timing: batch.DefaultTiming(), Log: eventlog.Discard(), Store: fake.client("c")}
		s.setCellCount(1)
		m := s.homeMember("")
		ctx := context.Background()
		id, err := m.grantLease(ctx)
		require.NoError(t, err)
		former, found, err := m.readTerms(ctx)
		require.NoError(t, err)
		record := m.successor(former, found)
		fake.put(m.keys.terms, []byte(`{"last":1}`))
		_, won := m.acquireKey(ctx, id, record, former.Revision)
		require.False(t, won)
		former, found, err = m.readTerms(ctx)
		require.NoError(t, err)
		token, won := m.acquireKey(ctx, id, m.successor(former, found), former.Revision)
		require.True(t, won)
		stored, _, err := m.readTerms(ctx)
		require.NoError(t, err)
		require.Equal(t, token, stored.Revision, "the record must determine the token of its term")
	})
}

// Guards against a node that denies a term which it is about to begin: the answer of the store to
// its candidacy may come after another node was elected and asks.
func TestCandidateDoesNotConfirmThatItHasStopped(t *testing.T) {
	m := &cellMember{}
	require.True(t, m.isRetired(5))
	require.True(t, m.becomeCandidate())
	require.False(t, m.isRetired(5))
	m.endCandidacy()
	require.True(t, m.isRetired(5))
	m.steppedDown = true
	require.False(t, m.becomeCandidate())
}
