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

// patience bounds each wait of a test.
const patience = 20 * time.Second

// bench is one dispatcher with runners over TCP.
type bench struct {
	*Dispatcher
	ledger  *standin.Ledger
	runners []*standin.Runner
	targets []target.Target
}

// newBench starts runners with some slots each.
func newBench(t testing.TB, runners, slots int, serviceTime time.Duration) *bench {
	b := &bench{ledger: standin.NewLedger()}
	for n := range runners {
		r := &standin.Runner{Slots: slots, Ledger: b.ledger}
		if serviceTime > 0 {
			r.ServiceTime = func() time.Duration { return serviceTime }
		}
		b.runners = append(b.runners, r)
		b.targets = append(b.targets, target.Target{ID: fmt.Sprint(n), Service: "s", Address: listen(t, r), Slots: slots})
	}
	b.Dispatcher = newDispatcher(b.targets)
	return b
}

func newDispatcher(targets []target.Target) *Dispatcher {
	table := target.NewTable()
	table.Set(targets)
	return &Dispatcher{
		Targets:         table,
		Exchange:        &exchange.Pool{Dial: (&net.Dialer{Timeout: patience}).DialContext, MaxAge: time.Hour},
		QueuedPerTarget: 16,
	}
}

func listen(t testing.TB, h http.Handler) string {
	server := httptest.NewUnstartedServer(h)
	server.Config.ErrorLog = nil
	server.Start()
	t.Cleanup(server.CloseClientConnections)
	return server.Listener.Addr().String()
}

// route returns a route of a class with generous bounds.
func route(class release.RouteClass) release.Route {
	return release.Route{
		Path: "/", Class: class, Deadline: patience, MaxRequest: 1 << 20, MaxAnswer: 1 << 20, ProgressTimeout: patience,
	}
}

// request returns a request whose whole answer the stand-in can tell.
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

// requireAnswer checks that an answer is whole and that of its own request.
func requireAnswer(t *testing.T, id string, a Response, err error) {
	t.Helper()
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, a.Status)
	require.Equal(t, standin.AnswerTo(id, "body"), string(a.Body))
}

// requireOutcome checks an error and returns it.
func requireOutcome(t *testing.T, o Outcome, err error) *OutcomeError {
	t.Helper()
	var outcome *OutcomeError
	require.ErrorAs(t, err, &outcome)
	require.Equal(t, o, outcome.Outcome, "%v", err)
	return outcome
}

// drained waits until every attempt has ended at its target.
func (b *bench) drained(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	require.NoError(t, b.Drain(ctx))
}

// collect returns a sink that keeps a stream.
func collect(b *strings.Builder) Sink {
	return Sink{
		Head:  func(int, http.Header) error { return nil },
		Write: func(p []byte) error { _, err := b.Write(p); return err },
	}
}

// rawTarget answers connections with a function.
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

// deaf reads everything and never answers.
func deaf(c net.Conn) {
	_, _ = io.Copy(io.Discard, c)
	_ = c.Close()
}

// want asks for any slot of a service.
func want(service string) target.Want {
	return target.Want{Service: service, Now: time.Now()}
}
