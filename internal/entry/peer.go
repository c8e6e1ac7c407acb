package entry

import (
	"context"
	"net/http"
	"time"
)

// Peer is another entry instance that takes forwarded requests.
type Peer struct {
	ID      string
	Address string
	// Do runs a request there. The error is an *OutcomeError; it says notRun
	// only if the peer said so, or if the request was never sent to it.
	Do func(ctx context.Context, q Request) (Response, error)
	// Stream runs a stream there. An error before Sink.Head is an *OutcomeError, one after it a *CutError.
	Stream func(ctx context.Context, q Request, to Sink) error
}

// Sink takes a streamed answer.
type Sink struct {
	// Head is called once, before any Write.
	Head func(status int, h http.Header) error
	// Write passes a piece on; the piece is not kept.
	Write func(piece []byte) error
	// Slowed is called before Head if batch work slowed a target that was tried; nil means nobody asks.
	Slowed func()
}

// CutError says that an answer broke off after its head was passed on.
type CutError struct {
	Err error
}

// Error returns the cause.
func (e *CutError) Error() string { return "the answer was cut: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *CutError) Unwrap() error { return e.Err }

// Key names a non-idempotent request.
type Key struct {
	Neighbour string
	Service   string
	// Region is where the key is remembered.
	Region string
	Value  string
}

// KeyTakenError says that a request with the key may already have run.
type KeyTakenError struct {
	Key Key
}

// Error returns the key.
func (e *KeyTakenError) Error() string { return "a request with key " + e.Key.Value + " may have run" }

// Keys remembers the keys of non-idempotent requests.
type Keys struct {
	// Begin marks the key as started. It returns a *KeyTakenError if the key
	// was started before; after any error the request is not run.
	Begin func(ctx context.Context, k Key) error
	// Finish tells how the request ended; NotRun frees the key. An empty
	// outcome means that the request was answered.
	Finish func(k Key, o Outcome)
}

// keyOf returns the key of a request, and whether it has to be remembered here.
func (d *Dispatcher) keyOf(q Request) (Key, bool) {
	if d.Keys == nil || q.Forwarded || q.Key == "" {
		return Key{}, false
	}
	return Key{Neighbour: q.Neighbour.Name, Service: q.Service.Name, Region: q.Neighbour.Region, Value: q.Key}, true
}

// requestOverhead is what a forwarded request or answer takes on the link besides its body, in bytes.
const requestOverhead = 1024

// linkFits reports whether a request may go to the other region now.
func (d *Dispatcher) linkFits(q Request) bool {
	return d.Link == nil || d.Link.Out.Fits(time.Now(), int64(len(q.Body))+requestOverhead) &&
		d.Link.In.Fits(time.Now(), requestOverhead)
}

// linkOut and linkIn count bytes to and from the other region.
func (d *Dispatcher) linkOut(q Request) {
	if d.Link != nil {
		bytes := int64(len(q.Body)) + requestOverhead
		d.Link.Out.Take(time.Now(), bytes)
		d.countLink(q, bytes)
	}
}

func (d *Dispatcher) linkIn(q Request, bytes int) {
	if d.Link != nil {
		d.Link.In.Take(time.Now(), int64(bytes))
		d.countLink(q, int64(bytes))
	}
}

// countLink counts bytes on the link for who pays for them.
func (d *Dispatcher) countLink(q Request, bytes int64) {
	if d.OnLinkBytes != nil {
		d.OnLinkBytes(q.Neighbour.Name, q.Service.Share, bytes)
	}
}
