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

// patience bounds each wait of a test.
const patience = 20 * time.Second

func newPool() *Pool {
	return &Pool{Dial: (&net.Dialer{Timeout: patience}).DialContext, MaxAge: time.Hour}
}

// ending returns a function to be called at the true end, and a channel that tells of it.
func ending() (func(), <-chan struct{}) {
	ended := make(chan struct{}, 2)
	return func() { ended <- struct{}{} }, ended
}

func await(t *testing.T, c <-chan struct{}, what string) {
	t.Helper()
	select {
	case <-c:
	case <-time.After(patience):
		require.FailNow(t, "no "+what)
	}
}

func newCall(t *testing.T, method, url, body string) Call {
	t.Helper()
	r, err := http.NewRequest(method, url, strings.NewReader(body))
	require.NoError(t, err)
	return Call{Address: r.URL.Host, Request: r, FirstByte: patience, Progress: patience, Linger: patience}
}

// rawServer answers each connection with a function.
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

// readRequest reads until a request with an empty body is there.
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

// A target that does not notice that its caller has left still runs the request.
func TestGivenUpAttemptCountsUntilTheTargetEnds(t *testing.T) {
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
	end, ended := ending()
	go func() {
		<-working
		cancel()
	}()
	p := newPool()
	_, err := p.Send(ctx, newCall(t, http.MethodPost, server.URL, ""), end)
	require.ErrorIs(t, err, context.Canceled)
	require.Equal(t, 1, p.Open(server.Listener.Addr().String()))
	select {
	case <-ended:
		require.FailNow(t, "the attempt counted as ended while the target ran it")
	default:
	}
	finishWork()
	await(t, ended, "true end")
	require.Zero(t, p.Open(server.Listener.Addr().String()))
}

// A target learns at once that its caller has left.
func TestGivenUpAttemptIsCancelledAtTheTarget(t *testing.T) {
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
	end, ended := ending()
	_, err := newPool().Send(ctx, newCall(t, http.MethodPost, server.URL, ""), end)
	require.Error(t, err)
	await(t, cancelled, "cancellation")
	await(t, ended, "true end")
}

// An attempt on a connection that went silent ends after the linger time.
func TestSilentConnectionEndsAfterLinger(t *testing.T) {
	address := rawServer(t, func(c net.Conn) { _, _ = io.Copy(io.Discard, c) })
	call := newCall(t, http.MethodGet, "http://"+address, "")
	call.FirstByte, call.Linger = 20*time.Millisecond, 20*time.Millisecond
	end, ended := ending()
	_, err := newPool().Send(t.Context(), call, end)
	var failed *Error
	require.ErrorAs(t, err, &failed)
	require.Positive(t, failed.BytesSent)
	await(t, ended, "true end")
}

// Nothing was sent if nobody listens.
func TestRefusedConnectionSendsNothing(t *testing.T) {
	const address = "127.0.0.1:1"
	end, ended := ending()
	p := newPool()
	_, err := p.Send(t.Context(), newCall(t, http.MethodGet, "http://"+address, ""), end)
	var failed *Error
	require.ErrorAs(t, err, &failed)
	require.Zero(t, failed.BytesSent)
	await(t, ended, "true end")
	require.Zero(t, p.Open(address))
}

// A request is never repeated without its sender's knowledge, whatever its method and headers.
func TestNoRequestIsRepeatedSilently(t *testing.T) {
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
	end, _ := ending()
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

// An answer whose end cannot be told from a cut is never whole.
func TestAnswersThatAreNotWhole(t *testing.T) {
	cases := []struct{ name, answer string }{
		{"short of its length", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"},
		{"short of its last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"},
		{"without a length", "HTTP/1.1 200 OK\r\n\r\nhalf"},
		{"of the old protocol", "HTTP/1.0 200 OK\r\n\r\nhalf"},
		{"cut within its head", "HTTP/1.1 200 OK\r\nContent-Le"},
		{"with an endless head", "HTTP/1.1 200 OK\r\nA: " + strings.Repeat("a", 1<<20)},
		{"switched", "HTTP/1.1 101 Switching Protocols\r\n\r\n"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			address := rawServer(t, func(conn net.Conn) {
				readRequest(conn)
				_, _ = io.WriteString(conn, c.answer)
				_ = conn.Close()
			})
			end, ended := ending()
			p := newPool()
			p.MaxHeaderBytes = 64 << 10
			reply, err := p.Send(t.Context(), newCall(t, http.MethodGet, "http://"+address, ""), end)
			if err == nil {
				_, err = io.Copy(io.Discard, reply)
			}
			require.Error(t, err)
			await(t, ended, "true end")
		})
	}
}

// What arrives late on a connection reaches no other request.
func TestLateAnswerReachesNobody(t *testing.T) {
	read, late := make(chan struct{}), make(chan struct{})
	address := rawServer(t, func(c net.Conn) {
		readRequest(c)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ntrue")
		<-read
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate")
		close(late)
	})
	p := newPool()
	end, _ := ending()
	call := newCall(t, http.MethodGet, "http://"+address, "")
	reply, err := p.Send(t.Context(), call, end)
	require.NoError(t, err)
	text, err := io.ReadAll(reply)
	require.NoError(t, err)
	require.Equal(t, "true", string(text))
	close(read)
	await(t, late, "late answer")
	c, err := p.reuse(call)
	require.NoError(t, err)
	require.NotNil(t, c, "the connection was kept")
	require.Eventually(t, func() bool { return !c.quiet() }, patience, time.Millisecond)
}

// The connections to one target stay within their bound, also those that were given up.
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
		end, _ := ending()
		_, err := p.Send(ctx, boundedCall(t, address), end)
		require.ErrorIs(t, err, context.Canceled)
	}
	end, _ := ending()
	_, err := p.Send(t.Context(), boundedCall(t, address), end)
	var full *FullError
	require.ErrorAs(t, err, &full)
	require.Equal(t, 2, p.Open(address))
}

// boundedCall may have two connections, and counts as running long after it was given up.
func boundedCall(t *testing.T, address string) Call {
	call := newCall(t, http.MethodGet, "http://"+address, "")
	call.MaxConnections, call.Linger = 2, time.Hour
	return call
}

// A connection beyond its greatest age takes no new request.
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
			end, _ := ending()
			reply, err := p.Send(t.Context(), newCall(t, http.MethodGet, server.URL, ""), end)
			require.NoError(t, err)
			_, err = io.Copy(io.Discard, reply)
			require.NoError(t, err)
		}
		require.Equal(t, c.made, made.Load())
	}
}
