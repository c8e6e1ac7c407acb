//go:build review2

package main

import (
	"fmt"
	"sync"
	"time"
)

// ledger judges the runs by what runners have seen.
type ledger struct {
	mu     sync.Mutex
	record *record
	tasks  map[string]*taskHistory
}

type taskHistory struct {
	runs []*runHistory
}

type runHistory struct {
	runner, kind string
	run          int64
	from         time.Time
	to           time.Time
	how          string
	// noted means that ackIndex has reached the end, lapsed that the lease has lapsed between the two.
	noted, lapsed bool
}

func newLedger(r *record) *ledger { return &ledger{record: r, tasks: map[string]*taskHistory{}} }

func (l *ledger) started(runner, kind, task string, run int64, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.tasks[task]
	if h == nil {
		h = &taskHistory{}
		l.tasks[task] = h
	}
	h.runs = append(h.runs, &runHistory{runner: runner, kind: kind, run: run, from: at})
}

func (l *ledger) ended(runner, task string, run int64, how string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, h := range l.tasks[task].runs {
		if h.runner == runner && h.run == run && h.how == "" {
			h.to, h.how = at, how
		}
	}
}

func (l *ledger) noted(task string, run int64, lapsed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, h := range l.tasks[task].runs {
		if h.run == run && h.how != "" {
			h.noted, h.lapsed = true, lapsed
		}
	}
}

// checkTwice returns what breaks the rule TWICE: two runs of a task at the same time, or a start after an end
// `done` that is taken note of then or later, unless the lease lapsed between the two.
func (l *ledger) checkTwice() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var breaks []string
	for task, h := range l.tasks {
		for i, a := range h.runs {
			for _, b := range h.runs[i+1:] {
				switch {
				case a.to.IsZero() || b.from.Before(a.to):
					breaks = append(breaks, fmt.Sprintf("TWICE: %s run %d on %s from %s to %s (%s), and run %d on %s from %s",
						task, a.run, a.runner, l.record.at(a.from), l.record.at(a.to), a.how, b.run, b.runner, l.record.at(b.from)))
				case a.how == "done" && a.noted && !a.lapsed:
					breaks = append(breaks, fmt.Sprintf("TWICE: %s run %d on %s ended done at %s and was taken note of; run %d started on %s at %s",
						task, a.run, a.runner, l.record.at(a.to), b.run, b.runner, l.record.at(b.from)))
				}
			}
		}
	}
	return breaks
}

// runsOf returns the runs of a task.
func (l *ledger) runsOf(task string) []runHistory {
	l.mu.Lock()
	defer l.mu.Unlock()
	var runs []runHistory
	if h := l.tasks[task]; h != nil {
		for _, r := range h.runs {
			runs = append(runs, *r)
		}
	}
	return runs
}

// isRunning reports whether the last run of a task goes on.
func (l *ledger) isRunning(task string) bool {
	runs := l.runsOf(task)
	return len(runs) > 0 && runs[len(runs)-1].how == ""
}
