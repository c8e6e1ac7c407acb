package peer_test

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"

	"github.com/oriolepond/oriolepond/internal/batch"
	"github.com/oriolepond/oriolepond/internal/eventlog"
	"github.com/oriolepond/oriolepond/internal/intake"
	"github.com/oriolepond/oriolepond/internal/peer"
	"github.com/oriolepond/oriolepond/internal/scheduler"
)

// serveJobs starts a server of a node that accepts each job, and returns its address. A nil budget has no limit.
func serveJobs(t testing.TB, messages *intake.Budget) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := l.Addr().String()
	if messages != nil {
		l = messages.ListenMessages(l)
	}
	server := grpc.NewServer(peer.JobServerOptions(eventlog.Discard())...)
	peer.RegisterJobs(server, func(int) *scheduler.Calls {
		return &scheduler.Calls{Submit: func(context.Context, batch.Job) error { return nil }}
	}, nil)
	go func() { _ = server.Serve(l) }()
	t.Cleanup(server.Stop)
	return address
}

// jobOf returns a job with a text.
func jobOf(bytes int) batch.Job {
	return batch.Job{ID: "0000000000000001", Queue: "q", Spec: strings.Repeat("x", bytes), Steps: []batch.Step{{Tasks: 1}}}
}

// Guards against jobs of other nodes that fail because several large ones arrive at once, and against bytes that
// are not given back, by how a call ends.
func TestMessagesOfNodesFindRoom(t *testing.T) {
	const (
		conns, rounds = 4, 8
		tooLarge      = 9 << 20
	)
	now := time.Now()
	b := &intake.Budget{Limits: intake.Limits{Bytes: intake.LimitsFor(intake.MinMemory, 0).Peers.Bytes}, Now: func() time.Time { return now }}
	address := serveJobs(t, b)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	var all sync.WaitGroup
	for range conns {
		pool := &peer.Pool{}
		t.Cleanup(pool.Close)
		conn, err := pool.Conn(address)
		require.NoError(t, err)
		calls := peer.NewJobs(conn, 0)
		for _, bytes := range []int{100, 2000, 100_000, 1_000_000} {
			all.Go(func() {
				for range rounds {
					assert.NoError(t, calls.Submit(ctx, jobOf(bytes)), "%d bytes", bytes)
				}
			})
		}
		all.Go(func() {
			for i := range rounds {
				short, cancel := context.WithTimeout(ctx, time.Duration(i)*time.Millisecond)
				_ = calls.Submit(short, jobOf(1_000_000))
				cancel()
				assert.Error(t, calls.Submit(ctx, jobOf(tooLarge)))
			}
		})
	}
	all.Wait()
	require.Eventually(t, func() bool { return b.Usage().Bytes == 0 }, 10*time.Second, time.Millisecond)
	require.Equal(t, intake.Usage{Conns: conns}, b.Usage())
}

// BenchmarkSubmit measures submissions from another node, without and with a limit on the messages that arrive.
func BenchmarkSubmit(b *testing.B) {
	for _, bytes := range []int{2000, 100_000, 1_000_000} {
		for _, c := range []struct {
			name     string
			messages *intake.Budget
		}{{"plain", nil}, {"counted", &intake.Budget{Limits: intake.Limits{Bytes: intake.LimitsFor(160<<20, 0).Peers.Bytes}}}} {
			b.Run(fmt.Sprintf("size=%d/%s", bytes, c.name), func(b *testing.B) {
				pool := &peer.Pool{}
				defer pool.Close()
				conn, err := pool.Conn(serveJobs(b, c.messages))
				require.NoError(b, err)
				calls := peer.NewJobs(conn, 0)
				b.SetBytes(int64(bytes))
				b.RunParallel(func(pb *testing.PB) {
					for pb.Next() {
						if err := calls.Submit(b.Context(), jobOf(bytes)); err != nil {
							b.Error(err)
							return
						}
					}
				})
			})
		}
	}
}
