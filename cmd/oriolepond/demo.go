package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/oriolepond/oriolepond/examples"
	"github.com/oriolepond/oriolepond/internal/demo"
)

const defaultDemoSeconds = 10

// runDemo runs a load of limited length against three instances whose external systems are
// stand-ins, and returns the exit status.
func runDemo(ctx context.Context, args []string) int {
	flags := flag.NewFlagSet("demo", flag.ContinueOnError)
	seconds := flags.Int("seconds", defaultDemoSeconds, "length of the load, in seconds")
	seed := flags.Uint64("seed", 1, "seed of all random choices")
	example := flags.String("example", "bajio", "deployment: bajio or cairo")
	faults := flags.String("faults", "", "faults to inject, separated by commas, or all")
	asJSON := flags.Bool("json", false, "end standard output with one line of JSON")
	if err := flags.Parse(args); err != nil {
		return parseStatus(err)
	}
	e, ok := examples.Find(*example)
	if !ok {
		fmt.Fprintf(os.Stderr, "oriolepond demo: unknown example %q\n", *example)
		return exitUsage
	}
	names, err := demo.ParseFaults(*faults)
	if err != nil {
		fmt.Fprintf(os.Stderr, "oriolepond demo: %v\n", err)
		return exitUsage
	}
	if *seconds < 1 {
		fmt.Fprintln(os.Stderr, "oriolepond demo: -seconds must be at least 1")
		return exitUsage
	}
	d := &demo.Demo{
		Example: e,
		Length:  time.Duration(*seconds) * time.Second,
		Seed:    *seed,
		Faults:  names,
		Out:     os.Stdout,
	}
	report, err := d.Run(ctx)
	if err != nil {
		fmt.Fprintf(os.Stderr, "oriolepond demo: %v\n", err)
		return exitFailed
	}
	fmt.Print(report.Text())
	if *asJSON {
		fmt.Println(report.JSON())
	}
	if broken := report.Broken(); len(broken) > 0 {
		fmt.Fprintln(os.Stderr, "broken rules:", strings.Join(broken, ", "))
		return exitFailed
	}
	return 0
}
