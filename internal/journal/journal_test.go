package journal

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/internal/interference"
	"github.com/oriolepond/oriolepond/internal/placement"
	"github.com/oriolepond/oriolepond/internal/standin"
	"github.com/oriolepond/oriolepond/internal/store"
	"github.com/oriolepond/oriolepond/internal/task"
	"github.com/oriolepond/oriolepond/internal/worker"
	"github.com/oriolepond/oriolepond/pkg/share"
)

func sampleBatch() Batch {
	return Batch{
		Jobs: []task.Job{{
			Part:    task.Part{ID: "j~bajio.1", Neighbour: "quality", Share: "reviews", Name: "flatness-review", First: 3, Tasks: 2},
			EndedAt: time.UnixMilli(77), Counts: map[task.State]int{task.Finished: 2}, Reason: "r",
			Usage: worker.Usage{Processor: 5, MemoryTime: 1.5, Accelerator: 7}, Cancelled: true,
		}},
		Tasks: []task.Task{{
			Job: "j~bajio.1", Number: 4, State: task.Running, Incarnation: 2, Worker: "w",
			Size: share.Resources{Processors: 1, Memory: 2, Accelerators: 3}, Checkpoint: "c", Failures: 1, Reason: "f",
			EndedUsage: worker.Usage{Processor: 1}, LiveUsage: worker.Usage{MemoryTime: 2}, UsageReadAt: time.UnixMilli(78),
			MovedTo: "bajio.2", Transfer: 6, Origin: task.Origin{Shard: "bajio.1", Neighbour: "quality", Share: "reviews", Name: "n"},
		}},
		Accounts: []Account{{Neighbour: "quality", Share: "reviews", Usage: worker.Total{Accelerator: worker.Span{WholeSeconds: 1 << 40, Remainder: 9}}}},
		Lost: []Lost{{
			Ack: worker.Ack{Task: "t", Incarnation: 3}, Worker: "w", Job: "j", Neighbour: "quality", Share: "reviews",
			Counted: worker.Usage{Processor: 6}, UncountedAtMost: worker.Usage{Processor: 7}, LostAt: time.UnixMilli(79),
		}},
		Links:    []Link{{Shard: "bajio.2", Sent: 3, Received: 4}},
		Resolved: []worker.Ack{{Task: "u", Incarnation: 4}},
		Budgets:  []Budget{{Rule: "r", Evictions: []time.Time{time.UnixMilli(80), time.UnixMilli(81)}}},
		Learned: []Learned{{
			Sizes:   []placement.LearnedSize{{Family: "f", Peak: share.Resources{Processors: 1}, Count: 2}},
			Effects: []interference.LearnedEffect{{Service: "s", Family: "f", Mean: 0.5, Variance: 0.25, UpdatedAt: time.UnixMilli(82)}},
		}},
		Dropped: []string{"old"},
	}
}

func TestCodecKeepsEveryField(t *testing.T) {
	text, err := Encode(sampleBatch())
	require.NoError(t, err)
	b, err := Decode(text)
	require.NoError(t, err)
	require.Equal(t, sampleBatch(), b)
}

// Decode must return for any input, and what it decodes must survive another round of Encode and
// Decode.
func FuzzDecode(f *testing.F) {
	text, err := Encode(sampleBatch())
	require.NoError(f, err)
	f.Add(text)
	f.Add(append(text, text...))
	f.Add(text[:len(text)/2])
	f.Add([]byte{0x0a, 0xff, 0xff, 0xff, 0xff, 0x0f})
	f.Fuzz(func(t *testing.T, text []byte) {
		b, err := Decode(text)
		if err != nil {
			return
		}
		again, err := Encode(b)
		require.NoError(t, err)
		c, err := Decode(again)
		require.NoError(t, err)
		require.Equal(t, b.Len(), c.Len())
	})
}

// storeFixture is a store, with the fence of the journal's current leader.
type storeFixture struct {
	server *standin.Store
	client *store.Client
	fence  store.Condition
}

func newStoreFixture(t *testing.T) *storeFixture {
	t.Helper()
	s := standin.NewStore()
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	b := &storeFixture{server: s, client: store.NewEtcd([]string{server.URL}, server.Client())}
	b.replaceLeader(t)
	return b
}

// replaceLeader writes the leader's key again, so that writes under the previous fence are refused.
func (b *storeFixture) replaceLeader(t *testing.T) {
	t.Helper()
	r, err := b.client.Commit(context.Background(), store.Txn{Then: []store.Op{store.Put("/holder", nil)}})
	require.NoError(t, err)
	b.fence = store.Condition{Key: "/holder", Revision: r.Revision}
}

func (b *storeFixture) log(id string) *Log {
	return &Log{Store: b.client, Writer: &store.Writer{Client: b.client, ID: id}, Prefix: "/s/", Fence: b.fence}
}

// loadedJobs returns the identifiers of the jobs in a journal, in order.
func loadedJobs(t *testing.T, l *Log) []string {
	t.Helper()
	batches, err := l.Load(context.Background())
	require.NoError(t, err)
	var ids []string
	for _, b := range batches {
		for _, j := range b.Jobs {
			ids = append(ids, j.ID)
		}
	}
	return ids
}

// jobBatch returns a batch with a job for each of the given numbers.
func jobBatch(n ...int) Batch {
	var b Batch
	for _, i := range n {
		b.Jobs = append(b.Jobs, task.Job{Part: task.Part{ID: fmt.Sprintf("job-%04d", i)}})
	}
	return b
}

// All committed batches must be read back in order, even if responses of the store are lost and
// snapshots are made in between.
func TestLoadReadsBackEverything(t *testing.T) {
	b := newStoreFixture(t)
	b.server.SetLostAnswers(0.2, 3)
	l := b.log("a")
	var want []string
	state := Batch{}
	for i := range 60 {
		batch := jobBatch(i)
		batch.Jobs[0].Reason = strings.Repeat("r", 2000)
		state.Jobs = append(state.Jobs, batch.Jobs...)
		want = append(want, batch.Jobs[0].ID)
		require.NoError(t, l.Append(context.Background(), batch))
		if l.NeedsCompaction() {
			require.NoError(t, l.Compact(context.Background(), state))
		}
	}
	b.server.SetLostAnswers(0, 0)
	require.Positive(t, l.snapshotBytes, "no snapshot was made")
	require.Equal(t, want, loadedJobs(t, b.log("b")))
}

// A batch that exceeds the store's limit on the size of a value must be written as several values
// in one commit.
func TestLargeBatchIsOneCommit(t *testing.T) {
	b := newStoreFixture(t)
	var numbers []int
	for i := range 9000 {
		numbers = append(numbers, i)
	}
	batch := jobBatch(numbers...)
	for i := range batch.Jobs {
		batch.Jobs[i].Reason = strings.Repeat("r", 100)
	}
	l := b.log("a")
	require.NoError(t, l.Append(context.Background(), batch))
	require.NoError(t, l.Append(context.Background(), jobBatch(9000)))
	require.Len(t, loadedJobs(t, b.log("b")), 9001)
	require.NoError(t, l.Compact(context.Background(), batch))
	require.Len(t, loadedJobs(t, b.log("c")), 9000)
}

// A leader that was replaced must not be able to append or to replace the snapshot.
func TestReplacedLeaderWritesNothing(t *testing.T) {
	b := newStoreFixture(t)
	old := b.log("old")
	require.NoError(t, old.Append(context.Background(), jobBatch(1)))
	b.replaceLeader(t)
	var fenced *FencedError
	require.True(t, errors.As(old.Append(context.Background(), jobBatch(2)), &fenced))
	require.True(t, errors.As(old.Compact(context.Background(), Batch{}), &fenced))
	require.Equal(t, []string{"job-0001"}, loadedJobs(t, b.log("new")))
}

// A commit whose responses are lost while the store goes down must be recognised as done once the
// store has recovered.
func TestCommitSurvivesOutageWithLostAnswers(t *testing.T) {
	b := newStoreFixture(t)
	b.server.SetLostAnswers(1, 1)
	done := make(chan error, 1)
	go func() { done <- b.log("a").Append(context.Background(), jobBatch(1)) }()
	require.Eventually(t, func() bool { return b.server.Counts().Writes > 1 }, 10*time.Second, time.Millisecond)
	b.server.SetDown(true)
	b.server.SetLostAnswers(0, 0)
	b.server.SetDown(false)
	require.NoError(t, <-done)
	require.Equal(t, []string{"job-0001"}, loadedJobs(t, b.log("b")))
}

// Guards against a batch that is overwritten by the next one: its commit was given up by the caller and took effect all the same.
func TestAbandonedBatchIsNotOverwritten(t *testing.T) {
	b := newStoreFixture(t)
	l := b.log("a")
	slow := *b.client
	l.Writer.Client = &slow
	require.NoError(t, l.Append(t.Context(), jobBatch(1)))
	ctx, cancel := context.WithCancel(t.Context())
	slow.Commit = func(_ context.Context, txn store.Txn) (store.Result, error) {
		_, err := b.client.Commit(t.Context(), txn)
		require.NoError(t, err)
		cancel()
		return store.Result{}, &store.UnavailableError{Call: "commit", Err: context.Canceled}
	}
	require.Error(t, l.Append(ctx, jobBatch(2)))
	slow.Commit = b.client.Commit
	require.Error(t, l.Append(t.Context(), jobBatch(3)))
	require.Equal(t, []string{"job-0001", "job-0002"}, loadedJobs(t, b.log("b")))
	require.Equal(t, []string{"job-0001", "job-0002"}, loadedJobs(t, l))
	require.NoError(t, l.Append(t.Context(), jobBatch(3)))
	require.Equal(t, []string{"job-0001", "job-0002", "job-0003"}, loadedJobs(t, b.log("c")))
}
