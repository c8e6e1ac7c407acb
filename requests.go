package oriolepond

import (
	"context"
	"net/http"
	"time"

	"google.golang.org/grpc"

	"github.com/oriolepond/oriolepond/internal/entry"
	"github.com/oriolepond/oriolepond/internal/exchange"
	"github.com/oriolepond/oriolepond/internal/home"
	"github.com/oriolepond/oriolepond/internal/link"
	"github.com/oriolepond/oriolepond/internal/peer"
	"github.com/oriolepond/oriolepond/pkg/release"
)

const (
	// connectionMaxAge is the age beyond which no new request is sent on a connection to
	// a target or worker.
	connectionMaxAge = 5 * time.Minute
	// connectionMaxIdle is how long an unused connection to a target or worker is kept open.
	connectionMaxIdle = 30 * time.Second
	// trimInterval is how often old and idle connections to targets and workers are closed.
	trimInterval = 5 * time.Second
)

// buildRequestPlane sets up the dispatching of callers' requests to targets.
func (i *Instance) buildRequestPlane() {
	i.targets.Region, i.targets.DataCentre = i.Settings.Region, i.Settings.DataCentre
	i.requests = &entry.Dispatcher{
		Targets: i.targets,
		Exchange: &exchange.Pool{
			Dial:           i.dialer().DialContext,
			MaxAge:         connectionMaxAge,
			MaxIdle:        connectionMaxIdle,
			MaxHeaderBytes: int64(i.Settings.MaxHeaderBytes),
		},
		QueuedPerTarget: i.Settings.QueuedPerTarget,
		WeightOf:        i.weightOf,
		Log:             i.Log,
		Link:            link.New(link.BytesPerSecond(i.Settings.LinkBitsPerSecond)),
	}
}

// weightOf returns the weight of a neighbour, which is the greatest weight of its shares.
func (i *Instance) weightOf(neighbour string) int {
	weight := 1
	for _, s := range i.configs.Current().Shares {
		if s.Neighbour == neighbour {
			weight = max(weight, s.Weight)
		}
	}
	return weight
}

// trimConnections closes old and idle connections to targets and workers until the context ends.
func (i *Instance) trimConnections(ctx context.Context) error {
	ticker := time.NewTicker(trimInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			i.requests.Exchange.Trim()
			i.workerConns.Trim()
		}
	}
}

// registerRequests registers the gRPC service for requests that peers forward.
func (i *Instance) registerRequests(server *grpc.Server) {
	peer.RegisterRequests(server, &peer.Requests{
		Do: func(ctx context.Context, q entry.Request) (entry.Response, error) {
			if i.stop.draining.Load() {
				return entry.Response{}, stoppingError()
			}
			return i.requests.Do(ctx, q)
		},
		Stream: func(ctx context.Context, q entry.Request, to entry.Sink) error {
			if i.stop.draining.Load() {
				return stoppingError()
			}
			return i.requests.Stream(ctx, q, to)
		},
		Begin:  i.beginLocal,
		Finish: i.finishLocal,
		State: func(_ context.Context, k entry.Key) (home.Statement, error) {
			return i.members.State(homeKey(k)), nil
		},
		Idle:    i.targets.Idle,
		Resolve: i.resolve,
	})
}

// stoppingError tells a peer that its request did not run because this instance is stopping.
func stoppingError() error {
	return &entry.OutcomeError{
		Outcome: entry.NotRun, Status: http.StatusServiceUnavailable,
		Reason: "the peer is stopping", Cause: entry.CauseRefusal,
	}
}

// resolve returns the service, route and neighbour that a forwarded request names, and
// whether all of them are configured.
func (i *Instance) resolve(neighbour, service, route string) (entry.Request, bool) {
	c := i.configs.Current()
	s, ok := c.Service(service)
	if !ok {
		return entry.Request{}, false
	}
	q := entry.Request{Service: s}
	found := false
	for _, r := range s.Routes {
		if r.Path == route {
			q.Route, found = r, true
		}
	}
	return q, found && setNeighbour(c, neighbour, &q)
}

// setNeighbour sets the request's neighbour by name and reports whether it is configured.
func setNeighbour(c release.Config, name string, q *entry.Request) bool {
	for _, n := range c.Neighbours {
		if n.Name == name {
			q.Neighbour = n
			return true
		}
	}
	return false
}
