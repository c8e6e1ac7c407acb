package entry

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/internal/exchange"
	"github.com/oriolepond/oriolepond/internal/standin"
	"github.com/oriolepond/oriolepond/internal/target"
	"github.com/oriolepond/oriolepond/pkg/release"
	"github.com/oriolepond/oriolepond/pkg/share"
)

// testTimeout limits each wait of a test.
const testTimeout = 20 * time.Second

// fixture is a dispatcher with runners that listen on TCP.
type fixture struct {
	*Dispatcher
	ledger  *standin.Ledger
	runners []*standin.Runner
	targets []target.Target
}

// newFixture starts the given number of runners, each with the given number of slots. They respond
// after the service time.
func newFixture(t testing.TB, runners, slots int, serviceTime time.Duration) *fixture {
	fx := &fixture{ledger: standin.NewLedger()}
	for n := range runners {
		r := &standin.Runner{Slots: slots, Ledger: fx.ledger}
		if serviceTime > 0 {
			r.ServiceTime = func() time.Duration { return serviceTime }
		}
		fx.runners = append(fx.runners, r)
		fx.targets = append(fx.targets, target.Target{ID: fmt.Sprint(n), Service: "s", Address: listen(t, r), Slots: slots})
	}
	fx.Dispatcher = newDispatcher(fx.targets)
	return fx
}

// newDispatcher returns a dispatcher that sends requests to the given targets.
func newDispatcher(targets []target.Target) *Dispatcher {
	table := target.NewTable()
	table.Set(targets)
	return &Dispatcher{
		Targets:         table,
		Exchange:        &exchange.Pool{Dial: (&net.Dialer{Timeout: testTimeout}).DialContext, MaxAge: time.Hour},
		QueuedPerTarget: 16,
	}
}

// listen starts an HTTP server and returns its address.
func listen(t testing.TB, h http.Handler) string {
	server := httptest.NewUnstartedServer(h)
	server.Config.ErrorLog = nil
	server.Start()
	t.Cleanup(server.CloseClientConnections)
	return server.Listener.Addr().String()
}

// route returns a route of a class with limits that no test reaches by accident.
func route(class release.RouteClass) release.Route {
	return release.Route{
		Path: "/", Class: class, Deadline: testTimeout, MaxRequest: 1 << 20, MaxAnswer: 1 << 20, ProgressTimeout: testTimeout,
	}
}

// request returns a request whose correct response is standin.AnswerTo(id, "body").
func request(r release.Route, id string) Request {
	return Request{
		Neighbour: share.Neighbour{Name: "n"},
		Service:   release.Service{Name: "s"},
		Route:     r,
		Method:    http.MethodPost,
		Path:      "/x",
		Header:    http.Header{standin.CallerHeader: {id}},
		Body:      []byte("body"),
		Key:       id,
		Deadline:  time.Now().Add(r.Deadline),
	}
}

// requireResponse checks that a response is complete and belongs to the request with the id.
func requireResponse(t *testing.T, id string, a Response, err error) {
	t.Helper()
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, a.Status)
	require.Equal(t, standin.AnswerTo(id, "body"), string(a.Body))
}

// requireOutcome checks the outcome of an error and returns it as an *OutcomeError.
func requireOutcome(t *testing.T, o Outcome, err error) *OutcomeError {
	t.Helper()
	var outcome *OutcomeError
	require.ErrorAs(t, err, &outcome)
	require.Equal(t, o, outcome.Outcome, "%v", err)
	return outcome
}

// requireDrained waits until every attempt has ended at its target.
func (fx *fixture) requireDrained(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	require.NoError(t, fx.Drain(ctx))
}

// collectStream returns a sink that appends a stream to b.
func collectStream(b *strings.Builder) Sink {
	return Sink{
		Head:  func(int, http.Header) error { return nil },
		Write: func(p []byte) error { _, err := b.Write(p); return err },
	}
}

// rawTarget accepts TCP connections, serves each with a function, and returns its address.
func rawTarget(t testing.TB, serve func(net.Conn)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return l.Addr().String()
}

// neverAnswer reads a connection to its end without responding.
func neverAnswer(c net.Conn) {
	_, _ = io.Copy(io.Discard, c)
	_ = c.Close()
}

// anySlot returns the criteria for any slot of a service.
func anySlot(service string) target.Criteria {
	return target.Criteria{Service: service, Now: time.Now()}
}
