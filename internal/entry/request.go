package entry

import (
	"net/http"
	"time"

	"github.com/oriolepond/oriolepond/pkg/release"
	"github.com/oriolepond/oriolepond/pkg/share"
)

// Request is one caller's request, read whole and checked.
type Request struct {
	Neighbour share.Neighbour
	Service   release.Service
	Route     release.Route
	Method    string
	// Path is below the service's own, escaped, with the query.
	Path   string
	Header http.Header
	Body   []byte
	// Key is that of a non-idempotent request.
	Key string
	// Deadline is when the answer must be there.
	Deadline time.Time
	// Forwarded requests come from a peer and are not forwarded again. They
	// wait for a slot only if MayQueue is set.
	Forwarded bool
	MayQueue  bool
}

// Response is a runner's whole answer.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Slowed says that batch work slowed a target that was tried.
	Slowed bool
}
