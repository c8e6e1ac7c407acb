package shutdown

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// pipeListener accepts connections that are made in memory.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	select {
	case <-l.closed:
		return net.ErrClosed
	default:
		close(l.closed)
		return nil
	}
}

func (l *pipeListener) Addr() net.Addr { return &net.UnixAddr{Name: "pipe"} }

// busyConn is a connection of a process that gets no processor time for a while after each read.
type busyConn struct {
	net.Conn
	delay time.Duration
}

func (c *busyConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		time.Sleep(c.delay)
	}
	return n, err
}

// dial opens a connection to the server, whose end reads with a delay.
func (l *pipeListener) dial(delay time.Duration) net.Conn {
	client, server := net.Pipe()
	l.conns <- &busyConn{Conn: server, delay: delay}
	return client
}

// call sends a request. It returns the body of the response, and whether the response announces the
// end of the connection.
func call(c net.Conn, r *bufio.Reader) (body string, closes bool, err error) {
	go func() { _, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n") }()
	response, err := http.ReadResponse(r, nil)
	if err != nil {
		return "", false, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return string(text), response.Close, err
}

// Guards against a request without an answer at a planned stop: the process has received it on a
// connection that the server still considers idle.
func TestRequestThatArrivedIsAnswered(t *testing.T) {
	const delay = 50 * time.Millisecond
	for _, c := range []struct {
		name string
		// stopAfter is when the stop begins, counted from when the second request is sent.
		stopAfter time.Duration
		drainOnly bool
	}{
		{"just before the stop begins", 0, false},
		{"while the request is read", delay / 2, false},
		{"while the request is read, in the last phase", delay / 2, true},
		{"while the handler runs", delay + delay/2, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l, tracker := newPipeListener(), &Tracker{}
				server := &http.Server{ReadHeaderTimeout: 5 * time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					time.Sleep(delay)
					_, _ = io.WriteString(w, "whole")
				})}
				tracker.Attach(server)
				served := make(chan error, 1)
				go func() { served <- server.Serve(tracker.Listen(l)) }()
				conn := l.dial(delay)
				defer conn.Close()
				reader := bufio.NewReader(conn)
				body, closes, err := call(conn, reader)
				require.NoError(t, err)
				require.Equal(t, "whole", body)
				require.False(t, closes)
				time.Sleep(time.Second)
				stopped := make(chan error, 1)
				go func() {
					time.Sleep(c.stopAfter)
					if !c.drainOnly {
						tracker.CloseAfterResponses()
						time.Sleep(time.Second)
					}
					stopped <- tracker.Drain(context.Background(), server)
				}()
				body, closes, err = call(conn, reader)
				require.NoError(t, err, "a request that had arrived was not answered")
				require.Equal(t, "whole", body)
				require.True(t, closes, "the client may send another request")
				require.NoError(t, <-stopped)
				require.ErrorIs(t, <-served, http.ErrServerClosed)
			})
		})
	}
}

// Guards against a stop that waits for connections without requests, or for ever.
func TestDrainEndsIdleConnections(t *testing.T) {
	for _, c := range []struct {
		name string
		// requests is how many requests each connection has made.
		requests int
		handler  time.Duration
		want     error
		within   time.Duration
	}{
		{"new connections", 0, 0, nil, 100 * time.Millisecond},
		{"connections between two requests", 1, 0, nil, 100 * time.Millisecond},
		{"a handler that does not return in time", 1, time.Hour, context.DeadlineExceeded, 3 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l, tracker := newPipeListener(), &Tracker{}
				hang := make(chan struct{})
				server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
					select {
					case <-hang:
					case <-time.After(c.handler):
					}
				})}
				tracker.Attach(server)
				served := make(chan error, 1)
				go func() { served <- server.Serve(tracker.Listen(l)) }()
				for range 3 {
					conn := l.dial(0)
					defer conn.Close()
					for range c.requests {
						if c.want != nil {
							go func() { _, _, _ = call(conn, bufio.NewReader(conn)) }()
							continue
						}
						_, _, err := call(conn, bufio.NewReader(conn))
						require.NoError(t, err)
					}
				}
				synctest.Wait()
				ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
				defer cancel()
				startedAt := time.Now()
				require.ErrorIs(t, tracker.Drain(ctx, server), c.want)
				require.LessOrEqual(t, time.Since(startedAt), c.within)
				require.ErrorIs(t, <-served, http.ErrServerClosed)
				close(hang)
				_ = server.Close()
			})
		})
	}
}
