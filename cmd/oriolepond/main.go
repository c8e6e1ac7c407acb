// Command oriolepond runs one entry instance (serve), one scheduler node on the users' platform
// (node), or a demonstration of three instances with stand-ins for all external systems (demo).
//
// # Usage
//
//	oriolepond serve -settings FILE
//	oriolepond node [-settings FILE]
//	oriolepond demo [-seconds N] [-seed N] [-example bajio|cairo] [-faults a,b] [-json]
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit statuses other than zero.
const (
	exitFailed = 1
	exitUsage  = 2
)

const usage = `oriolepond schedules latency-critical services and batch work on one pool.

Usage:
  oriolepond serve -settings FILE    run one entry instance
  oriolepond node [flags]            run one node of the users' platform
  oriolepond demo [flags]            run three instances under load, with stand-ins for external systems

Run a command with -h for its flags.
`

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(command(ctx, os.Args[1:]))
}

// command runs the command that the arguments name, and returns the exit status.
func command(ctx context.Context, args []string) int {
	if len(args) == 0 {
		fmt.Fprint(os.Stderr, usage)
		return exitUsage
	}
	switch args[0] {
	case "serve":
		return serve(ctx, args[1:])
	case "node":
		return runNode(ctx, args[1:])
	case "demo":
		return runDemo(ctx, args[1:])
	case "-h", "-help", "--help", "help":
		fmt.Print(usage)
		return 0
	}
	fmt.Fprintf(os.Stderr, "oriolepond: unknown command %q\n%s", args[0], usage)
	return exitUsage
}
