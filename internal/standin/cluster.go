package standin

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/oriolepond/oriolepond/examples"
	"github.com/oriolepond/oriolepond/internal/roster"
	"github.com/oriolepond/oriolepond/internal/worker"
)

// Cluster runs stand-ins on loopback for one example deployment.
type Cluster struct {
	// Example, RunnerCount and WorkerCount must be set before Start. A zero count takes the example's.
	Example     examples.Example
	RunnerCount int
	WorkerCount int
	// Network, if not nil, is the proxy in front of every stand-in.
	Network *Network
	// ServiceTime is the mean duration of a request on a runner; zero means no time.
	ServiceTime time.Duration
	// Work returns the actual run time and resource use of the tasks of a job family.
	Work func(job string) Work
	// ListLag is the delay until a change shows on the instance list.
	ListLag time.Duration

	// Start sets the exported fields below.

	Store    *Store
	Platform *Platform
	Requests *Ledger
	Tasks    *TaskLedger

	StoreURL string
	ListURL  string

	mu        sync.Mutex
	runners   map[string]*Runner
	workers   map[string]*Worker
	runnerIDs []string
	workerIDs []string
	servers   map[string]*http.Server
}

// Start starts all stand-ins and fills the instance list.
func (c *Cluster) Start() error {
	c.Store = NewStore()
	c.Platform = NewPlatform()
	c.Platform.Lag = c.ListLag
	c.Requests = NewLedger()
	c.Tasks = NewTaskLedger()
	c.runners = map[string]*Runner{}
	c.workers = map[string]*Worker{}
	c.servers = map[string]*http.Server{}
	first := c.dataCentreOf(0)
	address, err := c.serve("store", c.Store, first)
	if err != nil {
		return err
	}
	c.StoreURL = "http://" + address
	if address, err = c.serve("platform", c.Platform, first); err != nil {
		return err
	}
	c.ListURL = "http://" + address + "/instances"
	if err := c.startWorkers(); err != nil {
		return err
	}
	return c.startRunners()
}

func (c *Cluster) startWorkers() error {
	n := c.WorkerCount
	if n == 0 {
		n = c.Example.Workers
	}
	for i := range n {
		id := fmt.Sprintf("worker-%d", i)
		w := &Worker{ID: id, Capacity: c.Example.Worker, Ledger: c.Tasks, Work: c.Work}
		dc := c.dataCentreOfWorker(i)
		address, err := c.serve(id, w, dc)
		if err != nil {
			return err
		}
		c.workers[id] = w
		c.workerIDs = append(c.workerIDs, id)
		c.Platform.Set(roster.Instance{
			ID: id, Kind: roster.KindWorker, State: roster.Live, Address: address,
			Region: dc.Region, DataCentre: dc.Name,
			Rack:     fmt.Sprintf("rack-%d", i/max(1, c.Example.WorkersPerRack)),
			Capacity: c.Example.Worker,
		})
	}
	return nil
}

func (c *Cluster) startRunners() error {
	n := c.RunnerCount
	if n == 0 {
		n = c.Example.Runners
	}
	for i := range n {
		id := fmt.Sprintf("runner-%d", i)
		hostIndex := i % max(1, len(c.workerIDs))
		host := fmt.Sprintf("worker-%d", hostIndex)
		r := &Runner{Slots: c.Example.Slots, Ledger: c.Requests, Guard: true}
		if c.ServiceTime > 0 {
			r.ServiceTime = c.serviceTime(uint64(i), c.workers[host])
		}
		dc := c.dataCentreOfWorker(hostIndex)
		address, err := c.serve(id, r, dc)
		if err != nil {
			return err
		}
		c.runners[id] = r
		c.runnerIDs = append(c.runnerIDs, id)
		c.Platform.Set(roster.Instance{
			ID: id, Kind: roster.KindRunner, State: roster.Live, Address: address,
			Region: dc.Region, DataCentre: dc.Name, Service: c.Example.Service,
			Worker: host,
			Slots:  c.Example.Slots, Connections: c.Example.Connections,
		})
	}
	return nil
}

// serviceTime returns a function that draws exponentially distributed request
// durations, which noisy tasks on the worker prolong. It also makes the worker report
// the resulting tail latency.
func (c *Cluster) serviceTime(seed uint64, w *Worker) func() time.Duration {
	random := rand.New(rand.NewPCG(seed, seed))
	var mu sync.Mutex
	meter := &tailMeter{}
	if w != nil {
		w.Tails = func(*Worker) []worker.TailReport { return c.tailReports(meter) }
	}
	return func() time.Duration {
		mu.Lock()
		duration := random.ExpFloat64() * float64(c.ServiceTime)
		mu.Unlock()
		if w != nil {
			duration *= 1 + w.Noise()
		}
		meter.record(time.Duration(duration), time.Now())
		return time.Duration(duration)
	}
}

// tailReports returns the tail latency of a runner in the form in which workers report it.
func (c *Cluster) tailReports(m *tailMeter) []worker.TailReport {
	measured, ok := m.visible(time.Now())
	if !ok {
		return nil
	}
	return []worker.TailReport{{Service: c.Example.Service, P99: measured.p99, Samples: measured.samples}}
}

// dataCentreOf returns the data centre for index i, in round-robin order.
func (c *Cluster) dataCentreOf(i int) examples.DataCentre {
	return c.Example.DataCentres[i%len(c.Example.DataCentres)]
}

// dataCentreOfWorker returns the data centre of worker i and of the runners on it. The
// workers of one rack share a data centre.
func (c *Cluster) dataCentreOfWorker(i int) examples.DataCentre {
	return c.dataCentreOf(i / max(1, c.Example.WorkersPerRack))
}

// serve starts a server on a new loopback address. It returns that address, or the
// address of the proxy in front of it if there is a Network.
func (c *Cluster) serve(id string, h http.Handler, dc examples.DataCentre) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("stand-in %s: %w", id, err)
	}
	s := &http.Server{Handler: h, ErrorLog: DiscardLog}
	c.mu.Lock()
	c.servers[id] = s
	c.mu.Unlock()
	go func() { _ = s.Serve(l) }()
	if c.Network == nil {
		return l.Addr().String(), nil
	}
	return c.Network.Open(id, Site{Region: dc.Region, DataCentre: dc.Name}, l.Addr().String())
}

// Runners returns the IDs of all runners.
func (c *Cluster) Runners() []string { return c.runnerIDs }

// Workers returns the IDs of all workers.
func (c *Cluster) Workers() []string { return c.workerIDs }

// Runner returns the i-th runner with its ID; i wraps around.
func (c *Cluster) Runner(i int) (string, *Runner) {
	id := c.runnerIDs[i%len(c.runnerIDs)]
	return id, c.runners[id]
}

// Worker returns the i-th worker with its ID; i wraps around.
func (c *Cluster) Worker(i int) (string, *Worker) {
	id := c.workerIDs[i%len(c.workerIDs)]
	return id, c.workers[id]
}

// Kill closes the listener and all connections of a stand-in, as a crash would.
func (c *Cluster) Kill(id string) {
	c.mu.Lock()
	s := c.servers[id]
	c.mu.Unlock()
	if s != nil {
		_ = s.Close()
	}
}

// Close stops all stand-ins.
func (c *Cluster) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.servers {
		_ = s.Close()
	}
}
