package entry

import (
	"context"
	"net/http"
	"strings"

	"github.com/oriolepond/oriolepond/pkg/share"
)

// connectionHeaders are not forwarded because they belong to one connection or one attempt.
var connectionHeaders = map[string]bool{
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	"Expect":              true,
	"Proxy-Connection":    true,
	"Content-Length":      true,
	HeaderToken:           true,
	HeaderRequestID:       true,
	HeaderOutcome:         true,
	HeaderDeadline:        true,
}

// copyHeader copies all headers except connectionHeaders and those that the Connection header
// lists.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		if !connectionHeaders[name] {
			to[name] = values
		}
	}
	for _, names := range from["Connection"] {
		for name := range strings.SplitSeq(names, ",") {
			to.Del(strings.TrimSpace(name))
		}
	}
}

// withNeighbour returns a context that carries the authenticated neighbour.
func withNeighbour(ctx context.Context, n share.Neighbour) context.Context {
	return context.WithValue(ctx, neighbourKey{}, n)
}

// neighbourOf returns the neighbour that withNeighbour put into the context.
func neighbourOf(ctx context.Context) share.Neighbour {
	n, _ := ctx.Value(neighbourKey{}).(share.Neighbour)
	return n
}
