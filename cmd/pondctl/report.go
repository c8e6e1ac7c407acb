package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/oriolepond/oriolepond/internal/burn"
	"github.com/oriolepond/oriolepond/internal/operate"
)

// account prints the resource usage of all shares.
func account(ctx context.Context, c *call) error {
	c.withOperator()
	periods := c.flags.Int("periods", 0, "print the last `n` accounting periods instead of the totals")
	if err := c.parseRemote(); err != nil {
		return err
	}
	if *periods != 0 {
		last, err := c.client().Periods(ctx, *periods)
		if err != nil {
			return err
		}
		return c.print(last, func() { c.printPeriods(last) })
	}
	rows, _, err := c.client().Account(ctx)
	if err != nil {
		return err
	}
	return c.print(rows, func() { c.printAccount(rows) })
}

// printPeriods prints one table for each period.
func (c *call) printPeriods(periods []operate.WirePeriod) {
	for _, p := range periods {
		start := "the beginning"
		if !p.Start.IsZero() {
			start = p.Start.UTC().Format(time.RFC3339)
		}
		fmt.Fprintf(c.out, "from %s to %s\n", start, p.End.UTC().Format(time.RFC3339))
		c.printAccount(p.Rows)
	}
}

func (c *call) printAccount(rows []operate.WireAccount) {
	w := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "neighbour\tshare\tprocessor s\tmemory GB·s\taccelerator s\trequests\tlink MB\topen tasks\topen processor s\t")
	for _, r := range rows {
		fmt.Fprintf(w, "%s\t%s\t%.1f\t%.1f\t%.1f\t%d\t%.3f\t%d\t%.1f\t\n",
			r.Neighbour, r.Share, r.ProcessorSeconds, r.MemoryByteSeconds/1e9, r.AcceleratorSeconds,
			r.Requests, float64(r.LinkBytes)/1e6, r.OpenTasks, r.OpenProcessorSeconds)
	}
	_ = w.Flush()
}

// burnReport prints how fast the error budgets of all services burn.
func burnReport(ctx context.Context, c *call) error {
	c.withOperator()
	html := c.flags.String("html", "", "also write a page with plots to a `file`")
	if err := c.parseRemote(); err != nil {
		return err
	}
	wire, _, err := c.client().Burn(ctx)
	if err != nil {
		return err
	}
	report := wire.Report()
	if *html != "" {
		if err := writePage(*html, report); err != nil {
			return err
		}
	}
	return c.print(wire, func() { c.printBurn(wire, report) })
}

// writePage writes the report to a file as an HTML page with plots.
func writePage(file string, report burn.Report) error {
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	if err := burn.WritePage(f, report); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}

func (c *call) printBurn(wire operate.WireBurn, report burn.Report) {
	fmt.Fprintf(c.out, "counted at %s on %s\n", wire.At.Format("15:04:05 MST"), strings.Join(wire.Answered, ", "))
	if len(wire.Missing) > 0 {
		fmt.Fprintf(c.out, "NO ANSWER: %s\n", strings.Join(wire.Missing, ", "))
	}
	for _, line := range report.Gaps() {
		fmt.Fprintln(c.out, line)
	}
	w := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "service\tneighbour\tobjective\tburn 5m\t30m\t1h\t6h\tbudget left\tp99\trequests\tcauses\talert\t")
	for _, r := range report.Rows {
		neighbour := r.Neighbour
		if neighbour == "" {
			neighbour = "(all)"
		}
		fmt.Fprintf(w, "%s\t%s\t%.4g%% in %v\t", r.Service, neighbour, r.Ratio*100, r.Latency)
		for _, window := range r.Windows {
			fmt.Fprintf(w, "%.2f\t", window.Burn)
		}
		fmt.Fprintf(w, "%.1f%%\t%v\t%d\t%s\t%s\t\n", r.BudgetLeft*100, r.P99, r.Windows[len(r.Windows)-1].Total, r.CauseText(), r.Alert)
	}
	_ = w.Flush()
}
