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
)

// Cluster is a set of stand-ins on loopback for one example deployment.
type Cluster struct {
	// Example, Runners and Workers are set before Start; a zero count takes the example's.
	Example examples.Example
	Runners int
	Workers int
	// ServiceTime is the mean time of a request on a runner.
	ServiceTime time.Duration
	// Work returns what a task of a job family truly takes.
	Work func(job string) Work
	// ListLag is how far the instance list lags.
	ListLag time.Duration

	Store    *Store
	Platform *Platform
	Requests *Ledger
	Tasks    *TaskLedger

	StoreURL string
	ListURL  string

	mu         sync.Mutex
	runners    map[string]*Runner
	workers    map[string]*Worker
	runnerIDs  []string
	workerIDs  []string
	servers    map[string]*http.Server
	addresses  map[string]string
	workerSeed uint64
}

// Start listens on loopback and fills the instance list.
func (c *Cluster) Start() error {
	c.Store = NewStore()
	c.Platform = NewPlatform()
	c.Platform.Lag = c.ListLag
	c.Requests = NewLedger()
	c.Tasks = NewTaskLedger()
	c.runners = map[string]*Runner{}
	c.workers = map[string]*Worker{}
	c.servers = map[string]*http.Server{}
	c.addresses = map[string]string{}
	address, err := c.serve("store", c.Store)
	if err != nil {
		return err
	}
	c.StoreURL = "http://" + address
	if address, err = c.serve("platform", c.Platform); err != nil {
		return err
	}
	c.ListURL = "http://" + address + "/instances"
	if err := c.startWorkers(); err != nil {
		return err
	}
	return c.startRunners()
}

func (c *Cluster) startWorkers() error {
	n := c.Workers
	if n == 0 {
		n = c.Example.Workers
	}
	for i := range n {
		id := fmt.Sprintf("worker-%d", i)
		w := &Worker{ID: id, Capacity: c.Example.Worker, Ledger: c.Tasks, Work: c.Work}
		address, err := c.serve(id, w)
		if err != nil {
			return err
		}
		c.workers[id] = w
		c.workerIDs = append(c.workerIDs, id)
		dc := c.dataCentreOf(i / max(1, c.Example.WorkersPerRack))
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
	n := c.Runners
	if n == 0 {
		n = c.Example.Runners
	}
	for i := range n {
		id := fmt.Sprintf("runner-%d", i)
		random := rand.New(rand.NewPCG(uint64(i), c.workerSeed))
		var mu sync.Mutex
		r := &Runner{Slots: c.Example.Slots, Ledger: c.Requests, Guard: true}
		if c.ServiceTime > 0 {
			r.ServiceTime = func() time.Duration {
				mu.Lock()
				defer mu.Unlock()
				return time.Duration(random.ExpFloat64() * float64(c.ServiceTime))
			}
		}
		address, err := c.serve(id, r)
		if err != nil {
			return err
		}
		c.runners[id] = r
		c.runnerIDs = append(c.runnerIDs, id)
		dc := c.dataCentreOf(i)
		c.Platform.Set(roster.Instance{
			ID: id, Kind: roster.KindRunner, State: roster.Live, Address: address,
			Region: dc.Region, DataCentre: dc.Name, Service: c.Example.Service,
			Worker: fmt.Sprintf("worker-%d", i%max(1, len(c.workerIDs))),
			Slots:  c.Example.Slots, Connections: c.Example.Connections,
		})
	}
	return nil
}

func (c *Cluster) dataCentreOf(i int) examples.DataCentre {
	return c.Example.DataCentres[i%len(c.Example.DataCentres)]
}

// serve answers on a new loopback address.
func (c *Cluster) serve(id string, h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("stand-in %s: %w", id, err)
	}
	s := &http.Server{Handler: h, ErrorLog: quiet}
	c.mu.Lock()
	c.servers[id] = s
	c.addresses[id] = l.Addr().String()
	c.mu.Unlock()
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), nil
}

// Runner returns the runner of a number.
func (c *Cluster) Runner(i int) (string, *Runner) {
	id := c.runnerIDs[i%len(c.runnerIDs)]
	return id, c.runners[id]
}

// Worker returns the worker of a number.
func (c *Cluster) Worker(i int) (string, *Worker) {
	id := c.workerIDs[i%len(c.workerIDs)]
	return id, c.workers[id]
}

// Kill closes an instance's listener and connections, as its death does.
func (c *Cluster) Kill(id string) {
	c.mu.Lock()
	s := c.servers[id]
	c.mu.Unlock()
	if s != nil {
		_ = s.Close()
	}
}

// Close ends all stand-ins.
func (c *Cluster) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.servers {
		_ = s.Close()
	}
}
