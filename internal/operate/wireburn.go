package operate

import (
	"time"

	"github.com/oriolepond/oriolepond/internal/burn"
)

type (
	// WireBurn is the JSON form of a burn.Report.
	WireBurn struct {
		At       time.Time     `json:"at"`
		Answered []string      `json:"answered"`
		Missing  []string      `json:"missing"`
		Rows     []WireBurnRow `json:"rows"`
		// Open and Lost list the instances whose counts since a time are missing: those that
		// are not known to have terminated, and terminated ones whose counts are lost.
		Open []WireBurnGap `json:"open"`
		Lost []WireBurnGap `json:"lost"`
		// MemoryOnly reports whether the store did not answer, so that the report holds
		// only what the answering instances had in memory.
		MemoryOnly bool `json:"memory,omitempty"`
	}
	// WireBurnGap is the JSON form of a burn.Gap.
	WireBurnGap struct {
		Instance  string    `json:"instance"`
		OpenSince time.Time `json:"openSince"`
	}
	// WireBurnRow is the JSON form of a burn.Row.
	WireBurnRow struct {
		Service         string           `json:"service"`
		Neighbour       string           `json:"neighbour,omitempty"`
		ObjectiveMillis float64          `json:"objectiveMillis"`
		Ratio           float64          `json:"ratio"`
		Windows         []WireBurnWindow `json:"windows"`
		Alert           string           `json:"alert,omitempty"`
		BudgetLeft      float64          `json:"budgetLeft"`
		Causes          map[string]int64 `json:"causes"`
		P50Millis       float64          `json:"p50Millis"`
		P99Millis       float64          `json:"p99Millis"`
		P999Millis      float64          `json:"p999Millis"`
		Points          []WireBurnPoint  `json:"points"`
	}
	// WireBurnWindow is the JSON form of a burn.Window.
	WireBurnWindow struct {
		Length string  `json:"length"`
		Total  int64   `json:"total"`
		Bad    int64   `json:"bad"`
		Burn   float64 `json:"burn"`
	}
	// WireBurnPoint is the JSON form of a burn.Point.
	WireBurnPoint struct {
		Start time.Time `json:"start"`
		Total int64     `json:"total"`
		Burn  float64   `json:"burn"`
	}
)

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func fromMillis(m float64) time.Duration { return time.Duration(m * float64(time.Millisecond)) }

func encodeBurn(r burn.Report) WireBurn {
	w := WireBurn{
		At: r.At, Answered: r.Answered, Missing: r.Missing, Rows: []WireBurnRow{},
		Open: encodeGaps(r.Open), Lost: encodeGaps(r.Lost), MemoryOnly: r.MemoryOnly,
	}
	if w.Missing == nil {
		w.Missing = []string{}
	}
	for _, row := range r.Rows {
		w.Rows = append(w.Rows, encodeBurnRow(row))
	}
	return w
}

func encodeGaps(gaps []burn.Gap) []WireBurnGap {
	all := []WireBurnGap{}
	for _, g := range gaps {
		all = append(all, WireBurnGap{Instance: g.Instance, OpenSince: g.Since})
	}
	return all
}

func decodeGaps(all []WireBurnGap) []burn.Gap {
	var gaps []burn.Gap
	for _, w := range all {
		gaps = append(gaps, burn.Gap{Instance: w.Instance, Since: w.OpenSince})
	}
	return gaps
}

func encodeBurnRow(r burn.Row) WireBurnRow {
	w := WireBurnRow{
		Service: r.Service, Neighbour: r.Neighbour, ObjectiveMillis: millis(r.Latency), Ratio: r.Ratio,
		Alert: string(r.Alert), BudgetLeft: r.BudgetLeft, Causes: map[string]int64{},
		P50Millis: millis(r.P50), P99Millis: millis(r.P99), P999Millis: millis(r.P999),
		Points: []WireBurnPoint{},
	}
	for _, window := range r.Windows {
		w.Windows = append(w.Windows, WireBurnWindow{Length: window.Length.String(), Total: window.Total, Bad: window.Bad, Burn: window.Burn})
	}
	for cause, n := range r.Causes {
		w.Causes[string(cause)] = n
	}
	for _, p := range r.Points {
		w.Points = append(w.Points, WireBurnPoint(p))
	}
	return w
}

// Report converts the JSON form back to a burn.Report.
func (w WireBurn) Report() burn.Report {
	r := burn.Report{At: w.At, Answered: w.Answered, Missing: w.Missing, MemoryOnly: w.MemoryOnly}
	r.Open, r.Lost = decodeGaps(w.Open), decodeGaps(w.Lost)
	for _, row := range w.Rows {
		r.Rows = append(r.Rows, row.row())
	}
	return r
}

func (w WireBurnRow) row() burn.Row {
	r := burn.Row{
		Service: w.Service, Neighbour: w.Neighbour, Latency: fromMillis(w.ObjectiveMillis), Ratio: w.Ratio,
		Alert: burn.Alert(w.Alert), BudgetLeft: w.BudgetLeft, Causes: map[burn.Cause]int64{},
		P50: fromMillis(w.P50Millis), P99: fromMillis(w.P99Millis), P999: fromMillis(w.P999Millis),
	}
	for _, window := range w.Windows {
		length, _ := time.ParseDuration(window.Length)
		r.Windows = append(r.Windows, burn.Window{Length: length, Total: window.Total, Bad: window.Bad, Burn: window.Burn})
	}
	for cause, n := range w.Causes {
		r.Causes[burn.Cause(cause)] = n
	}
	for _, p := range w.Points {
		r.Points = append(r.Points, burn.Point(p))
	}
	return r
}
