//go:build review

// Command reviewstandin plays the platform around the project's nodes for the cases of
// the review: the store, the runners (each a process of its own) and the consumers. It
// follows the users' pages, and where these are silent behaves like a sound platform.
//
// # Usage
//
//	reviewstandin case NAME -node target/oriolepond -record review/2/record.txt -trouble=true
//	reviewstandin runner -id i-1 -listen 127.20.1.31:9000 -driver 127.20.1.1:9000
//
// The exit status of a case is 1 if the rule was broken, 0 if it held, and 2 if the case
// could not run.
package main

import (
	"fmt"
	"os"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "reviewstandin case|runner ...")
		os.Exit(exitFailed)
	}
	switch os.Args[1] {
	case "case":
		os.Exit(runCase(os.Args[2:]))
	case "runner":
		os.Exit(runRunner(os.Args[2:]))
	}
	fmt.Fprintln(os.Stderr, "unknown command", os.Args[1])
	os.Exit(exitFailed)
}
