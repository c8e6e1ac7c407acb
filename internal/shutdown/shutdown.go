// Package shutdown stops an HTTP server without cutting requests.
//
// The standard library closes connections that it considers idle, and considers a connection
// idle until it has parsed the header of the next request. On a busy machine a request that the
// process has already received is lost that way, and so is one on a connection that waits to be
// accepted. A Tracker accepts these connections, knows for each whether any byte has arrived since the
// last response, read or not, and ends only the others.
//
// # Usage
//
//	t := &shutdown.Tracker{}
//	t.Attach(server)
//	go server.Serve(t.Listen(listener))
//	// For a planned stop:
//	t.CloseAfterResponses()
//	// Wait until the load balancer has noticed, then:
//	err := t.Drain(ctx, server)
package shutdown

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oriolepond/oriolepond/internal/socket"
)

// checkInterval is the pause between two searches for idle connections.
const checkInterval = 20 * time.Millisecond

// Tracker tracks the connections of one HTTP server. The zero value is ready for use.
type Tracker struct {
	closing atomic.Bool

	mu       sync.Mutex
	listener *listener
	conns    map[*conn]bool
}

// Listen returns a listener whose connections are tracked. It is called once.
func (t *Tracker) Listen(l net.Listener) net.Listener {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listener = &listener{Listener: l, tracker: t, ended: make(chan struct{}), closed: make(chan struct{})}
	return t.listener
}

// Attach makes a server report the states of its connections, and makes its responses close
// their connections once CloseAfterResponses was called. It replaces the server's ConnState and
// wraps its Handler.
func (t *Tracker) Attach(s *http.Server) {
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if tracked, ok := c.(*conn); ok && state == http.StateIdle {
			tracked.setIdle()
		}
	}
	handler := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		handler.ServeHTTP(&responseWriter{ResponseWriter: w, tracker: t}, r)
	})
}

// responseWriter announces the end of the connection with the response header, so that a client does
// not send another request on it.
type responseWriter struct {
	http.ResponseWriter
	tracker     *Tracker
	wroteHeader bool
}

// WriteHeader writes the response header.
func (w *responseWriter) WriteHeader(status int) {
	if w.tracker.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	w.wroteHeader = true
	w.ResponseWriter.WriteHeader(status)
}

// Write writes to the response body.
func (w *responseWriter) Write(p []byte) (int, error) {
	if !w.wroteHeader {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(p)
}

// Unwrap returns the underlying writer, for http.ResponseController.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// CloseAfterResponses makes the server close each connection after its next response.
func (t *Tracker) CloseAfterResponses() { t.closing.Store(true) }

// Drain accepts no more connections, ends those on which no request arrives, and waits until all
// connections have ended. It then shuts the server down. It returns the context's error if that
// ends first.
func (t *Tracker) Drain(ctx context.Context, s *http.Server) error {
	t.CloseAfterResponses()
	t.mu.Lock()
	l := t.listener
	t.mu.Unlock()
	if l != nil {
		l.drain(ctx)
	}
	tick := time.NewTicker(checkInterval)
	defer tick.Stop()
	for t.endIdle() > 0 && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-tick.C:
		}
	}
	return s.Shutdown(ctx)
}

// endIdle ends the idle connections, and returns how many connections are left.
func (t *Tracker) endIdle() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.conns {
		c.endIfIdle()
	}
	return len(t.conns)
}

func (t *Tracker) add(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conns == nil {
		t.conns = map[*conn]bool{}
	}
	t.conns[c] = true
}

func (t *Tracker) remove(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.conns, c)
}

// listener tracks the connections that it accepts.
type listener struct {
	net.Listener
	tracker   *Tracker
	stopOnce  sync.Once
	stopErr   error
	endOnce   sync.Once
	ended     chan struct{} // Closed once Accept returns no more connections.
	closeOnce sync.Once
	closed    chan struct{}
}

const (
	// acceptCheckInterval is the pause between two checks whether connections wait to be accepted.
	acceptCheckInterval = time.Millisecond
	// maxAcceptTime limits how long Drain lets the server accept connections.
	maxAcceptTime = time.Second
)

// drain lets the server accept the connections that wait for it, and closes the underlying listener.
// When it returns, all accepted connections are tracked, unless the context has ended.
func (l *listener) drain(ctx context.Context) {
	tick := time.NewTicker(acceptCheckInterval)
	defer tick.Stop()
	for until := time.Now().Add(maxAcceptTime); socket.IsReadable(l.Listener) && ctx.Err() == nil && time.Now().Before(until); {
		select {
		case <-ctx.Done():
		case <-tick.C:
		}
	}
	// The server reports the error, since it closes the listener again.
	_ = l.stop()
	select {
	case <-ctx.Done():
	case <-l.ended:
	case <-l.closed:
	}
}

// stop closes the underlying listener, once.
func (l *listener) stop() error {
	l.stopOnce.Do(func() { l.stopErr = l.Listener.Close() })
	return l.stopErr
}

// Accept returns the next connection. After the underlying listener was closed it waits for Close,
// so that the server ends no earlier than its connections.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		if errors.Is(err, net.ErrClosed) {
			l.endOnce.Do(func() { close(l.ended) })
			<-l.closed
		}
		return nil, err
	}
	tracked := &conn{Conn: c, tracker: l.tracker, idle: true}
	l.tracker.add(tracked)
	return tracked, nil
}

// Close closes the listener.
func (l *listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.stop()
}

// conn is a tracked connection.
type conn struct {
	net.Conn
	tracker *Tracker

	mu sync.Mutex
	// idle means that no byte has arrived since the last response.
	idle bool
	// ending means that reads fail, so that the server closes the connection.
	ending bool
}

// Read reads from the connection. Bytes that arrive although the connection was about to end are
// still served.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.resume() {
		n, err = c.Conn.Read(p)
	}
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = false
	if c.ending {
		c.ending = false
		if resetErr := c.Conn.SetReadDeadline(time.Time{}); err == nil {
			err = resetErr
		}
	}
	return n, err
}

// resume lets reads go on if the connection was about to end, but bytes have arrived: a read fails after
// its deadline although there are some.
func (c *conn) resume() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ending || !socket.IsReadable(c.Conn) {
		return false
	}
	c.idle, c.ending = false, false
	return c.Conn.SetReadDeadline(time.Time{}) == nil
}

// SetReadDeadline sets the deadline of reads, unless the connection is ending.
func (c *conn) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ending {
		return nil
	}
	return c.Conn.SetReadDeadline(deadline)
}

// NetConn returns the underlying connection.
func (c *conn) NetConn() net.Conn { return c.Conn }

// Close closes the connection.
func (c *conn) Close() error {
	c.tracker.remove(c)
	return c.Conn.Close()
}

func (c *conn) setIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = true
}

// endIfIdle makes the reader of an idle connection fail, upon which the server closes it.
func (c *conn) endIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idle || c.ending {
		return
	}
	c.ending = true
	// An error means that the connection has already ended.
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
}
