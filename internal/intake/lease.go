package intake

import (
	"context"
	"errors"
	"time"
)

// Lease is what one connection holds of a Budget. All methods of a nil Lease do nothing and succeed.
type Lease struct {
	budget *Budget
	end    func()
	// arrived reports whether bytes wait to be read from the connection. Nil means that this is not known.
	arrived func() bool

	// The fields below are guarded by the mutex of the budget.
	phase Phase
	// held is the number of bytes that the current request holds, the allowance included.
	held int64
	// header is how much of held was taken for the header.
	header int64
	// received counts the bytes since the last progress, which was made at progressAt.
	received   int
	progressAt time.Time
	// begunAt is when the last request began to arrive; zero if there was none.
	begunAt time.Time
	// unread means that a request waits to be read from the connection, of which nothing has been read.
	unread bool
	// messages means that the bytes are those of messages. WaitingSince, if not zero, is when the connection began to
	// wait for some.
	messages     bool
	waitingSince time.Time
	// refusedAt, if not zero, is when it was decided to refuse the request of the connection.
	refusedAt time.Time
	closed    bool
}

// leaseKey is the context key of the Lease of a request's connection.
type leaseKey struct{}

// FromContext returns the lease of the connection that a request came on, or nil.
func FromContext(ctx context.Context) *Lease {
	l, _ := ctx.Value(leaseKey{}).(*Lease)
	return l
}

// charged returns how much the lease takes of the budget's bytes.
func (l *Lease) charged() int64 { return max(0, l.held-Allowance) }

// mayClose reports whether the connection may be closed: for another one, or for bytes of taker if that is not
// nil.
func (l *Lease) mayClose(now time.Time, taker *Lease) bool {
	age := now.Sub(l.progressAt)
	switch {
	case l.phase == Working, l == taker:
		return false
	case taker != nil:
		return l.charged() > 0 && age >= stallTime && (l.waitingSince.IsZero() || now.Sub(l.waitingSince) >= waitTime)
	case l.isRefused(), l.unread:
		return false
	case l.phase == Answering:
		return age >= stallTime
	}
	return true
}

// hasJustBegun reports whether a request within the allowance began to arrive less than stallTime ago.
func (l *Lease) hasJustBegun(now time.Time) bool {
	return (l.phase == Header || l.phase == Body) && l.charged() == 0 && now.Sub(l.begunAt) < stallTime
}

// isNew reports whether no request has arrived on the connection.
func (l *Lease) isNew() bool { return l.phase == Idle && l.begunAt.IsZero() }

// arrival is how far a request is from having arrived. Connections with a lower one are closed first.
type arrival int

const (
	// notArriving means that there is no request, or that it has made no progress recently.
	notArriving arrival = iota
	arriving
	justBegun
)

// arrival returns how far the request of the connection is from having arrived.
func (l *Lease) arrival(now time.Time) arrival {
	switch {
	case l.phase != Header && l.phase != Body || now.Sub(l.progressAt) >= stallTime:
		return notArriving
	case l.hasJustBegun(now):
		return justBegun
	}
	return arriving
}

// Take takes bytes for the current request, before they are allocated. The error is a *FullError or a
// *ClosedError.
func (l *Lease) Take(bytes int64) error {
	if l == nil {
		return nil
	}
	b := l.budget
	b.mu.Lock()
	victims, err := l.take(bytes)
	b.mu.Unlock()
	b.end(victims)
	var full *FullError
	if errors.As(err, &full) {
		b.refuse()
	}
	return err
}

// take takes bytes, with the lock held, and returns the connections to be closed.
func (l *Lease) take(bytes int64) (victims []*Lease, err error) {
	if l.closed {
		return nil, &ClosedError{}
	}
	b := l.budget
	more := max(0, l.held+bytes-Allowance) - l.charged()
	if b.Limits.Bytes > 0 && more > 0 {
		if victims, err = l.makeRoom(more); err != nil {
			return nil, err
		}
	}
	l.held += bytes
	b.usage.Bytes += more
	return victims, nil
}

// makeRoom makes room for more bytes of the budget, and returns the connections to be closed. The error is a
// *FullError.
func (l *Lease) makeRoom(more int64) (victims []*Lease, err error) {
	b := l.budget
	limit := l.byteLimit(more)
	missing := b.usage.Bytes + more - limit
	if missing <= 0 {
		return nil, nil
	}
	now := b.now()
	if l.charged()+more > b.Limits.Bytes || b.closeable(now, l) < missing {
		return nil, &FullError{Wanted: more}
	}
	for b.usage.Bytes+more > limit {
		victim := b.first(now, l)
		b.evict(victim)
		victims = append(victims, victim)
	}
	return victims, nil
}

// Give gives bytes back that were taken.
func (l *Lease) Give(bytes int64) {
	if l == nil {
		return
	}
	l.budget.mu.Lock()
	defer l.budget.mu.Unlock()
	l.release(min(bytes, l.held))
}

// release gives bytes back, with the lock held.
func (l *Lease) release(bytes int64) {
	before := l.charged()
	l.held -= bytes
	l.budget.free(before - l.charged())
}

// Enter begins a phase. The error is a *ClosedError.
func (l *Lease) Enter(p Phase) error {
	if l == nil {
		return nil
	}
	l.budget.mu.Lock()
	defer l.budget.mu.Unlock()
	if l.closed {
		return &ClosedError{}
	}
	if p == Idle {
		l.release(l.held)
		l.header = 0
	}
	if p == Body && l.phase == Idle {
		l.begunAt = l.budget.now()
	}
	l.phase, l.received, l.unread = p, 0, false
	if p != Working {
		l.progressAt = l.budget.now()
	}
	return nil
}

// takeHeader takes bytes for what has arrived of a header.
func (l *Lease) takeHeader(bytes int64) error {
	if err := l.Take(bytes); err != nil {
		return err
	}
	l.budget.mu.Lock()
	defer l.budget.mu.Unlock()
	l.header += bytes
	return nil
}

// settleHeader gives back what was taken for a header beyond its actual price: the first bytes of a body may
// have arrived with it.
func (l *Lease) settleHeader(price int64) {
	if l == nil {
		return
	}
	l.budget.mu.Lock()
	defer l.budget.mu.Unlock()
	l.release(min(l.held, max(0, l.header-price)))
	l.header = min(l.header, price)
}

// Progress records bytes that the client has sent of a body, or received of a response.
func (l *Lease) Progress(bytes int) {
	if l == nil {
		return
	}
	l.budget.mu.Lock()
	defer l.budget.mu.Unlock()
	l.progress(bytes)
}

// progress records bytes, with the lock held.
func (l *Lease) progress(bytes int) {
	if l.received += bytes; l.received >= progressBytes {
		l.progressAt, l.received = l.budget.now(), 0
	}
}

// receive records bytes that arrived on the connection. In HTTP it begins the next request, and returns how
// many bytes are to be taken for its header. Large means that the request exceeds the allowance.
func (l *Lease) receive(bytes int) (header int64, large bool) {
	l.budget.mu.Lock()
	defer l.budget.mu.Unlock()
	switch {
	case !l.budget.attached:
		l.progress(bytes)
		return 0, false
	case l.phase == Idle:
		l.begin(l.budget.now())
		l.received = bytes
	case l.phase == Header:
		l.unread = false
		l.progress(bytes)
	default:
		return 0, l.charged() > 0
	}
	return headerBytes * int64(bytes), l.charged() > 0
}

// begin begins a request, with the lock held.
func (l *Lease) begin(now time.Time) {
	l.phase, l.progressAt, l.begunAt, l.received = Header, now, now, 0
}

// sent records bytes that were written to the connection.
func (l *Lease) sent(bytes int) {
	l.budget.mu.Lock()
	defer l.budget.mu.Unlock()
	if l.phase == Answering {
		l.progress(bytes)
	}
}

// Close gives back everything that the connection holds.
func (l *Lease) Close() {
	if l == nil {
		return
	}
	l.budget.mu.Lock()
	defer l.budget.mu.Unlock()
	l.budget.remove(l)
}
