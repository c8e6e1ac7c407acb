package burn

import (
	"fmt"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/oriolepond/oriolepond/pkg/release"
)

// Alert is the urgency of an alert on a burn rate; "" means none.
type Alert string

// The alerts, most urgent first.
const (
	// Fast means that the burn rate reaches the higher threshold in both windows of the fast rule.
	Fast Alert = "fast"
	// Slow means that the burn rate reaches the lower threshold in both windows of the slow rule.
	Slow Alert = "slow"
)

// alertRule raises an alert if the burn rate reaches a threshold in two windows.
// The long window shows that much of the budget is lost, the short one that the
// loss continues.
type alertRule struct {
	alert       Alert
	short, long time.Duration
	threshold   float64
}

// alertRules are the rules, most urgent first. A burn rate of 1 uses up the error
// budget exactly within its period.
var alertRules = []alertRule{
	{Fast, 5 * time.Minute, time.Hour, 14.4},
	{Slow, 30 * time.Minute, 6 * time.Hour, 6},
}

// BudgetWindow is the period over which the remaining error budget is computed.
const BudgetWindow = 6 * time.Hour

// Window holds the requests and the burn rate within a time window.
type Window struct {
	Length time.Duration
	Total  int64
	// Bad is the number of requests that missed the objective.
	Bad int64
	// Burn is the burn rate: the fraction of bad requests divided by the fraction
	// that the objective allows.
	Burn float64
}

// Point is the burn rate in one slot, a point of a plot.
type Point struct {
	Start time.Time
	Total int64
	Burn  float64
}

// Row reports on one service, for one neighbour or for all of them.
type Row struct {
	Service string
	// Neighbour is "" in the row of all neighbours.
	Neighbour string
	// Latency and Ratio are the objective: the fraction Ratio of requests is to be
	// answered within Latency.
	Latency time.Duration
	Ratio   float64
	// Windows are the windows of all alert rules, shortest first.
	Windows []Window
	Alert   Alert
	// BudgetLeft is the fraction of the error budget of BudgetWindow that is left;
	// it is negative if the budget is overdrawn.
	BudgetLeft float64
	// Causes counts the requests within BudgetWindow that missed the objective, by cause.
	Causes map[Cause]int64
	// P50, P99 and P999 are latency quantiles over BudgetWindow.
	P50, P99, P999 time.Duration
	Points         []Point
}

// Report holds the burn rates of all services.
type Report struct {
	At   time.Time
	Rows []Row
	// Answered and Missing list the instances that did and did not answer the
	// request for their counts.
	Answered []string
	Missing  []string
	// Open lists the instances that are not known to have terminated, with the time since which
	// their counts are not in the report.
	Open []Gap
	// Lost lists the instances that terminated without writing their last counts, with the time
	// since which these are lost.
	Lost []Gap
	// MemoryOnly reports whether the store did not answer. The report then holds only
	// what the answering instances had in memory.
	MemoryOnly bool
}

// Report returns a report on the services of a configuration. It decodes one
// series at a time to save memory.
func (s Snapshot) Report(c release.Config, now time.Time) (Report, error) {
	report := Report{At: now}
	for remaining := s.series; len(remaining) > 0; {
		n := 1
		for n < len(remaining) && remaining[n].Service == remaining[0].Service {
			n++
		}
		rows, err := serviceRows(c, remaining[:n], now)
		if err != nil {
			return Report{}, err
		}
		report.Rows = append(report.Rows, rows...)
		remaining = remaining[n:]
	}
	return report, nil
}

// serviceRows returns the row of a service over all neighbours, followed by one
// row for each neighbour. All series belong to the same service.
func serviceRows(c release.Config, series []encodedSeries, now time.Time) ([]Row, error) {
	service, ok := c.Service(series[0].Service)
	if !ok {
		return nil, nil
	}
	rows := make([]Row, 1, 1+len(series))
	allNeighbours := map[int64]Slot{}
	for _, e := range series {
		decoded, err := decodeHistograms([]encodedSeries{e})
		if err != nil {
			return nil, err
		}
		rows = append(rows, newRow(service.Objective, decoded[0], now))
		for _, slot := range decoded[0].Slots {
			allNeighbours[slot.Index] = sumSlots(allNeighbours[slot.Index], slot)
		}
	}
	sums := Series{Key: Key{Service: series[0].Service}, Slots: sortedSlots(allNeighbours)}
	rows[0] = newRow(service.Objective, sums, now)
	return rows, nil
}

// newRow returns the row of one series under an objective.
func newRow(o release.Objective, s Series, now time.Time) Row {
	row := Row{Service: s.Service, Neighbour: s.Neighbour, Latency: o.Latency, Ratio: o.Ratio, Causes: map[Cause]int64{}}
	slots := evaluate(o, s)
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
		latency = addHistograms(latency, slot.Latency)
		w := sumWindow(o, []evaluatedSlot{slot})
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

// windowLengths returns the windows of all alert rules, shortest first.
func windowLengths() []time.Duration {
	var all []time.Duration
	for _, rule := range alertRules {
		all = append(all, rule.short, rule.long)
	}
	slices.Sort(all)
	return all
}

// alert returns the alert of the most urgent rule that matches, or "" if none does.
func (r Row) alert() Alert {
	burn := map[time.Duration]float64{}
	for _, w := range r.Windows {
		burn[w.Length] = w.Burn
	}
	for _, rule := range alertRules {
		if burn[rule.short] >= rule.threshold && burn[rule.long] >= rule.threshold {
			return rule.alert
		}
	}
	return ""
}

func newWindow(o release.Objective, slots []evaluatedSlot, now time.Time, length time.Duration) Window {
	w := sumWindow(o, slotsWithin(slots, now, length))
	w.Length = length
	return w
}

// slotsWithin returns the slots that overlap the window of a length that ends at
// now. The oldest slot may begin before the window.
func slotsWithin(slots []evaluatedSlot, now time.Time, length time.Duration) []evaluatedSlot {
	first := SlotOf(now.Add(-length))
	last := SlotOf(now)
	var all []evaluatedSlot
	for _, slot := range slots {
		if slot.Index >= first && slot.Index <= last {
			all = append(all, slot)
		}
	}
	return all
}

// evaluatedSlot is a slot with its requests counted against an objective.
type evaluatedSlot struct {
	Slot
	// total and bad are the number of requests and of those that missed the objective.
	total, bad int64
}

// evaluate counts the requests in the slots of a series against an objective.
func evaluate(o release.Objective, s Series) []evaluatedSlot {
	var all []evaluatedSlot
	for _, slot := range s.Slots {
		answered := countAll(slot.Latency)
		all = append(all, evaluatedSlot{
			Slot:  slot,
			total: answered + slot.Unanswered,
			bad:   answered - countWithin(slot.Latency, o.Latency) + slot.Unanswered,
		})
	}
	return all
}

// sumWindow returns the sum of slots and their burn rate; Length is not set.
func sumWindow(o release.Objective, slots []evaluatedSlot) Window {
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

// Gaps describes in sentences which counts are not in the report.
func (r Report) Gaps() []string {
	var lines []string
	if r.MemoryOnly {
		lines = append(lines, "The store does not answer: the counts of terminated instances are missing.")
	}
	for _, g := range r.Open {
		lines = append(lines, fmt.Sprintf("Counts of %s are missing since %s.", g.Instance, g.Since.UTC().Format(time.RFC3339)))
	}
	for _, g := range r.Lost {
		lines = append(lines, fmt.Sprintf("%s terminated and lost its counts since %s.", g.Instance, g.Since.UTC().Format(time.RFC3339)))
	}
	return lines
}
