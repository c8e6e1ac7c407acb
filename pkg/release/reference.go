package release

import (
	"fmt"
	"strings"

	"github.com/oriolepond/oriolepond/pkg/share"
)

// maxPool bounds the sum of all quotas.
var maxPool = share.Resources{Processors: 10 * maxProcessors * 1000, Memory: 10 * maxMemory, Accelerators: 10 * maxAccelerators}

// subject is one declaration.
type subject struct {
	kind Kind
	name string
}

// problem is something that does not fit between declarations.
type problem struct {
	// of is the declaration that does not fit.
	of subject
	// with is the declaration that it does not fit with.
	with   subject
	reason string
}

// checker collects the problems of a set of declarations.
type checker struct {
	neighbours map[string]share.Neighbour
	shares     map[string]share.Share
	problems   []problem
}

// problems returns all that does not fit between declarations.
func problems(d Declarations) []problem {
	c := &checker{neighbours: map[string]share.Neighbour{}, shares: map[string]share.Share{}}
	for _, s := range d.Shares {
		c.shares[s.Name] = s
	}
	c.checkNeighbours(d.Neighbours)
	c.checkShares(d.Shares)
	for _, s := range d.Services {
		c.checkUse(subject{KindService, s.Name}, s.Neighbour, s.Share, "runner", s.Runner)
	}
	for _, j := range d.Jobs {
		c.checkUse(subject{KindJob, j.Name}, j.Neighbour, j.Share, "task", j.Size)
	}
	c.checkYieldRules(d.YieldRules)
	return c.problems
}

func (c *checker) add(of, with subject, format string, args ...any) {
	c.problems = append(c.problems, problem{of: of, with: with, reason: fmt.Sprintf(format, args...)})
}

func (c *checker) checkNeighbours(all []share.Neighbour) {
	byHash := map[string]string{}
	for _, n := range all {
		c.neighbours[n.Name] = n
		if other, taken := byHash[n.TokenHash]; taken {
			c.add(subject{KindNeighbour, n.Name}, subject{KindNeighbour, other}, "has the same token hash as neighbour %q", other)
		}
		byHash[n.TokenHash] = n.Name
	}
}

func (c *checker) checkShares(all []share.Share) {
	var sum share.Resources
	for _, s := range all {
		of := subject{KindShare, s.Name}
		c.checkNeighbour(of, s.Neighbour)
		sum = sum.Plus(s.Quota)
		if !sum.Fits(maxPool) {
			c.add(of, of, "the sum of all quotas is above %v", maxPool)
			return
		}
	}
}

func (c *checker) checkNeighbour(of subject, name string) {
	if _, ok := c.neighbours[name]; !ok {
		c.add(of, subject{KindNeighbour, name}, "neighbour %q is not declared", name)
	}
}

// checkUse checks what a service or a job draws on.
func (c *checker) checkUse(of subject, neighbour, name, what string, size share.Resources) {
	c.checkNeighbour(of, neighbour)
	s, ok := c.shares[name]
	with := subject{KindShare, name}
	switch {
	case !ok:
		c.add(of, with, "share %q is not declared", name)
	case s.Neighbour != neighbour:
		c.add(of, with, "share %q belongs to neighbour %q, not to %q", name, s.Neighbour, neighbour)
	case !size.Fits(s.Quota):
		c.add(of, with, "one %s (%v) exceeds the quota of share %q (%v)", what, size, name, s.Quota)
	}
}

func (c *checker) checkYieldRules(all []share.YieldRule) {
	to := map[string][]share.YieldRule{}
	for _, r := range all {
		to[r.Yields] = append(to[r.Yields], r)
		for _, name := range []string{r.Yields, r.To} {
			if _, ok := c.shares[name]; !ok {
				c.add(subject{KindYieldRule, r.Name}, subject{KindShare, name}, "share %q is not declared", name)
			}
		}
	}
	for _, r := range all {
		if path := pathBetween(to, r.To, r.Yields); path != nil {
			of := subject{KindYieldRule, r.Name}
			c.add(of, of, "shares would yield in a circle: %s", strings.Join(append([]string{r.Yields}, path...), " to "))
		}
	}
}

// pathBetween returns the shares from one to another along yield rules, or nil.
func pathBetween(rules map[string][]share.YieldRule, from, target string) []string {
	before := map[string]string{from: ""}
	queue := []string{from}
	for len(queue) > 0 {
		at := queue[0]
		queue = queue[1:]
		if at == target {
			var path []string
			for ; at != ""; at = before[at] {
				path = append([]string{at}, path...)
			}
			return path
		}
		for _, r := range rules[at] {
			if _, seen := before[r.To]; !seen {
				before[r.To] = at
				queue = append(queue, r.To)
			}
		}
	}
	return nil
}

// blame finds the entry of a note that a problem comes from.
type blame struct {
	entries map[subject]Entry
	first   Entry
}

func newBlame(n Note) blame {
	b := blame{entries: map[subject]Entry{}}
	all := n.Entries()
	for _, e := range all {
		b.entries[subject{e.Kind, e.Name}] = e
	}
	if len(all) > 0 {
		b.first = all[0]
	}
	return b
}

// entry returns the entry to refuse, and the reason.
func (b blame) entry(p problem) (Entry, string) {
	if e, ok := b.entries[p.of]; ok && e.Action != ActionWithdraw {
		return e, p.reason
	}
	reason := fmt.Sprintf("%s %q uses it: %s", p.of.kind, p.of.name, p.reason)
	if e, ok := b.entries[p.with]; ok {
		return e, reason
	}
	return b.first, reason
}
