package shutdown

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// slowListener listens on a socket in a process that gets processor time late.
type slowListener struct {
	*net.TCPListener
	// accept, if not nil, delays accepting. checked is closed when the listener is inspected or closed.
	accept    chan struct{}
	checkOnce sync.Once
	checked   chan struct{}
	// stopping makes the errors of reads after their deadline wait until expire is closed. It is then
	// reported to expired.
	stopping atomic.Bool
	expire   chan struct{}
	expired  chan struct{}
	// unanswered counts the connections from which bytes were read, and to which nothing was written since.
	unanswered atomic.Int64
}

func newSlowListener(t *testing.T) *slowListener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	tcp, ok := l.(*net.TCPListener)
	require.True(t, ok)
	return &slowListener{TCPListener: tcp, checked: make(chan struct{}), expire: make(chan struct{}), expired: make(chan struct{}, 1)}
}

func (l *slowListener) Accept() (net.Conn, error) {
	if l.accept != nil {
		<-l.accept
	}
	c, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return &slowConn{TCPConn: c, listener: l}, nil
}

func (l *slowListener) SyscallConn() (syscall.RawConn, error) {
	l.checkOnce.Do(func() { close(l.checked) })
	return l.TCPListener.SyscallConn()
}

func (l *slowListener) Close() error {
	l.checkOnce.Do(func() { close(l.checked) })
	return l.TCPListener.Close()
}

type slowConn struct {
	*net.TCPConn
	listener *slowListener
	received atomic.Bool
}

func (c *slowConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 && !c.received.Swap(true) {
		c.listener.unanswered.Add(1)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && c.listener.stopping.Load() {
		c.listener.expired <- struct{}{}
		<-c.listener.expire
	}
	return n, err
}

func (c *slowConn) Write(p []byte) (int, error) {
	if c.received.Swap(false) {
		c.listener.unanswered.Add(-1)
	}
	return c.TCPConn.Write(p)
}

// echoServer returns a server that answers each request with its body.
func echoServer(t *testing.T, l net.Listener) (*http.Server, *Tracker, chan error) {
	t.Helper()
	server := &http.Server{ReadHeaderTimeout: 5 * time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		_, _ = w.Write(body)
	})}
	tracker := &Tracker{}
	tracker.Attach(server)
	served := make(chan error, 1)
	go func() { served <- server.Serve(tracker.Listen(l)) }()
	return server, tracker, served
}

// post sends a request with a body, whose second part follows after a pause. It returns when the first
// part was sent.
func post(c net.Conn, body string, pause time.Duration) (begunAt time.Time, err error) {
	half := len(body) / 2
	if _, err := fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(body), body[:half]); err != nil {
		return time.Time{}, err
	}
	begunAt = time.Now()
	if pause > 0 {
		<-time.After(pause)
	}
	_, err = io.WriteString(c, body[half:])
	return begunAt, err
}

// answer reads a response and returns its body.
func answer(c net.Conn, r *bufio.Reader) (string, error) {
	if err := c.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
		return "", err
	}
	response, err := http.ReadResponse(r, nil)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return string(text), err
}

// isIdle reports whether there is a connection, and all are idle.
func (t *Tracker) isIdle() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	idle := len(t.conns) > 0
	for c := range t.conns {
		c.mu.Lock()
		idle = idle && c.idle
		c.mu.Unlock()
	}
	return idle
}

// Guards against a request without an answer at a planned stop: it has arrived at the socket of a busy
// process, which has not read it when the connection is about to end, or has not accepted the connection.
func TestRequestInSocketIsAnswered(t *testing.T) {
	for _, c := range []struct {
		name     string
		requests int
		accepted bool
	}{
		{"kept connection", 1, true},
		{"new connection", 0, true},
		{"connection that was not accepted", 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := newSlowListener(t)
			if !c.accepted {
				l.accept = make(chan struct{})
			}
			server, tracker, served := echoServer(t, l)
			conn, err := net.Dial("tcp", l.Addr().String())
			require.NoError(t, err)
			defer conn.Close()
			reader := bufio.NewReader(conn)
			for range c.requests {
				_, err := post(conn, "first", 0)
				require.NoError(t, err)
				_, err = answer(conn, reader)
				require.NoError(t, err)
			}
			stopped := make(chan error, 1)
			drain := func() { stopped <- tracker.Drain(context.Background(), server) }
			if c.accepted {
				require.Eventually(t, tracker.isIdle, 5*time.Second, time.Millisecond)
				l.stopping.Store(true)
				go drain()
				<-l.expired
			}
			_, err = post(conn, "second", 0)
			require.NoError(t, err)
			if c.accepted {
				close(l.expire)
			} else {
				go drain()
				<-l.checked
				close(l.accept)
			}
			body, err := answer(conn, reader)
			require.NoError(t, err, "a request that had arrived was not answered")
			require.Equal(t, "second", body)
			require.NoError(t, <-stopped)
			require.ErrorIs(t, <-served, http.ErrServerClosed)
		})
	}
}

const (
	// stopRounds is how many planned stops are made, stopClients how many requests are sent around each.
	stopRounds  = 60
	stopClients = 60
	// stopSpread is how long before and after the stop requests are sent, secondPart how late the
	// second part of a body is at most.
	stopSpread = 3 * time.Millisecond
	secondPart = 2 * time.Millisecond
)

// stopClient sends one request around a planned stop.
type stopClient struct {
	address string
	kept    bool
	// sendAfter is when the request is sent, pause when the second part of its body follows.
	sendAfter, pause time.Duration
	// begunAt is when the first part of the request was sent, err why there is no whole response.
	begunAt time.Time
	err     error
}

// connect opens the client's connection, and makes a first request if the connection is kept.
func (c *stopClient) connect() (net.Conn, *bufio.Reader, error) {
	conn, err := net.Dial("tcp", c.address)
	if err != nil {
		return nil, nil, err
	}
	reader := bufio.NewReader(conn)
	if c.kept {
		if _, err = post(conn, "first", 0); err == nil {
			_, err = answer(conn, reader)
		}
	}
	return conn, reader, err
}

// run sends the request once begin is closed. Ready is called before.
func (c *stopClient) run(ready func(), begin <-chan struct{}) {
	var conn net.Conn
	var reader *bufio.Reader
	if c.kept {
		conn, reader, c.err = c.connect()
	}
	ready()
	<-begin
	<-time.After(c.sendAfter)
	if !c.kept {
		conn, reader, c.err = c.connect()
	}
	if conn == nil {
		return
	}
	defer conn.Close()
	if c.err == nil {
		c.begunAt, c.err = post(conn, "second", c.pause)
	}
	if c.err == nil {
		_, c.err = answer(conn, reader)
	}
}

// Guards against requests without an answer at a planned stop: thousands of requests, on kept and on new
// connections, are sent around the moment of the stop. Those that were begun before it, and those of which
// the process has read a part, are answered.
func TestRequestsAroundStopAreAnswered(t *testing.T) {
	random, answered := rand.New(rand.NewPCG(36, 6)), 0
	for round := range stopRounds {
		l := newSlowListener(t)
		server, tracker, served := echoServer(t, l)
		var ready, done sync.WaitGroup
		begin := make(chan struct{})
		clients := make([]*stopClient, stopClients)
		for i := range clients {
			clients[i] = &stopClient{
				address: l.Addr().String(), kept: i%4 < 2, sendAfter: time.Duration(random.Int64N(int64(2 * stopSpread))),
				pause: time.Duration(i%2) * time.Duration(random.Int64N(int64(secondPart))),
			}
			ready.Add(1)
			done.Go(func() { clients[i].run(ready.Done, begin) })
		}
		ready.Wait()
		close(begin)
		if round%2 == 0 {
			tracker.CloseAfterResponses()
		}
		<-time.After(stopSpread)
		drainedAt := time.Now()
		require.NoError(t, tracker.Drain(context.Background(), server))
		done.Wait()
		require.ErrorIs(t, <-served, http.ErrServerClosed)
		for i, c := range clients {
			if c.err == nil {
				answered++
				continue
			}
			require.False(t, !c.begunAt.IsZero() && c.begunAt.Before(drainedAt), "round %d, client %d, kept connection %t, pause %v: begun %v before the stop: %v",
				round, i, c.kept, c.pause, drainedAt.Sub(c.begunAt), c.err)
		}
		require.Zero(t, l.unanswered.Load(), "round %d: requests of which a part was read were not answered", round)
	}
	t.Logf("%d of %d requests answered", answered, stopRounds*stopClients)
	require.Greater(t, answered, stopRounds*stopClients/4)
}
