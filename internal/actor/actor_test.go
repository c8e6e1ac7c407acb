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

// A planned stop answers the calls in flight: the end of Serve must not end the group.
func TestShutdownWaitsForCallsInFlight(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	entered, release := make(chan struct{}), make(chan struct{})
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(entered)
		<-release
		_, _ = io.WriteString(w, "whole")
	})}
	var g run.Group
	actor.Server(&g, server, l)
	actor.Loop(context.Background(), &g, func(ctx context.Context) error {
		<-entered
		stopped := make(chan error, 1)
		go func() { stopped <- server.Shutdown(ctx) }()
		close(release)
		return <-stopped
	})
	answer := make(chan string, 1)
	go func() {
		r, err := http.Get("http://" + l.Addr().String())
		if err != nil {
			answer <- err.Error()
			return
		}
		defer r.Body.Close()
		text, err := io.ReadAll(r.Body)
		if err != nil {
			text = []byte(err.Error())
		}
		answer <- string(text)
	}()
	require.NoError(t, g.Run())
	require.Equal(t, "whole", <-answer)
}
