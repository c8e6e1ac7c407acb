package demo

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/oriolepond/oriolepond/internal/roster"
	"github.com/oriolepond/oriolepond/internal/standin"
)

const (
	operatorToken = "operator-token"
	// pollEvery is how often the demonstration looks whether something has come about.
	pollEvery = 20 * time.Millisecond
	// balancerEvery is how often the balancer probes an instance.
	balancerEvery = 200 * time.Millisecond
	// leaseTTL is the instances' lease in the store.
	leaseTTL = 3 * time.Second
	// listInterval and workerInterval are how often the list is read and a worker is spoken to.
	listInterval   = 200 * time.Millisecond
	workerInterval = 100 * time.Millisecond
	// The ports of an instance at its own loopback address.
	frontPort, peerPort, adminPort = 7000, 7001, 7002
)

// instance is one entry instance of the demonstration.
type instance struct {
	id      string
	address string // Its own loopback address.
	site    standin.Site
	process *Process
	ended   chan struct{}
	err     error
	// ready instances get calls from the balancer; stopping is set by a planned stop.
	ready    atomic.Bool
	stopping atomic.Bool
	// reachedAt is when a fault last ended that kept the instance from the
	// store, in nanoseconds since the epoch; zero if there was none.
	reachedAt atomic.Int64
	// cutOff is set while such a fault lasts.
	cutOff atomic.Bool
}

// setCutOff begins or ends a fault that keeps the instance from the store.
func (i *instance) setCutOff(cut bool) {
	i.cutOff.Store(cut)
	if !cut {
		i.reachedAt.Store(time.Now().UnixNano())
	}
}

// since returns how long ago a time was, or the end of the instance's last fault if that is later.
func (i *instance) since(t time.Time) time.Duration {
	if at := time.Unix(0, i.reachedAt.Load()); at.After(t) {
		t = at
	}
	return time.Since(t)
}

func (i *instance) front() string { return fmt.Sprintf("%s:%d", i.address, frontPort) }
func (i *instance) admin() string { return fmt.Sprintf("%s:%d", i.address, adminPort) }

// startInstances starts all instances and waits until they are ready.
func (d *Demo) startInstances(ctx context.Context) error {
	for n := range d.Size.Instances {
		if err := d.startInstance(ctx, n); err != nil {
			return err
		}
	}
	for _, i := range d.running() {
		if err := i.awaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// startInstance starts a new instance in a place.
func (d *Demo) startInstance(ctx context.Context, place int) error {
	number := d.started.Add(1)
	dc := d.Example.DataCentres[place%len(d.Example.DataCentres)]
	i := &instance{
		id:      fmt.Sprintf("entry-%d", number),
		address: loopback(int(addresses.Add(1))),
		site:    standin.Site{Region: dc.Region, DataCentre: dc.Name},
		ended:   make(chan struct{}),
	}
	d.network.Place(i.address, i.site)
	peer, err := d.network.Open("peer:"+i.id, i.site, fmt.Sprintf("%s:%d", i.address, peerPort))
	if err != nil {
		return err
	}
	launch := d.Launch
	if launch == nil {
		launch = launchHere
	}
	if i.process, err = launch(ctx, d.settings(i, peer)); err != nil {
		return err
	}
	d.cluster.Platform.Set(roster.Instance{
		ID: i.id, Kind: roster.KindEntry, State: roster.Live, Region: dc.Region, DataCentre: dc.Name,
		Address: fmt.Sprintf("%s:%d", i.address, frontPort), PeerAddress: peer,
	})
	go func() {
		i.err = <-i.process.Done
		i.ready.Store(false)
		d.cluster.Platform.Remove(i.id)
		close(i.ended)
	}()
	go i.probe()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.all = append(d.all, i)
	d.places[place] = i
	return nil
}

// addresses counts the loopback addresses given out by this process.
var addresses atomic.Int64

// loopbackOctet bounds each part of a loopback address.
const loopbackOctet = 250

// loopback returns the loopback address of the nth instance, distinct between
// processes of this program; after many instances those of ended ones come again.
func loopback(n int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid%loopbackOctet, pid/loopbackOctet%loopbackOctet, 1+n%loopbackOctet)
}

// settings returns the text of an instance's settings.
func (d *Demo) settings(i *instance, peer string) []byte {
	sum := sha256.Sum256([]byte(operatorToken))
	return fmt.Appendf(nil, `{
		"id": %q, "region": %q, "dataCentre": %q,
		"listen": "%s:%d", "peerListen": "%s:%d", "adminListen": "%s:%d",
		"peerAdvertise": %q, "bindAddress": %q,
		"storeUrls": [%q], "listUrl": %q, "operatorTokenHash": %q,
		"leaseTtl": %q, "listInterval": %q, "workerInterval": %q, "accountInterval": "500ms", "burnInterval": "500ms"
	}`, i.id, i.site.Region, i.site.DataCentre,
		i.address, frontPort, i.address, peerPort, i.address, adminPort,
		peer, i.address, d.cluster.StoreURL, d.cluster.ListURL, hex.EncodeToString(sum[:]),
		d.Size.LeaseTTL.String(), d.Size.ListInterval.String(), d.Size.WorkerInterval.String())
}

// running returns the instances that hold a place now.
func (d *Demo) running() []*instance {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]*instance(nil), d.places...)
}

// probe follows the instance's readiness as a balancer does.
func (i *instance) probe() {
	client := &http.Client{Timeout: balancerEvery}
	for {
		answer, err := client.Get("http://" + i.admin() + "/readyz")
		if err == nil {
			answer.Body.Close()
		}
		i.ready.Store(err == nil && answer.StatusCode == http.StatusOK)
		select {
		case <-i.ended:
			return
		case <-time.After(balancerEvery):
		}
	}
}

// awaitReady waits until the balancer sends callers to the instance.
func (i *instance) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for !i.ready.Load() {
		select {
		case <-i.ended:
			return fmt.Errorf("instance %s ended: %w", i.id, i.err)
		default:
		}
		if err := pause(ctx, pollEvery); err != nil {
			return fmt.Errorf("instance %s is not ready", i.id)
		}
	}
	return nil
}

// endInstances ends every instance at once; nothing depends on them any more.
func (d *Demo) endInstances() {
	d.mu.Lock()
	all := append([]*instance(nil), d.all...)
	d.mu.Unlock()
	for _, i := range all {
		i.process.Kill()
	}
	for _, i := range all {
		<-i.ended
	}
}

// pause lets time pass unless the context ends.
func pause(ctx context.Context, t time.Duration) error {
	timer := time.NewTimer(t)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
