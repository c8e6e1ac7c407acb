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

// PeriodPrefix is the prefix of the store keys that hold the accounts at the end of each period.
const PeriodPrefix = "/oriolepond/accountPeriod/"

const (
	// KeptPeriods is the number of periods that are kept.
	KeptPeriods = 24 * 31
	// maxJitter limits the random delay after the end of a period. The delay spreads
	// the reads and writes of the instances over time.
	maxJitter = 5 * time.Second
	// periodTimeout is the timeout for reading and writing the accounts of one period.
	periodTimeout = 10 * time.Second
)

// Periods stores the accounts at the end of each period. Every instance runs it;
// for each period only the first write takes effect.
type Periods struct {
	Store *store.Client
	// Interval is the length of a period.
	Interval time.Duration
	// Accounts returns the usage of all shares up to now.
	Accounts func(ctx context.Context) ([]Account, error)
	Log      *eventlog.Log
}

// Run writes the accounts at the end of each period until the context ends.
func (p *Periods) Run(ctx context.Context) error {
	for {
		end := time.Now().Truncate(p.Interval).Add(p.Interval)
		wait := time.NewTimer(time.Until(end) + rand.N(min(maxJitter, p.Interval/4)))
		select {
		case <-ctx.Done():
			wait.Stop()
			return nil
		case <-wait.C:
		}
		if err := p.writePeriod(ctx, end); err != nil && ctx.Err() == nil {
			p.Log.Emit(eventlog.StoreUnavailable, zap.Error(err))
		}
	}
}

func periodKey(end time.Time) string { return fmt.Sprintf("%s%020d", PeriodPrefix, end.UnixMilli()) }

// writePeriod stores the accounts at the end of a period, unless that was done already.
func (p *Periods) writePeriod(ctx context.Context, end time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, periodTimeout)
	defer cancel()
	key := periodKey(end)
	if _, exists, err := p.Store.Read(ctx, key); exists || err != nil {
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
	// If another instance wrote the period first, its accounts stay; they are equally valid.
	_, err = p.Store.Commit(ctx, store.Txn{
		If:   []store.Condition{{Key: key}},
		Then: []store.Op{store.Put(key, value).WithLease(lease)},
	})
	return err
}

// Last returns the usage in each of the last n periods, oldest first. The last
// one is the current period, up to now.
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
	highest := totals{}
	var start time.Time
	for _, e := range s.Entries {
		end, rows, err := decodePeriod(e)
		if err != nil {
			return nil, err
		}
		all = append(all, WirePeriod{Start: start, End: end, Rows: highest.recordPeriod(rows)})
		start = end
	}
	all = append(all, WirePeriod{Start: start, End: time.Now(), Rows: highest.recordPeriod(encodeAccounts(now))})
	return all[max(0, len(all)-n):], nil
}

// decodePeriod returns the end of a stored period and the accounts at that time.
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

// totals holds the highest usage recorded so far, by neighbour and share.
type totals map[[2]string]WireAccount

// recordPeriod records the total usage at the end of a period and returns the usage
// within the period. A total may be lower than before, because a new leader has
// not received reports from all workers yet; it counts as unchanged until it
// exceeds the previous highest.
func (t totals) recordPeriod(rows []WireAccount) []WireAccount {
	usage := []WireAccount{}
	for _, r := range rows {
		key := [2]string{r.Neighbour, r.Share}
		previous := t[key]
		highest := r
		highest.ProcessorSeconds = max(r.ProcessorSeconds, previous.ProcessorSeconds)
		highest.MemoryByteSeconds = max(r.MemoryByteSeconds, previous.MemoryByteSeconds)
		highest.AcceleratorSeconds = max(r.AcceleratorSeconds, previous.AcceleratorSeconds)
		highest.Requests = max(r.Requests, previous.Requests)
		highest.LinkBytes = max(r.LinkBytes, previous.LinkBytes)
		t[key] = highest
		r.ProcessorSeconds = highest.ProcessorSeconds - previous.ProcessorSeconds
		r.MemoryByteSeconds = highest.MemoryByteSeconds - previous.MemoryByteSeconds
		r.AcceleratorSeconds = highest.AcceleratorSeconds - previous.AcceleratorSeconds
		r.Requests = highest.Requests - previous.Requests
		r.LinkBytes = highest.LinkBytes - previous.LinkBytes
		usage = append(usage, r)
	}
	return usage
}
