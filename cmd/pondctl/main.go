// Command pondctl is the command-line tool of operators. Callers use its job commands.
//
// # Usage
//
//	pondctl check note.jsonc
//	pondctl apply -at 10.0.0.1:8082 -wait note.jsonc
//	pondctl status -at 10.0.0.1:8082 bajio-1
//	pondctl lab examples/laboratory/calm.jsonc
//	pondctl job submit -at 10.0.0.1:8080 -tasks 20 flatness-review
package main

import (
	"context"
	"os"
	"os/signal"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	t := &terminal{in: os.Stdin, out: os.Stdout, err: os.Stderr, env: os.Getenv}
	os.Exit(t.run(ctx, os.Args[1:]))
}
