package oriolepond

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/oriolepond/oriolepond/internal/entry"
	"github.com/oriolepond/oriolepond/internal/eventlog"
	"github.com/oriolepond/oriolepond/internal/roster"
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
			i.takeList(list)
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
	return !i.stop.leaving.Load() && i.list.Load() != nil && i.members.View().Joined()
}
