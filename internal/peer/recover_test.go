package peer_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"

	"github.com/oriolepond/oriolepond/internal/batch"
	"github.com/oriolepond/oriolepond/internal/eventlog"
	"github.com/oriolepond/oriolepond/internal/peer"
	"github.com/oriolepond/oriolepond/internal/scheduler"
)

// A panic in the handler of a call fails that call with an unknown outcome. The server
// answers the next call.
func TestPanicInOneCallEndsOnlyThatCall(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := grpc.NewServer(peer.ServerOptions(eventlog.Discard())...)
	peer.RegisterJobs(server, func(cell int) *scheduler.Calls {
		return &scheduler.Calls{
			Cancel: func(context.Context, string) (bool, error) { panic("odd job") },
			State: func(context.Context, string) (batch.State, bool, error) {
				return "", true, &scheduler.MovedError{Cell: cell + 1}
			},
		}
	}, nil)
	go func() { _ = server.Serve(l) }()
	t.Cleanup(server.Stop)
	pool := &peer.Pool{}
	t.Cleanup(pool.Close)
	conn, err := pool.Conn(l.Addr().String())
	require.NoError(t, err)
	jobs := peer.NewJobs(conn, 4)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	_, err = jobs.Cancel(ctx, "j")
	require.ErrorAs(t, err, new(*scheduler.UnknownOutcomeError))
	_, _, err = jobs.State(ctx, "j")
	var moved *scheduler.MovedError
	require.ErrorAs(t, err, &moved)
	require.Equal(t, 5, moved.Cell)
}
