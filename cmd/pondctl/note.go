package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/oriolepond/oriolepond/internal/jsonc"
	"github.com/oriolepond/oriolepond/internal/operate"
	"github.com/oriolepond/oriolepond/pkg/release"
)

// fileList is a flag that may be repeated.
type fileList []string

// String returns the files, separated by spaces.
func (l *fileList) String() string { return strings.Join(*l, " ") }

// Set appends a file.
func (l *fileList) Set(file string) error {
	*l = append(*l, file)
	return nil
}

// baseFlags are the flags that select the configuration that a note is checked against.
type baseFlags struct {
	files fileList
	empty *bool
}

func newBaseFlags(c *call) *baseFlags {
	b := &baseFlags{}
	c.flags.Var(&b.files, "base", "earlier `note` that the note follows; may be repeated, oldest first")
	b.empty = c.flags.Bool("empty", false, "check against an empty configuration")
	return b
}

// baseConfig returns the configuration that the flags select, and whether they select one.
func (b *baseFlags) baseConfig(ctx context.Context, c *call) (release.Config, bool, error) {
	switch {
	case len(b.files) > 0:
		base, err := applyFiles(b.files)
		return base, true, err
	case *c.address != "":
		base, err := c.client().Config(ctx)
		return base, true, err
	}
	return release.Config{}, *b.empty, nil
}

// applyFiles returns the configuration after some notes in order, or the first fault.
func applyFiles(files []string) (release.Config, error) {
	var base release.Config
	for _, file := range files {
		n, _, err := readNote(file)
		if err == nil {
			err = release.Check(file, base, n)
		}
		if err != nil {
			return release.Config{}, err
		}
		base, _ = release.Apply(base, n)
	}
	return base, nil
}

// readNote returns the note in a file, and the text of the file.
func readNote(file string) (release.Note, []byte, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return release.Note{}, nil, err
	}
	n, err := release.Parse(file, text)
	return n, text, err
}

type (
	wireFault struct {
		File   string `json:"file"`
		Line   int    `json:"line"`
		Entry  string `json:"entry"`
		Reason string `json:"reason"`
	}
	wireCheck struct {
		File string `json:"file"`
		// Against states what the note was checked against.
		Against string      `json:"against"`
		Faults  []wireFault `json:"faults"`
	}
)

// check prints the faults of a note, checked on its own or against a configuration.
func check(ctx context.Context, c *call) error {
	c.withOperator()
	flags := newBaseFlags(c)
	if err := c.parse(); err != nil {
		return err
	}
	file := c.flags.Arg(0)
	result := wireCheck{File: file, Against: "itself only; name -base, -at or -empty to check references", Faults: []wireFault{}}
	n, _, err := readNote(file)
	if err == nil {
		var base release.Config
		var hasBase bool
		base, hasBase, err = flags.baseConfig(ctx, c)
		if err == nil && hasBase {
			result.Against = fmt.Sprintf("revision %d", base.Revision)
			err = release.Check(file, base, n)
		}
	}
	if result.Faults, err = faultsOf(err); err != nil {
		return err
	}
	return c.printCheck(result)
}

func (c *call) printCheck(result wireCheck) error {
	err := c.print(result, func() {
		for _, f := range result.Faults {
			fmt.Fprintf(c.out, "%s:%d: %s: %s\n", f.File, f.Line, f.Entry, f.Reason)
		}
		if len(result.Faults) == 0 {
			fmt.Fprintf(c.out, "%s: no faults, checked against %s\n", result.File, result.Against)
		}
	})
	if err == nil && len(result.Faults) > 0 {
		return &exitError{Status: exitFailed}
	}
	return err
}

// faultsOf returns the faults in a *jsonc.SyntaxError or *jsonc.FaultsError, and no faults for nil.
// Any other error is returned as it is.
func faultsOf(err error) ([]wireFault, error) {
	var syntax *jsonc.SyntaxError
	var faults *jsonc.FaultsError
	all := []wireFault{}
	switch {
	case errors.As(err, &syntax):
		all = append(all, wireFault{File: syntax.File, Line: syntax.Line, Entry: "document", Reason: syntax.Reason})
	case errors.As(err, &faults):
		for _, f := range faults.Faults {
			all = append(all, wireFault{File: faults.File, Line: f.Line, Entry: f.Path, Reason: f.Reason})
		}
	default:
		return all, err
	}
	return all, nil
}

type (
	wireDifference struct {
		Action string            `json:"action"`
		Kind   string            `json:"kind"`
		Name   string            `json:"name"`
		Fields []wireFieldChange `json:"fields"`
	}
	wireFieldChange struct {
		Path   string `json:"path"`
		Before string `json:"before"`
		After  string `json:"after"`
	}
)

// diff prints what a note would change in a configuration.
func diff(ctx context.Context, c *call) error {
	c.withOperator()
	flags := newBaseFlags(c)
	if err := c.parse(); err != nil {
		return err
	}
	n, _, err := readNote(c.flags.Arg(0))
	if err != nil {
		return err
	}
	base, hasBase, err := flags.baseConfig(ctx, c)
	if err != nil {
		return err
	}
	if !hasBase {
		return &usageError{Reason: "one of -base, -at and -empty is required"}
	}
	if err := release.Check(c.flags.Arg(0), base, n); err != nil {
		return err
	}
	next, _ := release.Apply(base, n)
	all, err := release.Diff(base, next)
	if err != nil {
		return err
	}
	return c.printDifferences(all)
}

func (c *call) printDifferences(all []release.Difference) error {
	wire := []wireDifference{}
	for _, d := range all {
		w := wireDifference{Action: string(d.Entry.Action), Kind: string(d.Entry.Kind), Name: d.Entry.Name}
		for _, f := range d.Fields {
			w.Fields = append(w.Fields, wireFieldChange(f))
		}
		wire = append(wire, w)
	}
	return c.print(wire, func() {
		for _, d := range wire {
			fmt.Fprintf(c.out, "%s %s %s\n", d.Action, d.Kind, d.Name)
			for _, f := range d.Fields {
				c.printField(f)
			}
		}
	})
}

func (c *call) printField(f wireFieldChange) {
	if f.Before != "" {
		fmt.Fprintf(c.out, "  - %s: %s\n", f.Path, f.Before)
	}
	if f.After != "" {
		fmt.Fprintf(c.out, "  + %s: %s\n", f.Path, f.After)
	}
}

// apply applies a note at an instance and prints the report. With -wait it waits until all
// instances have confirmed the note.
func apply(ctx context.Context, c *call) error {
	c.withOperator()
	base := c.flags.Int64("base", 0, "`revision` that the note was written against; later notes on the same entries are conflicts")
	wait := c.flags.Bool("wait", false, "wait until the note is in force at every instance")
	timeout := c.flags.Duration("timeout", time.Minute, "timeout of -wait")
	if err := c.parseRemote(); err != nil {
		return err
	}
	n, text, err := readNote(c.flags.Arg(0))
	if err != nil {
		return err
	}
	report, _, err := c.client().ApplyAgainst(ctx, text, *base)
	if err != nil {
		return err
	}
	if *wait && hasOutcome(report, release.Pending) {
		if report, err = c.awaitNote(ctx, n.Name, *timeout); err != nil {
			return err
		}
	}
	return c.printReport(report)
}

// statusPollInterval is the time between two requests for the status of a pending note.
const statusPollInterval = 200 * time.Millisecond

// awaitNote polls the status of a note until nothing is pending or the timeout expires, and returns
// the last report.
func (c *call) awaitNote(ctx context.Context, note string, timeout time.Duration) (operate.WireReport, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	lastPrinted := ""
	var last operate.WireReport
	for {
		report, _, err := c.client().Status(ctx, note)
		if err == nil {
			last = report
		}
		if err == nil && !hasOutcome(report, release.Pending) {
			return report, nil
		}
		if pending := pendingOn(last); pending != lastPrinted {
			fmt.Fprintf(c.err, "pending on %s\n", pending)
			lastPrinted = pending
		}
		select {
		case <-ctx.Done():
			return last, nil
		case <-time.After(statusPollInterval):
		}
	}
}

// pendingOn returns what a note is pending on: the instances that have not confirmed it, or a
// response if there is no report yet.
func pendingOn(r operate.WireReport) string {
	for _, e := range r.Entries {
		if len(e.PendingOn) > 0 {
			return strings.Join(e.PendingOn, ", ")
		}
	}
	return "a response"
}

// status prints the outcome of each entry of an accepted note.
func status(ctx context.Context, c *call) error {
	c.withOperator()
	if err := c.parseRemote(); err != nil {
		return err
	}
	report, _, err := c.client().Status(ctx, c.flags.Arg(0))
	if err != nil {
		return err
	}
	return c.printReport(report)
}

// hasOutcome reports whether any entry of a report has the outcome.
func hasOutcome(r operate.WireReport, o release.Outcome) bool {
	for _, e := range r.Entries {
		if e.Outcome == string(o) {
			return true
		}
	}
	return false
}

// printReport prints a report. It returns an *exitError if an entry was refused or is pending.
func (c *call) printReport(r operate.WireReport) error {
	err := c.print(r, func() {
		fmt.Fprintf(c.out, "note %s, revision %d\n", r.Note, r.Revision)
		w := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
		for _, e := range r.Entries {
			reason := e.Reason
			if len(e.PendingOn) > 0 {
				reason = "on " + strings.Join(e.PendingOn, ", ")
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", e.Action, e.Kind, e.Name, e.Outcome, reason)
		}
		_ = w.Flush()
	})
	switch {
	case err != nil:
		return err
	case hasOutcome(r, release.Refused):
		return &exitError{Status: exitFailed}
	case hasOutcome(r, release.Pending):
		return &exitError{Status: exitPending}
	}
	return nil
}

// history prints the accepted notes, newest first.
func history(ctx context.Context, c *call) error {
	c.withOperator()
	n := c.flags.Int("n", 20, "number of notes, at most 200")
	if err := c.parseRemote(); err != nil {
		return err
	}
	all, _, err := c.client().History(ctx, *n)
	if err != nil {
		return err
	}
	return c.print(all, func() {
		w := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
		fmt.Fprintln(w, "revision\taccepted\tnote\tentries")
		for _, r := range all {
			fmt.Fprintf(w, "%d\t%s\t%s\t%d\n", r.Revision, r.Accepted.Format(time.RFC3339), r.Note, len(r.Entries))
		}
		_ = w.Flush()
	})
}
