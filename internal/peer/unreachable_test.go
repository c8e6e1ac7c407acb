package peer_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"

	"github.com/oriolepond/oriolepond/internal/batch"
	"github.com/oriolepond/oriolepond/internal/peer"
	"github.com/oriolepond/oriolepond/internal/scheduler"
	"github.com/oriolepond/oriolepond/pkg/share"
)

// A submission that got no connection was not sent; one whose connection breaks may have been carried out.
func TestSubmissionToUnreachablePeer(t *testing.T) {
	for _, c := range []struct {
		name string
		// listen returns the address of a peer, or of none.
		listen func(t *testing.T) string
		want   error
	}{
		{
			name: "nothing listens", want: new(scheduler.UnreachableError),
			listen: func(t *testing.T) string {
				l := listenLocally(t)
				require.NoError(t, l.Close())
				return l.Addr().String()
			},
		},
		{
			name: "nothing is answered", want: new(scheduler.UnreachableError),
			listen: func(t *testing.T) string { return listenLocally(t).Addr().String() },
		},
		{
			name: "stopped during the call", want: new(scheduler.UnknownOutcomeError),
			listen: func(t *testing.T) string {
				return serveSubmissions(t, func(server *grpc.Server) error {
					go server.Stop()
					<-t.Context().Done()
					return nil
				})
			},
		},
		{
			name: "too late", want: new(scheduler.UnknownOutcomeError),
			listen: func(t *testing.T) string {
				return serveSubmissions(t, func(*grpc.Server) error {
					<-t.Context().Done()
					return nil
				})
			},
		},
		{
			name: "refused", want: new(scheduler.UnavailableError),
			listen: func(t *testing.T) string {
				return serveSubmissions(t, func(*grpc.Server) error { return &scheduler.UnavailableError{Reason: "no"} })
			},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			for _, relay := range []bool{false, true} {
				pool := &peer.Pool{}
				conn, err := pool.Conn(c.listen(t))
				require.NoError(t, err)
				submit := peer.NewJobs(conn, 0).Submit
				if relay {
					submit = peer.NewJobs(conn, 0).Relay
				}
				ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
				require.IsType(t, c.want, submit(ctx, batch.Job{ID: "00000000000000ff", Queue: "review", Steps: []batch.Step{
					{Tasks: 1, Size: share.Resources{Processors: 100, Memory: 1 << 20}},
				}}))
				cancel()
				pool.Close()
			}
		})
	}
}

func listenLocally(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// serveSubmissions serves submissions on loopback and returns the address.
func serveSubmissions(t *testing.T, submit func(*grpc.Server) error) string {
	t.Helper()
	l, server := listenLocally(t), grpc.NewServer()
	handle := func(context.Context, batch.Job) error { return submit(server) }
	peer.RegisterJobs(server, func(int) *scheduler.Calls { return &scheduler.Calls{Submit: handle, Relay: handle} }, nil)
	go func() { _ = server.Serve(l) }()
	return l.Addr().String()
}
