package standin

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// flowBuffer is the size of the pieces that a proxied connection carries.
const flowBuffer = 32 << 10

// flow is one proxied connection.
type flow struct {
	endpoint *endpoint
	source   string
	network  *Network
	caller   net.Conn
	silent   atomic.Bool

	mu     sync.Mutex
	target net.Conn
	closed bool
	done   chan struct{}
	harm   PathFault
	// changed is closed when the harm changes.
	changed chan struct{}
}

func (f *flow) setHarm(h PathFault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.harm == h {
		return
	}
	f.harm = h
	close(f.changed)
	f.changed = make(chan struct{})
}

// harmNow returns the harm, and what is closed when it changes.
func (f *flow) harmNow() (PathFault, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.harm, f.changed
}

// awaitPath waits while the path holds what goes one way.
func (f *flow) awaitPath(holds func(PathFault) bool) {
	for {
		h, changed := f.harmNow()
		if !holds(h) {
			return
		}
		select {
		case <-changed:
		case <-f.done:
			return
		}
	}
}

// reset ends both connections without waiting for what is on its way.
func (f *flow) reset() {
	f.mu.Lock()
	for _, c := range []net.Conn{f.caller, f.target} {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
	}
	f.mu.Unlock()
	f.close()
}

// piece is what was read at once, due at the other end at a time.
type piece struct {
	bytes []byte
	due   time.Time
}

// run carries bytes both ways until both are at their end.
func (f *flow) run(there, back path) {
	defer f.close()
	if f.silent.Load() {
		// The caller's bytes vanish; nothing answers.
		f.drain()
		return
	}
	target, err := net.Dial("tcp", f.endpoint.target)
	if err != nil {
		return
	}
	if !f.setTarget(target) {
		return
	}
	var group sync.WaitGroup
	group.Go(func() { f.pump(f.caller, target, there, func(h PathFault) bool { return h.StallToTarget }) })
	group.Go(func() { f.pump(target, f.caller, back, func(h PathFault) bool { return h.StallToCaller }) })
	group.Wait()
}

func (f *flow) setTarget(c net.Conn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		_ = c.Close()
		return false
	}
	f.target = c
	return true
}

// drain reads and drops what the caller sends.
func (f *flow) drain() {
	buffer := make([]byte, flowBuffer)
	for {
		if _, err := f.caller.Read(buffer); err != nil {
			return
		}
	}
}

// close ends both connections.
func (f *flow) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return
	}
	f.closed = true
	close(f.done)
	_ = f.caller.Close()
	if f.target != nil {
		_ = f.target.Close()
	}
}

// pump carries bytes one way, late by the path's latency and as slow as its link,
// and not at all while the path holds them.
func (f *flow) pump(from, to net.Conn, p path, holds func(PathFault) bool) {
	pieces := make(chan piece, 256)
	var group sync.WaitGroup
	group.Go(func() { f.deliver(to, pieces, p, holds) })
	defer group.Wait()
	defer close(pieces)
	for {
		buffer := make([]byte, flowBuffer)
		n, err := from.Read(buffer)
		if f.silent.Load() {
			if err != nil {
				// A silent connection does not tell the other end that it ended.
				return
			}
			continue
		}
		h, _ := f.harmNow()
		due := time.Now().Add(p.latency + h.Delay)
		if n > 0 {
			f.network.count(f.endpoint, n)
			pieces <- piece{bytes: buffer[:n], due: due}
		}
		if err != nil {
			pieces <- piece{due: due}
			return
		}
	}
}

// deliver writes pieces when they are due; an empty one ends the direction.
func (f *flow) deliver(to net.Conn, pieces <-chan piece, p path, holds func(PathFault) bool) {
	broken := false
	for q := range pieces {
		f.await(q.due)
		f.awaitPath(holds)
		if p.limiter != nil && len(q.bytes) > 0 {
			_ = p.limiter.WaitN(context.Background(), len(q.bytes))
		}
		switch {
		case f.silent.Load() || broken:
		case len(q.bytes) == 0:
			halfClose(to)
		default:
			if _, err := to.Write(q.bytes); err != nil {
				broken = true
				f.close()
			}
		}
	}
}

// await waits until a time, or until the flow is closed.
func (f *flow) await(due time.Time) {
	left := time.Until(due)
	if left <= 0 {
		return
	}
	t := time.NewTimer(left)
	defer t.Stop()
	select {
	case <-t.C:
	case <-f.done:
	}
}

// halfClose ends the sending side; the other end may still answer.
func halfClose(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
}
