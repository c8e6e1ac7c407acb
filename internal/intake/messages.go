package intake

import (
	"context"
	"encoding/binary"
	"sync"
	"time"
)

const (
	// streamBytes is the memory of a call whose message has not arrived completely, frameBytes that of each piece
	// of it beyond its data.
	streamBytes = 8 << 10
	frameBytes  = 128
	// messageProgress is how much of its messages a client has to send to make progress, if they exceed the allowance.
	messageProgress = 16 << 10
	// messageTimeout is how long a connection waits for bytes for its messages. After waitTime it may be closed for
	// bytes of another one.
	messageTimeout = 10 * time.Second
	waitTime       = 3 * time.Second
	// passageBytes is the part of the budget that only one connection may use at a time, so that connections which all
	// hold parts of messages do not wait for each other. It suffices for the largest message.
	passageBytes = 9 << 20
)

// messages counts what a connection holds of messages that have not arrived completely. It follows the frames of
// HTTP/2 in both directions: a message is held from the beginning of its call until its last byte, or until
// the call ends. What follows it is held until the call ends.
type messages struct {
	in, out frames

	mu    sync.Mutex
	calls map[uint32]*message
	// last is the highest number of a call so far.
	last uint32
	// held is the number of bytes that are held, taken how many of them were taken from the budget.
	held, taken int64
}

// newMessages returns the messages of a connection that a server has accepted.
func newMessages() *messages {
	m := &messages{calls: map[uint32]*message{}}
	m.in = frames{skip: len(clientPreface), onFrame: m.frameReceived, onData: m.dataReceived}
	m.out = frames{onFrame: m.frameSent}
	return m
}

// message is the message of a call.
type message struct {
	prefix    [5]byte
	prefixLen int
	// missing is the number of bytes that follow the prefix and have not arrived.
	missing int64
	whole   bool
	held    int64
}

// arrive records data, and reports whether the message has become complete with it.
func (g *message) arrive(data []byte) bool {
	if g.whole {
		return false
	}
	if g.prefixLen < len(g.prefix) {
		n := copy(g.prefix[g.prefixLen:], data)
		g.prefixLen += n
		data = data[n:]
		if g.prefixLen < len(g.prefix) {
			return false
		}
		g.missing = int64(binary.BigEndian.Uint32(g.prefix[1:]))
	}
	g.missing -= int64(len(data))
	g.whole = g.missing <= 0
	return g.whole
}

// frameReceived records a frame of the client.
func (m *messages) frameReceived(kind, _ byte, call uint32) {
	switch {
	case kind == headersFrame && call > m.last:
		m.last = call
		m.calls[call] = &message{held: streamBytes}
		m.held += streamBytes
	case kind == resetFrame:
		m.drop(call)
	}
}

// dataReceived records data of the client.
func (m *messages) dataReceived(call uint32, data []byte) {
	g := m.calls[call]
	if g == nil {
		return
	}
	g.held += frameBytes + int64(len(data))
	m.held += frameBytes + int64(len(data))
	if g.arrive(data) {
		m.held += max(0, -g.missing) - g.held
		g.held = max(0, -g.missing)
	}
}

// frameSent records a frame of the server.
func (m *messages) frameSent(kind, flags byte, call uint32) {
	if kind == resetFrame || (kind == headersFrame || kind == dataFrame) && flags&endStream != 0 {
		m.drop(call)
	}
}

// drop records the end of a call.
func (m *messages) drop(call uint32) {
	if g := m.calls[call]; g != nil {
		m.held -= g.held
		delete(m.calls, call)
	}
}

// received records bytes of the client, and takes from the budget what they hold. It waits if bytes are missing.
func (m *messages) received(l *Lease, p []byte) error {
	m.mu.Lock()
	data := m.in.pass(p)
	more := m.held - m.taken
	m.mu.Unlock()
	l.receiveMessages(len(p), data)
	if more > 0 {
		if err := l.takeWithin(messageTimeout, more); err != nil {
			return err
		}
		m.mu.Lock()
		m.taken += more
		m.mu.Unlock()
	}
	m.settle(l)
	return nil
}

// sent records bytes of the server.
func (m *messages) sent(l *Lease, p []byte) {
	m.mu.Lock()
	m.out.pass(p)
	m.mu.Unlock()
	m.settle(l)
}

// settle gives back what is no longer held.
func (m *messages) settle(l *Lease) {
	m.mu.Lock()
	less := max(0, m.taken-m.held)
	m.taken -= less
	m.mu.Unlock()
	if less > 0 {
		l.Give(less)
	}
}

// takeWithin takes bytes like Await, for at most a time.
func (l *Lease) takeWithin(timeout time.Duration, bytes int64) error {
	room, err := l.tryTake(bytes)
	if room == nil {
		return err
	}
	l.setWaiting(true)
	defer l.setWaiting(false)
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return l.Await(ctx, bytes)
}

// setWaiting records that the connection waits for bytes, or no longer does. Meanwhile it is not its client that
// makes no progress.
func (l *Lease) setWaiting(waits bool) {
	l.budget.mu.Lock()
	defer l.budget.mu.Unlock()
	l.progressAt, l.waitingSince = l.budget.now(), time.Time{}
	if waits {
		l.waitingSince = l.progressAt
	}
}

// sharedBytes is the part of the budget for messages that all connections share.
func (b *Budget) sharedBytes() int64 { return max(0, b.Limits.Bytes-passageBytes) }

// byteLimit returns how many bytes may be in use after the lease has taken more.
func (l *Lease) byteLimit(more int64) int64 {
	b := l.budget
	if !l.messages {
		return b.Limits.Bytes
	}
	if b.passing == nil && b.usage.Bytes+more > b.sharedBytes() {
		b.passing = l
	}
	if b.passing == l {
		return b.Limits.Bytes
	}
	return b.sharedBytes()
}

// receiveMessages records bytes that arrived on a connection with messages, and how many of them are data.
func (l *Lease) receiveMessages(bytes, data int) {
	l.budget.mu.Lock()
	defer l.budget.mu.Unlock()
	if l.charged() == 0 {
		l.progress(bytes)
		return
	}
	if l.received += data; l.received >= messageProgress {
		l.progressAt, l.received = l.budget.now(), 0
	}
}
