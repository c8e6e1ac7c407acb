//go:build review2

package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// gangTimeout is the gangTimeoutMs of the settings.
const gangTimeout = 3 * time.Second

// gangs knows which members of the gangs are present on the runners.
type gangs struct {
	mu   sync.Mutex
	runs map[string]*gangRun
}

// gangRun is one run of a gang.
type gangRun struct {
	present     int
	first, full time.Time
	// fate is how the members end; empty while they run.
	fate string
}

func newGangs() *gangs { return &gangs{runs: map[string]*gangRun{}} }

// gangKey names the run of a gang by a member.
func gangKey(task string, run int64) string {
	return fmt.Sprintf("%s/%d", task[:strings.LastIndexByte(task, '.')], run)
}

// join records that a member of a gang of the given size has begun.
func (g *gangs) join(task string, run int64, members int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	key := gangKey(task, run)
	if g.runs[key] == nil {
		g.runs[key] = &gangRun{first: time.Now()}
	}
	r := g.runs[key]
	if r.present++; r.present == members {
		r.full = time.Now()
	}
}

// leave records that a member has ended, which breaks the gang unless that has ended.
func (g *gangs) leave(task string, run int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r := g.runs[gangKey(task, run)]; r != nil && r.fate == "" {
		r.fate = "broken"
	}
}

// fate returns how a member of a gang has to end now; empty if it runs on.
func (g *gangs) fate(task string, run int64, duration time.Duration) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.runs[gangKey(task, run)]
	switch {
	case r == nil:
		return ""
	case r.fate != "":
	case !r.full.IsZero() && time.Since(r.full) >= duration:
		r.fate = "done"
	case r.full.IsZero() && time.Since(r.first) > gangTimeout:
		r.fate = "alone"
	}
	return r.fate
}
