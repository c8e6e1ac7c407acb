package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math"
	"os"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/oriolepond/oriolepond/internal/laboratory"
)

// lab plays the days of an experiment and prints what each policy earns.
func lab(ctx context.Context, c *call) error {
	oracle := c.flags.Bool("oracle", false, "also print what no policy can exceed, and the distance to it")
	seeds := c.flags.Int("seeds", 0, "play the first `n` seeds of the file only")
	if err := c.parse(); err != nil {
		return err
	}
	file := c.flags.Arg(0)
	text, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	e, err := laboratory.Parse(file, text)
	if err != nil {
		return err
	}
	if *seeds > 0 {
		e.Seeds = e.Seeds[:min(*seeds, len(e.Seeds))]
	}
	results, err := laboratory.Run(ctx, e)
	if err != nil {
		return err
	}
	report := labReport{experiment: e, results: results}
	if *oracle {
		report.bounds = labBounds(e)
	}
	for _, r := range results[1:] {
		report.comparisons = append(report.comparisons, laboratory.Compare(results[0], r))
	}
	return c.print(report.wire(), func() { report.write(c) })
}

// labReport is what an experiment has shown.
type labReport struct {
	experiment  *laboratory.Experiment
	results     []laboratory.Result
	comparisons []laboratory.Comparison
	// bounds are those of each policy and seed; nil if they are not asked for.
	bounds [][]laboratory.Bound
}

// labBounds returns the bounds of each policy and seed. Those of tiny days are exact.
func labBounds(e *laboratory.Experiment) [][]laboratory.Bound {
	bounds := make([][]laboratory.Bound, len(e.Policies))
	for _, seed := range e.Seeds {
		day := laboratory.Draw(e, seed)
		for i, p := range e.Policies {
			bound := laboratory.UpperBound(day, p)
			if exact, err := laboratory.ExactBound(day, p); err == nil {
				bound.Worth = exact
			}
			bounds[i] = append(bounds[i], bound)
		}
	}
	return bounds
}

// write prints the report as tables.
func (r labReport) write(c *call) {
	e := r.experiment
	fmt.Fprintf(c.out, "%s: %s and %s to settle, %d seed(s)\n", e.Name, e.Duration, e.Settle, len(e.Seeds))
	for i, result := range r.results {
		fmt.Fprintf(c.out, "\npolicy %s\n\n", result.Policy.Name)
		table := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', tabwriter.AlignRight)
		writeSeeds(table, result.Outcomes)
		_ = table.Flush() // Writes to standard output are not checked elsewhere either.
		fmt.Fprintln(c.out)
		table = tabwriter.NewWriter(c.out, 0, 0, 2, ' ', tabwriter.AlignRight)
		writeKinds(table, result.Outcomes)
		_ = table.Flush()
		writeReasons(c.out, result.Outcomes)
		if r.bounds != nil {
			fmt.Fprintln(c.out)
			table = tabwriter.NewWriter(c.out, 0, 0, 2, ' ', tabwriter.AlignRight)
			writeDistances(table, result.Outcomes, r.bounds[i])
			_ = table.Flush()
		}
	}
	for _, comparison := range r.comparisons {
		fmt.Fprintf(c.out, "\n%s less %s, paired by seed, 95%% interval\n\n", comparison.Policy, comparison.Base)
		table := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', tabwriter.AlignRight)
		fmt.Fprintln(table, "\tdifference\t\thigher on\t\t")
		for _, d := range append([]laboratory.Difference{comparison.Worth}, comparison.Kinds...) {
			verdict := ""
			if d.IsClear() {
				verdict = "clear"
			}
			fmt.Fprintf(table, "%s\t%+.4f\t+- %.4f\t%d of %d\t%s\t\n", d.Name, d.Mean, d.HalfWidth, d.Higher, d.Seeds, verdict)
		}
		_ = table.Flush()
	}
}

// writeSeeds writes a row for each seed, and one with the means.
func writeSeeds(table *tabwriter.Writer, outcomes []laboratory.Outcome) {
	header := []string{"seed", "worth"}
	for _, k := range outcomes[0].Kinds {
		header = append(header, k.Name)
	}
	header = append(header, "waiting", "idle beside", "throttled", "suspended", "harmed", "longest harm")
	fmt.Fprintln(table, strings.Join(header, "\t")+"\t")
	sums := make([]float64, 6+len(outcomes[0].Kinds))
	for _, o := range outcomes {
		figures := []float64{o.Worth}
		for _, k := range o.Kinds {
			figures = append(figures, k.Share)
		}
		figures = append(figures, o.Waiting, o.IdleBeside, o.Throttled, o.Suspended, o.Harmed)
		for i, f := range figures {
			sums[i] += f / float64(len(outcomes))
		}
		fmt.Fprintf(table, "%d\t%s%s\t\n", o.Seed, rowOf(figures), o.LongestHarm)
	}
	if len(outcomes) > 1 {
		fmt.Fprintf(table, "mean\t%s\t\n", rowOf(sums))
	}
}

// rowOf returns the figures as cells of a table. All are shares but the fourth from the end, which is
// a number of cores.
func rowOf(figures []float64) string {
	var b strings.Builder
	for i, f := range figures {
		if i == len(figures)-4 {
			fmt.Fprintf(&b, "%.0f\t", f)
		} else {
			fmt.Fprintf(&b, "%.4f\t", f)
		}
	}
	return b.String()
}

// writeKinds writes a row for each kind of jobs, over all seeds.
func writeKinds(table *tabwriter.Writer, outcomes []laboratory.Outcome) {
	fmt.Fprintln(table, "jobs\tnumber\ton time\tlate\tlost\tmean wait\tlongest wait\t")
	for i := range outcomes[0].Kinds {
		var k laboratory.KindOutcome
		var waits time.Duration
		for _, o := range outcomes {
			other := o.Kinds[i]
			k.Name = other.Name
			k.Jobs += other.Jobs
			k.OnTime += other.OnTime
			k.Late += other.Late
			waits += other.MeanWait
			k.LongestWait = max(k.LongestWait, other.LongestWait)
		}
		if k.Jobs > 0 {
			mean := waits / time.Duration(len(outcomes))
			fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%s\t%s\t\n", k.Name, k.Jobs, k.OnTime, k.Late, k.Jobs-k.OnTime-k.Late, mean.Round(time.Millisecond), k.LongestWait)
		}
	}
}

// writeReasons writes how often steps waited for each reason, over all seeds.
func writeReasons(out io.Writer, outcomes []laboratory.Outcome) {
	counts := map[string]int{}
	for _, o := range outcomes {
		for _, r := range o.Reasons {
			counts[r.Reason] += r.Count
		}
	}
	if len(counts) == 0 {
		return
	}
	fmt.Fprint(out, "\nsteps waited for:")
	for i, reason := range slices.Sorted(maps.Keys(counts)) {
		if i > 0 {
			fmt.Fprint(out, ",")
		}
		fmt.Fprintf(out, " %s %d", reason, counts[reason])
	}
	fmt.Fprintln(out)
}

// writeDistances writes a row for each seed: the bound, and how far the worth and each kind are below
// theirs.
func writeDistances(table *tabwriter.Writer, outcomes []laboratory.Outcome, bounds []laboratory.Bound) {
	header := []string{"seed", "bound", "distance"}
	for _, k := range outcomes[0].Kinds {
		header = append(header, "of "+k.Name)
	}
	fmt.Fprintln(table, strings.Join(header, "\t")+"\t")
	sums := make([]float64, 2+len(outcomes[0].Kinds))
	row := func(name string, figures []float64) {
		fmt.Fprint(table, name)
		for _, f := range figures {
			fmt.Fprintf(table, "\t%.4f", f)
		}
		fmt.Fprintln(table, "\t")
	}
	for i, o := range outcomes {
		figures := []float64{bounds[i].Worth, max(0, bounds[i].Worth-o.Worth)}
		for k, kind := range o.Kinds {
			figures = append(figures, max(0, bounds[i].Kinds[k]-kind.Share))
		}
		for k, f := range figures {
			sums[k] += f / float64(len(outcomes))
		}
		row(strconv.FormatUint(o.Seed, 10), figures)
	}
	if len(outcomes) > 1 {
		row("mean", sums)
	}
}

// The JSON form of a report. Shares and cores are rounded to a millionth.
type (
	wireLab struct {
		Name        string              `json:"name"`
		Policies    []wireLabPolicy     `json:"policies"`
		Comparisons []wireLabComparison `json:"comparisons,omitempty"`
	}
	wireLabPolicy struct {
		Name  string        `json:"name"`
		Seeds []wireLabSeed `json:"seeds"`
	}
	wireLabSeed struct {
		Seed              uint64         `json:"seed"`
		Worth             float64        `json:"worth"`
		Kinds             []wireLabKind  `json:"kinds"`
		Waiting           float64        `json:"waiting"`
		IdleBeside        float64        `json:"idleCoresBesideWaiting"`
		Throttled         float64        `json:"throttled"`
		Suspended         float64        `json:"suspended"`
		Harmed            float64        `json:"harmed"`
		LongestHarmMillis int64          `json:"longestHarmMillis"`
		Reasons           map[string]int `json:"reasons,omitempty"`
		// Bound is what no policy can exceed; nil if it is not asked for.
		Bound *float64 `json:"bound,omitempty"`
	}
	wireLabKind struct {
		Name              string  `json:"name"`
		Share             float64 `json:"share"`
		Jobs              int     `json:"jobs"`
		OnTime            int     `json:"onTime"`
		Late              int     `json:"late"`
		MeanWaitMillis    int64   `json:"meanWaitMillis"`
		LongestWaitMillis int64   `json:"longestWaitMillis"`
		// Bound is that of the kind alone; nil if it is not asked for.
		Bound *float64 `json:"bound,omitempty"`
	}
	wireLabComparison struct {
		Policy      string              `json:"policy"`
		Base        string              `json:"base"`
		Differences []wireLabDifference `json:"differences"`
	}
	wireLabDifference struct {
		Name      string  `json:"name"`
		Mean      float64 `json:"mean"`
		HalfWidth float64 `json:"halfWidth"`
		Higher    int     `json:"higher"`
		Seeds     int     `json:"seeds"`
	}
)

func (r labReport) wire() wireLab {
	w := wireLab{Name: r.experiment.Name}
	for i, result := range r.results {
		policy := wireLabPolicy{Name: result.Policy.Name}
		for k, o := range result.Outcomes {
			seed := encodeOutcome(o)
			if r.bounds != nil {
				seed.setBound(r.bounds[i][k])
			}
			policy.Seeds = append(policy.Seeds, seed)
		}
		w.Policies = append(w.Policies, policy)
	}
	for _, comparison := range r.comparisons {
		wc := wireLabComparison{Policy: comparison.Policy, Base: comparison.Base}
		for _, d := range append([]laboratory.Difference{comparison.Worth}, comparison.Kinds...) {
			wc.Differences = append(wc.Differences, wireLabDifference{
				Name: d.Name, Mean: round(d.Mean), HalfWidth: round(d.HalfWidth), Higher: d.Higher, Seeds: d.Seeds,
			})
		}
		w.Comparisons = append(w.Comparisons, wc)
	}
	return w
}

func encodeOutcome(o laboratory.Outcome) wireLabSeed {
	w := wireLabSeed{
		Seed: o.Seed, Worth: round(o.Worth), Waiting: round(o.Waiting), IdleBeside: round(o.IdleBeside), Throttled: round(o.Throttled),
		Suspended: round(o.Suspended), Harmed: round(o.Harmed), LongestHarmMillis: o.LongestHarm.Milliseconds(),
	}
	if len(o.Reasons) > 0 {
		w.Reasons = map[string]int{}
	}
	for _, r := range o.Reasons {
		w.Reasons[r.Reason] = r.Count
	}
	for _, k := range o.Kinds {
		w.Kinds = append(w.Kinds, wireLabKind{
			Name: k.Name, Share: round(k.Share), Jobs: k.Jobs, OnTime: k.OnTime, Late: k.Late,
			MeanWaitMillis: k.MeanWait.Milliseconds(), LongestWaitMillis: k.LongestWait.Milliseconds(),
		})
	}
	return w
}

func (w *wireLabSeed) setBound(b laboratory.Bound) {
	worth := round(b.Worth)
	w.Bound = &worth
	for i := range w.Kinds {
		share := round(b.Kinds[i])
		w.Kinds[i].Bound = &share
	}
}

func round(x float64) float64 { return math.Round(x*1e6) / 1e6 }
