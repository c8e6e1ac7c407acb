package oriolepond

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/oriolepond/oriolepond/internal/burn"
	"github.com/oriolepond/oriolepond/internal/entry"
	"github.com/oriolepond/oriolepond/internal/meter"
	"github.com/oriolepond/oriolepond/internal/peer"
	"github.com/oriolepond/oriolepond/internal/store"
)

// buildBurn sets up the counting of callers' requests against their latency objectives (error budget burn).
func (i *Instance) buildBurn(client *store.Client) {
	i.burnRecorder = burn.NewRecorder()
	i.requests.OnSample = i.recordSample
	i.burnKeeper = &burn.Keeper{
		Recorder:   i.burnRecorder,
		Store:      client,
		ID:         i.Settings.ID + startSeparator + uuid.NewString(),
		Interval:   i.Settings.BurnInterval,
		Alive:      i.mayBeAlive,
		ShouldFold: i.mayFoldBurn,
		Log:        i.Log,
	}
}

// mayFoldBurn reports whether this instance is the one that merges the counts of
// terminated instances: the registered instance with the lowest ID.
func (i *Instance) mayFoldBurn() bool {
	for _, p := range i.members.View().Peers {
		if p.ID < i.Settings.ID {
			return false
		}
	}
	return true
}

// recordSample counts a completed request. Requests that failed through the caller's
// own mistake count neither for nor against the objective.
func (i *Instance) recordSample(s entry.Sample) {
	service, ok := i.configs.Current().Service(s.Service)
	if ok && s.Outcome == "" && s.Status != 0 {
		i.meter.Add(meter.Payer{Neighbour: s.Neighbour, Share: service.Share}, meter.Traffic{Requests: 1})
	}
	if !ok || s.Cause == entry.CauseCaller {
		return
	}
	i.burnRecorder.Record(s.At, burn.Sample{
		Service:    s.Service,
		Neighbour:  s.Neighbour,
		Objective:  service.Objective.Latency,
		Latency:    s.Latency,
		Answered:   s.Outcome == "" && s.Status != 0 && s.Status < http.StatusInternalServerError,
		Refused:    s.Outcome == entry.NotRun,
		Queued:     s.Queued,
		KnownCause: burn.Cause(s.Cause),
		Interfered: s.Slowed,
	})
}

// burnReportTimeout bounds the wait for the other instances while a report is collected.
const burnReportTimeout = 5 * time.Second

// flushBurn writes the counts of this instance to the store and returns its start ID.
func (i *Instance) flushBurn(ctx context.Context) (string, error) {
	return i.burnKeeper.ID, i.burnKeeper.Flush(ctx)
}

// burnReport returns the burn report over all entry instances. Every instance first
// writes its counts to the store, which also holds the counts of terminated instances.
// If the store cannot be read, the report covers only the instances that answer.
func (i *Instance) burnReport(ctx context.Context) (burn.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, burnReportTimeout)
	defer cancel()
	var mu sync.Mutex
	flushed := map[string]bool{}
	answered, missing := i.forEachInstance(func(o *peer.Operate) error {
		startID, err := o.StoreBurn(ctx)
		mu.Lock()
		defer mu.Unlock()
		flushed[startID] = err == nil
		return err
	})
	stored, err := burn.ReadStored(ctx, i.burnKeeper.Store, time.Now())
	if err != nil {
		return i.burnReportFromMemory(ctx)
	}
	report, err := stored.Report(i.configs.Current(), time.Now())
	if err != nil {
		return burn.Report{}, err
	}
	report.Answered, report.Missing, report.Lost = answered, missing, withInstanceIDs(stored.Lost)
	report.Open = withInstanceIDs(slices.DeleteFunc(stored.Open, func(g burn.Gap) bool { return flushed[g.Instance] }))
	return report, nil
}

// burnReportFromMemory merges the counts that the reachable instances hold in memory.
func (i *Instance) burnReportFromMemory(ctx context.Context) (burn.Report, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), burnReportTimeout)
	defer cancel()
	var mu sync.Mutex
	var snapshots []burn.Snapshot
	answered, missing := i.forEachInstance(func(o *peer.Operate) error {
		s, err := o.Burn(ctx)
		mu.Lock()
		defer mu.Unlock()
		snapshots = append(snapshots, s)
		return err
	})
	merged, err := burn.Merge(snapshots)
	if err != nil {
		return burn.Report{}, err
	}
	report, err := merged.Report(i.configs.Current(), time.Now())
	report.Answered, report.Missing, report.MemoryOnly = answered, missing, true
	return report, err
}

// forEachInstance calls the operator API of every entry instance, including this one,
// and returns the IDs of those that answered and of those that did not.
func (i *Instance) forEachInstance(call func(o *peer.Operate) error) (answered, missing []string) {
	var mu sync.Mutex
	var group sync.WaitGroup
	for _, p := range append(i.operatorPeers(), operatorPeer{id: i.Settings.ID, operate: i.localOperate()}) {
		group.Go(func() {
			err := call(p.operate)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				missing = append(missing, p.id)
				return
			}
			answered = append(answered, p.id)
		})
	}
	group.Wait()
	slices.Sort(answered)
	slices.Sort(missing)
	return answered, missing
}

// withInstanceIDs replaces the start IDs in a list of gaps by instance IDs.
func withInstanceIDs(byStart []burn.Gap) []burn.Gap {
	var gaps []burn.Gap
	for _, g := range byStart {
		g.Instance, _, _ = strings.Cut(g.Instance, startSeparator)
		gaps = append(gaps, g)
	}
	return gaps
}
