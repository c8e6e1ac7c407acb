package home_test

import (
	"context"
	"errors"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/internal/home"
	"github.com/oriolepond/oriolepond/internal/standin"
	"github.com/oriolepond/oriolepond/internal/store"
)

// Guards against a request that runs again because the answer to the write of its key was lost, or the key was removed late.
func TestJournaledKeyRunsOnceDespiteLostAnswers(t *testing.T) {
	key := home.Key{Scope: "s", Value: "no timestamp"}
	for _, c := range []struct {
		name string
		// lost is the number of the commit whose answer is lost. It takes effect at once, after the second call, or never.
		lost         int
		atOnce, late bool
		// undo releases the key after the first Begin.
		undo bool
		// wantNew are the results of three calls of Begin. Only a call that returns true lets a request run.
		wantNew []bool
	}{
		{name: "none", wantNew: []bool{true, false, false}},
		{name: "answer to the first", lost: 1, atOnce: true, wantNew: []bool{false, false, false}},
		{name: "first arrives late", lost: 1, late: true, wantNew: []bool{false, true, false}},
		{name: "first lost", lost: 1, wantNew: []bool{false, true, false}},
		{name: "released", undo: true, wantNew: []bool{true, true, false}},
		{name: "answer to the release", lost: 2, undo: true, atOnce: true, wantNew: []bool{true, true, false}},
		{name: "release arrives late", lost: 2, undo: true, late: true, wantNew: []bool{true, false, true}},
		{name: "release lost", lost: 2, undo: true, wantNew: []bool{true, false, false}},
	} {
		t.Run(c.name, func(t *testing.T) {
			server := httptest.NewServer(standin.NewStore())
			defer server.Close()
			client := store.NewEtcd([]string{server.URL}, server.Client())
			slow := *client
			var late *store.Txn
			commits := 0
			slow.Commit = func(ctx context.Context, txn store.Txn) (store.Result, error) {
				commits++
				if commits != c.lost {
					return client.Commit(ctx, txn)
				}
				if c.atOnce {
					_, err := client.Commit(ctx, txn)
					require.NoError(t, err)
				}
				if c.late {
					late = &txn
				}
				return store.Result{}, &store.UnavailableError{Call: "commit", Err: errors.New("no answer")}
			}
			var isNew []bool
			for n := range 3 {
				// Each home has a journal of its own.
				j := &home.Journal{Store: &slow}
				begun, _ := j.Begin(t.Context(), key)
				isNew = append(isNew, begun)
				if n == 0 && c.undo {
					_ = j.Undo(t.Context(), key)
				}
				if n == 1 && late != nil {
					_, err := client.Commit(t.Context(), *late)
					require.NoError(t, err)
				}
			}
			require.Equal(t, c.wantNew, isNew)
		})
	}
}
