// Command tracegen writes the traces of internal/replay/testdata. The files
// are the cases; this only records how they came about.
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

// stream is the submissions of one family.
type stream struct {
	family   string
	from, to time.Duration
	// every is the mean time between submissions, tasks their greatest size.
	every time.Duration
	tasks int
	// least and most bound the run times.
	least, most time.Duration
}

// trace is one file: a head that is written by hand, and submissions.
type trace struct {
	name    string
	seed    uint64
	head    string
	streams []stream
}

type submission struct {
	at, run time.Duration
	family  string
	tasks   int
}

func (t trace) submissions() []submission {
	random := rand.New(rand.NewPCG(t.seed, 3))
	var all []submission
	for _, s := range t.streams {
		at := s.from
		for {
			at += time.Duration(random.ExpFloat64() * float64(s.every)).Round(time.Second)
			if at >= s.to {
				break
			}
			run := s.least + time.Duration(random.Int64N(int64(s.most-s.least)+1)).Round(time.Second)
			all = append(all, submission{at: at, run: run, family: s.family, tasks: 1 + random.IntN(s.tasks)})
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
		fmt.Fprintf(&b, "\t\t{\"at\": %q, \"family\": %q, \"tasks\": %d, \"runTime\": %q}%s\n", s.at, s.family, s.tasks, s.run, comma)
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
