package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/oriolepond/oriolepond/internal/operate"
)

// exit is an exit status of pondctl.
type exit int

// Exit statuses, as described in exitHelp.
const (
	exitDone       exit = 0
	exitFailed     exit = 1
	exitUsage      exit = 2
	exitConflict   exit = 3
	exitNoResponse exit = 4
	exitPending    exit = 5
)

const exitHelp = `Exit status:
  0  done
  1  refused, or faults were found
  2  the command line or a file cannot be read
  3  another note changed the same entries first
  4  no response: the outcome is unknown, repeat the same command
  5  accepted, but not yet confirmed by all instances
`

// terminal holds the streams and the environment of a command.
type terminal struct {
	in       io.Reader
	out, err io.Writer
	env      func(string) string
}

// command describes one command of pondctl.
type command struct {
	name    string
	args    string
	summary string
	example string
	// nargs is the required number of arguments after the flags.
	nargs int
	// run registers the flags of the command, parses them, and executes the command.
	run func(ctx context.Context, c *call) error
}

// commands returns all commands in the order of the help text.
func commands() []command {
	return []command{
		{"check", "NOTE", "check a release note without applying it", "pondctl check -base first.jsonc -base second.jsonc third.jsonc", 1, check},
		{"diff", "NOTE", "show what a release note would change", "pondctl diff -at 10.0.0.1:8082 note.jsonc", 1, diff},
		{"apply", "NOTE", "apply a release note and print the outcome of each entry", "pondctl apply -at 10.0.0.1:8082 -wait note.jsonc", 1, apply},
		{"status", "NAME", "print the outcome of each entry of an accepted note", "pondctl status -at 10.0.0.1:8082 bajio-1", 1, status},
		{"history", "", "list the accepted notes, newest first", "pondctl history -at 10.0.0.1:8082 -n 50", 0, history},
		{"account", "", "print the resource usage of all shares", "pondctl account -at 10.0.0.1:8082", 0, account},
		{"burn", "", "print how fast the services' error budgets burn, and why", "pondctl burn -at 10.0.0.1:8082 -html burn.html", 0, burnReport},
		{"explain", "ID", "print the history of a job or task from the logs of nodes", "pondctl explain -log a.log -log b.log 5c0e7a21d94b36f8", 1, explain},
		{"lab", "FILE", "play an experiment in virtual time and print what its policies earn", "pondctl lab -seeds 5 examples/laboratory/calm.jsonc", 1, lab},
		{"job submit", "FAMILY", "submit a job, with a caller's token", "pondctl job submit -at 10.0.0.1:8080 -tasks 20 flatness-review", 1, jobSubmit},
		{"job status", "ID", "print the state of a job, with a caller's token", "pondctl job status -at 10.0.0.1:8080 ID", 1, jobStatus},
		{"job cancel", "ID", "cancel a job, with a caller's token", "pondctl job cancel -at 10.0.0.1:8080 ID", 1, jobCancel},
	}
}

// run runs the command that the arguments name, and returns the exit status.
func (t *terminal) run(ctx context.Context, args []string) int {
	if len(args) == 0 {
		fmt.Fprint(t.err, usage())
		return int(exitUsage)
	}
	if help := strings.TrimLeft(args[0], "-"); help == "h" || help == "help" {
		fmt.Fprint(t.out, usage())
		return int(exitDone)
	}
	for _, c := range commands() {
		words := strings.Fields(c.name)
		if len(args) >= len(words) && strings.Join(args[:len(words)], " ") == c.name {
			return int(t.runCommand(ctx, c, args[len(words):]))
		}
	}
	fmt.Fprintf(t.err, "pondctl: unknown command %q\n\n%s", strings.Join(args, " "), usage())
	return int(exitUsage)
}

func usage() string {
	var b strings.Builder
	b.WriteString("pondctl operates oriolepond.\n\nUsage:\n")
	for _, c := range commands() {
		fmt.Fprintf(&b, "  pondctl %-20s %s\n", strings.TrimSpace(c.name+" "+c.args), c.summary)
	}
	b.WriteString("\nRun a command with -h for its flags and an example.\n\n" + exitHelp)
	return b.String()
}

// runCommand runs one command, prints its error, and returns the exit status.
func (t *terminal) runCommand(ctx context.Context, c command, args []string) exit {
	err := c.run(ctx, newCall(t, c, args))
	var usage *usageError
	var ended *exitError
	switch {
	case err == nil, errors.Is(err, flag.ErrHelp):
		return exitDone
	case errors.As(err, &ended):
		return ended.Status
	case errors.As(err, &usage):
		fmt.Fprintf(t.err, "pondctl %s: %v\nRun it with -h for help.\n", c.name, err)
		return exitUsage
	}
	fmt.Fprintln(t.err, strings.TrimSpace(err.Error()))
	return statusOf(err)
}

// statusOf returns the exit status for the error of a call.
func statusOf(err error) exit {
	var refused *operate.CallError
	var file *os.PathError
	switch {
	case errors.As(err, &file):
		return exitUsage
	case errors.As(err, &refused) && len(refused.Conflicts) > 0:
		return exitConflict
	case errors.As(err, &refused) && refused.Status >= 500, isTransportError(err):
		return exitNoResponse
	}
	return exitFailed
}

// usageError reports an invalid command line.
type usageError struct {
	Reason string
}

// Error returns the reason.
func (e *usageError) Error() string { return e.Reason }

// exitError ends a command with a status. The command has already printed the reason.
type exitError struct {
	Status exit
}

// Error returns the status.
func (e *exitError) Error() string { return fmt.Sprintf("exit status %d", e.Status) }
