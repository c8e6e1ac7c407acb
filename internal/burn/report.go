package burn

import (
	"fmt"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/oriolepond/oriolepond/pkg/release"
)

// Alert is how urgent a burn is.
type Alert string

// The alerts, most urgent first.
const (
	// Fast means that both windows of the fast pair burn above its threshold.
	Fast Alert = "fast"
	// Slow means that both windows of the slow pair burn above its threshold.
	Slow Alert = "slow"
)

// pair is two windows that must both burn fast for an alert: the long one
// shows that it matters, the short one that it goes on.
type pair struct {
	alert       Alert
	short, long time.Duration
	threshold   float64
}

// The pairs of windows; a burn of 1 uses up the budget exactly within its period.
var pairs = []pair{
	{Fast, 5 * time.Minute, time.Hour, 14.4},
	{Slow, 30 * time.Minute, 6 * time.Hour, 6},
}

// BudgetWindow is the window over which the budget that is left is stated.
const BudgetWindow = 6 * time.Hour

// Window is what happened within one window.
type Window struct {
	Length time.Duration
	Total  int64
	Bad    int64
	// Burn is the bad part of requests, relative to the part that the objective allows.
	Burn float64
}

// Point is one slot of a plot.
type Point struct {
	Start time.Time
	Total int64
	Burn  float64
}

// Row is the burn of one service, for one neighbour or for all of them.
type Row struct {
	Service string
	// Neighbour is "" in the row of all neighbours.
	Neighbour string
	Latency   time.Duration
	Ratio     float64
	// Windows are the windows of the pairs, shortest first.
	Windows []Window
	Alert   Alert
	// BudgetLeft is the part of the error budget left over BudgetWindow; below zero if overdrawn.
	BudgetLeft float64
	// Causes counts the requests that missed the objective over BudgetWindow.
	Causes map[Cause]int64
	// P50, P99 and P999 are quantiles of latency over BudgetWindow.
	P50, P99, P999 time.Duration
	Points         []Point
}

// Report is the burn of all services.
type Report struct {
	At   time.Time
	Rows []Row
	// Answered and Missing name the instances that did and did not tell what they counted.
	Answered []string
	Missing  []string
	// Open names the instances whose counts since a time are not in the report,
	// and Lost those that ended without their last write.
	Open []Gap
	Lost []Gap
	// MemoryOnly says that the store did not answer, so that only the counts of
	// instances that answered are in the report.
	MemoryOnly bool
}

// Report returns the burn of the services of a configuration. It decodes the
// counts of one series at a time.
func (s Snapshot) Report(c release.Config, now time.Time) (Report, error) {
	report := Report{At: now}
	for rest := s.series; len(rest) > 0; {
		n := 1
		for n < len(rest) && rest[n].Service == rest[0].Service {
			n++
		}
		rows, err := serviceRows(c, rest[:n], now)
		if err != nil {
			return Report{}, err
		}
		report.Rows = append(report.Rows, rows...)
		rest = rest[n:]
	}
	return report, nil
}

// serviceRows returns the row of a whole service and those of its neighbours.
func serviceRows(c release.Config, all []packed, now time.Time) ([]Row, error) {
	service, ok := c.Service(all[0].Service)
	if !ok {
		return nil, nil
	}
	rows := make([]Row, 1, 1+len(all))
	whole := map[int64]Slot{}
	for _, p := range all {
		one, err := unpack([]packed{p})
		if err != nil {
			return nil, err
		}
		rows = append(rows, newRow(service.Objective, one[0], now))
		for _, slot := range one[0].Slots {
			whole[slot.Index] = sum(whole[slot.Index], slot)
		}
	}
	sums := Series{Key: Key{Service: all[0].Service}, Slots: ordered(whole)}
	rows[0] = newRow(service.Objective, sums, now)
	return rows, nil
}

func newRow(o release.Objective, s Series, now time.Time) Row {
	row := Row{Service: s.Service, Neighbour: s.Neighbour, Latency: o.Latency, Ratio: o.Ratio, Causes: map[Cause]int64{}}
	slots := judge(o, s)
	for _, length := range windowLengths() {
		row.Windows = append(row.Windows, newWindow(o, slots, now, length))
	}
	row.Alert = row.alert()
	budget := newWindow(o, slots, now, BudgetWindow)
	row.BudgetLeft = 1 - budget.Burn
	var latency *hdrhistogram.Histogram
	for _, slot := range slotsWithin(slots, now, BudgetWindow) {
		for cause, n := range slot.Bad {
			row.Causes[cause] += n
		}
		latency = add(latency, slot.Latency)
		w := count(o, []judged{slot})
		row.Points = append(row.Points, Point{Start: time.Unix(0, slot.Index*int64(SlotLength)).UTC(), Total: w.Total, Burn: w.Burn})
	}
	if latency != nil {
		row.P50, row.P99, row.P999 = quantile(latency, 50), quantile(latency, 99), quantile(latency, 99.9)
	}
	return row
}

func quantile(h *hdrhistogram.Histogram, q float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(q)) * latencyUnit
}

// windowLengths returns the windows of all pairs, shortest first.
func windowLengths() []time.Duration {
	var all []time.Duration
	for _, p := range pairs {
		all = append(all, p.short, p.long)
	}
	slices.Sort(all)
	return all
}

// alert returns the most urgent pair of which both windows burn above the threshold.
func (r Row) alert() Alert {
	burn := map[time.Duration]float64{}
	for _, w := range r.Windows {
		burn[w.Length] = w.Burn
	}
	for _, p := range pairs {
		if burn[p.short] >= p.threshold && burn[p.long] >= p.threshold {
			return p.alert
		}
	}
	return ""
}

func newWindow(o release.Objective, slots []judged, now time.Time, length time.Duration) Window {
	w := count(o, slotsWithin(slots, now, length))
	w.Length = length
	return w
}

// slotsWithin returns the slots that touch a window; the oldest may begin before it.
func slotsWithin(slots []judged, now time.Time, length time.Duration) []judged {
	first := SlotOf(now.Add(-length))
	last := SlotOf(now)
	var all []judged
	for _, slot := range slots {
		if slot.Index >= first && slot.Index <= last {
			all = append(all, slot)
		}
	}
	return all
}

// judged is a slot judged by an objective.
type judged struct {
	Slot
	total, bad int64
}

// judge judges the slots of a series.
func judge(o release.Objective, s Series) []judged {
	var all []judged
	for _, slot := range s.Slots {
		answers := total(slot.Latency)
		all = append(all, judged{
			Slot:  slot,
			total: answers + slot.Unanswered,
			bad:   answers - within(slot.Latency, o.Latency) + slot.Unanswered,
		})
	}
	return all
}

// count adds up slots that were judged by an objective.
func count(o release.Objective, slots []judged) Window {
	var w Window
	for _, slot := range slots {
		w.Total += slot.total
		w.Bad += slot.bad
	}
	if w.Total > 0 {
		w.Burn = float64(w.Bad) / float64(w.Total) / (1 - o.Ratio)
	}
	return w
}

// Gaps says in sentences what is not in the report.
func (r Report) Gaps() []string {
	var lines []string
	if r.MemoryOnly {
		lines = append(lines, "The store does not answer: what ended instances counted is missing.")
	}
	for _, g := range r.Open {
		lines = append(lines, fmt.Sprintf("%s is not counted since %s.", g.Instance, g.Since.UTC().Format(time.RFC3339)))
	}
	for _, g := range r.Lost {
		lines = append(lines, fmt.Sprintf("%s ended and lost what it counted since %s.", g.Instance, g.Since.UTC().Format(time.RFC3339)))
	}
	return lines
}
