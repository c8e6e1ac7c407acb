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
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"go.uber.org/zap"
	"google.golang.org/grpc"

	"github.com/oriolepond/oriolepond/internal/burn"
	"github.com/oriolepond/oriolepond/internal/config"
	"github.com/oriolepond/oriolepond/internal/entry"
	"github.com/oriolepond/oriolepond/internal/eventlog"
	"github.com/oriolepond/oriolepond/internal/home"
	"github.com/oriolepond/oriolepond/internal/membership"
	"github.com/oriolepond/oriolepond/internal/meter"
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

	abort    chan struct{}
	aborting sync.Once
	members  *membership.Keeper
	configs  *config.Keeper
	burned   *burn.Recorder
	targets  *target.Table
	requests *entry.Dispatcher
	shards   *shard.Keeper
	jobs     *shard.Router
	pool     *peer.Pool
	list     atomic.Pointer[roster.List]
	stop     stopState

	directory *peer.Directory
	reporters peer.Group
	others    atomic.Pointer[map[string]membership.Peer]
	cuts      cutter
	idle      idleCache

	keyJournal *home.Journal
	meter      *meter.Meter
	meters     *meter.Keeper
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
	background, stopBackground := context.WithCancel(context.Background())
	defer stopBackground()
	var g run.Group
	addLoop(&g, background, i.reporters.Run)
	addLoop(&g, background, i.members.Run)
	addLoop(&g, background, i.configs.Run)
	addLoop(&g, background, i.meters.Run)
	addLoop(&g, background, i.shards.Run)
	addLoop(&g, background, i.followList)
	addLoop(&g, background, i.trimConnections)
	front := &http.Server{Handler: i.front(), MaxHeaderBytes: i.Settings.MaxHeaderBytes, ReadHeaderTimeout: headerTimeout}
	admin := &http.Server{Handler: i.admin(), ReadHeaderTimeout: headerTimeout}
	peers := grpc.NewServer(peer.ServerOptions()...)
	peer.RegisterTasks(peers, i.shards.Calls())
	i.registerRequests(peers)
	i.registerSlots(peers)
	peer.RegisterOperate(peers, i.localOperate())
	addServer(&g, admin, listeners.admin)
	g.Add(func() error { return peers.Serve(listeners.peer) }, func(error) { peers.Stop() })
	addServer(&g, front, listeners.front)
	g.Add(func() error {
		select {
		case <-ctx.Done():
			return i.drain(front)
		case <-background.Done():
			return nil
		}
	}, func(error) { stopBackground() })
	g.Add(func() error {
		<-i.aborted()
		return &AbortedError{ID: i.Settings.ID}
	}, func(error) { i.Abort() })
	i.Log.Emit(eventlog.InstanceStarted, zap.String("listen", i.Settings.Listen))
	if i.Listening != nil {
		i.Listening(listeners.addresses())
	}
	return g.Run()
}

// Addresses are where an instance listens.
type Addresses struct {
	Front, Peer, Admin string
}

// AbortedError says that Abort ended an instance.
type AbortedError struct {
	ID string
}

// Error returns the instance.
func (e *AbortedError) Error() string { return "instance " + e.ID + " was aborted" }

// Abort ends the instance at once, without a planned stop: it cuts requests in
// flight and leaves its leases to lapse.
func (i *Instance) Abort() {
	i.aborting.Do(func() { close(i.aborted()) })
}

var abortGuard sync.Mutex

// aborted returns the channel that Abort closes.
func (i *Instance) aborted() chan struct{} {
	abortGuard.Lock()
	defer abortGuard.Unlock()
	if i.abort == nil {
		i.abort = make(chan struct{})
	}
	return i.abort
}

// headerTimeout bounds the time in which a caller sends its headers.
const headerTimeout = 10 * time.Second

// addLoop adds a function that runs until its context ends.
func addLoop(g *run.Group, parent context.Context, loop func(context.Context) error) {
	ctx, cancel := context.WithCancel(parent)
	g.Add(func() error { return loop(ctx) }, func(error) { cancel() })
}

// addServer adds an HTTP server on a listener.
func addServer(g *run.Group, s *http.Server, l net.Listener) {
	closed := make(chan struct{})
	g.Add(func() error {
		err := s.Serve(l)
		if errors.Is(err, http.ErrServerClosed) {
			// A planned stop still waits for the requests in flight.
			<-closed
			return nil
		}
		return err
	}, func(error) {
		close(closed)
		_ = s.Close()
	})
}

type listeners struct {
	front, peer, admin net.Listener
}

func (i *Instance) listen() (listeners, error) {
	var l listeners
	var err error
	for _, each := range []struct {
		address string
		to      *net.Listener
	}{{i.Settings.Listen, &l.front}, {i.Settings.PeerListen, &l.peer}, {i.Settings.AdminListen, &l.admin}} {
		if *each.to, err = net.Listen("tcp", each.address); err != nil {
			return l, fmt.Errorf("listen: %w", err)
		}
	}
	i.Settings.Advertise = advertised(i.Settings.Advertise, l.front)
	i.Settings.PeerAdvertise = advertised(i.Settings.PeerAdvertise, l.peer)
	return l, nil
}

// advertised returns the address for others; port 0 stands for the one that was given.
func advertised(address string, l net.Listener) string {
	host, port, err := net.SplitHostPort(address)
	if err != nil || port != "0" {
		return address
	}
	_, given, _ := net.SplitHostPort(l.Addr().String())
	return net.JoinHostPort(host, given)
}

func (l listeners) addresses() Addresses {
	return Addresses{Front: l.front.Addr().String(), Peer: l.peer.Addr().String(), Admin: l.admin.Addr().String()}
}

func (i *Instance) build() {
	s := i.Settings
	client := store.NewEtcd(s.StoreURLs, i.httpClient(idleStoreConns))
	i.pool = &peer.Pool{Dial: i.dialer().DialContext}
	i.targets = target.NewTable()
	i.buildRequests()
	i.buildBurn()
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
}
