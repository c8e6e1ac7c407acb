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

// fileList is a flag that may stand several times.
type fileList []string

// String returns the files.
func (l *fileList) String() string { return strings.Join(*l, " ") }

// Set adds a file.
func (l *fileList) Set(file string) error {
	*l = append(*l, file)
	return nil
}

// baseFlags say which configuration a note is checked against.
type baseFlags struct {
	files fileList
	empty *bool
}

func newBaseFlags(c *call) *baseFlags {
	b := &baseFlags{}
	c.set.Var(&b.files, "base", "earlier `note` that the note follows; may stand several times, oldest first")
	b.empty = c.set.Bool("empty", false, "check against an empty configuration")
	return b
}

// config returns the configuration, and whether one was named.
func (b *baseFlags) config(ctx context.Context, c *call) (release.Config, bool, error) {
	switch {
	case len(b.files) > 0:
		base, err := applyFiles(b.files)
		return base, true, err
	case *c.at != "":
		base, err := c.client().Config(ctx)
		return base, true, err
	}
	return release.Config{}, *b.empty, nil
}

// applyFiles returns the configuration after some notes, which must fit each other.
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
		// Against says what the references were checked against.
		Against string      `json:"against"`
		Faults  []wireFault `json:"faults"`
	}
)

// check reads a note and prints its faults.
func check(ctx context.Context, c *call) error {
	c.withOperator()
	flags := newBaseFlags(c)
	if err := c.parse(); err != nil {
		return err
	}
	file := c.set.Arg(0)
	result := wireCheck{File: file, Against: "itself only; name -base, -at or -empty to check references", Faults: []wireFault{}}
	n, _, err := readNote(file)
	if err == nil {
		var base release.Config
		var named bool
		base, named, err = flags.config(ctx, c)
		if err == nil && named {
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

// faultsOf returns the faults that an error holds; another error is returned as it is.
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

// diff prints what a note would change.
func diff(ctx context.Context, c *call) error {
	c.withOperator()
	flags := newBaseFlags(c)
	if err := c.parse(); err != nil {
		return err
	}
	n, _, err := readNote(c.set.Arg(0))
	if err != nil {
		return err
	}
	base, named, err := flags.config(ctx, c)
	if err != nil {
		return err
	}
	if !named {
		return &usageError{Reason: "name -base, -at or -empty"}
	}
	if err := release.Check(c.set.Arg(0), base, n); err != nil {
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

// apply sends a note to an instance and prints the report.
func apply(ctx context.Context, c *call) error {
	c.withOperator()
	base := c.set.Int64("base", 0, "`revision` that the note was written against; later notes on the same entries are conflicts")
	wait := c.set.Bool("wait", false, "wait until the note is in force at every instance")
	timeout := c.set.Duration("timeout", time.Minute, "how long -wait waits")
	if err := c.parseRemote(); err != nil {
		return err
	}
	n, text, err := readNote(c.set.Arg(0))
	if err != nil {
		return err
	}
	report, _, err := c.client().ApplyAgainst(ctx, text, *base)
	if err != nil {
		return err
	}
	if *wait && has(report, release.Pending) {
		if report, err = c.await(ctx, n.Name, *timeout); err != nil {
			return err
		}
	}
	return c.printReport(report)
}

// statusInterval is how often a waiting command asks for the status.
const statusInterval = 200 * time.Millisecond

// await asks for the status of a note until nothing is pending or the time is up.
func (c *call) await(ctx context.Context, note string, timeout time.Duration) (operate.WireReport, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	said := ""
	var last operate.WireReport
	for {
		report, _, err := c.client().Status(ctx, note)
		if err == nil {
			last = report
		}
		if err == nil && !has(report, release.Pending) {
			return report, nil
		}
		if now := pendingOn(last); now != said {
			fmt.Fprintf(c.err, "pending on %s\n", now)
			said = now
		}
		select {
		case <-ctx.Done():
			return last, nil
		case <-time.After(statusInterval):
		}
	}
}

func pendingOn(r operate.WireReport) string {
	for _, e := range r.Entries {
		if len(e.PendingOn) > 0 {
			return strings.Join(e.PendingOn, ", ")
		}
	}
	return "an answer"
}

// status prints what became of a note.
func status(ctx context.Context, c *call) error {
	c.withOperator()
	if err := c.parseRemote(); err != nil {
		return err
	}
	report, _, err := c.client().Status(ctx, c.set.Arg(0))
	if err != nil {
		return err
	}
	return c.printReport(report)
}

func has(r operate.WireReport, o release.Outcome) bool {
	for _, e := range r.Entries {
		if e.Outcome == string(o) {
			return true
		}
	}
	return false
}

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
	case has(r, release.Refused):
		return &exitError{Status: exitFailed}
	case has(r, release.Pending):
		return &exitError{Status: exitPending}
	}
	return nil
}

// history lists the accepted notes.
func history(ctx context.Context, c *call) error {
	c.withOperator()
	n := c.set.Int("n", 20, "how many notes, at most 200")
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
