package entry

import (
	"context"
	"net/http"
	"time"
)

// Peer is another entry instance to which requests may be forwarded.
type Peer struct {
	ID      string
	Address string
	// Do runs a request at the peer. The error is an *OutcomeError. Its outcome is NotRun only if the
	// peer reported NotRun or if the request was never sent to it.
	Do func(ctx context.Context, q Request) (Response, error)
	// Stream runs a streamed request at the peer. An error before the call of Sink.Head is an
	// *OutcomeError, one after it a *CutError.
	Stream func(ctx context.Context, q Request, to Sink) error
}

// Sink receives a streamed response.
type Sink struct {
	// Head receives the status and the header. It is called once, before any Write.
	Head func(status int, h http.Header) error
	// Write receives the next piece of the body. The piece is valid only during the call.
	Write func(piece []byte) error
	// Slowed, if not nil, is called before Head if batch work slowed a target that was tried.
	Slowed func()
}

// CutError reports that a response broke off after its header was delivered.
type CutError struct {
	Err error
}

// Error returns the cause.
func (e *CutError) Error() string { return "the answer was cut: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *CutError) Unwrap() error { return e.Err }

// Key identifies a non-idempotent request.
type Key struct {
	Neighbour string
	Service   string
	// Region is the region whose instances store the key.
	Region string
	// Value is the caller's HeaderKey.
	Value string
}

// KeyTakenError reports that a request with the same key may already have run.
type KeyTakenError struct {
	Key Key
}

// Error returns a message with the key.
func (e *KeyTakenError) Error() string {
	return "a request with key " + e.Key.Value + " may have run"
}

// Keys records the keys of non-idempotent requests, so that a repeat does not run.
type Keys struct {
	// Begin records a key. It returns a *KeyTakenError if the key is already recorded. The request must
	// not run after any error.
	Begin func(ctx context.Context, k Key) error
	// Finish reports how the request ended. NotRun frees the key for a repeat; an empty outcome means
	// that the service responded.
	Finish func(k Key, o Outcome)
}

// keyOf returns the key of a request. It returns false if the key need not be recorded here: the
// request has none, or the peer that forwarded it has recorded it.
func (d *Dispatcher) keyOf(q Request) (Key, bool) {
	if d.Keys == nil || q.Forwarded || q.Key == "" {
		return Key{}, false
	}
	return Key{Neighbour: q.Neighbour.Name, Service: q.Service.Name, Region: q.Neighbour.Region, Value: q.Key}, true
}

// requestOverheadBytes is the size assumed for a forwarded request or response in addition to its
// body.
const requestOverheadBytes = 1024

// linkHasCapacity reports whether the link to the other region can carry the request now.
func (d *Dispatcher) linkHasCapacity(q Request) bool {
	return d.Link == nil || d.Link.Out.Fits(time.Now(), int64(len(q.Body))+requestOverheadBytes) &&
		d.Link.In.Fits(time.Now(), requestOverheadBytes)
}

// countLinkSent counts the bytes of a request that is sent to the other region.
func (d *Dispatcher) countLinkSent(q Request) {
	if d.Link != nil {
		bytes := int64(len(q.Body)) + requestOverheadBytes
		d.Link.Out.Take(time.Now(), bytes)
		d.reportLinkBytes(q, bytes)
	}
}

// countLinkReceived counts bytes of a response that were received from the other region.
func (d *Dispatcher) countLinkReceived(q Request, bytes int) {
	if d.Link != nil {
		d.Link.In.Take(time.Now(), int64(bytes))
		d.reportLinkBytes(q, int64(bytes))
	}
}

// reportLinkBytes attributes bytes on the link to the neighbour and the share that pay for them.
func (d *Dispatcher) reportLinkBytes(q Request, bytes int64) {
	if d.OnLinkBytes != nil {
		d.OnLinkBytes(q.Neighbour.Name, q.Service.Share, bytes)
	}
}
