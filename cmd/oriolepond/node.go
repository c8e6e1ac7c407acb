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
	"github.com/oriolepond/oriolepond/internal/intake"
	"github.com/oriolepond/oriolepond/internal/peer"
	"github.com/oriolepond/oriolepond/internal/replica"
	"github.com/oriolepond/oriolepond/internal/scheduler"
	"github.com/oriolepond/oriolepond/internal/shutdown"
	"github.com/oriolepond/oriolepond/internal/store"
	"github.com/oriolepond/oriolepond/platform"
)

const (
	// storeConns, pollConns and commandConns are the largest numbers of idle connections to an
	// address that are kept open for calls to the store, polls of workers, and commands to workers.
	// commandConns also limits the connections in use.
	storeConns   = 8
	pollConns    = 2
	commandConns = 4
	// dialTimeout is the timeout of a connection attempt. The latency between regions is 12 ms.
	dialTimeout = 500 * time.Millisecond
	// memoryLimitRatio is the soft memory limit of the Go runtime as a fraction of the memory of
	// the process.
	memoryLimitRatio = 0.6
	// logFlushTimeout is the longest time that a stopping process waits for the last log lines to
	// be written.
	logFlushTimeout = 200 * time.Millisecond
	// configMargin is subtracted from the time within which the platform requires a new
	// configuration to be in force. It covers the transit of a response from the store and of one
	// to a caller.
	configMargin = 250 * time.Millisecond
	// stopMargin is subtracted from the time that the platform gives a process for a planned stop,
	// as a reserve.
	stopMargin = 1500 * time.Millisecond
	// drainDelay is how long a stopping node keeps accepting connections, so that the load
	// balancer can notice the stop: it takes two of its checks, one second apart.
	drainDelay = 2200 * time.Millisecond
)

// node is one scheduler process on the users' platform.
type node struct {
	settings platform.Settings
	// advertise is the address at which other nodes reach this one.
	advertise string
	dialer    *net.Dialer
	log       *eventlog.Log
	scheduler *scheduler.Scheduler
	metricSet *metrics.Set
	// document follows the configuration in the store. config is the configuration in force, or
	// nil if there is none yet.
	document *replica.Document
	config   atomic.Pointer[platform.Config]
	stopping atomic.Bool
}

// runNode runs one node of the users' platform until a signal asks for a planned stop, and returns
// the exit status.
func runNode(ctx context.Context, args []string) int {
	flags := flag.NewFlagSet("node", flag.ContinueOnError)
	file := flags.String("settings", platform.SettingsPath(), "settings `file` as the platform writes it")
	advertise := flags.String("advertise", "", "`address` at which other nodes reach this one, if it differs from the address that it listens on")
	bind := flags.String("bind", "", "local IP `address` of outgoing connections; if empty, the operating system chooses")
	if err := flags.Parse(args); err != nil {
		return parseStatus(err)
	}
	s, err := platform.LoadSettings(*file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	dialer, err := newDialer(*bind)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	if *advertise == "" {
		*advertise = s.PeerAddress
	}
	debug.SetMemoryLimit(int64(memoryLimitRatio * float64(s.MemoryBytes)))
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
		case <-time.After(logFlushTimeout):
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

// newDialer returns the dialer for all outgoing connections of a node; bind is their local IP
// address, or empty.
func newDialer(bind string) (*net.Dialer, error) {
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

// client returns an HTTP client that keeps up to idleConns idle connections to each address, and
// opens at most maxConns connections to it; a maxConns of zero means no limit.
func (n *node) client(idleConns, maxConns int) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         n.dialer.DialContext,
		MaxIdleConnsPerHost: idleConns,
		MaxConnsPerHost:     maxConns,
		DisableCompression:  true,
		WriteBufferSize:     2 << 10,
		ReadBufferSize:      2 << 10,
	}}
}

// run runs the node until the context ends, or a server or loop of the node fails.
func (n *node) run(ctx context.Context, file string) error {
	s := n.settings
	set := metrics.NewSet()
	n.metricSet = set
	limits := intake.LimitsFor(s.MemoryBytes, s.MaxDescriptors)
	kv := platform.NewStoreClient(s.StoreAddress, n.client(storeConns, 0), n.observeStore)
	pool := &peer.Pool{Dial: n.dialer.DialContext}
	defer pool.Close()
	n.scheduler = &scheduler.Scheduler{
		ID: s.Node + "/" + uuid.NewString(), Address: n.advertise, Peers: s.Seeds, CPUShare: s.ProcessorShare, Store: kv,
		Workers:      platform.NewWorkers(s.AdviserAddress, n.client(pollConns, 0), n.client(commandConns, commandConns), n.budget("answers", limits.Answers)),
		WorkerPrefix: platform.WorkerPrefix, DecodeWorker: platform.DecodeWorker,
		Peer: func(address string, cell int) (*scheduler.Calls, error) {
			conn, err := pool.Conn(address)
			if err != nil {
				return nil, err
			}
			return peer.NewJobs(conn, cell), nil
		},
		DropConnection: pool.Drop, MaxStoreValue: s.MaxStoreValue,
		Evacuations: evacuationKeys(s), Timing: coreTiming(s), Log: n.log, Metrics: scheduler.NewMetrics(set),
	}
	l, err := n.listen()
	if err != nil {
		return err
	}
	front := &http.Server{Handler: &platform.Front{
		Jobs: n.frontCalls(), Config: n.currentConfig, Freshness: n.configFreshness, OnError: n.reportNotServed,
	}, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes}
	ready := &http.Server{Handler: platform.ReadinessHandler(n.isReady), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes}
	server := grpc.NewServer(peer.JobServerOptions(n.log)...)
	peer.RegisterJobs(server, n.scheduler.LocalCalls, n.budget("submissions", limits.Submissions))

	var g run.Group
	n.addLoops(&g, kv)
	tracker := &shutdown.Tracker{}
	tracker.Attach(front)
	callers := n.budget("callers", limits.Callers)
	callers.Attach(front)
	actor.Server(&g, front, tracker.Listen(callers.Listen(l.front)))
	n.addProbeServer(&g, "readiness", ready, l.ready)
	n.addProbeServer(&g, "metrics", n.metricsServer(), l.metrics)
	peers := n.budget("peers", limits.Peers).ListenMessages(l.peer)
	g.Add(func() error { return server.Serve(peers) }, func(error) { server.Stop() })
	n.addReload(&g, file)
	ended, end := context.WithCancel(context.Background())
	g.Add(func() error {
		select {
		case <-ctx.Done():
		case <-ended.Done():
			return nil
		}
		return n.stop(tracker, front)
	}, func(error) { end() })
	n.log.Emit(eventlog.InstanceStarted, zap.String("listen", s.FrontAddress), zap.Int("pid", os.Getpid()))
	err = g.Run()
	n.log.Emit(eventlog.InstanceStopped, zap.Error(err))
	return err
}

// headerTimeout is the timeout for reading the headers of a request.
const headerTimeout = 5 * time.Second

// maxHeaderBytes limits the headers of a request.
const maxHeaderBytes = 16 << 10

// coreTiming returns the default timing of the scheduling core, adjusted to the limits that the
// platform sets.
func coreTiming(s platform.Settings) batch.Timing {
	t := batch.DefaultTiming()
	if s.MaxWorkerLease > 0 {
		t.Lease, t.MaxLease = min(t.Lease, s.MaxWorkerLease), s.MaxWorkerLease
	}
	t.Retention = max(t.Retention, 2*s.Retention)
	return t
}

// evacuationKeys returns the keys by which operators have data centres evacuated, or nil if the settings do not
// state within which time that has to take effect.
func evacuationKeys(s platform.Settings) *scheduler.EvacuationKeys {
	if s.EvacuationDeadline == 0 {
		return nil
	}
	return &scheduler.EvacuationKeys{
		Prefix: platform.EvacuationPrefix, Decode: platform.DecodeEvacuation, Deadline: s.EvacuationDeadline,
	}
}

// frontCalls returns the operations on jobs that the HTTP front for callers uses.
func (n *node) frontCalls() *scheduler.Calls {
	return &scheduler.Calls{
		Submit: n.scheduler.Submit, Cancel: n.scheduler.Cancel, State: n.scheduler.State, Pending: n.scheduler.Pending,
	}
}

// currentConfig returns the configuration in force, and whether there is one.
func (n *node) currentConfig() (platform.Config, bool) {
	c := n.config.Load()
	if c == nil {
		return platform.Config{}, false
	}
	return *c, true
}

// configFreshness reports whether the configuration in force is current or outdated, or that this
// is uncertain.
func (n *node) configFreshness() replica.Freshness { return n.document.Freshness() }

// isReady reports whether the node can serve callers: it has a configuration, knows the cells (the
// partitions of workers and jobs, each with a leader of its own), and is not stopping.
func (n *node) isReady() bool {
	return n.config.Load() != nil && n.scheduler.KnowsCells() && !n.stopping.Load()
}

// reportNotServed counts and logs a call that was not served as requested. Calls without a queue
// also log the version and age of the configuration.
func (n *node) reportNotServed(r *http.Request, queue, id string, status int, err error) {
	n.metricSet.GetOrCreateCounter(fmt.Sprintf("oriolepond_calls_not_served_total{method=%q,status=\"%d\"}", r.Method, status)).Inc()
	fields := []zap.Field{
		zap.String("method", r.Method), zap.String("queue", queue), zap.String("job", id), zap.Int("status", status), zap.Error(err),
	}
	if queue == "" {
		fields = append(fields, zap.Int64("version", n.configVersion()), zap.Duration("configAge", n.document.Age()))
	}
	n.log.Emit(eventlog.CallNotServed, fields...)
}

// observeStore counts the bytes that a call to the store returned, and the failure if there is one.
func (n *node) observeStore(call string, bytes int, err error) {
	n.metricSet.GetOrCreateCounter(fmt.Sprintf("oriolepond_store_answer_bytes_total{call=%q}", call)).Add(bytes)
	if err != nil {
		n.metricSet.GetOrCreateCounter(fmt.Sprintf("oriolepond_store_failures_total{call=%q}", call)).Inc()
	}
}

// configVersion returns the version of the configuration in force, or zero if there is none.
func (n *node) configVersion() int64 {
	c := n.config.Load()
	if c == nil {
		return 0
	}
	return c.QueueConfig.Version
}

// addLoops adds the loops that follow the stored configuration and run the scheduler, and registers
// the gauges of the configuration.
func (n *node) addLoops(g *run.Group, kv *store.Client) {
	n.metricSet.NewGauge("oriolepond_config_version", func() float64 { return float64(n.configVersion()) })
	n.metricSet.NewGauge("oriolepond_config_age_seconds", func() float64 { return n.document.Age().Seconds() })
	n.document = &replica.Document{
		Client: kv, Prefix: platform.OperatorPrefix, Key: platform.ConfigKey, CopyKey: scheduler.ConfigCopyKey,
		ApplyWithin: n.settings.ConfigDeadline - configMargin, IsLeader: n.scheduler.IsLeader, StoreRTT: n.scheduler.StoreRTT, Apply: n.applyConfig, Log: n.log,
	}
	n.scheduler.OnConfigCopies = n.document.ReceiveCopies
	actor.Loop(context.Background(), g, n.document.Run)
	actor.Loop(context.Background(), g, n.scheduler.Run)
}

// applyConfig puts a version of the configuration in force if it is newer than the current one. A
// version that cannot be decoded is logged and ignored.
func (n *node) applyConfig(value []byte, revision int64, from replica.Source) {
	c, err := platform.DecodeConfig(value)
	if err != nil {
		n.log.Emit(eventlog.ConfigRejected, zap.Int64("revision", revision), zap.Error(err))
		return
	}
	if old := n.config.Load(); old != nil && c.QueueConfig.Version <= old.QueueConfig.Version {
		return
	}
	n.config.Store(&c)
	n.scheduler.SetTable(c.QueueConfig)
	n.log.Emit(eventlog.ConfigApplied, zap.Int64("revision", revision), zap.Int64("version", c.QueueConfig.Version),
		zap.Int("queues", len(c.QueueConfig.Queues)), zap.String("from", string(from)))
}

// addReload adds a loop that reads the settings again on each SIGHUP and logs whether they are
// valid. They are not put in force, since the addresses of a process never change.
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

// stop performs a planned stop: it reports the node as not ready to the load balancer, ends the
// node's terms as leader of cells so that other nodes take over, and waits for calls in flight.
func (n *node) stop(tracker *shutdown.Tracker, front *http.Server) error {
	n.stopping.Store(true)
	n.log.Emit(eventlog.InstanceStopping)
	n.scheduler.StepDown()
	tracker.CloseAfterResponses()
	ctx, cancel := context.WithTimeout(context.Background(), max(n.settings.StopGrace-stopMargin, drainDelay))
	defer cancel()
	time.Sleep(drainDelay)
	if err := tracker.Drain(ctx, front); err != nil {
		return fmt.Errorf("planned stop: %w", err)
	}
	return nil
}
