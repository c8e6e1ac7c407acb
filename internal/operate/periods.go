package operate

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/oriolepond/oriolepond/internal/eventlog"
	"github.com/oriolepond/oriolepond/internal/store"
)

// PeriodPrefix is where the accounts stand in the store as they were at the ends of periods.
const PeriodPrefix = "/oriolepond/accountPeriod/"

const (
	// KeptPeriods is how many periods are kept.
	KeptPeriods = 24 * 31
	// maxSpread bounds the time over which instances spread their looks at the end of a period.
	maxSpread = 5 * time.Second
	// periodTimeout bounds the reading and writing of one period's accounts.
	periodTimeout = 10 * time.Second
)

// Periods keeps the accounts as they stood at the ends of periods. Each
// instance runs it; the first one to write a period's end is the only one.
type Periods struct {
	Store    *store.Client
	Interval time.Duration
	// Accounts returns what all shares have used up to now.
	Accounts func(ctx context.Context) ([]Account, error)
	Log      *eventlog.Log
}

// Run writes the accounts at the end of each period until the context ends.
func (p *Periods) Run(ctx context.Context) error {
	for {
		end := time.Now().Truncate(p.Interval).Add(p.Interval)
		wait := time.NewTimer(time.Until(end) + rand.N(min(maxSpread, p.Interval/4)))
		select {
		case <-ctx.Done():
			wait.Stop()
			return nil
		case <-wait.C:
		}
		if err := p.keep(ctx, end); err != nil && ctx.Err() == nil {
			p.Log.Emit(eventlog.StoreUnavailable, zap.Error(err))
		}
	}
}

func periodKey(end time.Time) string { return fmt.Sprintf("%s%020d", PeriodPrefix, end.UnixMilli()) }

// keep writes the accounts for the end of a period unless somebody has.
func (p *Periods) keep(ctx context.Context, end time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, periodTimeout)
	defer cancel()
	key := periodKey(end)
	if _, kept, err := p.Store.Read(ctx, key); kept || err != nil {
		return err
	}
	all, err := p.Accounts(ctx)
	if err != nil {
		return err
	}
	value, err := json.Marshal(encodeAccounts(all))
	if err != nil {
		return err
	}
	lease, err := p.Store.GrantLease(ctx, max(time.Second, KeptPeriods*p.Interval))
	if err != nil {
		return err
	}
	// Whether this write or that of another instance took effect is all the same.
	_, err = p.Store.Commit(ctx, store.Txn{
		If:   []store.Condition{{Key: key}},
		Then: []store.Op{store.Put(key, value).WithLease(lease)},
	})
	return err
}

// Last returns the last periods, oldest first; the last of them is still open.
func (p *Periods) Last(ctx context.Context, n int) ([]WirePeriod, error) {
	s, err := p.Store.List(ctx, PeriodPrefix)
	if err != nil {
		return nil, err
	}
	now, err := p.Accounts(ctx)
	if err != nil {
		return nil, err
	}
	var all []WirePeriod
	before := totals{}
	var begun time.Time
	for _, e := range s.Entries {
		end, rows, err := decodePeriod(e)
		if err != nil {
			return nil, err
		}
		all = append(all, WirePeriod{Start: begun, End: end, Rows: before.advance(rows)})
		begun = end
	}
	all = append(all, WirePeriod{Start: begun, End: time.Now(), Rows: before.advance(encodeAccounts(now))})
	return all[max(0, len(all)-n):], nil
}

func decodePeriod(e store.Entry) (time.Time, []WireAccount, error) {
	millis, err := strconv.ParseInt(strings.TrimPrefix(e.Key, PeriodPrefix), 10, 64)
	if err != nil {
		return time.Time{}, nil, fmt.Errorf("decode account period %s: %w", e.Key, err)
	}
	var rows []WireAccount
	if err := json.Unmarshal(e.Value, &rows); err != nil {
		return time.Time{}, nil, fmt.Errorf("decode account period %s: %w", e.Key, err)
	}
	return time.UnixMilli(millis), rows, nil
}

// totals are the highest totals seen, by neighbour and share.
type totals map[[2]string]WireAccount

// advance takes the totals at the end of a period and returns what was used in
// it. A total that fell, since a new holder has not heard from all workers
// yet, counts as unchanged until it is passed again.
func (t totals) advance(rows []WireAccount) []WireAccount {
	used := []WireAccount{}
	for _, r := range rows {
		key := [2]string{r.Neighbour, r.Share}
		old := t[key]
		next := r
		next.ProcessorSeconds = max(r.ProcessorSeconds, old.ProcessorSeconds)
		next.MemoryByteSeconds = max(r.MemoryByteSeconds, old.MemoryByteSeconds)
		next.AcceleratorSeconds = max(r.AcceleratorSeconds, old.AcceleratorSeconds)
		next.Requests = max(r.Requests, old.Requests)
		next.LinkBytes = max(r.LinkBytes, old.LinkBytes)
		t[key] = next
		r.ProcessorSeconds = next.ProcessorSeconds - old.ProcessorSeconds
		r.MemoryByteSeconds = next.MemoryByteSeconds - old.MemoryByteSeconds
		r.AcceleratorSeconds = next.AcceleratorSeconds - old.AcceleratorSeconds
		r.Requests = next.Requests - old.Requests
		r.LinkBytes = next.LinkBytes - old.LinkBytes
		used = append(used, r)
	}
	return used
}
