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
	// connectionMaxAge is the greatest age of a connection to a target that takes a new request.
	connectionMaxAge = 5 * time.Minute
	// connectionMaxIdle is how long a connection to a target is kept without a request.
	connectionMaxIdle = 30 * time.Second
	// trimInterval is how often connections to targets are looked through for age.
	trimInterval = 5 * time.Second
)

// buildRequests makes the request plane.
func (i *Instance) buildRequests() {
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

// weightOf returns the weight of a neighbour: that of its heaviest share.
func (i *Instance) weightOf(neighbour string) int {
	weight := 1
	for _, s := range i.configs.Current().Shares {
		if s.Neighbour == neighbour {
			weight = max(weight, s.Weight)
		}
	}
	return weight
}

// trimConnections closes old connections to targets and workers until the context ends.
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

// registerRequests answers the requests that peers forward.
func (i *Instance) registerRequests(server *grpc.Server) {
	peer.RegisterRequests(server, &peer.Requests{
		Do: func(ctx context.Context, q entry.Request) (entry.Response, error) {
			if i.stop.draining.Load() {
				return entry.Response{}, stopping()
			}
			return i.requests.Do(ctx, q)
		},
		Stream: func(ctx context.Context, q entry.Request, to entry.Sink) error {
			if i.stop.draining.Load() {
				return stopping()
			}
			return i.requests.Stream(ctx, q, to)
		},
		Begin:  i.beginHere,
		Finish: i.finishHere,
		State: func(_ context.Context, k entry.Key) (home.Statement, error) {
			return i.members.State(homeKey(k)), nil
		},
		Idle:    i.targets.Idle,
		Resolve: i.resolve,
	})
}

func stopping() error {
	return &entry.OutcomeError{
		Outcome: entry.NotRun, Status: http.StatusServiceUnavailable,
		Reason: "the peer is stopping", Cause: entry.CauseRefusal,
	}
}

// resolve finds what a forwarded request names in the configuration.
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
	return q, found && namesNeighbour(c, neighbour, &q)
}

func namesNeighbour(c release.Config, name string, q *entry.Request) bool {
	for _, n := range c.Neighbours {
		if n.Name == name {
			q.Neighbour = n
			return true
		}
	}
	return false
}
