// Package intake bounds what a process holds for the clients of its servers: their connections, and the
// bytes of their requests and of the answers to them.
//
// A Budget counts the connections of one server and the bytes that they hold. Each connection has a Lease,
// which includes an allowance that suffices for an ordinary request; more is taken step by step, before
// the memory is allocated. If a connection or bytes are missing, the Budget closes connections that wait
// for their clients: first the one with the highest product of the bytes held and the time without
// progress. A request that has arrived completely is never closed. If nothing can be closed, the request
// is refused: once it has arrived, on one of the connections that are kept for refusals. A connection on which
// no request has arrived yet becomes one of these instead of being closed.
//
// A Budget needs no network. Attach and Listen connect it to an HTTP server.
//
// # Usage
//
//	limits := intake.LimitsFor(memoryBytes, maxFds)
//	b := &intake.Budget{Limits: limits.Callers}
//	b.Attach(server)
//	go server.Serve(b.Listen(listener))
//	// In a handler:
//	body, err := intake.FromContext(r.Context()).ReadBody(r.Body, r.ContentLength, nil)
package intake

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Limits bound what a Budget grants.
type Limits struct {
	// Conns is the number of connections, Bytes the number of bytes that they hold together beyond their
	// allowances. Zero means no limit.
	Conns int
	Bytes int64
}

const (
	// Allowance is the number of bytes that each connection may hold for a request without taking them
	// from Limits.Bytes.
	Allowance = 28 << 10
	// connBytes is the memory that a connection needs otherwise: the buffers of the operating system and
	// of the server, and the stacks of its goroutines.
	connBytes = 40 << 10
	// progressBytes is how much a client has to send to make progress.
	progressBytes = 256
	// stallTime is how long a connection that holds bytes of the budget, or is about to send a response, has
	// to be without progress before it is closed for another one.
	stallTime = time.Second
	// RetryAfter is the time after which a client may repeat a request that was refused.
	RetryAfter = time.Second
	// ReportInterval is the time between two calls of Budget.OnPressure.
	ReportInterval = 10 * time.Second
)

// Phase is what a connection waits for.
type Phase string

const (
	// Idle connections have sent nothing since the last response.
	Idle Phase = "idle"
	// Header and Body are the phases in which the client sends a request.
	Header Phase = "header"
	Body   Phase = "body"
	// Working means that the request has arrived and is being served.
	Working Phase = "working"
	// Answering means that the client receives the response.
	Answering Phase = "answering"
)

// FullError reports that a request was refused because the budget is used up. The request was not served.
type FullError struct {
	// Wanted is the number of bytes that were missing; zero if a connection was.
	Wanted int64
}

// Error describes what is missing.
func (e *FullError) Error() string {
	if e.Wanted == 0 {
		return "too many connections"
	}
	return fmt.Sprintf("no memory for %d more bytes of requests", e.Wanted)
}

// ClosedError reports that a connection was closed in favour of another one.
type ClosedError struct{}

// Error returns the reason.
func (*ClosedError) Error() string {
	return "the connection was closed, since its client made no progress"
}

// Usage is what a Budget has granted, and what it has refused and closed so far.
type Usage struct {
	Conns   int
	Bytes   int64
	Refused int64
	Closed  int64
}

// Budget grants connections and bytes to the clients of one server. Its exported fields must be set before
// use.
type Budget struct {
	Limits Limits
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
	// OnPressure, if not nil, is called after connections were closed or requests were refused, at most once
	// in each ReportInterval.
	OnPressure func(Usage)
	// RefusalHeader is added to the responses to requests that are refused for want of a connection.
	RefusalHeader http.Header

	// attached means that the connections carry HTTP; see Attach.
	attached bool

	mu     sync.Mutex
	leases map[*Lease]struct{}
	// refused is the number of leases of connections whose requests are refused.
	refused    int
	usage      Usage
	reportedAt time.Time
	// passing is the connection that may use all of Limits.Bytes for messages.
	passing *Lease
	// room, if not nil, is closed when bytes are given back.
	room chan struct{}
}

// Usage returns what is in use now.
func (b *Budget) Usage() Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.usage
	u.Conns = len(b.leases)
	return u
}

// isCrowded reports whether more than a quarter of the connections are in use.
func (b *Budget) isCrowded() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Limits.Conns > 0 && len(b.leases) > b.Limits.Conns/4
}

// Open grants a connection, which end closes. The error is a *FullError.
func (b *Budget) Open(end func()) (*Lease, error) {
	l, victims := b.open(end)
	b.end(victims)
	if l == nil {
		b.report()
		return nil, &FullError{}
	}
	return l, nil
}

// open grants a connection, and returns those to be closed for it. It returns no lease if there is no room.
func (b *Budget) open(end func()) (l *Lease, victims []*Lease) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	victims, ok := b.vacate(now, false)
	if !ok {
		b.usage.Refused++
		return nil, nil
	}
	return b.add(end, nil, now), victims
}

// vacate makes room for a connection if there is none, and returns those to be closed for it. Sparing means that
// requests that have just begun are not cut.
func (b *Budget) vacate(now time.Time, sparing bool) (victims []*Lease, ok bool) {
	if b.Limits.Conns == 0 || len(b.leases)-b.refused < b.Limits.Conns-b.maxRefused() {
		return nil, true
	}
	victim := b.first(now, nil)
	for victim != nil && victim.phase == Idle && victim.arrived != nil && victim.arrived() {
		victim.begin(now)
		victim.unread = true
		victim = b.first(now, nil)
	}
	switch {
	case victim == nil, sparing && victim.hasJustBegun(now):
		return nil, false
	case victim.isNew():
		if victims, ok = b.vacateRefusal(now); ok {
			b.markRefused(victim, now)
			return victims, true
		}
	}
	b.evict(victim)
	return []*Lease{victim}, true
}

// add adds a connection. Arrived may be nil.
func (b *Budget) add(end func(), arrived func() bool, now time.Time) *Lease {
	if b.leases == nil {
		b.leases = map[*Lease]struct{}{}
	}
	l := &Lease{budget: b, end: end, arrived: arrived, phase: Idle, progressAt: now}
	b.leases[l] = struct{}{}
	return l
}

func (b *Budget) now() time.Time {
	if b.Now != nil {
		return b.Now()
	}
	return time.Now()
}

// first returns the connection to be closed first for another one, or, if taker is not nil, for bytes of
// that connection. It returns nil if there is none.
func (b *Budget) first(now time.Time, taker *Lease) *Lease {
	var first *Lease
	highest, last := 0.0, justBegun
	for l := range b.leases {
		if !l.mayClose(now, taker) {
			continue
		}
		rank, arrival := float64(connBytes+l.held)*now.Sub(l.progressAt).Seconds(), l.arrival(now)
		if first == nil || arrival < last || arrival == last && rank > highest {
			first, highest, last = l, rank, arrival
		}
	}
	return first
}

// evict takes a connection out of the budget.
func (b *Budget) evict(l *Lease) {
	b.remove(l)
	b.usage.Closed++
}

// remove gives back everything that a connection holds.
func (b *Budget) remove(l *Lease) {
	if _, ok := b.leases[l]; !ok {
		return
	}
	delete(b.leases, l)
	if l.isRefused() {
		b.refused--
	}
	if b.passing == l {
		b.passing = nil
	}
	b.free(l.charged())
	l.held, l.closed = 0, true
}

// free gives bytes back, and wakes those that wait for some.
func (b *Budget) free(bytes int64) {
	b.usage.Bytes -= bytes
	if b.usage.Bytes <= b.sharedBytes() {
		b.passing = nil
	}
	if bytes > 0 && b.room != nil {
		close(b.room)
		b.room = nil
	}
}

// closeable returns how many bytes would be free if all connections were closed that may be, for taker.
func (b *Budget) closeable(now time.Time, taker *Lease) int64 {
	bytes := int64(0)
	for l := range b.leases {
		if l.mayClose(now, taker) {
			bytes += l.charged()
		}
	}
	return bytes
}

// end closes connections that have been evicted. The lock is not held.
func (b *Budget) end(victims []*Lease) {
	for _, v := range victims {
		v.end()
	}
	if len(victims) > 0 {
		b.report()
	}
}

// refuse counts a refusal for lack of bytes.
func (b *Budget) refuse() {
	b.mu.Lock()
	b.usage.Refused++
	b.mu.Unlock()
	b.report()
}

// report calls OnPressure, unless it was called recently.
func (b *Budget) report() {
	b.mu.Lock()
	now := b.now()
	due := b.OnPressure != nil && (b.reportedAt.IsZero() || now.Sub(b.reportedAt) >= ReportInterval)
	if due {
		b.reportedAt = now
	}
	b.mu.Unlock()
	if due {
		b.OnPressure(b.Usage())
	}
}
