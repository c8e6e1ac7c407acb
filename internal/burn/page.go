package burn

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"math"
	"strings"
	"time"
)

//go:embed page.html.tmpl
var pageText string

var page = template.Must(template.New("page").Parse(pageText))

// The sizes of a plot and of the bar of causes, in pixels.
const (
	plotWidth  = 720
	plotHeight = 160
	barWidth   = 420
)

// WritePage writes a report as a self-contained HTML page.
func WritePage(w io.Writer, r Report) error {
	view := pageView{
		At: r.At.UTC().Format(time.RFC1123), Answered: strings.Join(r.Answered, ", "),
		Missing: strings.Join(r.Missing, ", "), Gaps: r.Gaps(),
	}
	for _, row := range r.Rows {
		view.Rows = append(view.Rows, newRowView(row, r.At))
	}
	if err := page.Execute(w, view); err != nil {
		return fmt.Errorf("write burn page: %w", err)
	}
	return nil
}

// pageView is the data of the page template.
type pageView struct {
	At, Answered, Missing string
	Gaps                  []string
	Rows                  []rowView
}

// rowView is a Row with its fields formatted for the page.
type rowView struct {
	Row
	NeighbourName    string
	Objective        string
	Budget           string
	Requests         int64
	Windows          []windowView
	Causes           []causeView
	Plot             plotView
	Overdrawn        bool
	P50Text, P99Text string
}

type windowView struct {
	Length string
	Burn   string
	// OverBudget reports whether the window uses up its whole error budget or more.
	OverBudget bool
}

// causeView is one cause on the page, with its segment of the bar of causes: the left edge X
// and the Width, both in pixels.
type causeView struct {
	Name     string
	Count    int64
	Percent  string
	X, Width int
}

// plotView is a plot of the burn rate over time, plotWidth by plotHeight pixels.
type plotView struct {
	Width, Height int
	Line          string
	Dots          []dotView
	Levels        []levelView
	From, To      string
}

type dotView struct {
	X, Y  int
	Title string
}

// levelView is a horizontal line at a burn rate of 1 or at the threshold of an alert rule.
type levelView struct {
	Y    int
	Name string
}

func newRowView(r Row, at time.Time) rowView {
	v := rowView{
		Row: r, NeighbourName: r.Neighbour, Objective: fmt.Sprintf("%.4g%% within %v", r.Ratio*100, r.Latency),
		Budget: fmt.Sprintf("%.1f%%", r.BudgetLeft*100), Overdrawn: r.BudgetLeft < 0,
		P50Text: r.P50.String(), P99Text: r.P99.String(),
	}
	if v.NeighbourName == "" {
		v.NeighbourName = "all neighbours"
	}
	for _, w := range r.Windows {
		v.Windows = append(v.Windows, windowView{Length: shortLength(w.Length), Burn: fmt.Sprintf("%.2f", w.Burn), OverBudget: w.Burn >= 1})
		v.Requests = w.Total
	}
	v.Causes = causeViews(r)
	v.Plot = newPlot(r, at)
	return v
}

// shortLength formats a window's length without trailing zero units, for example
// "6h" instead of "6h0m0s".
func shortLength(d time.Duration) string {
	s := strings.TrimSuffix(d.String(), "0s")
	if strings.HasSuffix(s, "h0m") {
		s = strings.TrimSuffix(s, "0m")
	}
	return s
}

// causeViews returns the segments of the bar of causes, one for each cause that occurred.
func causeViews(r Row) []causeView {
	var sum int64
	for _, n := range r.Causes {
		sum += n
	}
	var all []causeView
	x := 0
	for _, cause := range Causes() {
		n := r.Causes[cause]
		if n == 0 {
			continue
		}
		fraction := float64(n) / float64(sum)
		width := max(1, int(math.Round(fraction*barWidth)))
		all = append(all, causeView{
			Name: string(cause), Count: n, Percent: fmt.Sprintf("%.0f%%", fraction*100), X: x, Width: width,
		})
		x += width
	}
	return all
}

// newPlot returns a plot of the burn rate over BudgetWindow, on a scale from 0.
func newPlot(r Row, at time.Time) plotView {
	start := at.Add(-BudgetWindow)
	maxBurn := 2.0
	for _, p := range r.Points {
		maxBurn = max(maxBurn, p.Burn*1.1)
	}
	plot := plotView{Width: plotWidth, Height: plotHeight, From: start.UTC().Format("15:04"), To: at.UTC().Format("15:04")}
	var line strings.Builder
	for _, p := range r.Points {
		midpoint := p.Start.Add(SlotLength / 2)
		x := int(float64(midpoint.Sub(start)) / float64(BudgetWindow) * plotWidth)
		x = min(max(x, 0), plotWidth)
		y := plotY(p.Burn, maxBurn)
		fmt.Fprintf(&line, "%d,%d ", x, y)
		plot.Dots = append(plot.Dots, dotView{X: x, Y: y, Title: fmt.Sprintf("%s UTC: burn rate %.2f over %d requests", p.Start.UTC().Format("15:04"), p.Burn, p.Total)})
	}
	plot.Line = strings.TrimSpace(line.String())
	for _, level := range []float64{1, alertRules[1].threshold, alertRules[0].threshold} {
		if level < maxBurn {
			plot.Levels = append(plot.Levels, levelView{Y: plotY(level, maxBurn), Name: fmt.Sprintf("%g", level)})
		}
	}
	return plot
}

// plotY returns the vertical position of a burn rate in a plot that ends at maxBurn.
func plotY(burn, maxBurn float64) int {
	return plotHeight - int(math.Round(burn/maxBurn*plotHeight))
}

// CauseText returns the causes that occurred with their counts, in the order of Causes.
func (r Row) CauseText() string {
	var texts []string
	for _, cause := range Causes() {
		if n := r.Causes[cause]; n > 0 {
			texts = append(texts, fmt.Sprintf("%s %d", cause, n))
		}
	}
	return strings.Join(texts, ", ")
}
