package scheduler

import (
	"encoding/json"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/internal/batch"
	"github.com/oriolepond/oriolepond/internal/store"
)

// delegationOf returns the inbox entry by which the first cell delegates one task of a long-running job.
func delegationOf(t *testing.T, j batch.Job, task int) []byte {
	t.Helper()
	value, err := batch.EncodeJob(j)
	require.NoError(t, err)
	w := map[string]any{}
	require.NoError(t, json.Unmarshal(value, &w))
	w["state"], w["occurrences"], w["acceptedMillis"], w["path"] = batch.Active, 1, time.Now().UnixMilli(), []int{0}
	w["stages"] = []any{map[string]any{"stage": 0, "tasks": []any{map[string]any{"i": task, "m": 1}}}}
	value, err = json.Marshal(w)
	require.NoError(t, err)
	return value
}

// writesUnder reports whether a transaction writes a key with a prefix.
func writesUnder(t store.Txn, prefix string) bool {
	return slices.ContainsFunc(t.Then, func(op store.Op) bool { return op.Kind != store.OpDelete && strings.HasPrefix(op.Key, prefix) })
}

// Guards against an inbox entry that is removed with an older record: it arrived after the record had been encoded, and the
// leader was lost before its next commit.
func TestInboxEntryOutlastsCommitOfOlderRecord(t *testing.T) {
	const cell, count, tasks = 1, 2, 2
	k := keysOfCell(cell)
	for _, c := range []struct {
		name string
		// entries returns the key and the value of the entry that the record contains, and of the one that arrives late.
		entries func(t *testing.T, j batch.Job) (first, late store.Entry)
		running int
	}{
		{
			name: "cancel",
			entries: func(t *testing.T, j batch.Job) (first, late store.Entry) {
				value, err := batch.EncodeJob(j)
				require.NoError(t, err)
				return store.Entry{Key: k.inbox + j.ID, Value: value}, store.Entry{Key: k.inbox + j.ID + cancelSuffix, Value: cancelValue}
			},
		},
		{
			name: "delegation",
			entries: func(t *testing.T, j batch.Job) (first, late store.Entry) {
				return store.Entry{Key: k.delegation(j.ID, 0, 1), Value: delegationOf(t, j, 0)},
					store.Entry{Key: k.delegation(j.ID, 0, 2), Value: delegationOf(t, j, 1)}
			},
			running: tasks,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newCellCluster(t, count, time.Hour, "a", "b", "c")
				defer cl.stop()
				j := longRunningJob(jobAt(cell, count, 1, 1), tasks)
				first, late := c.entries(t, j)
				lost := make(chan string, 1)
				commits := 0
				cl.store.update(func(s *fakeStore) {
					s.beforeCommit = func(client string, txn store.Txn) error {
						if !writesUnder(txn, k.jobs+j.ID) {
							return nil
						}
						switch commits++; commits {
						case 1:
							// The records are committed one by one after this.
							cl.store.put(late.Key, late.Value)
							time.Sleep(100 * time.Millisecond)
							return &store.InvalidError{Call: "commit", Status: 400}
						case 3:
							cl.store.update(func(s *fakeStore) { s.unansweredClients[client] = true })
							lost <- client
						}
						return nil
					}
				})
				cl.store.put(first.Key, first.Value)
				cl.crash(<-lost)
				time.Sleep(20 * time.Second)
				require.Equal(t, c.running, cl.runningTasks(j.ID))
				require.Equal(t, c.running, cl.workers.startCount())
				require.False(t, cl.store.has(late.Key), "the entry stays in the inbox")
			})
		})
	}
}

// Guards against a job that is committed again and again because more inbox entries are to be removed with its record than fit
// into one commit.
func TestManyInboxEntriesOfOneJobAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const cell, count, tasks = 1, 2, 2*maxCommitEntries + 1
		k := keysOfCell(cell)
		cl := newCellCluster(t, count, time.Hour, "a", "b")
		defer cl.stop()
		j := longRunningJob(jobAt(cell, count, 1, 1), tasks)
		j.Steps[0].Size.Processors = 1
		for i := range tasks {
			cl.store.put(k.delegation(j.ID, 0, i+1), delegationOf(t, j, i))
		}
		time.Sleep(2 * time.Second)
		require.Equal(t, tasks, cl.runningTasks(j.ID))
		commits := 0
		cl.store.update(func(s *fakeStore) {
			require.Empty(t, s.withPrefix(k.inbox), "entries stay in the inbox")
			commits = s.commits
		})
		time.Sleep(10 * time.Second)
		cl.store.update(func(s *fakeStore) { require.Less(t, s.commits-commits, 100) })
	})
}
