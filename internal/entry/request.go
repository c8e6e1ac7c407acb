package entry

import (
	"net/http"
	"time"

	"github.com/oriolepond/oriolepond/pkg/release"
	"github.com/oriolepond/oriolepond/pkg/share"
)

// Request is a caller's request after validation, with its complete body.
type Request struct {
	Neighbour share.Neighbour
	Service   release.Service
	Route     release.Route
	Method    string
	// Path is the escaped path below the service, with the query.
	Path   string
	Header http.Header
	Body   []byte
	// Key identifies a non-idempotent request; repeats of it carry the same key.
	Key string
	// Deadline is the time by which the response must be complete.
	Deadline time.Time
	// Forwarded is set on requests that come from a peer; they are not forwarded again. They wait for
	// a free slot only if MayQueue is set.
	Forwarded bool
	MayQueue  bool
}

// Response is a runner's complete response.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Slowed is set if batch work slowed a target that was tried.
	Slowed bool
}
