package intake_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/internal/intake"
)

// BenchmarkRequest measures the processor time of an ordinary request on a kept connection, client included,
// at a server without and with a budget.
func BenchmarkRequest(b *testing.B) {
	const limit = 262_144
	plain := func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	}
	counted := func(w http.ResponseWriter, r *http.Request) { _, _ = intake.ReadRequest(w, r, limit, time.Minute) }
	for _, size := range []int{300, 2400, 9600} {
		for _, c := range []struct {
			name    string
			handler http.HandlerFunc
			budget  *intake.Budget
		}{
			{"plain", plain, nil},
			{"budget", counted, &intake.Budget{Limits: intake.LimitsFor(284<<20, 4100).Callers}},
		} {
			b.Run(fmt.Sprintf("size=%d/%s", size, c.name), func(b *testing.B) { benchmarkRequest(b, c.handler, c.budget, size) })
		}
	}
}

func benchmarkRequest(b *testing.B, h http.HandlerFunc, budget *intake.Budget, size int) {
	server := &http.Server{Handler: h}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if budget != nil {
		budget.Attach(server)
		l = budget.Listen(l)
	}
	require.NoError(b, err)
	go func() { _ = server.Serve(l) }()
	defer server.Close()
	conn, err := net.Dial("tcp", l.Addr().String())
	require.NoError(b, err)
	defer conn.Close()
	request := fmt.Sprintf("POST /x/1 HTTP/1.1\r\nHost: h\r\nTime-Remaining: 3000\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size))
	answers := bufio.NewReader(conn)
	before := processorTime(b)
	for b.Loop() {
		_, _ = io.WriteString(conn, request)
		for line := ""; line != "\r\n"; {
			line, err = answers.ReadString('\n')
			require.NoError(b, err)
		}
	}
	b.ReportMetric(float64((processorTime(b)-before).Nanoseconds())/float64(b.N), "cpu-ns/op")
}

// processorTime returns the processor time that this process has used.
func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
