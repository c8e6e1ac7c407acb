package release

import (
	"time"

	"github.com/oriolepond/oriolepond/pkg/share"
)

// RouteClass says how a route's requests may be repeated and how they end.
type RouteClass string

// The classes of routes.
const (
	// Idempotent requests may be retried and hedged.
	Idempotent RouteClass = "idempotent"
	// NonIdempotent requests carry a key and run at most once.
	NonIdempotent RouteClass = "nonIdempotent"
	// Stream requests stay open; each carries a key and runs at most once.
	Stream RouteClass = "stream"
)

// Route is one kind of request of a service.
type Route struct {
	// Path is the prefix, below the service's own, that selects the route.
	Path  string
	Class RouteClass
	// Deadline is the time within which a request is answered; for a stream, its first byte.
	Deadline time.Duration
	// MaxRequest and MaxAnswer bound the bodies.
	MaxRequest share.Bytes
	MaxAnswer  share.Bytes
	// Retries is the greatest number of further attempts.
	Retries int
	// HedgeAfter is when an idempotent request is sent a second time; zero means never.
	HedgeAfter time.Duration
	// ProgressTimeout bounds the silence on an open answer.
	ProgressTimeout time.Duration
}

// Objective is the promise that a service's burn is measured against.
type Objective struct {
	// Latency is the bound within which an answer counts as good.
	Latency time.Duration
	// Ratio is the promised part of good answers, below 1.
	Ratio float64
}

// Service is a latency-critical service whose runners answer requests.
type Service struct {
	Name      string
	Neighbour string
	Share     string
	// Runner is what one runner takes of its worker.
	Runner    share.Resources
	Objective Objective
	Routes    []Route
}

// Route returns the route with the longest prefix of path, and whether there is one.
func (s Service) Route(path string) (Route, bool) {
	best := -1
	for i := range s.Routes {
		p := s.Routes[i].Path
		if len(path) < len(p) || path[:len(p)] != p {
			continue
		}
		if best < 0 || len(p) > len(s.Routes[best].Path) {
			best = i
		}
	}
	if best < 0 {
		return Route{}, false
	}
	return s.Routes[best], true
}

// Job is a family of batch tasks that callers submit.
type Job struct {
	Name      string
	Neighbour string
	Share     string
	// Size and RunTime are what the operator believes one task takes.
	Size    share.Resources
	RunTime time.Duration
	// Urgent tasks start before all others.
	Urgent bool
	// Checkpoints says whether a task can resume from a checkpoint.
	Checkpoints bool
	// MaxStarts bounds the starts of one task that end in failure.
	MaxStarts int
}
