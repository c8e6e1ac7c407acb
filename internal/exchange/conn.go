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
	pool      *Pool
	address   string
	raw       net.Conn
	reader    *bufio.Reader
	writer    *bufio.Writer
	head      *io.LimitedReader
	made      time.Time
	idleSince time.Time

	// The attempt in hand.
	sent   int64
	ended  func()
	linger time.Duration
	unhook func() bool

	mu        sync.Mutex
	cancelled bool
}

// defaultBufferSize is that of each direction of a connection.
const defaultBufferSize = 4 << 10

func newConn(p *Pool, address string, raw net.Conn) *conn {
	c := &conn{pool: p, address: address, raw: raw, made: time.Now()}
	c.head = &io.LimitedReader{R: raw}
	size := cmp.Or(p.BufferSize, defaultBufferSize)
	c.reader = bufio.NewReaderSize(c.head, size)
	c.writer = bufio.NewWriterSize(countingWriter{c}, size)
	return c
}

// countingWriter counts the bytes that the connection has taken.
type countingWriter struct{ c *conn }

// Write writes to the connection.
func (w countingWriter) Write(b []byte) (int, error) {
	n, err := w.c.raw.Write(b)
	w.c.sent += int64(n)
	return n, err
}

// begin gives the connection to an attempt.
func (c *conn) begin(ctx context.Context, ended func(), linger time.Duration) {
	c.sent, c.ended, c.linger = 0, ended, linger
	c.unhook = context.AfterFunc(ctx, c.cancel)
}

// past is a deadline that has always passed.
var past = time.Unix(1, 0)

// cancel wakes whatever waits on the connection.
func (c *conn) cancel() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelled = true
	_ = c.raw.SetDeadline(past)
}

// arm bounds the next wait on the connection; zero means no bound.
func (c *conn) arm(d time.Duration) {
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

// UnframedError says that the end of an answer could not be told from a cut.
type UnframedError struct{}

// Error returns the fault.
func (*UnframedError) Error() string { return "the answer has neither a length nor chunks" }

// roundTrip sends the request and reads the head of the answer.
func (c *conn) roundTrip(call Call) (*Reply, error) {
	c.arm(call.FirstByte)
	if err := call.Request.Write(c.writer); err != nil {
		return nil, err
	}
	if err := c.writer.Flush(); err != nil {
		return nil, err
	}
	answer, err := c.readHead(call.Request)
	if err != nil {
		return nil, err
	}
	if answer.StatusCode == http.StatusSwitchingProtocols {
		return nil, errors.New("the target switched protocols")
	}
	if answer.ContentLength < 0 && len(answer.TransferEncoding) == 0 {
		return nil, &UnframedError{}
	}
	return &Reply{Response: answer, conn: c, progress: call.Progress}, nil
}

// readHead reads the head of the final answer and passes over informational ones.
func (c *conn) readHead(r *http.Request) (*http.Response, error) {
	c.head.N = c.pool.MaxHeaderBytes
	if c.head.N <= 0 {
		c.head.N = http.DefaultMaxHeaderBytes
	}
	for {
		answer, err := http.ReadResponse(c.reader, r)
		if err != nil {
			return nil, err
		}
		informational := answer.StatusCode >= 100 && answer.StatusCode < 200
		if !informational || answer.StatusCode == http.StatusSwitchingProtocols {
			c.head.N = 1<<63 - 1
			return answer, nil
		}
	}
}

// finish ends an attempt whose answer was read whole.
func (c *conn) finish(reusable bool) {
	hooked := c.unhook()
	ended := c.ended
	if !hooked || !reusable || c.reader.Buffered() > 0 {
		c.pool.discard(c)
	} else {
		c.arm(0)
		c.pool.put(c)
	}
	ended()
}

// giveUp ends an attempt without a whole answer, and returns the bytes sent.
func (c *conn) giveUp() int64 {
	c.unhook()
	sent := c.sent
	if sent == 0 {
		ended := c.ended
		c.pool.discard(c)
		ended()
		return 0
	}
	go c.awaitEnd()
	return sent
}

// awaitEnd closes the sending side and waits until the target closes its own.
func (c *conn) awaitEnd() {
	half, ok := c.raw.(interface{ CloseWrite() error })
	if ok && half.CloseWrite() == nil {
		_ = c.raw.SetReadDeadline(time.Now().Add(c.linger))
		_, _ = io.Copy(io.Discard, c.raw)
	}
	c.pool.discard(c)
	c.ended()
}

func (c *conn) close() { _ = c.raw.Close() }

// quiet reports whether an idle connection is open and nothing has arrived on
// it: an answer that came late, or the target's close, makes it useless.
func (c *conn) quiet() bool {
	s, ok := c.raw.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, peek := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(peek, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}
