package burn

import (
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
	// Answered and Missing name the instances that were and were not counted.
	Answered []string
	Missing  []string
}

// NewReport returns the burn of the services of a configuration.
func NewReport(c release.Config, series []Series, now time.Time) Report {
	report := Report{At: now}
	for _, s := range slices.Concat(byService(series), series) {
		if service, ok := c.Service(s.Service); ok {
			report.Rows = append(report.Rows, newRow(service.Objective, s, now))
		}
	}
	slices.SortStableFunc(report.Rows, func(a, b Row) int {
		return compareKeys(Key{a.Service, a.Neighbour}, Key{b.Service, b.Neighbour})
	})
	return report
}

func newRow(o release.Objective, s Series, now time.Time) Row {
	row := Row{Service: s.Service, Neighbour: s.Neighbour, Latency: o.Latency, Ratio: o.Ratio, Causes: map[Cause]int64{}}
	for _, length := range windowLengths() {
		row.Windows = append(row.Windows, newWindow(o, s, now, length))
	}
	row.Alert = row.alert()
	budget := newWindow(o, s, now, BudgetWindow)
	row.BudgetLeft = 1 - budget.Burn
	var latency *hdrhistogram.Histogram
	for _, slot := range slotsWithin(s, now, BudgetWindow) {
		for cause, n := range slot.Bad {
			row.Causes[cause] += n
		}
		latency = add(latency, slot.Latency)
		w := count(o, []Slot{slot})
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

func newWindow(o release.Objective, s Series, now time.Time, length time.Duration) Window {
	w := count(o, slotsWithin(s, now, length))
	w.Length = length
	return w
}

// slotsWithin returns the slots that touch a window; the oldest may begin before it.
func slotsWithin(s Series, now time.Time, length time.Duration) []Slot {
	first := SlotOf(now.Add(-length))
	last := SlotOf(now)
	var all []Slot
	for _, slot := range s.Slots {
		if slot.Index >= first && slot.Index <= last {
			all = append(all, slot)
		}
	}
	return all
}

// count judges slots by an objective.
func count(o release.Objective, slots []Slot) Window {
	var w Window
	for _, slot := range slots {
		answers := total(slot.Latency)
		w.Total += answers + slot.Unanswered
		w.Bad += answers - within(slot.Latency, o.Latency) + slot.Unanswered
	}
	if w.Total > 0 {
		w.Burn = float64(w.Bad) / float64(w.Total) / (1 - o.Ratio)
	}
	return w
}
