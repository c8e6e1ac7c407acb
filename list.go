package oriolepond

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/oriolepond/oriolepond/internal/eventlog"
	"github.com/oriolepond/oriolepond/internal/roster"
)

// pollList reads the platform's instance list every ListInterval until the context ends.
func (i *Instance) pollList(ctx context.Context) error {
	client := roster.NewClient(i.Settings.ListURL, i.httpClient(idleListConns))
	ticker := time.NewTicker(i.Settings.ListInterval)
	defer ticker.Stop()
	for {
		list, err := client.Read(ctx)
		switch {
		case err == nil:
			i.applyList(list)
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

// currentList returns the last list that was read, or an empty one.
func (i *Instance) currentList() roster.List {
	if l := i.instanceList.Load(); l != nil {
		return *l
	}
	return roster.List{}
}
