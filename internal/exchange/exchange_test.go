package exchange

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// testTimeout limits each wait of a test.
const testTimeout = 20 * time.Second

func newPool() *Pool {
	return &Pool{Dial: (&net.Dialer{Timeout: testTimeout}).DialContext, MaxAge: time.Hour}
}

// endCallback returns a function to pass to Send, and a channel that receives when it is called.
func endCallback() (func(), <-chan struct{}) {
	ended := make(chan struct{}, 2)
	return func() { ended <- struct{}{} }, ended
}

// await fails the test if nothing is received in time.
func await(t *testing.T, c <-chan struct{}, what string) {
	t.Helper()
	select {
	case <-c:
	case <-time.After(testTimeout):
		require.FailNow(t, "timeout: no "+what)
	}
}

func newCall(t *testing.T, method, url, body string) Call {
	t.Helper()
	r, err := http.NewRequest(method, url, strings.NewReader(body))
	require.NoError(t, err)
	return Call{Address: r.URL.Host, Request: r, FirstByteTimeout: testTimeout, ProgressTimeout: testTimeout, LingerTimeout: testTimeout}
}

// rawServer accepts TCP connections, serves each with a function, and returns its address.
func rawServer(t *testing.T, serve func(net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return l.Addr().String()
}

// readRequest reads a request without a body and reports whether it was complete.
func readRequest(c net.Conn) bool {
	var text []byte
	b := make([]byte, 4096)
	for !strings.Contains(string(text), "\r\n\r\n") {
		n, err := c.Read(b)
		if err != nil {
			return false
		}
		text = append(text, b[:n]...)
	}
	return true
}

// A target that does not detect that its caller has disconnected still runs the request, so the
// attempt and its connection have to count until it ends.
func TestAbandonedAttemptCountsUntilTargetEnds(t *testing.T) {
	working, finish := make(chan struct{}), make(chan struct{})
	var once sync.Once
	finishWork := func() { once.Do(func() { close(finish) }) }
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(working)
		<-finish
	}))
	defer server.Close()
	defer finishWork()
	ctx, cancel := context.WithCancel(t.Context())
	end, ended := endCallback()
	go func() {
		<-working
		cancel()
	}()
	p := newPool()
	_, err := p.Send(ctx, newCall(t, http.MethodPost, server.URL, ""), end)
	require.ErrorIs(t, err, context.Canceled)
	require.Equal(t, 1, p.OpenConnections(server.Listener.Addr().String()))
	select {
	case <-ended:
		require.FailNow(t, "the attempt counted as ended while the target ran it")
	default:
	}
	finishWork()
	await(t, ended, "end of the attempt at the target")
	require.Zero(t, p.OpenConnections(server.Listener.Addr().String()))
}

// The request's context is cancelled at the target as soon as the caller cancels the attempt.
func TestAbandonedAttemptIsCancelledAtTarget(t *testing.T) {
	working, cancelled := make(chan struct{}), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(working)
		<-r.Context().Done()
		close(cancelled)
	}))
	defer server.Close()
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-working
		cancel()
	}()
	end, ended := endCallback()
	_, err := newPool().Send(ctx, newCall(t, http.MethodPost, server.URL, ""), end)
	require.Error(t, err)
	await(t, cancelled, "cancellation")
	await(t, ended, "end of the attempt at the target")
}

// An attempt at a target that neither responds nor closes the connection ends after the linger
// timeout.
func TestUnresponsiveConnectionEndsAfterLinger(t *testing.T) {
	address := rawServer(t, func(c net.Conn) { _, _ = io.Copy(io.Discard, c) })
	call := newCall(t, http.MethodGet, "http://"+address, "")
	call.FirstByteTimeout, call.LingerTimeout = 20*time.Millisecond, 20*time.Millisecond
	end, ended := endCallback()
	_, err := newPool().Send(t.Context(), call, end)
	var failed *Error
	require.ErrorAs(t, err, &failed)
	require.Positive(t, failed.BytesSent)
	await(t, ended, "end of the attempt at the target")
}

// If nobody listens at the address, the error reports that no byte was sent.
func TestRefusedConnectionSendsNothing(t *testing.T) {
	const address = "127.0.0.1:1"
	end, ended := endCallback()
	p := newPool()
	_, err := p.Send(t.Context(), newCall(t, http.MethodGet, "http://"+address, ""), end)
	var failed *Error
	require.ErrorAs(t, err, &failed)
	require.Zero(t, failed.BytesSent)
	await(t, ended, "end of the attempt at the target")
	require.Zero(t, p.OpenConnections(address))
}

// Go's http.Transport silently repeats some requests, by method and headers; the pool never does.
func TestPoolNeverRetriesOnItsOwn(t *testing.T) {
	var seen atomic.Int64
	address := rawServer(t, func(c net.Conn) {
		defer c.Close()
		if readRequest(c) {
			seen.Add(1)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
		if readRequest(c) {
			seen.Add(1)
		}
	})
	p := newPool()
	end, _ := endCallback()
	call := newCall(t, http.MethodGet, "http://"+address, "")
	call.Request.Header.Set("Idempotency-Key", "k")
	reply, err := p.Send(t.Context(), call, end)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, reply)
	require.NoError(t, err)
	_, err = p.Send(t.Context(), call, end)
	var failed *Error
	require.ErrorAs(t, err, &failed)
	require.Positive(t, failed.BytesSent)
	require.EqualValues(t, 2, seen.Load())
}

// A response whose end cannot be distinguished from a broken connection is an error.
func TestIncompleteResponsesAreErrors(t *testing.T) {
	cases := []struct{ name, answer string }{
		{"short of its length", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"},
		{"short of its last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"},
		{"without a length", "HTTP/1.1 200 OK\r\n\r\nhalf"},
		{"in HTTP/1.0", "HTTP/1.0 200 OK\r\n\r\nhalf"},
		{"truncated in its header", "HTTP/1.1 200 OK\r\nContent-Le"},
		{"with an endless header", "HTTP/1.1 200 OK\r\nA: " + strings.Repeat("a", 1<<20)},
		{"protocol switch", "HTTP/1.1 101 Switching Protocols\r\n\r\n"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			address := rawServer(t, func(conn net.Conn) {
				readRequest(conn)
				_, _ = io.WriteString(conn, c.answer)
				_ = conn.Close()
			})
			end, ended := endCallback()
			p := newPool()
			p.MaxHeaderBytes = 64 << 10
			reply, err := p.Send(t.Context(), newCall(t, http.MethodGet, "http://"+address, ""), end)
			if err == nil {
				_, err = io.Copy(io.Discard, reply)
			}
			require.Error(t, err)
			await(t, ended, "end of the attempt at the target")
		})
	}
}

// A connection on which something arrives after its response is not reused.
func TestLateResponseReachesNoOtherRequest(t *testing.T) {
	read, late := make(chan struct{}), make(chan struct{})
	address := rawServer(t, func(c net.Conn) {
		readRequest(c)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ntrue")
		<-read
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate")
		close(late)
	})
	p := newPool()
	end, _ := endCallback()
	call := newCall(t, http.MethodGet, "http://"+address, "")
	reply, err := p.Send(t.Context(), call, end)
	require.NoError(t, err)
	text, err := io.ReadAll(reply)
	require.NoError(t, err)
	require.Equal(t, "true", string(text))
	close(read)
	await(t, late, "late response")
	c, err := p.reuseOrReserve(call)
	require.NoError(t, err)
	require.NotNil(t, c, "the connection was not kept")
	require.Eventually(t, func() bool { return !c.stillIdle() }, testTimeout, time.Millisecond)
}

// The limit of connections to one target includes those of abandoned attempts.
func TestConnectionsAreBounded(t *testing.T) {
	arrived, over := make(chan struct{}), make(chan struct{})
	defer close(over)
	address := rawServer(t, func(c net.Conn) {
		defer c.Close()
		readRequest(c)
		arrived <- struct{}{}
		<-over
	})
	p := newPool()
	for range 2 {
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			<-arrived
			cancel()
		}()
		end, _ := endCallback()
		_, err := p.Send(ctx, boundedCall(t, address), end)
		require.ErrorIs(t, err, context.Canceled)
	}
	end, _ := endCallback()
	_, err := p.Send(t.Context(), boundedCall(t, address), end)
	var full *FullError
	require.ErrorAs(t, err, &full)
	require.Equal(t, 2, p.OpenConnections(address))
}

// boundedCall returns a call that may use two connections and counts as running long after it was
// abandoned.
func boundedCall(t *testing.T, address string) Call {
	call := newCall(t, http.MethodGet, "http://"+address, "")
	call.MaxConnections, call.LingerTimeout = 2, time.Hour
	return call
}

// A connection older than MaxAge is not used for a new request.
func TestOldConnectionsAreReplaced(t *testing.T) {
	var made atomic.Int64
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	server.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			made.Add(1)
		}
	}
	server.Start()
	defer server.Close()
	for _, c := range []struct {
		age  time.Duration
		made int64
	}{{time.Hour, 1}, {time.Nanosecond, 4}} {
		p := newPool()
		p.MaxAge = c.age
		for range 3 {
			end, _ := endCallback()
			reply, err := p.Send(t.Context(), newCall(t, http.MethodGet, server.URL, ""), end)
			require.NoError(t, err)
			_, err = io.Copy(io.Discard, reply)
			require.NoError(t, err)
		}
		require.Equal(t, c.made, made.Load())
	}
}
