package standin

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// flowBufferBytes is the most that a proxied connection reads at once.
const flowBufferBytes = 32 << 10

// flow is one connection from a caller to an endpoint, proxied by a Network.
type flow struct {
	endpoint *endpoint
	source   string
	network  *Network
	caller   net.Conn
	// blackholed is set once all data of the connection is dropped; the connection stays open.
	blackholed atomic.Bool

	mu     sync.Mutex
	target net.Conn
	closed bool
	done   chan struct{}
	fault  PathFault
	// changed is closed when the fault changes.
	changed chan struct{}
}

// setFault replaces the fault of the connection's path.
func (f *flow) setFault(fault PathFault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fault == fault {
		return
	}
	f.fault = fault
	close(f.changed)
	f.changed = make(chan struct{})
}

// currentFault returns the fault of the connection's path, and a channel that is closed
// when the fault changes.
func (f *flow) currentFault() (PathFault, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fault, f.changed
}

// awaitUnstalled waits while the path's fault stalls a direction, as stalled reports, or
// until the flow is closed.
func (f *flow) awaitUnstalled(stalled func(PathFault) bool) {
	for {
		fault, changed := f.currentFault()
		if !stalled(fault) {
			return
		}
		select {
		case <-changed:
		case <-f.done:
			return
		}
	}
}

// reset closes both connections with a TCP reset and drops the data in transit.
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

// chunk is the data of one read, with the time at which it is due at the other end. An
// empty chunk marks the end of the stream.
type chunk struct {
	bytes []byte
	due   time.Time
}

// run copies data in both directions until both have ended.
func (f *flow) run(toTarget, toCaller path) {
	defer f.close()
	if f.blackholed.Load() {
		// Reads and drops the caller's data, and sends nothing back.
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
	group.Go(func() {
		f.forward(f.caller, target, toTarget, func(fault PathFault) bool { return fault.StallToTarget })
	})
	group.Go(func() {
		f.forward(target, f.caller, toCaller, func(fault PathFault) bool { return fault.StallToCaller })
	})
	group.Wait()
}

// setTarget records the connection to the target. If the flow is already closed, it closes
// that connection and returns false.
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
	buffer := make([]byte, flowBufferBytes)
	for {
		if _, err := f.caller.Read(buffer); err != nil {
			return
		}
	}
}

// isClosed reports whether the flow has been closed.
func (f *flow) isClosed() bool {
	select {
	case <-f.done:
		return true
	default:
		return false
	}
}

// close closes both connections.
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

// forward copies data in one direction. It adds the path's latency, keeps to the
// bandwidth of its link, and waits while the path's fault stalls the direction.
func (f *flow) forward(from, to net.Conn, p path, stalled func(PathFault) bool) {
	chunks := make(chan chunk, 256)
	var group sync.WaitGroup
	group.Go(func() { f.deliver(to, chunks, p, stalled) })
	defer group.Wait()
	defer close(chunks)
	for {
		buffer := make([]byte, flowBufferBytes)
		n, err := from.Read(buffer)
		if f.blackholed.Load() {
			if err != nil {
				// The other end of a blackholed connection does not learn that it was closed.
				return
			}
			continue
		}
		fault, _ := f.currentFault()
		due := time.Now().Add(p.latency + fault.Delay)
		if n > 0 {
			f.network.addCarried(f.endpoint, n)
			chunks <- chunk{bytes: buffer[:n], due: due}
		}
		if err != nil {
			chunks <- chunk{due: due}
			return
		}
	}
}

// deliver writes chunks when they are due. An empty chunk closes the direction.
func (f *flow) deliver(to net.Conn, chunks <-chan chunk, p path, stalled func(PathFault) bool) {
	broken := false
	for c := range chunks {
		f.sleepUntil(c.due)
		f.awaitUnstalled(stalled)
		if p.limiter != nil && len(c.bytes) > 0 {
			_ = p.limiter.WaitN(context.Background(), len(c.bytes))
		}
		switch {
		case f.blackholed.Load() || broken || f.isClosed():
		case len(c.bytes) == 0:
			closeWrite(to)
		default:
			if _, err := to.Write(c.bytes); err != nil {
				broken = true
				f.close()
			}
		}
	}
}

// sleepUntil waits until a time, or until the flow is closed.
func (f *flow) sleepUntil(due time.Time) {
	remaining := time.Until(due)
	if remaining <= 0 {
		return
	}
	t := time.NewTimer(remaining)
	defer t.Stop()
	select {
	case <-t.C:
	case <-f.done:
	}
}

// closeWrite closes the sending direction; the other end may still respond.
func closeWrite(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
}
