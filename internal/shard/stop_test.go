package shard

import (
	"context"
	"errors"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/internal/eventlog"
	"github.com/oriolepond/oriolepond/internal/journal"
	"github.com/oriolepond/oriolepond/internal/standin"
	"github.com/oriolepond/oriolepond/internal/store"
	"github.com/oriolepond/oriolepond/internal/task"
)

// heldCommit holds one commit of a store until the time for its answer is over or release is closed, and then carries
// it out or not.
type heldCommit struct {
	store.Client
	began, release chan struct{}
	// after is the number of commits before the one that is held.
	after              atomic.Int32
	carriesOut, answer bool
}

func (h *heldCommit) commit(ctx context.Context, t store.Txn) (store.Result, error) {
	if h.after.Add(-1) != -1 {
		return h.Client.Commit(ctx, t)
	}
	close(h.began)
	select {
	case <-ctx.Done():
	case <-h.release:
	}
	var result store.Result
	err := errors.New("no answer")
	if h.carriesOut {
		result, err = h.Client.Commit(context.WithoutCancel(ctx), t)
	}
	if h.answer {
		return result, err
	}
	return store.Result{}, &store.UnavailableError{Call: "commit", Err: ctx.Err()}
}

// Guards against jobs that a planned stop confirms although the commit with them was given up: the next one was taken for it.
func TestPlannedStopConfirmsWhatIsStored(t *testing.T) {
	for _, c := range []struct {
		name string
		// compacts is set if the held commit is part of a compaction.
		compacts bool
		// late is when the held commit goes on after the stop began. The last commit of a stop has finalCommitTimeout.
		late               time.Duration
		carriesOut, answer bool
		wantConfirmed      bool
	}{
		{name: "answered during the stop", late: 100 * time.Millisecond, carriesOut: true, answer: true, wantConfirmed: true},
		{name: "answer lost during the stop", late: 100 * time.Millisecond, carriesOut: true, wantConfirmed: true},
		{name: "request lost during the stop", late: 100 * time.Millisecond, wantConfirmed: true},
		{name: "carried out when the stop has given up", late: time.Hour, carriesOut: true},
		{name: "request lost, the stop has given up", late: time.Hour},
		{name: "compaction answered during the stop", compacts: true, late: 100 * time.Millisecond, carriesOut: true, answer: true, wantConfirmed: true},
		{name: "answer to a compaction lost during the stop", compacts: true, late: 100 * time.Millisecond, carriesOut: true, wantConfirmed: true},
		{name: "compaction lost during the stop", compacts: true, late: 100 * time.Millisecond, wantConfirmed: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			server := httptest.NewServer(standin.NewStore())
			defer server.Close()
			client := store.NewEtcd([]string{server.URL}, server.Client())
			key, err := client.Commit(t.Context(), store.Txn{Then: []store.Op{store.Put("/holder", nil)}})
			require.NoError(t, err)
			held := &heldCommit{Client: *client, began: make(chan struct{}), release: make(chan struct{}), carriesOut: c.carriesOut, answer: c.answer}
			slow := *client
			slow.Commit = held.commit
			fence := store.Condition{Key: "/holder", Revision: key.Revision}
			if c.compacts {
				held.after.Store(1)
				grown := &journal.Log{Store: client, Writer: &store.Writer{Client: client, ID: "former"}, Prefix: "/s/", Fence: fence}
				for !grown.NeedsCompaction() {
					account := journal.Account{Neighbour: "n", Share: strings.Repeat("s", 8<<10)}
					require.NoError(t, grown.Append(t.Context(), journal.Batch{Accounts: []journal.Account{account}}))
				}
			}
			w := newSimulation()
			l := &Leader{
				Shard:    w.shard,
				Journal:  &journal.Log{Store: &slow, Writer: &store.Writer{Client: &slow, ID: "leader"}, Prefix: "/s/", Fence: fence},
				Timing:   w.timing,
				Inputs:   func() Inputs { return Inputs{Config: w.config, Quotas: w.quotas(), Version: 1} },
				MayStart: func(time.Time) bool { return true },
				Log:      eventlog.Discard(),
			}
			require.NoError(t, l.Open(t.Context(), false))
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			confirmed := map[string]chan error{"committing": make(chan error, 1), "waiting": make(chan error, 1)}
			submit := func(id string) {
				_, err := l.Submit(t.Context(), task.Part{ID: id, Neighbour: "n", Share: "s", Name: "batch", Tasks: 1})
				confirmed[id] <- err
			}
			go submit("committing")
			ended := make(chan error, 1)
			go func() { ended <- l.Run(ctx) }()
			<-held.began
			go submit("waiting")
			require.Eventually(t, func() bool {
				l.mu.Lock()
				defer l.mu.Unlock()
				return l.core.HasChanges()
			}, waitLimit, time.Millisecond)
			stop()
			timer := time.AfterFunc(c.late, func() { close(held.release) })
			defer timer.Stop()
			<-ended
			next := NewCore(w.timing, w.now, false)
			next.Configure(w.config, w.quotas())
			batches, err := (&journal.Log{Store: client, Writer: &store.Writer{Client: client, ID: "next"}, Prefix: "/s/", Fence: fence}).Load(t.Context())
			require.NoError(t, err)
			next.Restore(batches, w.now)
			for id, result := range confirmed {
				err := <-result
				_, stored := next.jobs[id]
				require.Equal(t, c.wantConfirmed, err == nil, "job %s: %v", id, err)
				require.True(t, stored || err != nil, "job %s is confirmed and not stored", id)
			}
		})
	}
}
