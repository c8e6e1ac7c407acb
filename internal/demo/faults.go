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

// Fault is the name of a fault that a demonstration can inject.
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

// AllFaults selects every fault except the loss of a data centre, which leaves too
// few instances for the other faults.
const AllFaults = "all"

// faultKind is a fault with the method that injects it.
type faultKind struct {
	name   Fault
	inject func(d *Demo, ctx context.Context) error
}

// faultKinds returns all faults in the order in which they are injected.
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

// ParseFaults parses a comma-separated list of faults, or AllFaults.
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
			return nil, fmt.Errorf("unknown fault %q; the faults are %v", name, all)
		}
		chosen = append(chosen, Fault(name))
	}
	return chosen, nil
}

// Faults begin between these two fractions of the load's duration.
const (
	faultsBegin = 0.1
	faultsEnd   = 0.7
)

// injectFaults starts the chosen faults one after the other, evenly spaced.
func (d *Demo) injectFaults(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	start := time.Now()
	var chosen []faultKind
	for _, k := range faultKinds() {
		for _, f := range d.Faults {
			if f == k.name {
				chosen = append(chosen, k)
			}
		}
	}
	for n, k := range chosen {
		fraction := faultsBegin + (faultsEnd-faultsBegin)*float64(n)/float64(len(chosen))
		at := start.Add(time.Duration(fraction * float64(d.Length)))
		if sleep(ctx, time.Until(at)) != nil {
			return
		}
		d.printf("fault: %s\n", k.name)
		group.Go(func() {
			if err := k.inject(d, context.WithoutCancel(ctx)); err != nil {
				d.counts.recordFailure(fmt.Errorf("fault %s: %w", k.name, err))
			}
		})
	}
}

const (
	// removalDelay is the time until the platform notices that an instance was terminated.
	removalDelay = time.Second
	// misbehaviourTime is how long a runner, a worker or the network is faulty.
	misbehaviourTime = 1500 * time.Millisecond
	// outageTime is how long the store or an instance is unreachable; longer than the instances' leases.
	outageTime = leaseTTL + 2*time.Second
)

// Indices of the runners that faults affect.
const (
	crashedRunner = iota
	leavingRunner
	lateRunner
	crossedRunner
)

// targetCrash kills a runner, and removes it from the instance list after removalDelay.
func (d *Demo) targetCrash(ctx context.Context) error {
	id, _ := d.cluster.Runner(crashedRunner)
	d.cluster.Kill(id)
	if err := sleep(ctx, removalDelay); err != nil {
		return err
	}
	d.cluster.Platform.Remove(id)
	return nil
}

// targetLeave makes a runner leave, so that it should get no new work.
func (d *Demo) targetLeave(ctx context.Context) error {
	id, r := d.cluster.Runner(leavingRunner)
	d.cluster.Platform.SetState(id, roster.Leaving)
	r.SetLeaving()
	return nil
}

// lateAnswers makes a runner respond only after the callers' deadlines.
func (d *Demo) lateAnswers(ctx context.Context) error {
	return d.runnerFault(ctx, lateRunner, standin.RunnerFault{Delay: 3 * time.Second})
}

// crossedAnswers makes a runner respond with the answers to other requests.
func (d *Demo) crossedAnswers(ctx context.Context) error {
	return d.runnerFault(ctx, crossedRunner, standin.RunnerFault{Crossed: true})
}

// runnerFault injects a fault into the n-th runner for misbehaviourTime.
func (d *Demo) runnerFault(ctx context.Context, n int, f standin.RunnerFault) error {
	_, r := d.cluster.Runner(n)
	r.SetFault(&f)
	defer r.SetFault(nil)
	return sleep(ctx, misbehaviourTime)
}

// silentConnections drops all further data on the open connections to targets, the store and peers.
func (d *Demo) silentConnections(context.Context) error {
	n := d.network.BlackholeOpen(func(endpoint string) bool {
		return strings.HasPrefix(endpoint, "runner-") || strings.HasPrefix(endpoint, "peer:") || endpoint == "store"
	})
	d.printf("  %d connections were blackholed\n", n)
	return nil
}

// storeOutage takes the store down for longer than the instances' leases.
func (d *Demo) storeOutage(ctx context.Context) error {
	d.cluster.Store.SetDown(true)
	defer d.cluster.Store.SetDown(false)
	return sleep(ctx, outageTime)
}

// storeDelay is the added latency of a slow store.
const storeDelay = 800 * time.Millisecond

// storeSlow delays every call to the store by storeDelay.
func (d *Demo) storeSlow(ctx context.Context) error {
	d.cluster.Store.SetDelay(storeDelay)
	defer d.cluster.Store.SetDelay(0)
	return sleep(ctx, outageTime)
}

// lostAnswerRatio is the fraction of the store's responses that are lost.
const lostAnswerRatio = 0.3

// storeLostAnswers makes some calls to the store take effect without a response.
func (d *Demo) storeLostAnswers(ctx context.Context) error {
	d.cluster.Store.SetLostAnswers(lostAnswerRatio, d.Seed)
	defer d.cluster.Store.SetLostAnswers(0, 0)
	return sleep(ctx, 2*misbehaviourTime)
}

// regionSplit separates the regions for longer than the instances' leases.
func (d *Demo) regionSplit(ctx context.Context) error {
	firstRegion := d.Example.DataCentres[0].Region
	for _, i := range d.running() {
		if i.site.Region != firstRegion {
			i.setCutOff(true)
			defer i.setCutOff(false)
		}
	}
	d.network.SetPartitioned(true)
	defer d.network.SetPartitioned(false)
	return sleep(ctx, outageTime)
}
