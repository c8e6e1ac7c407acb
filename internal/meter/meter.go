// Package meter counts the requests and the link bytes of neighbours, and
// keeps the counts in the store through the ends of instances.
//
// Each instance writes its own cumulative counts to a key of its own, at most
// once an interval. The counts of an instance that is gone are folded into one
// total, in a commit that removes its key, so that each is counted once.
//
// # Usage
//
//	m := meter.New()
//	m.Add(meter.Payer{Neighbour: "floor", Share: "finishing"}, meter.Traffic{Requests: 1})
//	k := &meter.Keeper{Meter: m, Store: client, ID: "entry-1", Interval: time.Minute}
//	go k.Run(ctx)
//	counts, err := k.Totals(ctx)
package meter

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sync"
)

// Payer is who a use is counted for. A use without a share belongs to the neighbour as a whole.
type Payer struct {
	Neighbour string
	Share     string
}

// Traffic is what was used.
type Traffic struct {
	Requests  int64
	LinkBytes int64
}

// Plus returns the sum of u and o.
func (u Traffic) Plus(o Traffic) Traffic {
	return Traffic{Requests: u.Requests + o.Requests, LinkBytes: u.LinkBytes + o.LinkBytes}
}

// Minus returns u less o.
func (u Traffic) Minus(o Traffic) Traffic {
	return Traffic{Requests: u.Requests - o.Requests, LinkBytes: u.LinkBytes - o.LinkBytes}
}

// Counts are uses by payer.
type Counts map[Payer]Traffic

// Plus returns the sum of c and o.
func (c Counts) Plus(o Counts) Counts {
	sum := maps.Clone(c)
	if sum == nil {
		sum = Counts{}
	}
	for p, u := range o {
		sum[p] = sum[p].Plus(u)
	}
	return sum
}

// Minus returns c less o, without the payers that used nothing more.
func (c Counts) Minus(o Counts) Counts {
	rest := Counts{}
	for p, u := range c {
		if left := u.Minus(o[p]); left != (Traffic{}) {
			rest[p] = left
		}
	}
	return rest
}

// Meter counts uses since the start of an instance. It is safe for concurrent use.
type Meter struct {
	mu     sync.Mutex
	counts Counts
}

// New returns a meter that has counted nothing.
func New() *Meter { return &Meter{counts: Counts{}} }

// Add counts a use.
func (m *Meter) Add(p Payer, u Traffic) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts[p] = m.counts[p].Plus(u)
}

// Counts returns what was counted so far.
func (m *Meter) Counts() Counts {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.counts)
}

type wireRow struct {
	Neighbour string `json:"neighbour"`
	Share     string `json:"share,omitempty"`
	Requests  int64  `json:"requests,omitempty"`
	LinkBytes int64  `json:"linkBytes,omitempty"`
}

// Encode returns the counts as the store keeps them.
func Encode(c Counts) ([]byte, error) {
	rows := []wireRow{}
	for p, u := range c {
		rows = append(rows, wireRow{Neighbour: p.Neighbour, Share: p.Share, Requests: u.Requests, LinkBytes: u.LinkBytes})
	}
	slices.SortFunc(rows, compareRows)
	return json.Marshal(rows)
}

func compareRows(a, b wireRow) int {
	if a.Neighbour != b.Neighbour {
		if a.Neighbour < b.Neighbour {
			return -1
		}
		return 1
	}
	if a.Share < b.Share {
		return -1
	}
	return 1
}

// Decode reads counts.
func Decode(text []byte) (Counts, error) {
	var rows []wireRow
	if err := json.Unmarshal(text, &rows); err != nil {
		return nil, fmt.Errorf("decode counts of use: %w", err)
	}
	c := Counts{}
	for _, r := range rows {
		p := Payer{Neighbour: r.Neighbour, Share: r.Share}
		c[p] = c[p].Plus(Traffic{Requests: r.Requests, LinkBytes: r.LinkBytes})
	}
	return c, nil
}
