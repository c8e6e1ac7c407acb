// Package oriolepond is a scheduler for latency-critical services and batch jobs that
// share one pool of instances.
//
// An Instance is one entry instance: it serves callers and operators, and leads some of
// the shards into which workers and batch tasks are divided. Everything that instances
// must agree on or keep is stored in the platform's key-value store.
//
// # Usage
//
//	s, err := settings.Load("oriolepond.jsonc")
//	i := &oriolepond.Instance{Settings: s, Log: log}
//	err = i.Run(ctx) // Until ctx ends, then a planned stop.
package oriolepond

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/oklog/run"
	"go.uber.org/zap"
	"google.golang.org/grpc"

	"github.com/oriolepond/oriolepond/internal/actor"
	"github.com/oriolepond/oriolepond/internal/burn"
	"github.com/oriolepond/oriolepond/internal/config"
	"github.com/oriolepond/oriolepond/internal/entry"
	"github.com/oriolepond/oriolepond/internal/eventlog"
	"github.com/oriolepond/oriolepond/internal/exchange"
	"github.com/oriolepond/oriolepond/internal/home"
	"github.com/oriolepond/oriolepond/internal/intake"
	"github.com/oriolepond/oriolepond/internal/membership"
	"github.com/oriolepond/oriolepond/internal/meter"
	"github.com/oriolepond/oriolepond/internal/operate"
	"github.com/oriolepond/oriolepond/internal/peer"
	"github.com/oriolepond/oriolepond/internal/roster"
	"github.com/oriolepond/oriolepond/internal/settings"
	"github.com/oriolepond/oriolepond/internal/shard"
	"github.com/oriolepond/oriolepond/internal/shutdown"
	"github.com/oriolepond/oriolepond/internal/store"
	"github.com/oriolepond/oriolepond/internal/target"
)

// Instance is one entry instance. Settings and Log must be set before Run.
type Instance struct {
	Settings settings.Settings
	Log      *eventlog.Log
	// Listening, if not nil, is called with the addresses once the instance listens.
	Listening func(Addresses)

	abort        abortState
	members      *membership.Keeper
	configs      *config.Keeper
	burnRecorder *burn.Recorder
	burnKeeper   *burn.Keeper
	targets      *target.Table
	requests     *entry.Dispatcher
	shards       *shard.Keeper
	// workerConns holds the HTTP connections to workers, peerConns the gRPC connections to
	// other entry instances.
	workerConns  *exchange.Pool
	jobs         *shard.Router
	peerConns    *peer.Pool
	instanceList atomic.Pointer[roster.List]
	stop         stopState

	directory *peer.Directory
	reporters peer.Group
	// slowedRunners are the runners that batch tasks currently slow down; slowedTargets
	// are the IDs of the targets among them.
	slowedRunners   shard.SlowedRunners
	slowedPeers     peer.Group
	slowedTargets   atomic.Pointer[map[string]bool]
	peerSnapshot    atomic.Pointer[peerSnapshot]
	streamCanceller streamCanceller
	changeNotifier  peer.ChangeNotifier

	keyJournal  *home.Journal
	meter       *meter.Meter
	meterKeeper *meter.Keeper
	periods     *operate.Periods
}

// Run serves until the context ends, then makes a planned stop: it reports itself as
// not ready, then refuses new work, and returns once no request is in flight or
// StopTimeout has passed.
func (i *Instance) Run(ctx context.Context) error {
	listeners, err := i.listen()
	if err != nil {
		return err
	}
	i.build()
	defer i.peerConns.Close()
	var g run.Group
	actor.Loop(context.Background(), &g, i.reporters.Run)
	actor.Loop(context.Background(), &g, i.slowedPeers.Run)
	actor.Loop(context.Background(), &g, i.updateSlowedTargets)
	actor.Loop(context.Background(), &g, i.notifyChanges)
	actor.Loop(context.Background(), &g, i.members.Run)
	actor.Loop(context.Background(), &g, i.configs.Run)
	actor.Loop(context.Background(), &g, i.meterKeeper.Run)
	actor.Loop(context.Background(), &g, i.burnKeeper.Run)
	actor.Loop(context.Background(), &g, i.periods.Run)
	actor.Loop(context.Background(), &g, i.shards.Run)
	actor.Loop(context.Background(), &g, i.pollList)
	actor.Loop(context.Background(), &g, i.trimConnections)
	front := &http.Server{Handler: i.callerHandler(), MaxHeaderBytes: i.Settings.MaxHeaderBytes, ReadHeaderTimeout: headerTimeout}
	admin := &http.Server{Handler: i.adminHandler(), ReadHeaderTimeout: headerTimeout}
	limits := intake.LimitsFor(cmp.Or(i.Settings.Memory, settings.DefaultMemory), intake.AllowedDescriptors(i.Settings.Descriptors))
	operators := i.budget("operators", limits.Probes)
	operators.AttachProbes(admin)
	actor.Server(&g, admin, operators.Listen(listeners.admin))
	i.addPeerServer(&g, i.budget("peers", limits.Peers).Listen(listeners.peer))
	tracker := &shutdown.Tracker{}
	tracker.Attach(front)
	callers := i.budget("callers", limits.Callers)
	callers.RefusalHeader = entry.RefusalHeader()
	callers.Attach(front)
	actor.Server(&g, front, tracker.Listen(callers.Listen(listeners.front)))
	i.addStopActors(ctx, &g, tracker, front)
	i.Log.Emit(eventlog.InstanceStarted, zap.String("listen", i.Settings.Listen))
	if i.Listening != nil {
		i.Listening(listeners.addresses())
	}
	return g.Run()
}

// budget returns a budget whose usage is reported.
func (i *Instance) budget(server string, l intake.Limits) *intake.Budget {
	return intake.New(server, l, metrics.GetDefaultSet(), i.Log)
}

// addPeerServer adds the gRPC server for other instances.
func (i *Instance) addPeerServer(g *run.Group, l net.Listener) {
	server := grpc.NewServer(peer.ServerOptions(i.Log)...)
	peer.RegisterTasks(server, i.shards.Calls())
	i.registerRequests(server)
	i.registerSlots(server)
	peer.RegisterOperate(server, i.localOperate())
	g.Add(func() error { return server.Serve(l) }, func(error) { server.Stop() })
}

// addStopActors adds the actors that end the instance: a planned stop once ctx ends, and Abort.
func (i *Instance) addStopActors(ctx context.Context, g *run.Group, tracker *shutdown.Tracker, front *http.Server) {
	ended, end := context.WithCancel(context.Background())
	g.Add(func() error {
		select {
		case <-ctx.Done():
			return i.drain(tracker, front)
		case <-ended.Done():
			return nil
		}
	}, func(error) { end() })
	g.Add(func() error {
		<-i.aborted()
		return &AbortedError{ID: i.Settings.ID}
	}, func(error) { i.Abort() })
}

// headerTimeout bounds the time in which a client sends its request headers.
const headerTimeout = 10 * time.Second

// build creates the components of the instance without starting them.
func (i *Instance) build() {
	s := i.Settings
	client := store.NewEtcd(s.StoreURLs, i.httpClient(idleStoreConns))
	i.peerConns = &peer.Pool{Dial: i.dialer().DialContext}
	i.targets = target.NewTable()
	i.buildRequestPlane()
	i.buildBurn(client)
	i.buildMeter(client)
	i.reporters.Start = i.reportTo
	i.buildMembership(client)
	i.enableForwarding()
	i.configs = &config.Keeper{
		ID:    s.ID,
		Store: client,
		Log:   i.Log,
		Peers: i.configPeers,
	}
	i.buildTaskPlane(client)
	i.buildSlowed()
}
