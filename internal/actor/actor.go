// Package actor adds two kinds of actors to a run.Group of github.com/oklog/run:
// functions that run until a context ends, and HTTP servers. The group ends all of
// its actors as soon as one of them returns.
//
// # Usage
//
//	var g run.Group
//	actor.Loop(ctx, &g, keeper.Run)
//	actor.Server(&g, server, listener)
//	err := g.Run()
package actor

import (
	"context"
	"errors"
	"net"
	"net/http"

	"github.com/oklog/run"
)

// Loop adds a function that runs until its context ends. Its context is derived
// from ctx and also ends with the group.
func Loop(ctx context.Context, g *run.Group, loop func(context.Context) error) {
	inner, cancel := context.WithCancel(ctx)
	g.Add(func() error { return loop(inner) }, func(error) { cancel() })
}

// Server adds an HTTP server on a listener. A server that was shut down does not
// end the group, because a planned stop still waits for the calls in flight.
func Server(g *run.Group, s *http.Server, l net.Listener) {
	ended := make(chan struct{})
	g.Add(func() error {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		<-ended
		return nil
	}, func(error) {
		close(ended)
		_ = s.Close()
	})
}
