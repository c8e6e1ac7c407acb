package oriolepond

import (
	"context"
	"strings"

	"github.com/google/uuid"

	"github.com/oriolepond/oriolepond/internal/meter"
	"github.com/oriolepond/oriolepond/internal/operate"
	"github.com/oriolepond/oriolepond/internal/store"
)

// buildMeter counts the requests and the link bytes of neighbours.
func (i *Instance) buildMeter(client *store.Client) {
	i.meter = meter.New()
	i.meters = &meter.Keeper{
		Meter:    i.meter,
		Store:    client,
		ID:       i.Settings.ID + startMark + uuid.NewString(),
		Interval: i.Settings.AccountInterval,
		Alive:    i.mayCount,
		Log:      i.Log,
	}
	i.periods = &operate.Periods{
		Store:    client,
		Interval: i.Settings.AccountPeriod,
		Accounts: i.accounts,
		Log:      i.Log,
	}
	i.requests.OnLinkBytes = func(neighbour, share string, bytes int64) {
		i.meter.Add(meter.Payer{Neighbour: neighbour, Share: share}, meter.Traffic{LinkBytes: bytes})
	}
}

// startMark stands between an instance's id and what tells its starts apart.
const startMark = "~"

// mayCount reports whether a start of an instance is registered, or cannot be
// told to be gone. An earlier start of this instance is gone.
func (i *Instance) mayCount(start string) bool {
	id, _, _ := strings.Cut(start, startMark)
	if id == i.Settings.ID {
		return false
	}
	v := i.members.View()
	if !v.Joined() {
		return true
	}
	_, registered := v.Peer(id)
	return registered
}

// accounts returns what all shares have used: the tasks by the shards, and the
// requests and link bytes by the meters.
func (i *Instance) accounts(ctx context.Context) ([]operate.Account, error) {
	tasks, err := i.jobs.Accounts(ctx)
	if err != nil {
		return nil, err
	}
	if err := i.meters.Flush(ctx); err != nil {
		return nil, err
	}
	counts, err := i.meters.Totals(ctx)
	if err != nil {
		return nil, err
	}
	return operate.JoinAccounts(tasks, counts), nil
}
