package ledger

import (
	"cmp"
	"slices"
	"time"

	"github.com/oriolepond/oriolepond/pkg/share"
)

const (
	// Period is the length of one period of the accounts.
	Period = time.Hour
	// keptPeriods is how many periods are kept apart; older usage is only in the total.
	keptPeriods = 24
)

// Incarnation names one run of a task.
type Incarnation struct {
	Task   string
	Number int64
}

// PeriodUsage is the usage that was measured in one period.
type PeriodUsage struct {
	Start time.Time
	Usage Usage
}

// Account is what one share has used.
type Account struct {
	Share string
	// Usage is everything that was counted.
	Usage Usage
	// Periods are the last periods with any usage, oldest first.
	Periods []PeriodUsage
	// Open is the number of incarnations whose final reading is not in.
	Open int
	// OpenSince is the oldest last reading of these; zero if none is open.
	OpenSince time.Time
	// OpenAtMost bounds what they have used since their last readings.
	OpenAtMost Usage
	// Abandoned bounds what incarnations used that were closed without a final reading.
	Abandoned Usage
}

// Book holds the accounts of one part of the pool. It is not safe for concurrent use.
type Book struct {
	open     map[Incarnation]*entry
	accounts map[string]*account
}

// entry is one open incarnation.
type entry struct {
	share string
	size  share.Resources
	// seen is the highest reading, and at when it was measured.
	seen Usage
	at   time.Time
}

// account is what was counted for one share.
type account struct {
	usage     Usage
	abandoned Usage
	periods   []PeriodUsage
}

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{open: map[Incarnation]*entry{}, accounts: map[string]*account{}}
}

// Open begins an incarnation of a task of a share. It is called once for each
// incarnation, no later than its start; a repeat while it is open changes
// nothing.
func (b *Book) Open(i Incarnation, name string, size share.Resources, at time.Time) {
	if _, ok := b.open[i]; !ok {
		b.open[i] = &entry{share: name, size: size, at: at}
	}
}

// Record takes a cumulative reading and reports whether the incarnation is open.
func (b *Book) Record(i Incarnation, cumulative Usage, at time.Time) bool {
	e, ok := b.open[i]
	if !ok {
		return false
	}
	grown := e.seen.Max(cumulative)
	b.account(e.share).add(grown.Minus(e.seen), at)
	e.seen = grown
	if at.After(e.at) {
		e.at = at
	}
	return true
}

// Close ends an incarnation whose final reading was recorded.
func (b *Book) Close(i Incarnation) {
	delete(b.open, i)
}

// Abandon ends an incarnation whose worker is gone for good: what it may have
// used since its last reading, until it surely ran no more, is stated as never
// reported.
func (b *Book) Abandon(i Incarnation, ended time.Time) {
	e, ok := b.open[i]
	if !ok {
		return
	}
	a := b.account(e.share)
	a.abandoned = a.abandoned.Plus(held(e.size, ended.Sub(e.at)))
	delete(b.open, i)
}

// IsOpen reports whether an incarnation is open.
func (b *Book) IsOpen(i Incarnation) bool {
	_, ok := b.open[i]
	return ok
}

// Accounts returns the accounts of all shares as of a time, in the order of
// their names.
func (b *Book) Accounts(now time.Time) []Account {
	var all []Account
	byShare := map[string]int{}
	for name, a := range b.accounts {
		all = append(all, Account{Share: name, Usage: a.usage, Periods: slices.Clone(a.periods), Abandoned: a.abandoned})
	}
	slices.SortFunc(all, func(a, b Account) int { return cmp.Compare(a.Share, b.Share) })
	for i, a := range all {
		byShare[a.Share] = i
	}
	for _, e := range b.open {
		i, ok := byShare[e.share]
		if !ok {
			i = len(all)
			byShare[e.share] = i
			all = append(all, Account{Share: e.share})
		}
		all[i].addOpen(e, now)
	}
	slices.SortFunc(all, func(a, b Account) int { return cmp.Compare(a.Share, b.Share) })
	return all
}

func (a *Account) addOpen(e *entry, now time.Time) {
	a.Open++
	if a.OpenSince.IsZero() || e.at.Before(a.OpenSince) {
		a.OpenSince = e.at
	}
	a.OpenAtMost = a.OpenAtMost.Plus(held(e.size, now.Sub(e.at)))
}

func (b *Book) account(name string) *account {
	a, ok := b.accounts[name]
	if !ok {
		a = &account{}
		b.accounts[name] = a
	}
	return a
}

// add counts usage in the period in which it was measured.
func (a *account) add(u Usage, at time.Time) {
	if u == (Usage{}) {
		return
	}
	a.usage = a.usage.Plus(u)
	start := at.UTC().Truncate(Period)
	i, found := slices.BinarySearchFunc(a.periods, start, func(p PeriodUsage, t time.Time) int {
		return p.Start.Compare(t)
	})
	if !found {
		a.periods = slices.Insert(a.periods, i, PeriodUsage{Start: start})
	}
	a.periods[i].Usage = a.periods[i].Usage.Plus(u)
	if extra := len(a.periods) - keptPeriods; extra > 0 {
		a.periods = slices.Delete(a.periods, 0, extra)
	}
}
