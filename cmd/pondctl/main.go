// Command pondctl is the operators' command line.
//
// # Usage
//
//	pondctl check NOTE
//	pondctl apply NOTE
//	pondctl account
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
)

// The exit statuses.
const (
	exitFailed = 1
	exitUsage  = 2
)

const usage = `pondctl drives oriolepond.

Usage:
  pondctl check NOTE      check a release note without applying it
  pondctl apply NOTE      apply a release note and print what took effect
  pondctl account         print who used what

Commands that call an instance take -at ADDRESS (or ORIOLEPOND_AT) and
-token TOKEN (or ORIOLEPOND_TOKEN). Run a command with -h for its flags.
`

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	os.Exit(command(ctx, os.Args[1:]))
}

// command runs a command and returns the exit status.
func command(ctx context.Context, args []string) int {
	if len(args) == 0 {
		fmt.Fprint(os.Stderr, usage)
		return exitUsage
	}
	switch args[0] {
	case "check":
		return check(args[1:])
	case "apply":
		return apply(ctx, args[1:])
	case "account":
		return account(ctx, args[1:])
	case "-h", "-help", "--help", "help":
		fmt.Print(usage)
		return 0
	}
	fmt.Fprintf(os.Stderr, "pondctl: no command %q\n%s", args[0], usage)
	return exitUsage
}
