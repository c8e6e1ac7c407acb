package entry

import (
	"bytes"
	"io"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"
)

// BenchmarkAddedLatency compares sequential requests sent directly to an idle runner with requests
// through a front on the same machine.
func BenchmarkAddedLatency(b *testing.B) {
	direct := newFixture(b, 1, 1, 0)
	through := newFixture(b, 1, 1, 0)
	front := listen(b, newFront(through.Dispatcher))
	for _, c := range []struct{ name, url string }{
		{"direct", "http://" + direct.targets[0].Address + "/check"},
		{"entry", "http://" + front + "/s/s/check"},
	} {
		b.Run(c.name, func(b *testing.B) {
			latency := hdrhistogram.New(1, int64(time.Minute), 3)
			for b.Loop() {
				begun := time.Now()
				post(b, c.url)
				_ = latency.RecordValue(int64(time.Since(begun)))
			}
			b.ReportMetric(float64(latency.ValueAtQuantile(50))/1000, "p50-µs")
			b.ReportMetric(float64(latency.ValueAtQuantile(99))/1000, "p99-µs")
		})
	}
}

// BenchmarkThroughput sends concurrent requests to runners directly and through a front. The
// measured CPU time includes callers and runners, so the difference between the two is that of the
// front.
func BenchmarkThroughput(b *testing.B) {
	through := newFixture(b, 50, 8, 0)
	front := listen(b, newFront(through.Dispatcher))
	for _, c := range []struct{ name, url string }{
		{"direct", "http://" + through.targets[0].Address + "/check"},
		{"entry", "http://" + front + "/s/s/check"},
	} {
		b.Run(c.name, func(b *testing.B) {
			before := processorTime(b)
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					post(b, c.url)
				}
			})
			b.ReportMetric(float64((processorTime(b)-before).Microseconds())/float64(b.N), "cpu-µs/op")
		})
	}
}

// processorTime returns the CPU time that this process has used.
func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// post sends one request and requires status 200.
func post(b *testing.B, url string) {
	r, err := http.NewRequest(http.MethodPost, url, bytes.NewReader([]byte("body")))
	require.NoError(b, err)
	r.Header.Set(HeaderToken, "Bearer "+token)
	response, err := benchClient.Do(r)
	require.NoError(b, err)
	_, err = io.Copy(io.Discard, response.Body)
	require.NoError(b, err)
	response.Body.Close()
	require.Equal(b, http.StatusOK, response.StatusCode)
}

var benchClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
