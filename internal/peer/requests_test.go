package peer

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/connectivity"

	"github.com/oriolepond/oriolepond/internal/entry"
	"github.com/oriolepond/oriolepond/internal/eventlog"
	"github.com/oriolepond/oriolepond/pkg/release"
)

// waitTimeout bounds each wait of a test.
const waitTimeout = 20 * time.Second

// dialRequests serves r over TCP, and returns a client and the server.
func dialRequests(t *testing.T, r *Requests) (*Requests, *grpc.Server) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := grpc.NewServer(ServerOptions(eventlog.Discard())...)
	if r.Resolve == nil {
		r.Resolve = func(neighbour, service, route string) (entry.Request, bool) {
			q := entry.Request{Route: release.Route{Path: route}}
			q.Neighbour.Name, q.Service.Name = neighbour, service
			return q, true
		}
	}
	RegisterRequests(server, r)
	go func() { _ = server.Serve(l) }()
	t.Cleanup(server.Stop)
	pool := &Pool{}
	t.Cleanup(pool.Close)
	conn, err := pool.Conn(l.Addr().String())
	require.NoError(t, err)
	awaitConnection(t, conn)
	return NewRequests(conn), server
}

// awaitConnection waits until a connection is ready.
func awaitConnection(t *testing.T, conn *grpc.ClientConn) {
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	conn.Connect()
	for s := conn.GetState(); s != connectivity.Ready; s = conn.GetState() {
		require.True(t, conn.WaitForStateChange(ctx, s))
	}
}

func forwarded() entry.Request {
	q := entry.Request{
		Route: release.Route{Path: "/check"}, Method: http.MethodPost, Path: "/check/a%20b?c",
		Header: http.Header{"X-A": {"1", "2"}, entry.HeaderToken: {"Bearer secret"}},
		Body:   []byte{0, 1, 2}, Key: "k", Deadline: time.Now().Add(waitTimeout), MayQueue: true,
	}
	q.Neighbour.Name, q.Service.Name = "n", "s"
	return q
}

// A forwarded request arrives as it was sent, but without the caller's token. It is
// marked so that it is not forwarded again.
func TestForwardedRequestKeepsEveryFieldButToken(t *testing.T) {
	var seen entry.Request
	client, _ := dialRequests(t, &Requests{Do: func(_ context.Context, q entry.Request) (entry.Response, error) {
		seen = q
		return entry.Response{Status: 201, Header: http.Header{"Y": {"z"}}, Body: []byte("answer")}, nil
	}})
	q := forwarded()
	a, err := client.Do(t.Context(), q)
	require.NoError(t, err)
	require.Equal(t, entry.Response{Status: 201, Header: http.Header{"Y": {"z"}}, Body: []byte("answer")}, a)
	require.True(t, seen.Forwarded)
	require.WithinDuration(t, q.Deadline, seen.Deadline, time.Second)
	seen.Forwarded, seen.Deadline = false, q.Deadline
	q.Header = http.Header{"X-A": {"1", "2"}}
	require.Equal(t, q, seen)
}

// A request counts as not run only if the peer reports so or if it was never sent.
func TestForwardingReportsNotRunOnlyWhenCertain(t *testing.T) {
	cases := []struct {
		name    string
		answer  func(stop func()) error
		unknown bool
		outcome entry.Outcome
	}{
		{"refused", func(func()) error { return &entry.OutcomeError{Outcome: entry.NotRun, Status: 503} }, false, entry.NotRun},
		{"unknown at the peer", func(func()) error { return &entry.OutcomeError{Outcome: entry.Unknown, Status: 502} }, false, entry.Unknown},
		{"other error", func(func()) error { return errors.New("x") }, false, entry.Unknown},
		{"peer stops", func(stop func()) error { go stop(); return nil }, false, entry.Unknown},
		{"route unknown at the peer", nil, true, entry.NotRun},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var server *grpc.Server
			r := &Requests{Do: func(ctx context.Context, _ entry.Request) (entry.Response, error) {
				err := c.answer(server.Stop)
				if err == nil {
					<-ctx.Done()
				}
				return entry.Response{}, err
			}}
			if c.unknown {
				r.Resolve = func(string, string, string) (entry.Request, bool) { return entry.Request{}, false }
			}
			client, s := dialRequests(t, r)
			server = s
			_, err := client.Do(t.Context(), forwarded())
			var outcome *entry.OutcomeError
			require.ErrorAs(t, err, &outcome)
			require.Equal(t, c.outcome, outcome.Outcome)
		})
	}
}

// A request is not sent to a peer whose connection is not ready.
func TestUnconnectedPeerGetsNoRequest(t *testing.T) {
	pool := &Pool{}
	t.Cleanup(pool.Close)
	conn, err := pool.Conn("127.0.0.1:1")
	require.NoError(t, err)
	_, err = NewRequests(conn).Do(t.Context(), forwarded())
	var outcome *entry.OutcomeError
	require.ErrorAs(t, err, &outcome)
	require.Equal(t, entry.NotRun, outcome.Outcome)
}

// The pieces of a forwarded stream arrive in order. If the peer cuts the stream, the
// forwarding instance reports the cut.
func TestForwardedStreamKeepsOrderAndCut(t *testing.T) {
	for _, fault := range []error{nil, &entry.CutError{Err: errors.New("cut")}} {
		client, _ := dialRequests(t, &Requests{Stream: func(_ context.Context, _ entry.Request, to entry.Sink) error {
			if err := to.Head(200, http.Header{"Y": {"z"}}); err != nil {
				return err
			}
			for _, piece := range []string{"a", "b", "c"} {
				if err := to.Write([]byte(piece)); err != nil {
					return err
				}
			}
			return fault
		}})
		var text strings.Builder
		err := client.Stream(t.Context(), forwarded(), entry.Sink{
			Head:  func(int, http.Header) error { return nil },
			Write: func(p []byte) error { _, err := text.Write(p); return err },
		})
		require.Equal(t, "abc", text.String())
		var cut *entry.CutError
		require.Equal(t, fault != nil, errors.As(err, &cut), "%v", err)
	}
}

// A caller that disconnects ends the stream at the peer.
func TestCallerDisconnectEndsStreamAtPeer(t *testing.T) {
	ended := make(chan struct{})
	client, _ := dialRequests(t, &Requests{Stream: func(ctx context.Context, _ entry.Request, to entry.Sink) error {
		defer close(ended)
		if err := to.Head(200, nil); err != nil {
			return err
		}
		<-ctx.Done()
		return ctx.Err()
	}})
	ctx, cancel := context.WithCancel(t.Context())
	err := client.Stream(ctx, forwarded(), entry.Sink{
		Head:  func(int, http.Header) error { cancel(); return nil },
		Write: func([]byte) error { return nil },
	})
	require.Error(t, err)
	select {
	case <-ended:
	case <-time.After(waitTimeout):
		require.FailNow(t, "the stream did not end at the peer")
	}
}
