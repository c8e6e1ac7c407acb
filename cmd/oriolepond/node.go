package main

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"
	"github.com/oklog/run"
	"go.uber.org/zap"
	"google.golang.org/grpc"

	"github.com/oriolepond/oriolepond/internal/actor"
	"github.com/oriolepond/oriolepond/internal/batch"
	"github.com/oriolepond/oriolepond/internal/eventlog"
	"github.com/oriolepond/oriolepond/internal/peer"
	"github.com/oriolepond/oriolepond/internal/replica"
	"github.com/oriolepond/oriolepond/internal/scheduler"
	"github.com/oriolepond/oriolepond/internal/store"
	"github.com/oriolepond/oriolepond/platform"
)

const (
	// storeConns and lookConns bound the connections that are kept open while idle.
	storeConns = 8
	lookConns  = 2
	orderConns = 4
	// dialTimeout bounds a connection attempt; regions are 12 ms apart.
	dialTimeout = 500 * time.Millisecond
	// memoryPart is the part of a process's memory that the garbage collector aims for.
	memoryPart = 0.6
	// lastWrite bounds the writing of the last lines of the log.
	lastWrite = 200 * time.Millisecond
	// configMargin is how much earlier than it has to be in force a configuration
	// counts as missing: an answer of the store and one to a caller travel meanwhile.
	configMargin = 250 * time.Millisecond
	// stopMargin is kept of the time for a planned stop.
	stopMargin = 1500 * time.Millisecond
	// lameDuck is how long a stopping node still takes connections, until the
	// balancer has noticed: two of its checks, a second apart.
	lameDuck = 2200 * time.Millisecond
)

// node is one process on the users' platform.
type node struct {
	settings platform.Settings
	// advertise is where other nodes reach this one.
	advertise string
	dialer    *net.Dialer
	log       *eventlog.Log
	plane     *scheduler.Scheduler
	set       *metrics.Set
	// document is the stored configuration, config the one in force.
	document *replica.Document
	config   atomic.Pointer[platform.Config]
	stopping atomic.Bool
}

// runNode runs one node of the users' platform until a signal asks for a planned stop.
func runNode(ctx context.Context, args []string) int {
	flags := flag.NewFlagSet("node", flag.ContinueOnError)
	file := flags.String("settings", platform.SettingsPath(), "settings `file` as the platform writes it")
	advertise := flags.String("advertise", "", "`address` under which other nodes reach this one, if it differs from the one that it listens at")
	bind := flags.String("bind", "", "local IP `address` of outgoing connections; empty leaves it to the system")
	if err := flags.Parse(args); err != nil {
		return parseStatus(err)
	}
	s, err := platform.LoadSettings(*file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	dialer, err := dialerFrom(*bind)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	if *advertise == "" {
		*advertise = s.PeerAddress
	}
	debug.SetMemoryLimit(int64(memoryPart * float64(s.MemoryBytes)))
	sink := &eventlog.Sink{Out: os.Stdout}
	written := make(chan struct{})
	ended := make(chan struct{})
	go func() {
		sink.Run(ended)
		close(written)
	}()
	defer func() {
		close(ended)
		select {
		case <-written:
		case <-time.After(lastWrite):
		}
	}()
	z := eventlog.NewZap(sink)
	n := &node{settings: s, advertise: *advertise, dialer: dialer, log: eventlog.New(z).With(zap.String("node", s.Node), zap.String("dataCentre", s.DataCentre))}
	if err := n.run(ctx, *file); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	return 0
}

// dialerFrom returns the dialer of all connections that a node makes.
func dialerFrom(bind string) (*net.Dialer, error) {
	d := &net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	if bind == "" {
		return d, nil
	}
	ip := net.ParseIP(bind)
	if ip == nil {
		return nil, fmt.Errorf("-bind %q is not an IP address", bind)
	}
	d.LocalAddr = &net.TCPAddr{IP: ip}
	return d, nil
}

// client returns an HTTP client that keeps a number of connections to each address.
func (n *node) client(conns, most int) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         n.dialer.DialContext,
		MaxIdleConnsPerHost: conns,
		MaxConnsPerHost:     most,
		DisableCompression:  true,
		WriteBufferSize:     2 << 10,
		ReadBufferSize:      2 << 10,
	}}
}

func (n *node) run(ctx context.Context, file string) error {
	s := n.settings
	set := metrics.NewSet()
	n.set = set
	kv := platform.NewStoreClient(s.StoreAddress, n.client(storeConns, 0), n.observeStore)
	pool := &peer.Pool{Dial: n.dialer.DialContext}
	defer pool.Close()
	n.plane = &scheduler.Scheduler{
		ID: s.Node + "/" + uuid.NewString(), Address: n.advertise, Peers: s.Seeds, CPUShare: s.ProcessorShare, Store: kv,
		Workers:      platform.NewWorkers(s.AdviserAddress, n.client(lookConns, 0), n.client(orderConns, orderConns)),
		WorkerPrefix: platform.WorkerPrefix, DecodeWorker: platform.DecodeWorker,
		Peer: func(address string, cell int) (*scheduler.Calls, error) {
			conn, err := pool.Conn(address)
			if err != nil {
				return nil, err
			}
			return peer.NewJobs(conn, cell), nil
		},
		DropConnection: pool.Drop,
		Timing:         timing(s), Log: n.log, Metrics: scheduler.NewMetrics(set),
	}
	listeners := make([]net.Listener, 0, 3)
	for _, address := range []string{s.FrontAddress, s.ReadyAddress, s.PeerAddress} {
		l, err := net.Listen("tcp", address)
		if err != nil {
			return fmt.Errorf("listen: %w", err)
		}
		listeners = append(listeners, l)
	}
	front := &http.Server{Handler: &platform.Front{
		Jobs: n.calls(), Config: n.current, Freshness: n.standing, OnError: n.refused,
	}, ReadHeaderTimeout: headerTimeout}
	ready := &http.Server{Handler: platform.ReadinessHandler(n.isReady), ReadHeaderTimeout: headerTimeout}
	server := grpc.NewServer(peer.ServerOptions(n.log)...)
	peer.RegisterJobs(server, n.plane.LocalCalls)

	var g run.Group
	n.addLoops(&g, kv)
	actor.Server(&g, front, listeners[0])
	actor.Server(&g, ready, listeners[1])
	if err := n.addMetrics(&g, set); err != nil {
		return err
	}
	g.Add(func() error { return server.Serve(listeners[2]) }, func(error) { server.Stop() })
	n.addReload(&g, file)
	ended, end := context.WithCancel(context.Background())
	g.Add(func() error {
		select {
		case <-ctx.Done():
		case <-ended.Done():
			return nil
		}
		return n.stop(front)
	}, func(error) { end() })
	n.log.Emit(eventlog.InstanceStarted, zap.String("listen", s.FrontAddress), zap.Int("pid", os.Getpid()))
	err := g.Run()
	n.log.Emit(eventlog.InstanceStopped, zap.Error(err))
	return err
}

// addMetrics serves the node's metrics at the last port that is its own.
func (n *node) addMetrics(g *run.Group, set *metrics.Set) error {
	l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", n.settings.IP, n.settings.LastPort))
	if err != nil {
		return fmt.Errorf("listen for metrics: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		set.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	actor.Server(g, &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}, l)
	return nil
}

// headerTimeout bounds the time in which a caller sends its headers.
const headerTimeout = 5 * time.Second

// timing takes the platform's bounds into the times of the core.
func timing(s platform.Settings) batch.Timing {
	t := batch.DefaultTiming()
	if s.MaxWorkerLease > 0 {
		t.Lease, t.MaxLease = min(t.Lease, s.MaxWorkerLease), s.MaxWorkerLease
	}
	t.Retention = max(t.Retention, 2*s.Retention)
	return t
}

// calls are what the front answers with.
func (n *node) calls() *scheduler.Calls {
	return &scheduler.Calls{
		Submit: n.plane.Submit, Cancel: n.plane.Cancel, State: n.plane.State, Pending: n.plane.Pending,
	}
}

func (n *node) current() (platform.Config, bool) {
	c := n.config.Load()
	if c == nil {
		return platform.Config{}, false
	}
	return *c, true
}

// standing tells whether the configuration in force is the newest one.
func (n *node) standing() replica.Freshness { return n.document.Freshness() }

func (n *node) isReady() bool {
	return n.config.Load() != nil && n.plane.KnowsCells() && !n.stopping.Load()
}

func (n *node) refused(r *http.Request, queue, id string, status int, err error) {
	n.set.GetOrCreateCounter(fmt.Sprintf("oriolepond_calls_not_served_total{method=%q,status=\"%d\"}", r.Method, status)).Inc()
	fields := []zap.Field{
		zap.String("method", r.Method), zap.String("queue", queue), zap.String("job", id), zap.Int("status", status), zap.Error(err),
	}
	if queue == "" {
		fields = append(fields, zap.Int64("version", n.configVersion()), zap.Duration("configAge", n.document.Age()))
	}
	n.log.Emit(eventlog.CallNotServed, fields...)
}

// observeStore counts the calls to the store by what came of them.
func (n *node) observeStore(call string, bytes int, err error) {
	n.set.GetOrCreateCounter(fmt.Sprintf("oriolepond_store_answer_bytes_total{call=%q}", call)).Add(bytes)
	if err != nil {
		n.set.GetOrCreateCounter(fmt.Sprintf("oriolepond_store_failures_total{call=%q}", call)).Inc()
	}
}

// configVersion returns the version of the configuration in force, zero without one.
func (n *node) configVersion() int64 {
	c := n.config.Load()
	if c == nil {
		return 0
	}
	return c.QueueConfig.Version
}

// addLoops adds the configuration's follower and the task plane.
func (n *node) addLoops(g *run.Group, kv *store.Client) {
	n.set.NewGauge("oriolepond_config_version", func() float64 { return float64(n.configVersion()) })
	n.set.NewGauge("oriolepond_config_age_seconds", func() float64 { return n.document.Age().Seconds() })
	n.document = &replica.Document{
		Client: kv, Prefix: platform.OperatorPrefix, Key: platform.ConfigKey, CopyKey: scheduler.ConfigCopyKey,
		ApplyWithin: n.settings.ConfigDeadline - configMargin, IsLeader: n.plane.IsLeader, StoreRTT: n.plane.StoreRTT, Apply: n.takeConfig, Log: n.log,
	}
	n.plane.OnConfigCopies = n.document.ReceiveCopies
	actor.Loop(context.Background(), g, n.document.Run)
	actor.Loop(context.Background(), g, n.plane.Run)
}

// takeConfig puts a version of the configuration in force; an older one never follows.
func (n *node) takeConfig(value []byte, revision int64, from replica.Source) {
	c, err := platform.DecodeConfig(value)
	if err != nil {
		n.log.Emit(eventlog.ConfigRejected, zap.Int64("revision", revision), zap.Error(err))
		return
	}
	if old := n.config.Load(); old != nil && c.QueueConfig.Version <= old.QueueConfig.Version {
		return
	}
	n.config.Store(&c)
	n.plane.SetTable(c.QueueConfig)
	n.log.Emit(eventlog.ConfigApplied, zap.Int64("revision", revision), zap.Int64("version", c.QueueConfig.Version),
		zap.Int("queues", len(c.QueueConfig.Queues)), zap.String("from", string(from)))
}

// addReload checks the settings again on SIGHUP. The addresses of a process
// never change, so that what is in force stays.
func (n *node) addReload(g *run.Group, file string) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	done := make(chan struct{})
	g.Add(func() error {
		for {
			select {
			case <-done:
				return nil
			case <-hup:
				_, err := platform.LoadSettings(file)
				n.log.Emit(eventlog.SettingsChecked, zap.Error(err))
			}
		}
	}, func(error) {
		signal.Stop(hup)
		close(done)
	})
}

// stop is a planned stop: the balancer is told, the term is handed over, and
// the calls in flight are finished.
func (n *node) stop(front *http.Server) error {
	n.stopping.Store(true)
	n.log.Emit(eventlog.InstanceStopping)
	n.plane.StepDown()
	front.SetKeepAlivesEnabled(false)
	ctx, cancel := context.WithTimeout(context.Background(), max(n.settings.StopGrace-stopMargin, lameDuck))
	defer cancel()
	time.Sleep(lameDuck)
	if err := front.Shutdown(ctx); err != nil {
		return fmt.Errorf("planned stop: %w", err)
	}
	return nil
}
