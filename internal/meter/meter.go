// Package meter counts the requests of neighbours and their link bytes, the bytes
// that their requests move over the link between regions. The counts are kept in
// the store, so that they survive the instances.
//
// Each instance writes its cumulative counts to a key of its own, at most once
// an interval (Keeper). When an instance has terminated, another one folds its
// counts: one transaction adds them to a common total and deletes the key, so that
// each request is counted exactly once.
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

// Payer is the neighbour and share that usage is charged to. If Share is empty,
// the neighbour as a whole is charged.
type Payer struct {
	Neighbour string
	Share     string
}

// Traffic is a number of requests and link bytes.
type Traffic struct {
	Requests  int64
	LinkBytes int64
}

// Plus returns the sum of u and o.
func (u Traffic) Plus(o Traffic) Traffic {
	return Traffic{Requests: u.Requests + o.Requests, LinkBytes: u.LinkBytes + o.LinkBytes}
}

// Minus returns u minus o.
func (u Traffic) Minus(o Traffic) Traffic {
	return Traffic{Requests: u.Requests - o.Requests, LinkBytes: u.LinkBytes - o.LinkBytes}
}

// Counts holds the traffic of each payer.
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

// Minus returns c minus o, without the payers for which the difference is zero.
func (c Counts) Minus(o Counts) Counts {
	difference := Counts{}
	for p, u := range c {
		if d := u.Minus(o[p]); d != (Traffic{}) {
			difference[p] = d
		}
	}
	return difference
}

// Meter counts traffic since the start of an instance. It is safe for concurrent use.
type Meter struct {
	mu     sync.Mutex
	counts Counts
}

// New returns a meter with all counts at zero.
func New() *Meter { return &Meter{counts: Counts{}} }

// Add adds u to the counts of a payer.
func (m *Meter) Add(p Payer, u Traffic) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts[p] = m.counts[p].Plus(u)
}

// Counts returns a copy of the counts so far.
func (m *Meter) Counts() Counts {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.counts)
}

// wireRow is the stored form of one payer's counts.
type wireRow struct {
	Neighbour string `json:"neighbour"`
	Share     string `json:"share,omitempty"`
	Requests  int64  `json:"requests,omitempty"`
	LinkBytes int64  `json:"linkBytes,omitempty"`
}

// Encode encodes counts for the store, sorted by neighbour and share.
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

// Decode decodes the result of Encode.
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
