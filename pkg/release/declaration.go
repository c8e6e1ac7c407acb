package release

import (
	"time"

	"github.com/oriolepond/oriolepond/pkg/share"
)

// RouteClass states whether the requests of a route may be repeated, and whether their responses
// are streams that stay open.
type RouteClass string

// The classes of routes.
const (
	// Idempotent requests may be retried and hedged.
	Idempotent RouteClass = "idempotent"
	// NonIdempotent requests carry an idempotency key and run at most once.
	NonIdempotent RouteClass = "nonIdempotent"
	// Stream requests stay open; each carries an idempotency key and runs at most once.
	Stream RouteClass = "stream"
)

// Route is one kind of request of a service.
type Route struct {
	// Path is the prefix that selects the route, relative to the path of the service.
	Path  string
	Class RouteClass
	// Deadline is the time limit for the response; for a stream, for its first byte.
	Deadline time.Duration
	// MaxRequest and MaxAnswer are the largest sizes of the request and response bodies.
	MaxRequest share.Bytes
	MaxAnswer  share.Bytes
	// Retries is the largest number of attempts after the first.
	Retries int
	// HedgeAfter is the delay after which an idempotent request without a response is sent a
	// second time; zero means never.
	HedgeAfter time.Duration
	// ProgressTimeout is the longest time that an open response may go without new bytes.
	ProgressTimeout time.Duration
}

// Objective is the service-level objective that a service's error budget is computed from.
type Objective struct {
	// Latency is the time within which a response counts as good.
	Latency time.Duration
	// Ratio is the fraction of responses that have to be good, above 0 and below 1.
	Ratio float64
}

// Service is a latency-critical service whose runners answer requests.
type Service struct {
	Name      string
	Neighbour string
	Share     string
	// Runner is the amount of resources that one runner uses on its worker.
	Runner    share.Resources
	Objective Objective
	Routes    []Route
}

// Route returns the route whose path is the longest prefix of the given path, and whether there is
// one.
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
	// Size and RunTime are the operator's estimates of the resources and the run time of one task.
	Size    share.Resources
	RunTime time.Duration
	// Urgent tasks start before all tasks that are not urgent.
	Urgent bool
	// Checkpoints reports whether a task can resume from a checkpoint.
	Checkpoints bool
	// MaxStarts is the number of failures after which a task is not started again.
	MaxStarts int
}
