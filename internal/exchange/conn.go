package exchange

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// conn is one connection to a target.
type conn struct {
	pool    *Pool
	address string
	raw     net.Conn
	reader  *bufio.Reader
	writer  *bufio.Writer
	// headerLimit bounds the bytes read from raw while a response header is read; otherwise there is
	// no bound.
	headerLimit *io.LimitedReader
	createdAt   time.Time
	idleSince   time.Time

	// The state of the current attempt. sent counts its request bytes that were written, onEnd is
	// called when it has ended at the target, and stopCancel detaches it from its context.
	sent          int64
	onEnd         func()
	lingerTimeout time.Duration
	stopCancel    func() bool

	mu        sync.Mutex
	cancelled bool
}

// defaultBufferSize is the buffer size for each direction of a connection.
const defaultBufferSize = 4 << 10

// newConn wraps a connection that was just opened.
func newConn(p *Pool, address string, raw net.Conn) *conn {
	c := &conn{pool: p, address: address, raw: raw, createdAt: time.Now()}
	c.headerLimit = &io.LimitedReader{R: raw}
	size := cmp.Or(p.BufferSize, defaultBufferSize)
	c.reader = bufio.NewReaderSize(c.headerLimit, size)
	c.writer = bufio.NewWriterSize(countingWriter{c}, size)
	return c
}

// countingWriter counts the bytes that were written to the connection.
type countingWriter struct{ c *conn }

// Write writes to the connection and counts the bytes that it accepted.
func (w countingWriter) Write(b []byte) (int, error) {
	n, err := w.c.raw.Write(b)
	w.c.sent += int64(n)
	return n, err
}

// startAttempt assigns the connection to an attempt, which is cancelled when the context ends.
func (c *conn) startAttempt(ctx context.Context, onEnd func(), lingerTimeout time.Duration) {
	c.sent, c.onEnd, c.lingerTimeout = 0, onEnd, lingerTimeout
	c.stopCancel = context.AfterFunc(ctx, c.cancel)
}

// expiredDeadline is a deadline in the past: reads and writes fail at once.
var expiredDeadline = time.Unix(1, 0)

// cancel unblocks reads and writes on the connection and prevents later ones from waiting.
func (c *conn) cancel() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelled = true
	_ = c.raw.SetDeadline(expiredDeadline)
}

// setTimeout limits the next reads and writes on the connection; zero means no limit. It has no
// effect once the attempt is cancelled.
func (c *conn) setTimeout(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancelled {
		return
	}
	var at time.Time
	if d > 0 {
		at = time.Now().Add(d)
	}
	_ = c.raw.SetDeadline(at)
}

// UnframedError reports a response without a length or chunked encoding: its end could not be
// distinguished from a connection that broke.
type UnframedError struct{}

// Error returns a fixed message.
func (*UnframedError) Error() string {
	return "the answer has neither a length nor chunks"
}

// roundTrip sends the request and reads the header of the response.
func (c *conn) roundTrip(call Call) (*Reply, error) {
	c.setTimeout(call.FirstByteTimeout)
	if err := call.Request.Write(c.writer); err != nil {
		return nil, err
	}
	if err := c.writer.Flush(); err != nil {
		return nil, err
	}
	response, err := c.readResponseHeader(call.Request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode == http.StatusSwitchingProtocols {
		return nil, errors.New("the target switched protocols")
	}
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return nil, &UnframedError{}
	}
	return &Reply{Response: response, conn: c, progressTimeout: call.ProgressTimeout}, nil
}

// readResponseHeader reads the header of the final response and skips informational ones.
func (c *conn) readResponseHeader(r *http.Request) (*http.Response, error) {
	c.headerLimit.N = c.pool.MaxHeaderBytes
	if c.headerLimit.N <= 0 {
		c.headerLimit.N = http.DefaultMaxHeaderBytes
	}
	for {
		response, err := http.ReadResponse(c.reader, r)
		if err != nil {
			return nil, err
		}
		informational := response.StatusCode >= 100 && response.StatusCode < 200
		if !informational || response.StatusCode == http.StatusSwitchingProtocols {
			c.headerLimit.N = 1<<63 - 1
			return response, nil
		}
	}
}

// finish ends an attempt whose response was read completely. The connection returns to the pool
// unless it cannot be reused.
func (c *conn) finish(reusable bool) {
	notCancelled := c.stopCancel()
	onEnd := c.onEnd
	if !notCancelled || !reusable || c.reader.Buffered() > 0 {
		c.pool.discard(c)
	} else {
		c.setTimeout(0)
		c.pool.putIdle(c)
	}
	onEnd()
}

// abandon ends an attempt without a complete response, and returns the number of request bytes
// sent. If nothing was sent the attempt has ended at once; otherwise it ends when the target
// closes the connection.
func (c *conn) abandon() int64 {
	c.stopCancel()
	sent := c.sent
	if sent == 0 {
		onEnd := c.onEnd
		c.pool.discard(c)
		onEnd()
		return 0
	}
	go c.awaitTargetClose()
	return sent
}

// awaitTargetClose closes the sending side and waits until the target closes its own, at most for
// the linger timeout.
func (c *conn) awaitTargetClose() {
	halfCloser, ok := c.raw.(interface{ CloseWrite() error })
	if ok && halfCloser.CloseWrite() == nil {
		_ = c.raw.SetReadDeadline(time.Now().Add(c.lingerTimeout))
		_, _ = io.Copy(io.Discard, c.raw)
	}
	c.pool.discard(c)
	c.onEnd()
}

// close closes the connection without counting it as closed in the pool.
func (c *conn) close() { _ = c.raw.Close() }

// stillIdle reports whether an idle connection is open and nothing has arrived on it. A late
// response or a close by the target makes it unusable.
func (c *conn) stillIdle() bool {
	s, ok := c.raw.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, peek := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		idle = errors.Is(peek, syscall.EAGAIN)
		return true
	})
	return err == nil && idle
}
