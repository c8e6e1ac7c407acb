//go:build review2

// Command case plays one case of the review against nodes that run as processes of their own. The store, the
// runners and the consumers are stand-ins in this process.
//
// # Usage
//
//	TROUBLE=1 target/review-2/case NAME RECORD
//
// It runs in the root of the repository, writes to the file RECORD, and exits with 1 if the rule was broken, 0 if it
// held, and 2 if the case could not run. With TROUBLE=0 it leaves out the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// scenario plays a case and returns what breaks the rule.
type scenario func(d *deployment, trouble bool) ([]string, error)

var scenarios = map[string]scenario{
	"former-lifetime": formerLifetime,
	"many-ends":       manyEnds,
	"failing-runner":  failingRunner,
	"lent-for-good":   lentForGood,
	"large-gang":      largeGang,
}

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
	// maxPrinted limits the broken rules that are printed; all are in the record.
	maxPrinted = 3
)

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: case NAME RECORD")
		return exitNotRun
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	trouble := os.Getenv("TROUBLE") != "0"
	r.add("case %s, with the disruption: %v", os.Args[1], trouble)
	d, err := newDeployment(r)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer d.stop()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-interrupted
		d.stop()
		os.Exit(exitNotRun)
	}()
	breaks, err := scenarios[os.Args[1]](d, trouble)
	if err != nil {
		r.add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitNotRun
	}
	for i, b := range breaks {
		r.add("%s", b)
		if i < maxPrinted {
			fmt.Println(b)
		}
	}
	if len(breaks) > 0 {
		fmt.Println("broken:", len(breaks))
		r.add("broken: %d", len(breaks))
		return exitBroken
	}
	fmt.Println("held")
	r.add("held")
	return exitHeld
}
