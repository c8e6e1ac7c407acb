package ledger

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/oriolepond/oriolepond/pkg/share"
)

type (
	wireUsage struct {
		Processor   int64 `json:"coreMillis,omitempty"`
		Memory      int64 `json:"mibSeconds,omitempty"`
		Accelerator int64 `json:"acceleratorMillis,omitempty"`
		Requests    int64 `json:"requests,omitempty"`
		LinkBytes   int64 `json:"linkBytes,omitempty"`
	}
	wireEntry struct {
		Task         string    `json:"task"`
		Incarnation  int64     `json:"incarnation"`
		Share        string    `json:"share"`
		MilliCores   int64     `json:"milliCores,omitempty"`
		Memory       int64     `json:"memory,omitempty"`
		Accelerators int64     `json:"accelerators,omitempty"`
		Seen         wireUsage `json:"seen"`
		At           int64     `json:"atUnixNano"`
	}
	wirePeriod struct {
		Start int64     `json:"startUnix"`
		Usage wireUsage `json:"usage"`
	}
	wireAccount struct {
		Share     string       `json:"share"`
		Usage     wireUsage    `json:"usage"`
		Abandoned wireUsage    `json:"abandoned"`
		Periods   []wirePeriod `json:"periods"`
	}
	wireBook struct {
		Open     []wireEntry   `json:"open"`
		Accounts []wireAccount `json:"accounts"`
	}
)

// Encode returns the book as the store keeps it.
func (b *Book) Encode() ([]byte, error) {
	w := wireBook{Open: []wireEntry{}, Accounts: []wireAccount{}}
	for i, e := range b.open {
		w.Open = append(w.Open, wireEntry{
			Task:         i.Task,
			Incarnation:  i.Number,
			Share:        e.share,
			MilliCores:   int64(e.size.Processors),
			Memory:       int64(e.size.Memory),
			Accelerators: int64(e.size.Accelerators),
			Seen:         encodeUsage(e.seen),
			At:           e.at.UnixNano(),
		})
	}
	slices.SortFunc(w.Open, func(a, b wireEntry) int {
		return cmp.Or(cmp.Compare(a.Task, b.Task), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	for name, a := range b.accounts {
		w.Accounts = append(w.Accounts, encodeAccount(name, a))
	}
	slices.SortFunc(w.Accounts, func(a, b wireAccount) int { return cmp.Compare(a.Share, b.Share) })
	return json.Marshal(w)
}

// Decode reads a book.
func Decode(text []byte) (*Book, error) {
	var w wireBook
	if err := json.Unmarshal(text, &w); err != nil {
		return nil, fmt.Errorf("decode ledger: %w", err)
	}
	b := NewBook()
	for _, e := range w.Open {
		b.open[Incarnation{Task: e.Task, Number: e.Incarnation}] = &entry{
			share: e.Share,
			size: share.Resources{
				Processors:   share.MilliCores(e.MilliCores),
				Memory:       share.Bytes(e.Memory),
				Accelerators: share.Accelerators(e.Accelerators),
			},
			seen: decodeUsage(e.Seen),
			at:   time.Unix(0, e.At).UTC(),
		}
	}
	for _, a := range w.Accounts {
		b.accounts[a.Share] = decodeAccount(a)
	}
	return b, nil
}

func encodeAccount(name string, a *account) wireAccount {
	w := wireAccount{Share: name, Usage: encodeUsage(a.usage), Abandoned: encodeUsage(a.abandoned), Periods: []wirePeriod{}}
	for _, p := range a.periods {
		w.Periods = append(w.Periods, wirePeriod{Start: p.Start.Unix(), Usage: encodeUsage(p.Usage)})
	}
	return w
}

func decodeAccount(w wireAccount) *account {
	a := &account{usage: decodeUsage(w.Usage), abandoned: decodeUsage(w.Abandoned)}
	for _, p := range w.Periods {
		a.periods = append(a.periods, PeriodUsage{Start: time.Unix(p.Start, 0).UTC(), Usage: decodeUsage(p.Usage)})
	}
	return a
}

func encodeUsage(u Usage) wireUsage {
	return wireUsage{
		Processor:   int64(u.Processor),
		Memory:      int64(u.Memory),
		Accelerator: int64(u.Accelerator),
		Requests:    u.Requests,
		LinkBytes:   int64(u.LinkBytes),
	}
}

func decodeUsage(w wireUsage) Usage {
	return Usage{
		Processor:   CoreMillis(w.Processor),
		Memory:      MiBSeconds(w.Memory),
		Accelerator: AcceleratorMillis(w.Accelerator),
		Requests:    w.Requests,
		LinkBytes:   share.Bytes(w.LinkBytes),
	}
}
