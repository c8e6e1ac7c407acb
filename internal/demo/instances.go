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
	// pollInterval is how often the demonstration checks a condition that it waits for.
	pollInterval = 20 * time.Millisecond
	// probeInterval is how often the load balancer probes the readiness of an instance.
	probeInterval = 200 * time.Millisecond
	// leaseTTL is the default TTL of the instances' leases in the store.
	leaseTTL = 3 * time.Second
	// listInterval and workerInterval are the default intervals at which instances read
	// the list and poll a worker.
	listInterval   = 200 * time.Millisecond
	workerInterval = 100 * time.Millisecond
	// Ports of an instance on its own loopback address.
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
	// ready is set while callers may be sent to the instance; stopping is set when a planned stop begins.
	ready    atomic.Bool
	stopping atomic.Bool
	// reconnectedAt is when the last fault ended that cut the instance off from the
	// store, in nanoseconds since the Unix epoch; zero if there was none.
	reconnectedAt atomic.Int64
	// cutOff is set while such a fault lasts.
	cutOff atomic.Bool
}

// setCutOff marks the beginning or the end of a fault that cuts the instance off from the store.
func (i *instance) setCutOff(cut bool) {
	i.cutOff.Store(cut)
	if !cut {
		i.reconnectedAt.Store(time.Now().UnixNano())
	}
}

// sinceConnected returns the time since t, or since the end of the instance's last fault if that is later.
func (i *instance) sinceConnected(t time.Time) time.Duration {
	if at := time.Unix(0, i.reconnectedAt.Load()); at.After(t) {
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

// startInstance starts a new instance and stores it at a position of d.current. The
// position determines its data centre.
func (d *Demo) startInstance(ctx context.Context, position int) error {
	number := d.startCount.Add(1)
	dc := d.Example.DataCentres[position%len(d.Example.DataCentres)]
	i := &instance{
		id:      fmt.Sprintf("entry-%d", number),
		address: loopback(int(addressCount.Add(1))),
		site:    standin.Site{Region: dc.Region, DataCentre: dc.Name},
		ended:   make(chan struct{}),
	}
	d.network.SetSite(i.address, i.site)
	peer, err := d.network.Open("peer:"+i.id, i.site, fmt.Sprintf("%s:%d", i.address, peerPort))
	if err != nil {
		return err
	}
	launch := d.Launch
	if launch == nil {
		launch = launchInProcess
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
	d.startedInstances = append(d.startedInstances, i)
	d.current[position] = i
	return nil
}

// addressCount counts the loopback addresses that this process has assigned.
var addressCount atomic.Int64

// octetValues is the number of values used for each octet of a loopback address.
const octetValues = 250

// loopback returns the loopback address of the n-th instance. Processes of this program
// that run at once get distinct addresses. After octetValues instances a process uses
// the addresses of earlier ones again.
func loopback(n int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid%octetValues, pid/octetValues%octetValues, 1+n%octetValues)
}

// settings returns the settings file of an instance.
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

// running returns a copy of d.current.
func (d *Demo) running() []*instance {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]*instance(nil), d.current...)
}

// probe keeps ready up to date, as a load balancer does.
func (i *instance) probe() {
	client := &http.Client{Timeout: probeInterval}
	for {
		answer, err := client.Get("http://" + i.admin() + "/readyz")
		if err == nil {
			answer.Body.Close()
		}
		i.ready.Store(err == nil && answer.StatusCode == http.StatusOK)
		select {
		case <-i.ended:
			return
		case <-time.After(probeInterval):
		}
	}
}

// awaitReady waits until the instance is ready.
func (i *instance) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for !i.ready.Load() {
		select {
		case <-i.ended:
			return fmt.Errorf("instance %s ended: %w", i.id, i.err)
		default:
		}
		if err := sleep(ctx, pollInterval); err != nil {
			return fmt.Errorf("instance %s is not ready", i.id)
		}
	}
	return nil
}

// endInstances kills all instances, since the run is over.
func (d *Demo) endInstances() {
	d.mu.Lock()
	all := append([]*instance(nil), d.startedInstances...)
	d.mu.Unlock()
	for _, i := range all {
		i.process.Kill()
	}
	for _, i := range all {
		<-i.ended
	}
}

// sleep waits for t, or returns the context's error as soon as the context ends.
func sleep(ctx context.Context, t time.Duration) error {
	timer := time.NewTimer(t)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
