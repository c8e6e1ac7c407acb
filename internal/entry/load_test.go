package entry_test

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/internal/entry"
	"github.com/oriolepond/oriolepond/internal/exchange"
	"github.com/oriolepond/oriolepond/internal/peer"
	"github.com/oriolepond/oriolepond/internal/target"
	"github.com/oriolepond/oriolepond/pkg/release"
)

const (
	meanServiceTime = 5 * time.Millisecond
	loadDeadline    = 100 * time.Millisecond
	// hopLatency is the one-way latency between two data centres.
	hopLatency = 500 * time.Microsecond
	// reportInterval is how often instances report their idle slots to each other.
	reportInterval = 125 * time.Millisecond
	// headerServiceNanos tells a loadRunner how long to take for a request.
	headerServiceNanos = "Service-Nanos"
)

var (
	// evenLoad and skewedLoad are the relative request rates of the instances.
	evenLoad   = []float64{1, 1, 1, 1, 1, 1, 1}
	skewedLoad = []float64{40, 20, 8, 8, 8, 8, 8}
)

// arrival is one request of a generated load: when and at which instance it arrives, and how long
// a runner takes for it.
type arrival struct {
	at          time.Duration
	instance    int
	serviceTime time.Duration
}

// arrivals returns requests that arrive as a Poisson process. The parameter load is the offered load
// as a fraction of the capacity of the slots; weights are the relative request rates of the
// instances.
func arrivals(count, slots int, load float64, weights []float64, seed uint64) []arrival {
	random := rand.New(rand.NewPCG(seed, 1))
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	gap := float64(meanServiceTime) / float64(slots) / load
	requests := make([]arrival, count)
	at := 0.0
	for i := range requests {
		at += random.ExpFloat64() * gap
		pick, instance := random.Float64()*sum, 0
		for pick -= weights[0]; pick > 0 && instance < len(weights)-1; pick -= weights[instance] {
			instance++
		}
		requests[i] = arrival{time.Duration(at), instance, time.Duration(random.ExpFloat64() * float64(meanServiceTime))}
	}
	return requests
}

// loadRunner is a runner that serves connections in virtual time. It counts in overcommits the
// requests that exceed its slots.
type loadRunner struct {
	slots       int64
	inFlight    atomic.Int64
	overcommits *atomic.Int64
}

// serve responds to each request on a connection after the time that the request asks for.
func (r *loadRunner) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if r.inFlight.Add(1) > r.slots {
			r.overcommits.Add(1)
		}
		nanos, _ := strconv.ParseInt(q.Header.Get(headerServiceNanos), 10, 64)
		<-time.After(time.Duration(nanos))
		r.inFlight.Add(-1)
		response := "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + entry.HeaderRequestID + ": " + q.Header.Get(entry.HeaderRequestID) + "\r\n\r\n"
		if _, err := c.Write([]byte(response)); err != nil {
			return
		}
	}
}

// fleet is a set of dispatchers, one per instance, that forward requests to one another.
type fleet struct {
	dispatchers []*entry.Dispatcher
	directories []*peer.Directory
	overcommits atomic.Int64
}

// newFleet returns a fleet whose instances share the slots of the runners evenly.
func newFleet(runners, slots, instances int) *fleet {
	f := &fleet{}
	runnersByAddress := map[string]*loadRunner{}
	for n := range runners {
		runnersByAddress[fmt.Sprint(n)] = &loadRunner{slots: int64(slots), overcommits: &f.overcommits}
	}
	dial := func(_ context.Context, _, address string) (net.Conn, error) {
		near, far := net.Pipe()
		go runnersByAddress[address].serve(far)
		return near, nil
	}
	for k := range instances {
		var targets []target.Target
		for n := range runners {
			share := slots / instances
			if (n*(slots%instances)+k)%instances < slots%instances {
				share++
			}
			targets = append(targets, target.Target{ID: fmt.Sprint(n), Service: "s", Address: fmt.Sprint(n), Slots: share})
		}
		table := target.NewTable()
		table.Set(targets)
		d := &entry.Dispatcher{Targets: table, Exchange: &exchange.Pool{Dial: dial}, QueuedPerTarget: 16}
		d.IdlePeer = f.idlePeer(k)
		f.dispatchers = append(f.dispatchers, d)
		f.directories = append(f.directories, &peer.Directory{
			UnresponsiveAfter: func(bool) time.Duration { return time.Hour },
		})
	}
	return f
}

// idlePeer returns the IdlePeer function of an instance.
func (f *fleet) idlePeer(self int) func(service, exclude string) (entry.Peer, bool) {
	return func(service, exclude string) (entry.Peer, bool) {
		id, ok := f.directories[self].ReserveIdle(service, exclude, false, time.Now())
		if !ok {
			return entry.Peer{}, false
		}
		k, _ := strconv.Atoi(id)
		return entry.Peer{ID: id, Do: func(ctx context.Context, q entry.Request) (entry.Response, error) {
			<-time.After(hopLatency)
			q.Forwarded = true
			a, err := f.dispatchers[k].Do(ctx, q)
			idle := f.dispatchers[k].Targets.Idle(service)
			<-time.After(hopLatency)
			f.directories[self].SetIdle(id, service, idle)
			return a, err
		}}, true
	}
}

// reportIdle reports the idle slots of each instance to all others until the context ends.
func (f *fleet) reportIdle(ctx context.Context) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		for k, from := range f.dispatchers {
			idle := from.Targets.Idle("s")
			for other, d := range f.directories {
				if other != k {
					d.Update(fmt.Sprint(k), false, peer.Report{Idle: map[string]int{"s": idle}}, time.Now())
				}
			}
		}
		for _, d := range f.dispatchers {
			d.WakeAll()
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// loadResult is what happened to the requests of a load.
type loadResult struct {
	latencies []time.Duration
	// inTime counts the responses that met the deadline while requests were still arriving.
	inTime      int
	overcommits int64
}

// quantile returns a quantile of the latencies.
func (r *loadResult) quantile(q float64) time.Duration {
	if len(r.latencies) == 0 {
		return 0
	}
	slices.Sort(r.latencies)
	return r.latencies[int(q*float64(len(r.latencies)-1))]
}

// runLoad sends the requests through the fleet in virtual time.
func (f *fleet) runLoad(load []arrival, deadline time.Duration) loadResult {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.reportIdle(ctx)
	var mu sync.Mutex
	var requests sync.WaitGroup
	var r loadResult
	start := time.Now()
	for _, a := range load {
		<-time.After(time.Until(start.Add(a.at)))
		requests.Go(func() {
			q := entry.Request{
				Route:    release.Route{Class: release.NonIdempotent, Deadline: deadline},
				Method:   http.MethodPost,
				Path:     "/",
				Header:   http.Header{headerServiceNanos: {strconv.FormatInt(a.serviceTime.Nanoseconds(), 10)}},
				Deadline: time.Now().Add(deadline),
			}
			q.Service.Name, q.Neighbour.Name = "s", "n"
			_, err := f.dispatchers[a.instance].Do(context.Background(), q)
			if err == nil {
				mu.Lock()
				defer mu.Unlock()
				r.latencies = append(r.latencies, time.Since(start)-a.at)
				if time.Since(start) <= load[len(load)-1].at {
					r.inTime++
				}
			}
		})
	}
	requests.Wait()
	for _, d := range f.dispatchers {
		_ = d.Drain(context.Background())
		d.Exchange.MaxIdle = time.Nanosecond
	}
	<-time.After(time.Second)
	for _, d := range f.dispatchers {
		d.Exchange.Trim()
	}
	r.overcommits = f.overcommits.Load()
	return r
}

// At 80% load the fleet's 99th percentile stays within 1.25 times that of a single ideal queue in
// front of all slots.
func TestTailLatencyNearIdealQueue(t *testing.T) {
	const runners, slots, count = 50, 8, 20_000
	for _, shape := range []struct {
		name    string
		weights []float64
	}{{"even", evenLoad}, {"skewed", skewedLoad}} {
		for _, load := range []float64{0.2, 0.5, 0.8} {
			t.Run(fmt.Sprintf("%s/%.0f%%", shape.name, load*100), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					requests := arrivals(count, runners*slots, load, shape.weights, 1)
					ideal := simulate(requests, 1, runners*slots, onlyRunner(), time.Hour)
					r := newFleet(runners, slots, len(shape.weights)).runLoad(requests, time.Hour)
					logResults(t, &r, &ideal, requests, runners, slots, time.Hour)
					require.Len(t, r.latencies, count)
					require.Zero(t, r.overcommits)
					if load == 0.8 {
						require.LessOrEqual(t, float64(r.quantile(0.99)), 1.25*float64(ideal.quantile(0.99)))
					}
				})
			})
		}
	}
}

// Under overload the fleet still completes in time at least 95% of the requests that its slots can
// serve.
func TestGoodputInOverload(t *testing.T) {
	const runners, slots = 20, 4
	for _, shape := range []struct {
		name    string
		weights []float64
	}{{"even", evenLoad}, {"skewed", skewedLoad}} {
		for _, load := range []float64{2, 5} {
			t.Run(fmt.Sprintf("%s/%.0fx", shape.name, load), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					requests := arrivals(int(load*16000), runners*slots, load, shape.weights, 1)
					capacity := float64(requests[len(requests)-1].at) / float64(meanServiceTime) * runners * slots
					ideal := simulate(requests, 1, runners*slots, onlyRunner(), loadDeadline)
					r := newFleet(runners, slots, len(shape.weights)).runLoad(requests, loadDeadline)
					logResults(t, &r, &ideal, requests, runners, slots, loadDeadline)
					t.Logf("goodput %.1f%% of capacity, ideal queue %.1f%%", 100*float64(r.inTime)/capacity, 100*float64(ideal.inTime)/capacity)
					require.GreaterOrEqual(t, float64(r.inTime), 0.95*capacity)
				})
			})
		}
	}
}

// logResults logs the fleet's latencies beside those of the ideal queue and of simple balancing
// policies.
func logResults(t *testing.T, r, ideal *loadResult, requests []arrival, runners, slots int, deadline time.Duration) {
	t.Helper()
	print := func(name string, r *loadResult) {
		t.Logf("%-18s p50 %8v  p99 %8v  answered in time %d of %d", name,
			r.quantile(0.5).Round(10*time.Microsecond), r.quantile(0.99).Round(10*time.Microsecond), len(r.latencies), len(requests))
	}
	print("oriolepond", r)
	print("ideal queue", ideal)
	for _, b := range []struct {
		name   string
		choose chooser
	}{{"random", randomRunner(1)}, {"round robin", roundRobin()}, {"least connections", leastConnections()}} {
		s := simulate(requests, runners, slots, b.choose, deadline)
		print(b.name, &s)
	}
}
