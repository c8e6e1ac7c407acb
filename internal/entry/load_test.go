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
	meanService  = 5 * time.Millisecond
	loadDeadline = 100 * time.Millisecond
	// hop is the one-way latency between two data centres.
	hop = 500 * time.Microsecond
	// reportEvery is how often instances tell each other of their idle slots.
	reportEvery   = 125 * time.Millisecond
	headerService = "Service-Nanos"
)

var (
	evenLoad   = []float64{1, 1, 1, 1, 1, 1, 1}
	skewedLoad = []float64{40, 20, 8, 8, 8, 8, 8}
)

// arrival is one request of a load.
type arrival struct {
	at       time.Duration
	instance int
	service  time.Duration
}

// arrivals returns a Poisson load at a part of the capacity of some slots.
func arrivals(count, slots int, load float64, weights []float64, seed uint64) []arrival {
	random := rand.New(rand.NewPCG(seed, 1))
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	gap := float64(meanService) / float64(slots) / load
	all := make([]arrival, count)
	at := 0.0
	for i := range all {
		at += random.ExpFloat64() * gap
		pick, instance := random.Float64()*sum, 0
		for pick -= weights[0]; pick > 0 && instance < len(weights)-1; pick -= weights[instance] {
			instance++
		}
		all[i] = arrival{time.Duration(at), instance, time.Duration(random.ExpFloat64() * float64(meanService))}
	}
	return all
}

// loadRunner serves pipes in virtual time.
type loadRunner struct {
	slots  int64
	active atomic.Int64
	over   *atomic.Int64
}

func (r *loadRunner) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if r.active.Add(1) > r.slots {
			r.over.Add(1)
		}
		nanos, _ := strconv.ParseInt(q.Header.Get(headerService), 10, 64)
		<-time.After(time.Duration(nanos))
		r.active.Add(-1)
		answer := "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + entry.HeaderRequestID + ": " + q.Header.Get(entry.HeaderRequestID) + "\r\n\r\n"
		if _, err := c.Write([]byte(answer)); err != nil {
			return
		}
	}
}

// fleet is seven dispatchers that forward to one another.
type fleet struct {
	dispatchers []*entry.Dispatcher
	directories []*peer.Directory
	over        atomic.Int64
}

func newFleet(runners, slots, instances int) *fleet {
	f := &fleet{}
	pipes := map[string]*loadRunner{}
	for n := range runners {
		pipes[fmt.Sprint(n)] = &loadRunner{slots: int64(slots), over: &f.over}
	}
	dial := func(_ context.Context, _, address string) (net.Conn, error) {
		near, far := net.Pipe()
		go pipes[address].serve(far)
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

func (f *fleet) idlePeer(self int) func(service, exclude string) (entry.Peer, bool) {
	return func(service, exclude string) (entry.Peer, bool) {
		id, ok := f.directories[self].ReserveIdle(service, exclude, false, time.Now())
		if !ok {
			return entry.Peer{}, false
		}
		k, _ := strconv.Atoi(id)
		return entry.Peer{ID: id, Do: func(ctx context.Context, q entry.Request) (entry.Response, error) {
			<-time.After(hop)
			q.Forwarded = true
			a, err := f.dispatchers[k].Do(ctx, q)
			idle := f.dispatchers[k].Targets.Idle(service)
			<-time.After(hop)
			f.directories[self].SetIdle(id, service, idle)
			return a, err
		}}, true
	}
}

// report tells all instances of each other's idle slots until the context ends.
func (f *fleet) report(ctx context.Context) {
	ticker := time.NewTicker(reportEvery)
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

// result is what a load met with.
type result struct {
	latencies []time.Duration
	// good counts the answers in time that came while requests still arrived.
	good int
	over int64
}

func (r *result) quantile(q float64) time.Duration {
	if len(r.latencies) == 0 {
		return 0
	}
	slices.Sort(r.latencies)
	return r.latencies[int(q*float64(len(r.latencies)-1))]
}

// drive sends the load through the fleet in virtual time.
func (f *fleet) drive(load []arrival, deadline time.Duration) result {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.report(ctx)
	var mu sync.Mutex
	var group sync.WaitGroup
	var r result
	begun := time.Now()
	for _, a := range load {
		<-time.After(time.Until(begun.Add(a.at)))
		group.Go(func() {
			q := entry.Request{
				Route:    release.Route{Class: release.NonIdempotent, Deadline: deadline},
				Method:   http.MethodPost,
				Path:     "/",
				Header:   http.Header{headerService: {strconv.FormatInt(a.service.Nanoseconds(), 10)}},
				Deadline: time.Now().Add(deadline),
			}
			q.Service.Name, q.Neighbour.Name = "s", "n"
			_, err := f.dispatchers[a.instance].Do(context.Background(), q)
			if err == nil {
				mu.Lock()
				defer mu.Unlock()
				r.latencies = append(r.latencies, time.Since(begun)-a.at)
				if time.Since(begun) <= load[len(load)-1].at {
					r.good++
				}
			}
		})
	}
	group.Wait()
	for _, d := range f.dispatchers {
		_ = d.Drain(context.Background())
		d.Exchange.MaxIdle = time.Nanosecond
	}
	<-time.After(time.Second)
	for _, d := range f.dispatchers {
		d.Exchange.Trim()
	}
	r.over = f.over.Load()
	return r
}

// The fleet's tail stays near that of one ideal queue before all slots.
func TestTailNearAnIdealQueue(t *testing.T) {
	const runners, slots, count = 50, 8, 20_000
	for _, shape := range []struct {
		name    string
		weights []float64
	}{{"even", evenLoad}, {"skewed", skewedLoad}} {
		for _, load := range []float64{0.2, 0.5, 0.8} {
			t.Run(fmt.Sprintf("%s/%.0f%%", shape.name, load*100), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					all := arrivals(count, runners*slots, load, shape.weights, 1)
					ideal := simulate(all, 1, runners*slots, firstRunner(), time.Hour)
					r := newFleet(runners, slots, len(shape.weights)).drive(all, time.Hour)
					logResults(t, &r, &ideal, all, runners, slots, time.Hour)
					require.Len(t, r.latencies, count)
					require.Zero(t, r.over)
					if load == 0.8 {
						require.LessOrEqual(t, float64(r.quantile(0.99)), 1.25*float64(ideal.quantile(0.99)))
					}
				})
			})
		}
	}
}

// In overload the fleet answers nearly as many requests in time as its slots can.
func TestGoodputInOverload(t *testing.T) {
	const runners, slots = 20, 4
	for _, shape := range []struct {
		name    string
		weights []float64
	}{{"even", evenLoad}, {"skewed", skewedLoad}} {
		for _, load := range []float64{2, 5} {
			t.Run(fmt.Sprintf("%s/%.0fx", shape.name, load), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					all := arrivals(int(load*16000), runners*slots, load, shape.weights, 1)
					capacity := float64(all[len(all)-1].at) / float64(meanService) * runners * slots
					ideal := simulate(all, 1, runners*slots, firstRunner(), loadDeadline)
					r := newFleet(runners, slots, len(shape.weights)).drive(all, loadDeadline)
					logResults(t, &r, &ideal, all, runners, slots, loadDeadline)
					t.Logf("goodput %.1f%% of capacity, ideal queue %.1f%%", 100*float64(r.good)/capacity, 100*float64(ideal.good)/capacity)
					require.GreaterOrEqual(t, float64(r.good), 0.95*capacity)
				})
			})
		}
	}
}

func logResults(t *testing.T, r, ideal *result, all []arrival, runners, slots int, deadline time.Duration) {
	t.Helper()
	print := func(name string, r *result) {
		t.Logf("%-18s p50 %8v  p99 %8v  answered in time %d of %d", name,
			r.quantile(0.5).Round(10*time.Microsecond), r.quantile(0.99).Round(10*time.Microsecond), len(r.latencies), len(all))
	}
	print("oriolepond", r)
	print("ideal queue", ideal)
	for _, b := range []struct {
		name   string
		choose chooser
	}{{"random", randomRunner(1)}, {"round robin", roundRobin()}, {"least connections", leastConnections()}} {
		s := simulate(all, runners, slots, b.choose, deadline)
		print(b.name, &s)
	}
}
