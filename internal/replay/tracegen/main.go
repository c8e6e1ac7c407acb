// Command tracegen writes the trace files of internal/replay/testdata. The files
// themselves are the test cases; the program documents how they were made.
//
// # Usage
//
//	go run ./internal/replay/tracegen internal/replay/testdata
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

// stream describes the submissions of one family.
type stream struct {
	family   string
	from, to time.Duration
	// meanInterval is the mean time between submissions, maxTasks the largest number of tasks in one.
	meanInterval time.Duration
	maxTasks     int
	// minRunTime and maxRunTime bound the run times.
	minRunTime, maxRunTime time.Duration
}

// trace is one file: a hand-written head, and random submissions.
type trace struct {
	name    string
	seed    uint64
	head    string
	streams []stream
}

type submission struct {
	at, runTime time.Duration
	family      string
	tasks       int
}

func (t trace) submissions() []submission {
	random := rand.New(rand.NewPCG(t.seed, 3))
	var all []submission
	for _, s := range t.streams {
		at := s.from
		for {
			at += time.Duration(random.ExpFloat64() * float64(s.meanInterval)).Round(time.Second)
			if at >= s.to {
				break
			}
			run := s.minRunTime + time.Duration(random.Int64N(int64(s.maxRunTime-s.minRunTime)+1)).Round(time.Second)
			all = append(all, submission{at: at, runTime: run, family: s.family, tasks: 1 + random.IntN(s.maxTasks)})
		}
	}
	slices.SortStableFunc(all, func(a, b submission) int { return int(a.at - b.at) })
	return all
}

func (t trace) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s", strings.TrimLeft(t.head, "\n"))
	fmt.Fprintf(&b, "\t\"name\": %q,\n\t\"seed\": %d,\n\t\"submissions\": [\n", t.name, t.seed)
	all := t.submissions()
	for i, s := range all {
		comma := ","
		if i == len(all)-1 {
			comma = ""
		}
		fmt.Fprintf(&b, "\t\t{\"at\": %q, \"family\": %q, \"tasks\": %d, \"runTime\": %q}%s\n", s.at, s.family, s.tasks, s.runTime, comma)
	}
	b.WriteString("\t]\n}\n")
	return b.String()
}

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: tracegen DIRECTORY")
		os.Exit(2)
	}
	for _, t := range traces() {
		path := filepath.Join(os.Args[1], t.name+".jsonc")
		if err := os.WriteFile(path, []byte(t.text()), 0o644); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
}
