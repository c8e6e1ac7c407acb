package actor_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/oklog/run"
	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/internal/actor"
)

// TestShutdownWaitsForCallsInFlight guards against a planned stop that cuts off calls
// in flight because the return of Serve ends the group.
func TestShutdownWaitsForCallsInFlight(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	handlerEntered, release := make(chan struct{}), make(chan struct{})
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(handlerEntered)
		<-release
		_, _ = io.WriteString(w, "whole")
	})}
	var g run.Group
	actor.Server(&g, server, l)
	actor.Loop(context.Background(), &g, func(ctx context.Context) error {
		<-handlerEntered
		stopped := make(chan error, 1)
		go func() { stopped <- server.Shutdown(ctx) }()
		close(release)
		return <-stopped
	})
	response := make(chan string, 1)
	go func() {
		r, err := http.Get("http://" + l.Addr().String())
		if err != nil {
			response <- err.Error()
			return
		}
		defer r.Body.Close()
		text, err := io.ReadAll(r.Body)
		if err != nil {
			text = []byte(err.Error())
		}
		response <- string(text)
	}()
	require.NoError(t, g.Run())
	require.Equal(t, "whole", <-response)
}
