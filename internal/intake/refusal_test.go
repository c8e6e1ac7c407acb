package intake_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/internal/intake"
)

const (
	// conns is the number of connections of the tests, of which servedConns are served.
	conns, servedConns = 16, 15
	// silence is how long a test listens for a response that must not come.
	silence = 50 * time.Millisecond
	// answerTimeout is how long a test waits for a response.
	answerTimeout = 10 * time.Second
)

// startBusyServer starts a server whose handlers wait for release, and occupies connections.
func startBusyServer(t *testing.T, b *intake.Budget, occupied int) (address string, release func()) {
	t.Helper()
	begun, hold := make(chan struct{}), make(chan struct{})
	address = startServer(t, b, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/held" {
			begun <- struct{}{}
			<-hold
		}
		_, _ = intake.ReadRequest(w, r, largeBody, time.Minute)
	})
	release = func() { close(hold) }
	for range occupied {
		_, _ = io.WriteString(dial(t, address), "GET /held HTTP/1.1\r\nHost: h\r\n\r\n")
		<-begun
	}
	return address, release
}

// dial opens a connection that the test closes at its end.
func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// requireSilence checks that nothing arrives, and that the connection stays open.
func requireSilence(t *testing.T, c net.Conn) {
	t.Helper()
	require.NoError(t, c.SetReadDeadline(time.Now().Add(silence)))
	_, err := c.Read(make([]byte, 1))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
}

// receive reads a whole response.
func receive(t *testing.T, c net.Conn) *http.Response {
	t.Helper()
	require.NoError(t, c.SetReadDeadline(time.Now().Add(answerTimeout)))
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err, "no answer")
	_, err = io.Copy(io.Discard, r.Body)
	require.NoError(t, err)
	return r
}

// Guards against a refusal that is sent before its request, which a client takes for a broken connection, and one
// that is lost because the connection is closed while the request arrives.
func TestRefusalFollowsRequest(t *testing.T) {
	for _, c := range []struct {
		name, request string
	}{
		{"without a body", "GET / HTTP/1.1\r\nHost: h\r\n\r\n"},
		{"with a body", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n12345"},
		{"with a large body", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 200000\r\n\r\n" + strings.Repeat("x", 200_000)},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := &intake.Budget{Limits: intake.Limits{Conns: conns}, RefusalHeader: http.Header{"Outcome": {"notRun"}}}
			address, release := startBusyServer(t, b, servedConns)
			defer release()
			newcomer := dial(t, address)
			requireSilence(t, newcomer)
			_, err := io.WriteString(newcomer, c.request)
			require.NoError(t, err)
			r := receive(t, newcomer)
			require.Equal(t, http.StatusServiceUnavailable, r.StatusCode)
			require.Equal(t, "notRun", r.Header.Get("Outcome"))
			require.Equal(t, "1", r.Header.Get("Retry-After"))
			require.True(t, r.Close)
			require.EqualValues(t, 1, b.Usage().Refused)
		})
	}
}

// Guards against a newcomer that is cut off because all connections are in use, those for refusals included.
func TestNewcomersWaitForRoom(t *testing.T) {
	for _, c := range []struct {
		name     string
		conns    int
		occupied int
		// silent is the number of connections on which no request follows.
		silent int
		// release means that the requests before end.
		release bool
		want    int
	}{
		{"until a request has ended", 1, 1, 0, true, http.StatusOK},
		{"for a silent client", conns, servedConns, 1, false, http.StatusServiceUnavailable},
		{"for many silent clients", conns, servedConns, 3, false, http.StatusServiceUnavailable},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := &intake.Budget{Limits: intake.Limits{Conns: c.conns}}
			address, release := startBusyServer(t, b, c.occupied)
			for range c.silent {
				dial(t, address)
			}
			newcomer := dial(t, address)
			_, err := fmt.Fprint(newcomer, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			require.NoError(t, err)
			requireSilence(t, newcomer)
			if c.release {
				release()
			} else {
				defer release()
			}
			require.Equal(t, c.want, receive(t, newcomer).StatusCode)
			require.LessOrEqual(t, b.Usage().Conns, c.conns)
		})
	}
}

// Guards against a server that does not end because a newcomer waits for room.
func TestWaitEndsWithListener(t *testing.T) {
	b := &intake.Budget{Limits: intake.Limits{Conns: 1}}
	server := &http.Server{Handler: http.NotFoundHandler()}
	b.Attach(server)
	holder, err := b.Open(func() {})
	require.NoError(t, err)
	require.NoError(t, holder.Enter(intake.Working))
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l, ended := b.Listen(inner), make(chan error, 1)
	go func() { ended <- server.Serve(l) }()
	requireSilence(t, dial(t, inner.Addr().String()))
	require.NoError(t, l.Close())
	require.ErrorIs(t, <-ended, net.ErrClosed)
}

// Guards against a client that is cut off before its first request can arrive, since others connect.
func TestNewConnectionIsRefused(t *testing.T) {
	b := &intake.Budget{Limits: intake.Limits{Conns: conns}}
	address, release := startBusyServer(t, b, servedConns-1)
	defer release()
	first := dial(t, address)
	require.Eventually(t, func() bool { return b.Usage().Conns == servedConns }, answerTimeout, time.Millisecond)
	second := dial(t, address)
	for _, c := range []struct {
		conn net.Conn
		want int
	}{{second, http.StatusOK}, {first, http.StatusServiceUnavailable}} {
		_, err := io.WriteString(c.conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		require.NoError(t, err)
		require.Equal(t, c.want, receive(t, c.conn).StatusCode)
	}
}

// Guards against an ordinary request that is cut while it arrives, since another client connects.
func TestRequestThatHasBegunIsNotCut(t *testing.T) {
	now := time.Now()
	b := &intake.Budget{Limits: intake.Limits{Conns: conns}, Now: func() time.Time { return now }}
	address, release := startBusyServer(t, b, servedConns-1)
	defer release()
	first, request := dial(t, address), "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n"
	_, err := io.WriteString(first, request)
	require.NoError(t, err)
	require.Eventually(t, func() bool { return b.Usage().Conns == servedConns }, answerTimeout, time.Millisecond)
	second := dial(t, address)
	for _, c := range []struct {
		conn net.Conn
		rest string
		want int
	}{{second, request + "12345", http.StatusServiceUnavailable}, {first, "12345", http.StatusOK}} {
		_, err := io.WriteString(c.conn, c.rest)
		require.NoError(t, err)
		require.Equal(t, c.want, receive(t, c.conn).StatusCode)
	}
}

// lateListener listens in a process that reads late: once held is set, what arrives stays in its socket until gate
// is closed.
type lateListener struct {
	*net.TCPListener
	held atomic.Bool
	gate chan struct{}
}

func (l *lateListener) Accept() (net.Conn, error) {
	c, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return &lateConn{TCPConn: c, listener: l}, nil
}

type lateConn struct {
	*net.TCPConn
	listener *lateListener
}

func (c *lateConn) Read(p []byte) (int, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	if err := raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return !errors.Is(err, syscall.EAGAIN)
	}); err != nil {
		return 0, err
	}
	if c.listener.held.Load() {
		<-c.listener.gate
	}
	return c.TCPConn.Read(p)
}

// Guards against a request without an answer: it waits in the socket of a connection that is closed for another one.
func TestRequestInSocketIsNotCut(t *testing.T) {
	for _, c := range []struct {
		name string
		// requests is how many requests were made on the connection before.
		requests int
	}{{"new connection", 0}, {"kept connection", 1}} {
		t.Run(c.name, func(t *testing.T) {
			inner, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			tcp, ok := inner.(*net.TCPListener)
			require.True(t, ok)
			l := &lateListener{TCPListener: tcp, gate: make(chan struct{})}
			b := &intake.Budget{Limits: intake.Limits{Conns: 1}}
			server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
			b.Attach(server)
			go func() { _ = server.Serve(b.Listen(l)) }()
			t.Cleanup(func() { _ = server.Close() })
			first, request := dial(t, inner.Addr().String()), "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
			for range c.requests {
				_, err := io.WriteString(first, request)
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, receive(t, first).StatusCode)
				requireSilence(t, first)
			}
			l.held.Store(true)
			_, err = io.WriteString(first, request)
			require.NoError(t, err)
			second := dial(t, inner.Addr().String())
			_, err = io.WriteString(second, request)
			require.NoError(t, err)
			requireSilence(t, first)
			close(l.gate)
			require.Equal(t, http.StatusOK, receive(t, first).StatusCode)
			require.Equal(t, http.StatusOK, receive(t, second).StatusCode)
		})
	}
}
