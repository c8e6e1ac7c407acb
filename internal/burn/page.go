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

// The size of a plot, in pixels.
const (
	plotWidth  = 720
	plotHeight = 160
	barWidth   = 420
)

// WritePage writes a report as one page of HTML that needs no other file.
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

type pageView struct {
	At, Answered, Missing string
	Gaps                  []string
	Rows                  []rowView
}

// rowView is one row, made ready for the page.
type rowView struct {
	Row
	Who        string
	Objective  string
	Budget     string
	Requests   int64
	Windows    []windowView
	Causes     []causeView
	Plot       plotView
	Overdrawn  bool
	P50T, P99T string
}

type windowView struct {
	Length string
	Burn   string
	Hot    bool
}

type causeView struct {
	Name     string
	Count    int64
	Percent  string
	X, Width int
}

// plotView is the burn over time, as a line within plotWidth by plotHeight.
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

type levelView struct {
	Y    int
	Name string
}

func newRowView(r Row, at time.Time) rowView {
	v := rowView{
		Row: r, Who: r.Neighbour, Objective: fmt.Sprintf("%.4g%% within %v", r.Ratio*100, r.Latency),
		Budget: fmt.Sprintf("%.1f%%", r.BudgetLeft*100), Overdrawn: r.BudgetLeft < 0,
		P50T: r.P50.String(), P99T: r.P99.String(),
	}
	if v.Who == "" {
		v.Who = "all neighbours"
	}
	for _, w := range r.Windows {
		v.Windows = append(v.Windows, windowView{Length: shortLength(w.Length), Burn: fmt.Sprintf("%.2f", w.Burn), Hot: w.Burn >= 1})
		v.Requests = w.Total
	}
	v.Causes = causeViews(r)
	v.Plot = newPlot(r, at)
	return v
}

// shortLength returns a window's length without zero parts.
func shortLength(d time.Duration) string {
	s := strings.TrimSuffix(d.String(), "0s")
	if strings.HasSuffix(s, "h0m") {
		s = strings.TrimSuffix(s, "0m")
	}
	return s
}

// causeViews returns the parts of a bar, one for each cause.
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
		part := float64(n) / float64(sum)
		width := max(1, int(math.Round(part*barWidth)))
		all = append(all, causeView{
			Name: string(cause), Count: n, Percent: fmt.Sprintf("%.0f%%", part*100), X: x, Width: width,
		})
		x += width
	}
	return all
}

// newPlot returns the burn over BudgetWindow on a scale that begins at 0.
func newPlot(r Row, at time.Time) plotView {
	start := at.Add(-BudgetWindow)
	top := 2.0
	for _, p := range r.Points {
		top = max(top, p.Burn*1.1)
	}
	plot := plotView{Width: plotWidth, Height: plotHeight, From: start.UTC().Format("15:04"), To: at.UTC().Format("15:04")}
	var line strings.Builder
	for _, p := range r.Points {
		middle := p.Start.Add(SlotLength / 2)
		x := int(float64(middle.Sub(start)) / float64(BudgetWindow) * plotWidth)
		x = min(max(x, 0), plotWidth)
		y := height(p.Burn, top)
		fmt.Fprintf(&line, "%d,%d ", x, y)
		plot.Dots = append(plot.Dots, dotView{X: x, Y: y, Title: fmt.Sprintf("%s UTC: burn %.2f of %d requests", p.Start.UTC().Format("15:04"), p.Burn, p.Total)})
	}
	plot.Line = strings.TrimSpace(line.String())
	for _, level := range []float64{1, pairs[1].threshold, pairs[0].threshold} {
		if level < top {
			plot.Levels = append(plot.Levels, levelView{Y: height(level, top), Name: fmt.Sprintf("%g", level)})
		}
	}
	return plot
}

func height(burn, top float64) int {
	return plotHeight - int(math.Round(burn/top*plotHeight))
}

// CauseText returns the causes with their counts, in the order of Causes.
func (r Row) CauseText() string {
	var parts []string
	for _, cause := range Causes() {
		if n := r.Causes[cause]; n > 0 {
			parts = append(parts, fmt.Sprintf("%s %d", cause, n))
		}
	}
	return strings.Join(parts, ", ")
}
