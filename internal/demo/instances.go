package demo

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"time"

	"github.com/oriolepond/oriolepond"
	"github.com/oriolepond/oriolepond/internal/eventlog"
	"github.com/oriolepond/oriolepond/internal/settings"
)

const (
	operatorToken = "operator-token"
	// pollEvery is how often the demonstration looks whether something has come about.
	pollEvery = 20 * time.Millisecond
	// leaseTTL is the instances' lease in the store.
	leaseTTL = 3 * time.Second
)

// instance is one entry instance of the demonstration.
type instance struct {
	id        string
	server    *oriolepond.Instance
	addresses oriolepond.Addresses
	stop      context.CancelFunc
	done      chan error
}

// startInstances starts all instances and waits until they are ready.
func (d *Demo) startInstances(ctx context.Context) error {
	for n := range instanceCount {
		i, err := d.startInstance(ctx, n, fmt.Sprintf("entry-%d", n))
		if err != nil {
			return err
		}
		d.instances = append(d.instances, i)
	}
	for _, i := range d.instances {
		if err := i.awaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (d *Demo) startInstance(ctx context.Context, n int, id string) (*instance, error) {
	dc := d.Example.DataCentres[n%len(d.Example.DataCentres)]
	sum := sha256.Sum256([]byte(operatorToken))
	s, err := settings.Parse("demo", fmt.Appendf(nil, `{
		"id": %q, "region": %q, "dataCentre": %q,
		"listen": "127.0.0.1:0", "peerListen": "127.0.0.1:0", "adminListen": "127.0.0.1:0",
		"storeUrls": [%q], "listUrl": %q, "operatorTokenHash": %q,
		"leaseTtl": %q, "listInterval": "200ms", "workerInterval": "100ms"
	}`, id, dc.Region, dc.Name, d.cluster.StoreURL, d.cluster.ListURL, hex.EncodeToString(sum[:]), leaseTTL.String()))
	if err != nil {
		return nil, err
	}
	running, stop := context.WithCancel(context.Background())
	listening := make(chan oriolepond.Addresses, 1)
	i := &instance{id: id, stop: stop, done: make(chan error, 1)}
	i.server = &oriolepond.Instance{
		Settings:  s,
		Log:       eventlog.Discard(),
		Listening: func(a oriolepond.Addresses) { listening <- a },
	}
	go func() { i.done <- i.server.Run(running) }()
	select {
	case i.addresses = <-listening:
		return i, nil
	case err := <-i.done:
		return nil, err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// awaitReady waits until the instance takes callers.
func (i *instance) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+i.addresses.Admin+"/readyz", nil)
		if err != nil {
			return err
		}
		if answer, err := http.DefaultClient.Do(r); err == nil {
			answer.Body.Close()
			if answer.StatusCode == http.StatusOK {
				return nil
			}
		}
		if err := pause(ctx, pollEvery); err != nil {
			return fmt.Errorf("instance %s is not ready", i.id)
		}
	}
}

// stopInstances makes a planned stop of every instance.
func (d *Demo) stopInstances() {
	for _, i := range d.instances {
		i.stop()
	}
	for _, i := range d.instances {
		<-i.done
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
