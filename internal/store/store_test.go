package store_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/internal/standin"
	"github.com/oriolepond/oriolepond/internal/store"
)

func newStore(t *testing.T) (*standin.Store, *store.Client) {
	t.Helper()
	s := standin.NewStore()
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	return s, store.NewEtcd([]string{server.URL}, server.Client())
}

// Half of all answers are lost after the commit was applied. The writer has to
// apply each commit exactly once and report its revision.
func TestWriterKnowsOutcomeOfLostAnswers(t *testing.T) {
	s, client := newStore(t)
	s.SetLostAnswers(0.5, 7)
	w := &store.Writer{Client: client, ID: "w"}
	var revision int64
	for range 20 {
		result, err := w.Commit(context.Background(), store.Txn{
			If:   []store.Condition{{Key: "/k", Revision: revision}},
			Then: []store.Op{store.Put("/k", []byte("v"))},
		})
		require.NoError(t, err)
		require.True(t, result.Done)
		revision = result.Revision
	}
	s.SetLostAnswers(0, 0)
	e, ok, err := client.Read(context.Background(), "/k")
	require.NoError(t, err)
	require.True(t, ok)
	require.Equal(t, revision, e.Revision)
	require.EqualValues(t, 21, revision, "each commit advances the store's revision by one")
}

// A commit whose condition does not hold has to be reported as not done, without an error.
func TestWriterReportsFailedCondition(t *testing.T) {
	_, client := newStore(t)
	w := &store.Writer{Client: client, ID: "w"}
	result, err := w.Commit(context.Background(), store.Txn{If: []store.Condition{{Key: "/k", Revision: 9}}})
	require.NoError(t, err)
	require.False(t, result.Done)
}

// Guards against a commit that is reported as not done because the one before it was given up by its caller and took effect all the
// same: only the writer's own condition failed.
func TestAbandonedCommitRefusesNoOther(t *testing.T) {
	_, client := newStore(t)
	slow := *client
	w := &store.Writer{Client: &slow, ID: "w"}
	ctx, cancel := context.WithCancel(t.Context())
	slow.Commit = func(_ context.Context, txn store.Txn) (store.Result, error) {
		_, err := client.Commit(t.Context(), txn)
		require.NoError(t, err)
		cancel()
		return store.Result{}, &store.UnavailableError{Call: "commit", Err: context.Canceled}
	}
	put := func(key string) store.Txn {
		return store.Txn{If: []store.Condition{{Key: key}}, Then: []store.Op{store.Put(key, nil)}}
	}
	_, err := w.Commit(ctx, put("/first"))
	require.Error(t, err)
	slow.Commit = client.Commit
	for _, c := range []struct {
		key  string
		want bool
	}{{"/second", true}, {"/first", false}, {"/second", false}, {"/third", true}} {
		result, err := w.Commit(t.Context(), put(c.key))
		require.NoError(t, err)
		require.Equal(t, c.want, result.Done, c.key)
		_, found, err := client.Read(t.Context(), c.key)
		require.NoError(t, err)
		require.True(t, found, c.key)
	}
}

// Guards against a commit that is reported as failed although it has taken effect: the gateway has a status with a JSON body for a
// call that ran out of time, too.
func TestErrorStatusLeavesOutcomeOpen(t *testing.T) {
	for _, c := range []struct {
		name        string
		status      int
		body        string
		takesEffect bool
		wantDone    bool
	}{
		{"deadline exceeded, took effect", http.StatusGatewayTimeout, `{"code":4,"message":"context deadline exceeded"}`, true, true},
		{"deadline exceeded, no effect", http.StatusGatewayTimeout, `{"code":4,"message":"context deadline exceeded"}`, false, true},
		{"internal error, took effect", http.StatusInternalServerError, `{"code":13,"message":"stream terminated"}`, true, true},
		{"unavailable, took effect", http.StatusServiceUnavailable, `{"code":14,"message":"etcdserver: request timed out"}`, true, true},
		{"refused", http.StatusBadRequest, `{"code":3,"message":"invalid"}`, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := standin.NewStore()
			var failed atomic.Bool
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path != "/v3/kv/txn" || failed.Swap(true) {
					s.ServeHTTP(w, r)
					return
				}
				if c.takesEffect {
					s.ServeHTTP(httptest.NewRecorder(), r)
				}
				w.WriteHeader(c.status)
				_, _ = io.WriteString(w, c.body)
			}))
			t.Cleanup(server.Close)
			client := store.NewEtcd([]string{server.URL}, server.Client())
			w := &store.Writer{Client: client, ID: "w"}
			result, err := w.Commit(t.Context(), store.Txn{If: []store.Condition{{Key: "/k"}}, Then: []store.Op{store.Put("/k", nil)}})
			require.Equal(t, c.wantDone, err == nil && result.Done, "%v", err)
		})
	}
}

// The watch starts after a listing and has to deliver later puts and deletions.
func TestWatchDeliversChanges(t *testing.T) {
	_, client := newStore(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	put := func(key string) {
		_, err := client.Commit(ctx, store.Txn{Then: []store.Op{store.Put(key, []byte("v"))}})
		require.NoError(t, err)
	}
	put("/w/a")
	first, err := client.List(ctx, "/w/")
	require.NoError(t, err)
	put("/w/b")
	changes := make(chan store.Change, 10)
	ended := make(chan error, 1)
	go func() {
		ended <- client.Watch(ctx, "/w/", first.Revision+1, func(u store.Update) {
			for _, c := range u.Changes {
				changes <- c
			}
		})
	}()
	next := func() store.Change {
		select {
		case c := <-changes:
			return c
		case err := <-ended:
			require.NoError(t, err, "the watch ended early")
		}
		return store.Change{}
	}
	require.Equal(t, "/w/b", next().Entry.Key)
	_, err = client.Commit(ctx, store.Txn{Then: []store.Op{store.Delete("/w/a")}})
	require.NoError(t, err)
	deleted := next()
	require.Equal(t, "/w/a", deleted.Entry.Key)
	require.True(t, deleted.Deleted)
}
