package entry

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/internal/exchange"
	"github.com/oriolepond/oriolepond/internal/target"
	"github.com/oriolepond/oriolepond/pkg/release"
)

const (
	// streamDuration is how long the stream stays open, a work shift of its caller. It sends one piece
	// per pieceInterval.
	streamDuration = 8 * time.Hour
	pieceInterval  = 20 * time.Second
)

// serveLongStream responds to one request with a stream of streamDuration.
func serveLongStream(c net.Conn) {
	defer c.Close()
	q, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n%s: %s\r\n\r\n",
		HeaderRequestID, q.Header.Get(HeaderRequestID))
	for range int(streamDuration / pieceInterval) {
		<-time.After(pieceInterval)
		if _, err := fmt.Fprint(c, "6\r\npiece\n\r\n"); err != nil {
			return
		}
	}
	_, _ = fmt.Fprint(c, "0\r\n\r\n")
}

// A stream may last longer than its route's deadline and the maximum age of a connection, and
// Drain waits for its end.
func TestStreamOutlivesDeadlineAndConnectionAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dial := func(context.Context, string, string) (net.Conn, error) {
			near, far := net.Pipe()
			go serveLongStream(far)
			return near, nil
		}
		table := target.NewTable()
		table.Set([]target.Target{{ID: "a", Service: "s", Address: "a", Slots: 1}})
		d := &Dispatcher{
			Targets:         table,
			Exchange:        &exchange.Pool{Dial: dial, MaxAge: time.Minute},
			QueuedPerTarget: 1,
		}
		r := route(release.Stream)
		r.Deadline = time.Second
		r.ProgressTimeout = 30 * time.Second
		begun := time.Now()
		var received strings.Builder
		streamed := make(chan error, 1)
		go func() { streamed <- d.Stream(t.Context(), request(r, "a"), collectStream(&received)) }()
		synctest.Wait()
		require.NoError(t, d.Drain(t.Context()))
		require.GreaterOrEqual(t, time.Since(begun), streamDuration)
		require.NoError(t, <-streamed)
		require.Equal(t, int(streamDuration/pieceInterval), strings.Count(received.String(), "piece\n"))
	})
}
