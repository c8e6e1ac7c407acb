package intake_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/internal/intake"
	"github.com/oriolepond/oriolepond/internal/shutdown"
)

const largeBody = 100_000

// Guards against memory or connections of requests that are not given back, by how the request ends.
func TestEverythingIsGivenBack(t *testing.T) {
	read := func(w http.ResponseWriter, r *http.Request) {
		if _, err := intake.ReadRequest(w, r, largeBody, time.Minute); err != nil {
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusBadRequest)
		}
	}
	for _, c := range []struct {
		name    string
		handler http.HandlerFunc
		// sent is how much of the body is sent.
		sent int
		// keeps means that the connection stays open after the response.
		keeps bool
	}{
		{"a response", read, largeBody, true},
		{"a refusal", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotFound) }, largeBody, true},
		{"a panic", func(w http.ResponseWriter, r *http.Request) { read(w, r); panic(http.ErrAbortHandler) }, largeBody, false},
		{"a client that leaves", read, largeBody / 2, false},
		{"a connection that is taken over", func(w http.ResponseWriter, r *http.Request) {
			read(w, r)
			conn, _, err := http.NewResponseController(w).Hijack()
			if err == nil {
				_ = conn.Close()
			}
		}, largeBody, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := &intake.Budget{Limits: intake.Limits{Conns: 4, Bytes: 4 * largeBody}}
			conn, err := net.Dial("tcp", startServer(t, b, c.handler))
			require.NoError(t, err)
			defer conn.Close()
			for range 2 {
				_, _ = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", largeBody, strings.Repeat("x", c.sent))
				if c.sent < largeBody {
					_ = conn.Close()
					break
				}
				buffer := make([]byte, 1<<10)
				_, err = conn.Read(buffer)
				require.Equal(t, c.keeps, err == nil, "%v", err)
			}
			conns := 0
			if c.keeps {
				conns = 1
			}
			require.Eventually(t, func() bool { return b.Usage() == intake.Usage{Conns: conns} }, 10*time.Second, time.Millisecond, "%+v", b.Usage)
		})
	}
}

// startServer starts a server with a budget and returns its address.
func startServer(t *testing.T, b *intake.Budget, handler http.HandlerFunc) string {
	server, tracker := &http.Server{Handler: handler}, &shutdown.Tracker{}
	tracker.Attach(server)
	b.Attach(server)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = server.Serve(tracker.Listen(b.Listen(l))) }()
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

// Guards against an ordinary request, by the size of its body and of its answer, that is refused because others
// hold all bytes.
func TestOrdinaryRequestsFindRoom(t *testing.T) {
	const limit = 100_000
	b := &intake.Budget{Limits: intake.Limits{Conns: 10, Bytes: limit}}
	other, err := b.Open(func() {})
	require.NoError(t, err)
	require.NoError(t, other.Enter(intake.Working))
	require.NoError(t, other.Take(limit+intake.Allowance))
	address := startServer(t, b, func(w http.ResponseWriter, r *http.Request) {
		text, err := intake.ReadRequest(w, r, limit, time.Minute)
		if err == nil {
			err = intake.FromContext(r.Context()).Take(int64(len(text)))
		}
		if err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	for _, size := range []int{100, 2400, 3500, 4000, 6000, 9600, 12_000, 40_000} {
		for _, body := range []io.Reader{strings.NewReader(strings.Repeat("x", size)), io.MultiReader(strings.NewReader(strings.Repeat("x", min(size, 9600))))} {
			response, err := http.Post("http://"+address, "", body)
			require.NoError(t, err)
			require.NoError(t, response.Body.Close())
			require.Equal(t, size > 12_000 && response.Request.ContentLength > 0, response.StatusCode != http.StatusOK, "%d bytes", size)
		}
	}
}

// Guards against a body that is read wrongly, by how it arrives.
func TestBodiesAreRead(t *testing.T) {
	text := strings.Repeat("0123456789", 5000)
	broken := errors.New("broken")
	for _, c := range []struct {
		name     string
		source   io.Reader
		declared int64
		limit    int64
		want     error
	}{
		{"whole", strings.NewReader(text), int64(len(text)), 1 << 20, nil},
		{"without a declared size", strings.NewReader(text), -1, 1 << 20, nil},
		{"byte by byte", iotest.OneByteReader(strings.NewReader(text)), -1, 1 << 20, nil},
		{"with the end", iotest.DataErrReader(strings.NewReader(text)), int64(len(text)), 1 << 20, nil},
		{"shorter than declared", strings.NewReader(text), 1 << 40, 1 << 20, nil},
		{"longer than declared", strings.NewReader(text), 1, 1 << 20, nil},
		{"broken off", io.MultiReader(strings.NewReader(text), iotest.ErrReader(broken)), -1, 1 << 20, broken},
		{"too large for the budget", strings.NewReader(text), int64(len(text)), 1 << 10, &intake.FullError{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := &intake.Budget{Limits: intake.Limits{Bytes: c.limit}}
			l, err := b.Open(func() {})
			require.NoError(t, err)
			got, err := l.ReadBody(c.source, c.declared, nil)
			if c.want != nil {
				require.IsType(t, c.want, err)
				require.Zero(t, b.Usage().Bytes)
				return
			}
			require.NoError(t, err)
			require.Equal(t, text, string(got))
			require.GreaterOrEqual(t, b.Usage().Bytes+intake.Allowance, int64(cap(got)))
		})
	}
}

// Guards against a client that is closed while it receives a large response steadily.
func TestSteadyReceiversAreNotClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size, piece = 1 << 20, 8 << 10
		l, b := newPipeListener(), &intake.Budget{Limits: intake.Limits{Conns: 1}}
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_ = intake.FromContext(r.Context()).Enter(intake.Answering)
			_, _ = w.Write(make([]byte, size))
		})}
		b.Attach(server)
		go func() { _ = server.Serve(b.Listen(l)) }()
		client, end := net.Pipe()
		l.conns <- end
		_, err := io.WriteString(client, "GET / HTTP/1.0\r\nHost: h\r\n\r\n")
		require.NoError(t, err)
		for got := 0; got < size; got += piece {
			time.Sleep(400 * time.Millisecond)
			_, err := io.ReadFull(client, make([]byte, piece))
			require.NoError(t, err, "%d bytes", got)
			_, err = b.Open(func() {})
			require.Error(t, err, "the connection was closed for another one")
		}
		require.NoError(t, client.Close())
		require.NoError(t, server.Close())
	})
}

// Guards against probes that are shut out by clients that read no responses.
func TestUnreadProbesEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, b := newPipeListener(), &intake.Budget{Limits: intake.Limits{Conns: 1}}
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 40_000)) })}
		b.AttachProbes(server)
		go func() { _ = server.Serve(b.Listen(l)) }()
		client, end := net.Pipe()
		l.conns <- end
		go func() { _, _ = io.WriteString(client, strings.Repeat("GET / HTTP/1.1\r\nHost: h\r\n\r\n", 2000)) }()
		time.Sleep(time.Minute)
		_, err := b.Open(func() {})
		require.NoError(t, err)
		require.NoError(t, client.Close())
		require.NoError(t, server.Close())
	})
}

// Guards against an answer that fails for want of bytes that are about to be given back, and a wait without
// end.
func TestAnswersWaitForBytes(t *testing.T) {
	const size = 100_000
	for _, c := range []struct {
		name string
		// held is how long the bytes are held by another request.
		held time.Duration
		want error
	}{{"given back", time.Minute, nil}, {"held", time.Hour, &intake.FullError{}}} {
		synctest.Test(t, func(t *testing.T) {
			b := &intake.Budget{Limits: intake.Limits{Bytes: 2 * size}}
			other, err := b.Open(func() {})
			require.NoError(t, err)
			require.NoError(t, other.Enter(intake.Working))
			require.NoError(t, other.Take(2*size+intake.Allowance))
			defer time.AfterFunc(c.held, other.Close).Stop()
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
			defer cancel()
			text, err := b.ReadAnswer(ctx, strings.NewReader(strings.Repeat("x", size)), size, func() {})
			require.IsType(t, c.want, err, c.name)
			require.Equal(t, c.want == nil, len(text) == size)
		})
	}
}

// Guards against polls of healthy workers that fail because many answers are large at once.
func TestManyLargeAnswersAreRead(t *testing.T) {
	const answers, size = 350, 60_000
	synctest.Test(t, func(t *testing.T) {
		b := &intake.Budget{Limits: intake.LimitsFor(160<<20, 0).Answers}
		var all sync.WaitGroup
		for range answers {
			all.Go(func() {
				body := strings.NewReader(strings.Repeat("x", size))
				text, err := b.ReadAnswer(t.Context(), slowReader{body}, -1, func() {})
				assert.NoError(t, err)
				assert.Len(t, text, size)
			})
		}
		all.Wait()
	})
}

// slowReader takes some time for each read.
type slowReader struct{ io.Reader }

func (r slowReader) Read(p []byte) (int, error) {
	time.Sleep(10 * time.Millisecond)
	return r.Reader.Read(p[:min(len(p), 1<<10)])
}

// Guards against a body that is waited for without end, and one that is cut although it arrives slowly but
// steadily.
func TestStalledBodiesEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const timeout, size = 10 * time.Second, 4096
		for _, c := range []struct {
			name string
			// pieces is how many pieces arrive, one within each timeout.
			pieces, bytes int
			want          error
		}{{"steady", 8, size / 8, nil}, {"trickling, then stopped", 8, 1, os.ErrDeadlineExceeded}, {"trickling to its end", size, 1, nil}, {"stopped", 1, size / 2, os.ErrDeadlineExceeded}} {
			l, errs := newPipeListener(), make(chan error, 1)
			server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, err := intake.ReadRequest(w, r, size, timeout)
				errs <- err
			})}
			b := &intake.Budget{}
			b.Attach(server)
			go func() { _ = server.Serve(b.Listen(l)) }()
			client, end := net.Pipe()
			l.conns <- end
			go func() { _, _ = io.Copy(io.Discard, client) }()
			_, err := fmt.Fprintf(client, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", size)
			require.NoError(t, err)
			for range c.pieces {
				time.Sleep(timeout * 9 / 10)
				_, _ = io.WriteString(client, strings.Repeat("x", c.bytes))
			}
			require.ErrorIs(t, <-errs, c.want, c.name)
			require.NoError(t, client.Close())
			require.NoError(t, server.Close())
		}
	})
}

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

func (l *pipeListener) Close() error   { close(l.closed); return nil }
func (l *pipeListener) Addr() net.Addr { return &net.UnixAddr{Name: "pipe"} }
