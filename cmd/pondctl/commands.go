package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/oriolepond/oriolepond/internal/operate"
	"github.com/oriolepond/oriolepond/pkg/release"
)

// callFlags are the flags of commands that call an instance.
type callFlags struct {
	set    *flag.FlagSet
	at     *string
	token  *string
	asJSON *bool
}

func newCallFlags(name string) callFlags {
	set := flag.NewFlagSet(name, flag.ContinueOnError)
	return callFlags{
		set:    set,
		at:     set.String("at", os.Getenv("ORIOLEPOND_AT"), "operators' `address` of an instance"),
		token:  set.String("token", os.Getenv("ORIOLEPOND_TOKEN"), "operators' `token`"),
		asJSON: set.Bool("json", false, "print JSON"),
	}
}

func (f callFlags) client() operate.Client {
	return operate.Client{Address: *f.at, Token: *f.token}
}

// parse reads the flags and reports the exit status if the command ends here.
func (f callFlags) parse(args []string) (int, bool) {
	if err := f.set.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return 0, false
		}
		return exitUsage, false
	}
	if *f.at == "" {
		fmt.Fprintf(os.Stderr, "pondctl %s: -at is required\n", f.set.Name())
		return exitUsage, false
	}
	return 0, true
}

// check reads a note and prints its faults.
func check(args []string) int {
	if len(args) != 1 {
		fmt.Fprintln(os.Stderr, "pondctl check: name one file")
		return exitUsage
	}
	text, err := os.ReadFile(args[0])
	if err == nil {
		_, err = release.Parse(args[0], text)
	}
	if err != nil {
		return failed(err)
	}
	fmt.Printf("%s: no faults\n", args[0])
	return 0
}

// apply sends a note to an instance and prints the report.
func apply(ctx context.Context, args []string) int {
	f := newCallFlags("apply")
	if status, ok := f.parse(args); !ok {
		return status
	}
	if f.set.NArg() != 1 {
		fmt.Fprintln(os.Stderr, "pondctl apply: name one file")
		return exitUsage
	}
	file := f.set.Arg(0)
	text, err := os.ReadFile(file)
	if err == nil {
		_, err = release.Parse(file, text)
	}
	if err != nil {
		return failed(err)
	}
	report, raw, err := f.client().Apply(ctx, text)
	if err != nil {
		return failed(err)
	}
	if *f.asJSON {
		fmt.Println(string(raw))
	} else {
		printReport(report)
	}
	for _, e := range report.Entries {
		if e.Outcome == string(release.Refused) {
			return exitFailed
		}
	}
	return 0
}

func printReport(r operate.WireReport) {
	fmt.Printf("note %s, revision %d\n", r.Note, r.Revision)
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	for _, e := range r.Entries {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", e.Action, e.Kind, e.Name, e.Outcome, e.Reason)
	}
	_ = w.Flush()
}

// account prints the usage of all shares.
func account(ctx context.Context, args []string) int {
	f := newCallFlags("account")
	if status, ok := f.parse(args); !ok {
		return status
	}
	rows, raw, err := f.client().Account(ctx)
	if err != nil {
		return failed(err)
	}
	if *f.asJSON {
		fmt.Println(string(raw))
		return 0
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "neighbour\tshare\tprocessor s\tmemory GB·s\taccelerator s\topen tasks\t")
	for _, r := range rows {
		fmt.Fprintf(w, "%s\t%s\t%.1f\t%.1f\t%.1f\t%d\t\n",
			r.Neighbour, r.Share, r.ProcessorSeconds, r.MemoryByteSeconds/1e9, r.AcceleratorSeconds, r.OpenTasks)
	}
	_ = w.Flush()
	return 0
}

func failed(err error) int {
	fmt.Fprintln(os.Stderr, err)
	return exitFailed
}
