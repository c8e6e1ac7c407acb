package peer_test

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"

	"github.com/oriolepond/oriolepond/internal/batch"
	"github.com/oriolepond/oriolepond/internal/eventlog"
	"github.com/oriolepond/oriolepond/internal/intake"
	"github.com/oriolepond/oriolepond/internal/peer"
	"github.com/oriolepond/oriolepond/internal/scheduler"
)

// Guards against a leader that exceeds its memory because of large jobs that other nodes hand on: they are
// refused before anything is done with them, and ordinary jobs are not.
func TestLargeSubmissionsAreLimited(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server, submitted := grpc.NewServer(peer.ServerOptions(eventlog.Discard())...), make(chan string, 3)
	peer.RegisterJobs(server, func(int) *scheduler.Calls {
		return &scheduler.Calls{Submit: func(_ context.Context, j batch.Job) error {
			submitted <- j.ID
			return nil
		}}
	}, &intake.Budget{Limits: intake.Limits{Bytes: 1 << 20}})
	go func() { _ = server.Serve(l) }()
	t.Cleanup(server.Stop)
	pool := &peer.Pool{}
	t.Cleanup(pool.Close)
	conn, err := pool.Conn(l.Addr().String())
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	var unavailable *scheduler.UnavailableError
	for _, c := range []struct {
		id      string
		bytes   int
		refused bool
	}{{"0000000000000001", 100_000, false}, {"0000000000000002", 200_000, true}, {"0000000000000003", 1000, false}} {
		j := batch.Job{ID: c.id, Queue: "q", Spec: strings.Repeat("x", c.bytes), Steps: []batch.Step{{Tasks: 1}}}
		err := peer.NewJobs(conn, 0).Submit(ctx, j)
		if c.refused {
			require.ErrorAs(t, err, &unavailable)
			require.Equal(t, intake.RetryAfter, unavailable.RetryAfter)
			continue
		}
		require.NoError(t, err)
		require.Equal(t, c.id, <-submitted)
	}
	require.Empty(t, submitted)
}
