package worker_test

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/internal/exchange"
	"github.com/oriolepond/oriolepond/internal/standin"
	"github.com/oriolepond/oriolepond/internal/worker"
)

// serve starts a worker's server and returns it with its address and a counter of the connections
// made to it.
func serve(t *testing.T, h http.Handler) (*httptest.Server, string, *atomic.Int64) {
	t.Helper()
	made := &atomic.Int64{}
	server := httptest.NewUnstartedServer(h)
	server.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			made.Add(1)
		}
	}
	server.Start()
	t.Cleanup(server.Close)
	return server, strings.TrimPrefix(server.URL, "http://"), made
}

// Exchanges must share a connection. A connection that the worker has closed must be replaced
// before an exchange is sent on it.
func TestExchangesShareAConnection(t *testing.T) {
	server, address, made := serve(t, &standin.Worker{ID: "w", Ledger: standin.NewTaskLedger()})
	c := worker.NewClient(&exchange.Pool{Dial: (&net.Dialer{}).DialContext, BufferSize: 1 << 10})
	for n := range int64(3) {
		r, err := c.Exchange(t.Context(), address, worker.Exchange{Epoch: 1, Sequence: n + 1, Lease: time.Second})
		require.NoError(t, err)
		require.Equal(t, "w", r.Worker)
	}
	require.EqualValues(t, 1, made.Load())
	server.CloseClientConnections()
	_, err := c.Exchange(t.Context(), address, worker.Exchange{Epoch: 1, Sequence: 4, Lease: time.Second})
	require.NoError(t, err)
	require.EqualValues(t, 2, made.Load())
}

func TestRepliesWithoutReportReturnTypedErrors(t *testing.T) {
	tests := []struct {
		name    string
		handler http.Handler
		as      any
	}{
		{"worker has seen a higher epoch", &standin.Worker{ID: "w", Ledger: standin.NewTaskLedger()}, new(*worker.EpochError)},
		{"unexpected status", http.NotFoundHandler(), new(*worker.StatusError)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, address, _ := serve(t, test.handler)
			c := worker.NewClient(&exchange.Pool{Dial: (&net.Dialer{}).DialContext})
			_, _ = c.Exchange(t.Context(), address, worker.Exchange{Epoch: 2, Sequence: 1})
			_, err := c.Exchange(t.Context(), address, worker.Exchange{Epoch: 1, Sequence: 2})
			require.ErrorAs(t, err, test.as)
		})
	}
}
