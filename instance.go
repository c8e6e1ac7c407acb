package oriolepond

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/oriolepond/oriolepond/internal/entry"
	"github.com/oriolepond/oriolepond/internal/eventlog"
	"github.com/oriolepond/oriolepond/internal/roster"
	"github.com/oriolepond/oriolepond/internal/target"
)

// followList reads the platform's list until the context ends.
func (i *Instance) followList(ctx context.Context) error {
	client := roster.NewClient(i.Settings.ListURL, i.httpClient(idleListConns))
	ticker := time.NewTicker(i.Settings.ListInterval)
	defer ticker.Stop()
	for {
		list, err := client.Read(ctx)
		switch {
		case err == nil:
			i.list.Store(&list)
			i.retarget()
		case ctx.Err() == nil:
			i.Log.Emit(eventlog.ListUnavailable, zap.Error(err))
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (i *Instance) currentList() roster.List {
	if l := i.list.Load(); l != nil {
		return *l
	}
	return roster.List{}
}

// retarget brings the targets in step with the list and the grant table.
func (i *Instance) retarget() {
	table := i.members.View().Table
	var targets []target.Target
	for _, r := range i.currentList().OfKind(roster.KindRunner) {
		targets = append(targets, target.Target{
			ID:      r.ID,
			Service: r.Service,
			Address: r.Address,
			Region:  r.Region, DataCentre: r.DataCentre,
			Slots:       table.Slots(i.Settings.ID, r.ID, r.Region, r.Slots),
			Connections: table.Slots(i.Settings.ID, r.ID, r.Region, r.Connections),
			Leaving:     r.State != roster.Live,
		})
	}
	i.targets.Set(targets)
	i.requests.WakeAll()
}

func (i *Instance) front() http.Handler {
	tasks := i.jobs
	return &entry.Front{
		Config:     i.configs.Current,
		Dispatcher: i.requests,
		Jobs:       &entry.Jobs{Submit: tasks.Submit, Describe: tasks.Describe, Cancel: tasks.Cancel},
		Leaving:    i.stop.leaving.Load,
		Draining:   i.stop.draining.Load,
		Log:        i.Log,
	}
}

// ready reports whether callers may be sent here.
func (i *Instance) ready() bool {
	return !i.stop.leaving.Load() && i.list.Load() != nil && i.members.View().Table.Has(i.Settings.ID)
}
