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

// buildBurn counts the callers' requests against their objectives.
func (i *Instance) buildBurn(client *store.Client) {
	i.burned = burn.NewRecorder()
	i.requests.OnSample = i.count
	i.burns = &burn.Keeper{
		Recorder:   i.burned,
		Store:      client,
		ID:         i.Settings.ID + startMark + uuid.NewString(),
		Interval:   i.Settings.BurnInterval,
		Alive:      i.mayCount,
		ShouldFold: i.foldsBurn,
		Log:        i.Log,
	}
}

// foldsBurn reports whether this instance is the first of the registered ones.
func (i *Instance) foldsBurn() bool {
	for _, p := range i.members.View().Peers {
		if p.ID < i.Settings.ID {
			return false
		}
	}
	return true
}

// count counts the end of one caller's request; a caller's own mistake does not count.
func (i *Instance) count(s entry.Sample) {
	service, ok := i.configs.Current().Service(s.Service)
	if ok && s.Outcome == "" && s.Status != 0 {
		i.meter.Add(meter.Payer{Neighbour: s.Neighbour, Share: service.Share}, meter.Traffic{Requests: 1})
	}
	if !ok || s.Cause == entry.CauseCaller {
		return
	}
	i.burned.Record(s.At, burn.Sample{
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

// burnTimeout bounds the time in which peers tell what they counted.
const burnTimeout = 5 * time.Second

// storeBurn writes what this instance counted to the store.
func (i *Instance) storeBurn(ctx context.Context) (string, error) {
	return i.burns.ID, i.burns.Flush(ctx)
}

// burn reports what all entry instances counted. They write it to the store,
// which keeps the counts of those that have ended, too.
func (i *Instance) burn(ctx context.Context) (burn.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, burnTimeout)
	defer cancel()
	var mu sync.Mutex
	written := map[string]bool{}
	answered, missing := i.eachEntry(func(o *peer.Operate) error {
		start, err := o.StoreBurn(ctx)
		mu.Lock()
		defer mu.Unlock()
		written[start] = err == nil
		return err
	})
	stored, err := burn.ReadStored(ctx, i.burns.Store, time.Now())
	if err != nil {
		return i.burnInMemory(ctx)
	}
	report, err := stored.Report(i.configs.Current(), time.Now())
	if err != nil {
		return burn.Report{}, err
	}
	report.Answered, report.Missing, report.Lost = answered, missing, instancesOf(stored.Lost)
	report.Open = instancesOf(slices.DeleteFunc(stored.Open, func(g burn.Gap) bool { return written[g.Instance] }))
	return report, nil
}

// burnInMemory reports what the instances that answer hold in memory.
func (i *Instance) burnInMemory(ctx context.Context) (burn.Report, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), burnTimeout)
	defer cancel()
	var mu sync.Mutex
	var snapshots []burn.Snapshot
	answered, missing := i.eachEntry(func(o *peer.Operate) error {
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

// eachEntry calls the operators' plane of every entry instance, this one
// included, and returns who answered and who did not.
func (i *Instance) eachEntry(call func(o *peer.Operate) error) (answered, missing []string) {
	var mu sync.Mutex
	var group sync.WaitGroup
	for _, p := range append(i.entryPeers(), entryPeer{id: i.Settings.ID, operate: i.localOperate()}) {
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

// instancesOf names instances in place of their starts.
func instancesOf(starts []burn.Gap) []burn.Gap {
	var gaps []burn.Gap
	for _, g := range starts {
		g.Instance, _, _ = strings.Cut(g.Instance, startMark)
		gaps = append(gaps, g)
	}
	return gaps
}
