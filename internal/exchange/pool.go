// Package exchange carries requests to targets over HTTP/1.1, one at a time on
// each connection. It knows for each attempt how many bytes the connection has
// taken, and when the attempt has truly ended at the target.
//
// An attempt that is given up closes only its sending side: the target learns
// that nobody waits, and the attempt counts as running until the target closes
// its own side, or until the linger time has passed. No connection that was
// given up carries another request, so that a late answer reaches nobody.
//
// # Usage
//
//	p := &exchange.Pool{Dial: dialer.DialContext, MaxAge: time.Minute}
//	reply, err := p.Send(ctx, call, release) // release is called once, at the true end.
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

// Pool holds the connections to all targets.
type Pool struct {
	// Dial makes a connection.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// MaxAge is the greatest age of a connection that takes a new request.
	MaxAge time.Duration
	// MaxIdle is how long a connection may have been idle when it takes a new request.
	MaxIdle time.Duration
	// MaxHeaderBytes bounds the head of an answer.
	MaxHeaderBytes int64
	// BufferSize is that of each direction of a connection; zero takes a default.
	BufferSize int

	mu      sync.Mutex
	targets map[string]*connections
}

// connections are those to one target.
type connections struct {
	idle []*conn
	// open counts all: idle, in use, and given up but not yet ended.
	open int
}

// Call is one attempt.
type Call struct {
	Address string
	Request *http.Request
	// MaxConnections bounds the open connections to the target; zero means no bound.
	MaxConnections int
	// Fresh calls take no connection that was idle for longer than FreshIdle.
	Fresh     bool
	FreshIdle time.Duration
	// FirstByte and Progress bound the silence before and within the answer; zero means no bound.
	FirstByte time.Duration
	Progress  time.Duration
	// Linger bounds the time for which a given-up attempt counts as running.
	Linger time.Duration
}

// Error says why an attempt has no answer.
type Error struct {
	// BytesSent is how many bytes of the request the connection has taken.
	BytesSent int64
	Err       error
}

// Error returns the cause.
func (e *Error) Error() string { return fmt.Sprintf("after %d bytes: %v", e.BytesSent, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// FullError says that a target has as many connections as it may.
type FullError struct {
	Address string
}

// Error returns the address.
func (e *FullError) Error() string { return "no connection is left for " + e.Address }

// Send makes one attempt and returns the head of its answer. The error is an
// *Error. The function ended is called exactly once, when the attempt has
// ended at the target; that may be before Send returns or long after.
func (p *Pool) Send(ctx context.Context, call Call, ended func()) (*Reply, error) {
	c, err := p.take(ctx, call)
	if err != nil {
		ended()
		return nil, &Error{Err: err}
	}
	c.begin(ctx, ended, call.Linger)
	reply, err := c.roundTrip(call)
	if err != nil {
		sent := c.giveUp()
		return nil, &Error{BytesSent: sent, Err: cause(ctx, err)}
	}
	return reply, nil
}

// cause prefers the reason why a context ended to the error that follows from it.
func cause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}

// take returns an idle connection, or makes one.
func (p *Pool) take(ctx context.Context, call Call) (*conn, error) {
	for {
		c, err := p.reuse(call)
		if err != nil {
			return nil, err
		}
		if c == nil {
			break
		}
		if c.quiet() {
			return c, nil
		}
		p.discard(c)
	}
	raw, err := p.Dial(ctx, "tcp", call.Address)
	if err != nil {
		p.forget(call.Address)
		return nil, fmt.Errorf("connect: %w", err)
	}
	return newConn(p, call.Address, raw), nil
}

// reuse takes the youngest idle connection; nil means that one is to be made, and is counted.
func (p *Pool) reuse(call Call) (*conn, error) {
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

// usable reports whether an idle connection may take the call.
func (p *Pool) usable(c *conn, call Call, now time.Time) bool {
	if p.MaxAge > 0 && now.Sub(c.made) > p.MaxAge {
		return false
	}
	idle := now.Sub(c.idleSince)
	if p.MaxIdle > 0 && idle > p.MaxIdle {
		return false
	}
	return !call.Fresh || idle <= call.FreshIdle
}

// put keeps a connection for the next request.
func (p *Pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.idleSince = time.Now()
	t := p.targets[c.address]
	t.idle = append(t.idle, c)
}

// discard closes a connection.
func (p *Pool) discard(c *conn) {
	c.close()
	p.forget(c.address)
}

// forget counts a connection as closed.
func (p *Pool) forget(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.targets[address]
	t.open--
	if t.open == 0 {
		delete(p.targets, address)
	}
}

// Open returns the number of open connections to a target.
func (p *Pool) Open(address string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t := p.targets[address]; t != nil {
		return t.open
	}
	return 0
}

// Trim closes the idle connections that are too old for a request.
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
