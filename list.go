package oriolepond

import (
	"context"
	"time"

	"go.uber.org/zap"

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
