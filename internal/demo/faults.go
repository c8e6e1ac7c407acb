package demo

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/oriolepond/oriolepond/internal/roster"
	"github.com/oriolepond/oriolepond/internal/standin"
)

// Fault is a fault that a demonstration can inject.
type Fault string

// The faults.
const (
	TargetCrash       Fault = "targetCrash"
	TargetLeave       Fault = "targetLeave"
	EntryStop         Fault = "entryStop"
	EntryCrash        Fault = "entryCrash"
	SilentConnections Fault = "silentConnections"
	LateAnswers       Fault = "lateAnswers"
	CrossedAnswers    Fault = "crossedAnswers"
	StoreOutage       Fault = "storeOutage"
	StoreSlow         Fault = "storeSlow"
	StoreLostAnswers  Fault = "storeLostAnswers"
	WorkerCrash       Fault = "workerCrash"
	BadWorker         Fault = "badWorker"
	LeasePause        Fault = "leasePause"
	NoisyWave         Fault = "noisyWave"
	CancelWave        Fault = "cancelWave"
	OperatorRace      Fault = "operatorRace"
	RegionSplit       Fault = "regionSplit"
	DataCentreLoss    Fault = "dataCentreLoss"
)

// AllFaults is the name that stands for every fault but the loss of a data
// centre, which leaves too little for the others.
const AllFaults = "all"

// faultKind is a fault with what injects it.
type faultKind struct {
	name   Fault
	inject func(d *Demo, ctx context.Context) error
}

// faultKinds are all faults, in the order of their injection.
func faultKinds() []faultKind {
	return []faultKind{
		{TargetCrash, (*Demo).targetCrash},
		{TargetLeave, (*Demo).targetLeave},
		{EntryStop, (*Demo).entryStop},
		{EntryCrash, (*Demo).entryCrash},
		{SilentConnections, (*Demo).silentConnections},
		{LateAnswers, (*Demo).lateAnswers},
		{CrossedAnswers, (*Demo).crossedAnswers},
		{StoreOutage, (*Demo).storeOutage},
		{StoreSlow, (*Demo).storeSlow},
		{StoreLostAnswers, (*Demo).storeLostAnswers},
		{WorkerCrash, (*Demo).workerCrash},
		{BadWorker, (*Demo).badWorker},
		{LeasePause, (*Demo).leasePause},
		{NoisyWave, (*Demo).noisyWave},
		{CancelWave, (*Demo).cancelWave},
		{OperatorRace, (*Demo).operatorRace},
		{RegionSplit, (*Demo).regionSplit},
		{DataCentreLoss, (*Demo).dataCentreLoss},
	}
}

// ParseFaults reads names separated by commas, or the name of all.
func ParseFaults(names string) ([]Fault, error) {
	if names == "" {
		return nil, nil
	}
	known := map[string]bool{}
	var all []Fault
	for _, k := range faultKinds() {
		known[string(k.name)] = true
		if k.name != DataCentreLoss {
			all = append(all, k.name)
		}
	}
	if names == AllFaults {
		return all, nil
	}
	var chosen []Fault
	for name := range strings.SplitSeq(names, ",") {
		name = strings.TrimSpace(name)
		if !known[name] {
			return nil, fmt.Errorf("no fault %q; there are %v", name, all)
		}
		chosen = append(chosen, Fault(name))
	}
	return chosen, nil
}

// The part of the load's length in which faults begin.
const (
	faultsFrom = 0.1
	faultsTo   = 0.7
)

// injectFaults begins the chosen faults one after the other, evenly spaced.
func (d *Demo) injectFaults(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	begun := time.Now()
	var chosen []faultKind
	for _, k := range faultKinds() {
		for _, f := range d.Faults {
			if f == k.name {
				chosen = append(chosen, k)
			}
		}
	}
	for n, k := range chosen {
		part := faultsFrom + (faultsTo-faultsFrom)*float64(n)/float64(len(chosen))
		at := begun.Add(time.Duration(part * float64(d.Length)))
		if pause(ctx, time.Until(at)) != nil {
			return
		}
		fmt.Fprintf(d.Out, "fault: %s\n", k.name)
		group.Go(func() {
			if err := k.inject(d, context.WithoutCancel(ctx)); err != nil {
				d.counts.fail(fmt.Errorf("fault %s: %w", k.name, err))
			}
		})
	}
}

const (
	// listChange is how long the platform takes to note that an instance is gone.
	listChange = time.Second
	// misbehaviour is how long a runner, a worker or the network misbehaves.
	misbehaviour = 1500 * time.Millisecond
	// outage is how long the store is down, longer than the instances' lease.
	outage = leaseTTL + 2*time.Second
)

// The runners that are hit, by number.
const (
	crashedRunner = iota
	leavingRunner
	lateRunner
	crossedRunner
)

// targetCrash kills a runner and lists its end later.
func (d *Demo) targetCrash(ctx context.Context) error {
	id, _ := d.cluster.Runner(crashedRunner)
	d.cluster.Kill(id)
	if err := pause(ctx, listChange); err != nil {
		return err
	}
	d.cluster.Platform.Remove(id)
	return nil
}

// targetLeave makes a runner leave: it wants no new work from now on.
func (d *Demo) targetLeave(ctx context.Context) error {
	id, r := d.cluster.Runner(leavingRunner)
	d.cluster.Platform.SetState(id, roster.Leaving)
	r.SetLeaving()
	return nil
}

// lateAnswers makes a runner answer after its callers' deadlines.
func (d *Demo) lateAnswers(ctx context.Context) error {
	return d.runnerFault(ctx, lateRunner, standin.RunnerFault{Delay: 3 * time.Second})
}

// crossedAnswers makes a runner answer with other requests' answers.
func (d *Demo) crossedAnswers(ctx context.Context) error {
	return d.runnerFault(ctx, crossedRunner, standin.RunnerFault{Crossed: true})
}

func (d *Demo) runnerFault(ctx context.Context, n int, f standin.RunnerFault) error {
	_, r := d.cluster.Runner(n)
	r.SetFault(&f)
	defer r.SetFault(nil)
	return pause(ctx, misbehaviour)
}

// silentConnections makes all open connections to targets, store and peers go silent for good.
func (d *Demo) silentConnections(context.Context) error {
	n := d.network.BlackholeOpen(func(endpoint string) bool {
		return strings.HasPrefix(endpoint, "runner-") || strings.HasPrefix(endpoint, "peer:") || endpoint == "store"
	})
	fmt.Fprintf(d.Out, "  %d connections went silent\n", n)
	return nil
}

// storeOutage takes the store down for longer than the instances' lease.
func (d *Demo) storeOutage(ctx context.Context) error {
	d.cluster.Store.SetDown(true)
	defer d.cluster.Store.SetDown(false)
	return pause(ctx, outage)
}

// storeDelay is how long a call to a slow store waits.
const storeDelay = 800 * time.Millisecond

// storeSlow makes each call to the store take long.
func (d *Demo) storeSlow(ctx context.Context) error {
	d.cluster.Store.SetDelay(storeDelay)
	defer d.cluster.Store.SetDelay(0)
	return pause(ctx, outage)
}

// lostAnswers is the part of the store's answers that get lost.
const lostAnswers = 0.3

// storeLostAnswers makes calls to the store take effect without an answer.
func (d *Demo) storeLostAnswers(ctx context.Context) error {
	d.cluster.Store.SetLostAnswers(lostAnswers, d.Seed)
	defer d.cluster.Store.SetLostAnswers(0, 0)
	return pause(ctx, 2*misbehaviour)
}

// regionSplit parts the regions for longer than the instances' lease.
func (d *Demo) regionSplit(ctx context.Context) error {
	home := d.Example.DataCentres[0].Region
	for _, i := range d.running() {
		if i.site.Region != home {
			i.setCutOff(true)
			defer i.setCutOff(false)
		}
	}
	d.network.SetSplit(true)
	defer d.network.SetSplit(false)
	return pause(ctx, outage)
}
