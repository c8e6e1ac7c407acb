package config_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/internal/config"
	"github.com/oriolepond/oriolepond/internal/store"
	"github.com/oriolepond/oriolepond/pkg/release"
)

// changeInterval is the time between two changes, long enough for one to settle before the next.
const changeInterval = 300 * time.Millisecond

// meter counts the calls of one keeper to the store, and the bytes of request and response bodies.
type meter struct {
	calls, bytes atomic.Int64
}

// RoundTrip makes one call and counts it.
func (m *meter) RoundTrip(r *http.Request) (*http.Response, error) {
	m.calls.Add(1)
	m.bytes.Add(max(0, r.ContentLength))
	response, err := http.DefaultTransport.RoundTrip(r)
	if err == nil {
		response.Body = &meteredBody{response.Body, m}
	}
	return response, err
}

type meteredBody struct {
	io.ReadCloser
	meter *meter
}

// Read counts the bytes that it reads.
func (b *meteredBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.meter.bytes.Add(int64(n))
	return n, err
}

// measuredFleet is a fleet whose calls to the store and announcements to peers are counted.
type measuredFleet struct {
	*fleet
	// meters count the calls to the store, one for each keeper.
	meters        []*meter
	announcements atomic.Int64
	// adopted receives the time whenever a keeper puts a configuration in force.
	adopted chan time.Time
}

func newMeasuredFleet(b *testing.B, n int) *measuredFleet {
	m := &measuredFleet{fleet: newFleet(b, n), adopted: make(chan time.Time, n*16)}
	for i, k := range m.keepers {
		keeperMeter := &meter{}
		m.meters = append(m.meters, keeperMeter)
		k.Store = store.NewEtcd([]string{m.url}, &http.Client{Transport: keeperMeter})
		k.Peers = func() []config.Peer { return m.countedPeers(i) }
		k.OnChange = func(release.Config) { m.adopted <- time.Now() }
	}
	return m
}

func (m *measuredFleet) countedPeers(i int) []config.Peer {
	all := m.peersOf(i)
	for j := range all {
		announce := all[j].Announce
		all[j].Announce = func(ctx context.Context, id string, revision int64) (int64, error) {
			m.announcements.Add(1)
			return announce(ctx, id, revision)
		}
	}
	return all
}

// change applies a note, and returns the time from the start of the call until the last keeper has
// it in force.
func (m *measuredFleet) change(b *testing.B, n release.Note) time.Duration {
	start := time.Now()
	report, err := m.keepers[0].Apply(b.Context(), n, 0)
	require.NoError(b, err)
	require.False(b, report.Refused(), "%+v", report)
	last := start
	for range m.keepers {
		last = <-m.adopted
	}
	return last.Sub(start)
}

// neighboursNote returns a note that adds n neighbours, each with a share, a service and a job.
func neighboursNote(b *testing.B, n int) release.Note {
	var list, shares, services, jobs []string
	for i := range n {
		list = append(list, fmt.Sprintf(`{"name": "n%d", "region": "r", "tokenHash": "%064x"}`, i, i))
		shares = append(shares, fmt.Sprintf(`{"name": "s%d", "neighbour": "n%d", "quota": {"processors": 8, "memory": "16GB"}}`, i, i))
		services = append(services, fmt.Sprintf(`{"name": "v%d", "neighbour": "n%d", "share": "s%d", "runner": {"processors": 2},
			"routes": [{"path": "/a"}, {"path": "/b", "class": "nonIdempotent"}, {"path": "/c", "class": "stream"}]}`, i, i, i))
		jobs = append(jobs, fmt.Sprintf(`{"name": "j%d", "neighbour": "n%d", "share": "s%d", "size": {"processors": 1}}`, i, i, i))
	}
	join := func(all []string) string { return strings.Join(all, ",") }
	return note(b, "base", fmt.Sprintf(`"added": {"neighbours": [%s], "shares": [%s], "services": [%s], "jobs": [%s]}`,
		join(list), join(shares), join(services), join(jobs)))
}

// quotaNote returns a note that changes the quota of one share.
func quotaNote(b *testing.B, i int) release.Note {
	return note(b, fmt.Sprintf("change-%d", i), fmt.Sprintf(
		`"changed": {"shares": [{"name": "s%d", "neighbour": "n%d", "quota": {"processors": %d, "memory": "16GB"}}]}`, i%10, i%10, 9+i))
}

// run makes b.N changes to a configuration of ten neighbours, and reports the cost of a change for
// each instance.
func (m *measuredFleet) run(b *testing.B) {
	run(b, m.keepers...)
	m.change(b, neighboursNote(b, 10))
	m.measure(b)
}

// measure makes b.N changes and reports the cost of a change for each instance.
func (m *measuredFleet) measure(b *testing.B) {
	ticker := time.NewTicker(changeInterval)
	defer ticker.Stop()
	<-ticker.C
	var calls, bytes int64
	for _, keeperMeter := range m.meters[1:] {
		calls -= keeperMeter.calls.Load()
		bytes -= keeperMeter.bytes.Load()
	}
	announcements := -m.announcements.Load()
	var sum, longest time.Duration
	for i := range b.N {
		elapsed := m.change(b, quotaNote(b, i))
		sum += elapsed
		longest = max(longest, elapsed)
		<-ticker.C
	}
	for _, keeperMeter := range m.meters[1:] {
		calls += keeperMeter.calls.Load()
		bytes += keeperMeter.bytes.Load()
	}
	announcements += m.announcements.Load()
	others := float64(len(m.keepers) - 1)
	b.ReportMetric(float64(sum.Microseconds())/1000/float64(b.N), "ms/inForce")
	b.ReportMetric(float64(longest.Microseconds())/1000, "ms/inForceMax")
	b.ReportMetric(float64(calls)/others/float64(b.N), "reads/change/instance")
	b.ReportMetric(float64(bytes)/others/float64(b.N), "bytes/change/instance")
	b.ReportMetric(float64(announcements)/float64(len(m.keepers))/float64(b.N), "announces/change/instance")
	b.ReportMetric(float64(m.store.Counts().Watches)/float64(len(m.keepers)), "watches/instance")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkInForce measures the time until a change is in force on every instance, by the number of
// instances.
func BenchmarkInForce(b *testing.B) {
	for _, n := range []int{3, 7, 14, 28} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) { newMeasuredFleet(b, n).run(b) })
	}
}

// BenchmarkChange measures what a change costs one instance, by the size of the configuration.
func BenchmarkChange(b *testing.B) {
	for _, n := range []int{10, 100, 280} {
		b.Run(fmt.Sprintf("neighbours=%d", n), func(b *testing.B) {
			m := newMeasuredFleet(b, 7)
			run(b, m.keepers...)
			m.change(b, neighboursNote(b, n))
			m.measure(b)
			size := 0
			for _, hash := range m.keepers[1].Snapshot().Hashes() {
				size += len(m.keepers[1].Snapshot().Chunk(hash))
			}
			b.ReportMetric(float64(size), "bytes/configuration")
		})
	}
}

// BenchmarkAdopt measures the processor time of decoding a received configuration in which one
// declaration changed.
func BenchmarkAdopt(b *testing.B) {
	for _, n := range []int{10, 100, 280} {
		b.Run(fmt.Sprintf("neighbours=%d", n), func(b *testing.B) {
			f := newFleet(b, 1)
			mustApply(b, f.keepers[0], neighboursNote(b, n))
			before := f.keepers[0].Snapshot()
			mustApply(b, f.keepers[0], quotaNote(b, 0))
			after := f.keepers[0].Snapshot()
			sent := map[string][]byte{}
			for _, hash := range after.Hashes() {
				sent[hash] = after.Chunk(hash)
			}
			b.ReportAllocs()
			for b.Loop() {
				_, err := config.FromPeer(after.Head(), sent, before)
				require.NoError(b, err)
			}
		})
	}
}
