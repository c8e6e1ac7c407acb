package oriolepond

import (
	"context"
	"strings"

	"github.com/google/uuid"

	"github.com/oriolepond/oriolepond/internal/meter"
	"github.com/oriolepond/oriolepond/internal/operate"
	"github.com/oriolepond/oriolepond/internal/store"
)

// buildMeter sets up the counting of requests and link bytes by neighbour and share,
// and the loop that writes the account of each period to the store.
func (i *Instance) buildMeter(client *store.Client) {
	i.meter = meter.New()
	i.meterKeeper = &meter.Keeper{
		Meter:    i.meter,
		Store:    client,
		ID:       i.Settings.ID + startSeparator + uuid.NewString(),
		Interval: i.Settings.AccountInterval,
		Alive:    i.mayBeAlive,
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

// startSeparator separates the instance ID from a UUID that distinguishes each start of the instance.
const startSeparator = "~"

// mayBeAlive reports whether the instance with the given start ID may still write its
// counts. It returns false for an earlier start of this instance, and true for any
// other start while this instance has not joined the membership. Otherwise it reports
// whether an instance with the same ID is registered.
func (i *Instance) mayBeAlive(startID string) bool {
	id, _, _ := strings.Cut(startID, startSeparator)
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

// accounts returns the total usage of every share. The shards report task usage; the
// meters report requests and link bytes.
func (i *Instance) accounts(ctx context.Context) ([]operate.Account, error) {
	tasks, err := i.jobs.Accounts(ctx)
	if err != nil {
		return nil, err
	}
	if err := i.meterKeeper.Flush(ctx); err != nil {
		return nil, err
	}
	counts, err := i.meterKeeper.Totals(ctx)
	if err != nil {
		return nil, err
	}
	return operate.JoinAccounts(tasks, counts), nil
}
