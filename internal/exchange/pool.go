// Package exchange sends requests to targets over pooled HTTP/1.1 connections, one request at a
// time on each. For each attempt it reports how many bytes were written to the connection, and
// when the attempt has ended at the target.
//
// If an attempt is abandoned, only the sending side of its connection is closed: the target can
// detect that and cancel the request, and the attempt counts as running until the target closes its
// own side or the linger timeout has passed. A connection of an abandoned attempt is never reused, so that a late
// response cannot be taken for the response to another request.
//
// # Usage
//
//	p := &exchange.Pool{Dial: dialer.DialContext, MaxAge: time.Minute}
//	reply, err := p.Send(ctx, call, release) // release is called once, when the attempt has ended at the target.
//	if err != nil {
//		return err // A *exchange.Error.
//	}
//	defer reply.Close()
//	body, err := io.ReadAll(reply)
package exchange

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// receiveBuffer is the receive buffer of a connection, in bytes. It limits what the system holds of a
// response that waits to be read.
const receiveBuffer = 32 << 10

// Pool holds the connections to all targets.
type Pool struct {
	// Dial opens a connection.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// MaxAge is the age beyond which a connection is not used for a new request; zero means no limit.
	MaxAge time.Duration
	// MaxIdle is the idle time beyond which a connection is not used for a new request; zero means no
	// limit.
	MaxIdle time.Duration
	// MaxHeaderBytes limits the header of a response; zero selects http.DefaultMaxHeaderBytes.
	MaxHeaderBytes int64
	// BufferSize is the buffer size for each direction of a connection; zero selects a default.
	BufferSize int

	mu      sync.Mutex
	targets map[string]*connections
}

// connections are the connections to one target.
type connections struct {
	idle []*conn
	// open counts all connections: idle, in use, and those of abandoned attempts that have not ended
	// yet.
	open int
}

// Call describes one attempt to send a request.
type Call struct {
	Address string
	Request *http.Request
	// MaxConnections limits the open connections to the target; zero means no limit.
	MaxConnections int
	// Fresh excludes pooled connections that have been idle for longer than FreshMaxIdle.
	Fresh        bool
	FreshMaxIdle time.Duration
	// FirstByteTimeout limits the time for sending the request and receiving the response header,
	// ProgressTimeout each wait for more of the body; zero means no limit.
	FirstByteTimeout time.Duration
	ProgressTimeout  time.Duration
	// LingerTimeout limits the time for which an abandoned attempt counts as running.
	LingerTimeout time.Duration
}

// Error is returned if an attempt got no response.
type Error struct {
	// BytesSent is the number of request bytes that were written to the connection.
	BytesSent int64
	Err       error
}

// Error returns the number of bytes sent and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("after %d bytes: %v", e.BytesSent, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// FullError reports that the target already has the maximum number of connections.
type FullError struct {
	Address string
}

// Error returns a message with the target's address.
func (e *FullError) Error() string { return "no connection is left for " + e.Address }

// Send makes one attempt and returns the header of the response, from which the body can be read.
// The error is an *Error. The function onEnd is called exactly once, when the attempt has ended at
// the target; that may be before Send returns or long after.
func (p *Pool) Send(ctx context.Context, call Call, onEnd func()) (*Reply, error) {
	c, err := p.acquire(ctx, call)
	if err != nil {
		onEnd()
		return nil, &Error{Err: err}
	}
	c.startAttempt(ctx, onEnd, call.LingerTimeout)
	reply, err := c.roundTrip(call)
	if err != nil {
		sent := c.abandon()
		return nil, &Error{BytesSent: sent, Err: cause(ctx, err)}
	}
	return reply, nil
}

// cause returns the error of the context if it has ended, because err then only results from the
// cancellation.
func cause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}

// acquire returns an idle connection, or opens one.
func (p *Pool) acquire(ctx context.Context, call Call) (*conn, error) {
	for {
		c, err := p.reuseOrReserve(call)
		if err != nil {
			return nil, err
		}
		if c == nil {
			break
		}
		if c.stillIdle() {
			return c, nil
		}
		p.discard(c)
	}
	raw, err := p.Dial(ctx, "tcp", call.Address)
	if err != nil {
		p.countClosed(call.Address)
		return nil, fmt.Errorf("connect: %w", err)
	}
	if tcp, ok := raw.(interface{ SetReadBuffer(bytes int) error }); ok {
		_ = tcp.SetReadBuffer(receiveBuffer)
	}
	return newConn(p, call.Address, raw), nil
}

// reuseOrReserve returns the idle connection that was used last. If there is none it returns nil
// and counts a new connection, which the caller has to open.
func (p *Pool) reuseOrReserve(call Call) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.targets == nil {
		p.targets = map[string]*connections{}
	}
	t := p.targets[call.Address]
	if t == nil {
		t = &connections{}
		p.targets[call.Address] = t
	}
	now := time.Now()
	for len(t.idle) > 0 {
		c := t.idle[len(t.idle)-1]
		t.idle = t.idle[:len(t.idle)-1]
		if p.usable(c, call, now) {
			return c, nil
		}
		t.open--
		c.close()
	}
	if call.MaxConnections > 0 && t.open >= call.MaxConnections {
		return nil, &FullError{Address: call.Address}
	}
	t.open++
	return nil, nil
}

// usable reports whether an idle connection is young enough for the call.
func (p *Pool) usable(c *conn, call Call, now time.Time) bool {
	if p.MaxAge > 0 && now.Sub(c.createdAt) > p.MaxAge {
		return false
	}
	idle := now.Sub(c.idleSince)
	if p.MaxIdle > 0 && idle > p.MaxIdle {
		return false
	}
	return !call.Fresh || idle <= call.FreshMaxIdle
}

// putIdle returns a connection to the pool for the next request.
func (p *Pool) putIdle(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.idleSince = time.Now()
	t := p.targets[c.address]
	t.idle = append(t.idle, c)
}

// discard closes a connection that is not among the idle ones, and counts it as closed.
func (p *Pool) discard(c *conn) {
	c.close()
	p.countClosed(c.address)
}

// countClosed subtracts a closed connection from the open ones of its address.
func (p *Pool) countClosed(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.targets[address]
	t.open--
	if t.open == 0 {
		delete(p.targets, address)
	}
}

// OpenConnections returns the number of open connections to a target.
func (p *Pool) OpenConnections(address string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t := p.targets[address]; t != nil {
		return t.open
	}
	return 0
}

// Trim closes the idle connections that exceed MaxAge or MaxIdle.
func (p *Pool) Trim() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for address, t := range p.targets {
		kept := t.idle[:0]
		for _, c := range t.idle {
			if p.usable(c, Call{}, now) {
				kept = append(kept, c)
				continue
			}
			c.close()
			t.open--
		}
		t.idle = kept
		if t.open == 0 {
			delete(p.targets, address)
		}
	}
}
