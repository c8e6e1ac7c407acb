// Package oriolepond is a scheduler for latency-critical services and batch
// work that share one pool of instances.
//
// An Instance is one entry instance: it answers callers and operators, and
// holds a part of the task plane. All that must be agreed or kept goes through
// the platform's store.
//
// # Usage
//
//	s, err := settings.Load("oriolepond.jsonc")
//	i := &oriolepond.Instance{Settings: s, Log: log}
//	err = i.Run(ctx) // Until ctx ends, then a planned stop.
package oriolepond

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

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
	"github.com/oriolepond/oriolepond/internal/membership"
	"github.com/oriolepond/oriolepond/internal/meter"
	"github.com/oriolepond/oriolepond/internal/operate"
	"github.com/oriolepond/oriolepond/internal/peer"
	"github.com/oriolepond/oriolepond/internal/roster"
	"github.com/oriolepond/oriolepond/internal/settings"
	"github.com/oriolepond/oriolepond/internal/shard"
	"github.com/oriolepond/oriolepond/internal/store"
	"github.com/oriolepond/oriolepond/internal/target"
)

// Instance is one entry instance. Its fields are set before Run.
type Instance struct {
	Settings settings.Settings
	Log      *eventlog.Log
	// Listening is called once the addresses are known; nil means nobody asks.
	Listening func(Addresses)

	abort    abortState
	members  *membership.Keeper
	configs  *config.Keeper
	burned   *burn.Recorder
	burns    *burn.Keeper
	targets  *target.Table
	requests *entry.Dispatcher
	shards   *shard.Keeper
	// workerConns are the connections to workers.
	workerConns *exchange.Pool
	jobs        *shard.Router
	pool        *peer.Pool
	list        atomic.Pointer[roster.List]
	stop        stopState

	directory *peer.Directory
	reporters peer.Group
	// marks are the slowed runners, slowedTargets the targets among them.
	marks         shard.SlowedRunners
	slowedPeers   peer.Group
	slowedTargets atomic.Pointer[map[string]bool]
	others        atomic.Pointer[others]
	cuts          cutter
	notice        peer.ChangeNotifier

	keyJournal *home.Journal
	meter      *meter.Meter
	meters     *meter.Keeper
	periods    *operate.Periods
}

// Run serves until the context ends, then makes a planned stop: callers are
// sent elsewhere, then it takes no new work and returns once no request is in
// flight, or after StopTimeout.
func (i *Instance) Run(ctx context.Context) error {
	listeners, err := i.listen()
	if err != nil {
		return err
	}
	i.build()
	defer i.pool.Close()
	var g run.Group
	actor.Loop(context.Background(), &g, i.reporters.Run)
	actor.Loop(context.Background(), &g, i.slowedPeers.Run)
	actor.Loop(context.Background(), &g, i.findSlowed)
	actor.Loop(context.Background(), &g, i.watchReports)
	actor.Loop(context.Background(), &g, i.members.Run)
	actor.Loop(context.Background(), &g, i.configs.Run)
	actor.Loop(context.Background(), &g, i.meters.Run)
	actor.Loop(context.Background(), &g, i.burns.Run)
	actor.Loop(context.Background(), &g, i.periods.Run)
	actor.Loop(context.Background(), &g, i.shards.Run)
	actor.Loop(context.Background(), &g, i.followList)
	actor.Loop(context.Background(), &g, i.trimConnections)
	front := &http.Server{Handler: i.front(), MaxHeaderBytes: i.Settings.MaxHeaderBytes, ReadHeaderTimeout: headerTimeout}
	admin := &http.Server{Handler: i.admin(), ReadHeaderTimeout: headerTimeout}
	actor.Server(&g, admin, listeners.admin)
	i.addPeers(&g, listeners.peer)
	actor.Server(&g, front, listeners.front)
	i.addEnds(ctx, &g, front)
	i.Log.Emit(eventlog.InstanceStarted, zap.String("listen", i.Settings.Listen))
	if i.Listening != nil {
		i.Listening(listeners.addresses())
	}
	return g.Run()
}

// addPeers adds the server that answers peers.
func (i *Instance) addPeers(g *run.Group, l net.Listener) {
	server := grpc.NewServer(peer.ServerOptions(i.Log)...)
	peer.RegisterTasks(server, i.shards.Calls())
	i.registerRequests(server)
	i.registerSlots(server)
	peer.RegisterOperate(server, i.localOperate())
	g.Add(func() error { return server.Serve(l) }, func(error) { server.Stop() })
}

// addEnds adds what ends the instance: a planned stop once ctx ends, and Abort.
func (i *Instance) addEnds(ctx context.Context, g *run.Group, front *http.Server) {
	ended, end := context.WithCancel(context.Background())
	g.Add(func() error {
		select {
		case <-ctx.Done():
			return i.drain(front)
		case <-ended.Done():
			return nil
		}
	}, func(error) { end() })
	g.Add(func() error {
		<-i.aborted()
		return &AbortedError{ID: i.Settings.ID}
	}, func(error) { i.Abort() })
}

// headerTimeout bounds the time in which a caller sends its headers.
const headerTimeout = 10 * time.Second

// build makes the parts of the instance; none of them runs yet.
func (i *Instance) build() {
	s := i.Settings
	client := store.NewEtcd(s.StoreURLs, i.httpClient(idleStoreConns))
	i.pool = &peer.Pool{Dial: i.dialer().DialContext}
	i.targets = target.NewTable()
	i.buildRequests()
	i.buildBurn(client)
	i.buildMeter(client)
	i.reporters.Start = i.report
	i.buildMembership(client)
	i.routePeers()
	i.configs = &config.Keeper{
		ID:    s.ID,
		Store: client,
		Log:   i.Log,
		Peers: i.configPeers,
	}
	i.buildTasks(client)
	i.buildSlowed()
}
