package intake

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/oriolepond/oriolepond/internal/socket"
)

// socketBytes is the receive buffer of connections with large requests, and of all connections that are
// accepted while few are left. It limits what the system holds of requests that have not been read.
const socketBytes = 16 << 10

// headerBytes is how much memory the server needs for each byte of a request's header.
const headerBytes = 3

// listener limits the connections of a server.
type listener struct {
	net.Listener
	budget *Budget
	// messages means that the connections carry calls with messages.
	messages  bool
	closeOnce sync.Once
	closed    chan struct{}
}

// Listen returns a listener whose connections are counted. If there is room neither for one nor for a refusal,
// it accepts no more until there is; without Attach it closes those beyond the budget.
func (b *Budget) Listen(l net.Listener) net.Listener {
	return &listener{Listener: l, budget: b, closed: make(chan struct{})}
}

// ListenMessages is Listen for a server of gRPC: what arrives of messages is taken from the budget until it
// is complete. A connection waits while bytes are missing, and is closed if none are given back.
func (b *Budget) ListenMessages(l net.Listener) net.Listener {
	return &listener{Listener: l, budget: b, messages: b.Limits.Bytes > 0, closed: make(chan struct{})}
}

// Accept returns the next connection that the budget grants.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		lease, err := l.grant(c)
		if err == nil {
			counted := &conn{Conn: c, lease: lease}
			if l.messages {
				counted.messages, lease.messages = newMessages(), true
			}
			if l.budget.isCrowded() {
				counted.narrow()
			}
			return counted, nil
		}
		_ = c.Close()
	}
}

// grantInterval is the pause between two attempts to grant a connection that has been accepted.
const grantInterval = 10 * time.Millisecond

// grant grants a connection. With HTTP it waits until there is room, or the listener is closed.
func (l *listener) grant(c net.Conn) (*Lease, error) {
	end := func() { _ = c.Close() }
	if !l.budget.attached {
		return l.budget.Open(end)
	}
	for {
		if lease := l.budget.admit(end, func() bool { return socket.IsReadable(c) }); lease != nil {
			return lease, nil
		}
		select {
		case <-l.closed:
			return nil, net.ErrClosed
		case <-time.After(grantInterval):
		}
	}
}

// Close closes the listener.
func (l *listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// SyscallConn returns the underlying listener's raw connection.
func (l *listener) SyscallConn() (syscall.RawConn, error) { return rawConn(l.Listener) }

// rawConn returns the raw connection of a connection or a listener.
func rawConn(source any) (syscall.RawConn, error) {
	if s, ok := source.(syscall.Conn); ok {
		return s.SyscallConn()
	}
	return nil, syscall.EINVAL
}

// conn is a connection with a lease.
type conn struct {
	net.Conn
	lease *Lease
	// messages is nil for connections whose messages are not counted.
	messages *messages
	// narrowed means that the receive buffer has socketBytes.
	narrowed bool
}

// narrow makes the receive buffer smaller, if the system allows it.
func (c *conn) narrow() {
	c.narrowed = true
	if s, ok := c.Conn.(interface{ SetReadBuffer(bytes int) error }); ok {
		_ = s.SetReadBuffer(socketBytes)
	}
}

// Read reads from the connection. What arrives of a header is taken from the budget.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	if c.messages != nil {
		if takeErr := c.messages.received(c.lease, p[:n]); takeErr != nil {
			_ = c.Conn.Close()
			return 0, takeErr
		}
		return n, err
	}
	header, large := c.lease.receive(n)
	if large && !c.narrowed {
		c.narrow()
	}
	if header > 0 {
		if takeErr := c.lease.takeHeader(header); takeErr != nil {
			_ = c.Conn.Close()
			return 0, takeErr
		}
	}
	return n, err
}

// writeBytes is how much is written at once, so that a client that receives steadily makes progress.
const writeBytes = 16 << 10

// Write writes to the connection.
func (c *conn) Write(p []byte) (int, error) {
	written := 0
	for {
		n, err := c.Conn.Write(p[written:min(len(p), written+writeBytes)])
		c.lease.sent(n)
		if c.messages != nil {
			c.messages.sent(c.lease, p[written:written+n])
		}
		written += n
		if err != nil || written >= len(p) {
			return written, err
		}
	}
}

// Close closes the connection and gives its lease back.
func (c *conn) Close() error {
	c.lease.Close()
	return c.Conn.Close()
}

// SyscallConn returns the underlying raw connection.
func (c *conn) SyscallConn() (syscall.RawConn, error) { return rawConn(c.Conn) }

// leaseOf returns the lease of a connection that may be wrapped, or nil.
func leaseOf(c net.Conn) *Lease {
	for {
		if counted, ok := c.(*conn); ok {
			return counted.lease
		}
		wrapper, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		c = wrapper.NetConn()
	}
}

// headerPrice returns how much memory the header of a request needs.
func headerPrice(r *http.Request) int64 {
	size := len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v)
		}
	}
	return headerBytes * int64(size)
}

// Attach makes an HTTP server track the phases of its connections, and pass their leases to handlers. It
// wraps the server's Handler, ConnContext and ConnState. It is called before the server serves; without it
// the connections of Listen are only counted.
func (b *Budget) Attach(s *http.Server) {
	b.attached = true
	handler, connContext, connState := s.Handler, s.ConnContext, s.ConnState
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, c)
		}
		return context.WithValue(ctx, leaseKey{}, leaseOf(c))
	}
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if l := leaseOf(c); l != nil && state == http.StateIdle {
			_ = l.Enter(Idle)
		}
		if connState != nil {
			connState(c, state)
		}
	}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		l := FromContext(r.Context())
		if err := l.Enter(Working); err != nil {
			panic(http.ErrAbortHandler)
		}
		l.settleHeader(headerPrice(r))
		defer func() { _ = l.Enter(Answering) }()
		if l.mustRefuse() {
			b.writeRefusal(w)
			return
		}
		handler.ServeHTTP(w, r)
	})
}

// probeTimeout is how long a response to a probe, an operator or a collector of metrics may take.
const probeTimeout = 30 * time.Second

// AttachProbes attaches a server of short responses. A client that reads none of them does not keep its
// connection.
func (b *Budget) AttachProbes(s *http.Server) {
	b.Attach(s)
	s.WriteTimeout = probeTimeout
}
