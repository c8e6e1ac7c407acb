package release

import (
	"fmt"
	"strings"

	"github.com/oriolepond/oriolepond/pkg/share"
)

// maxTotalQuota is the largest sum of the quotas of all shares.
var maxTotalQuota = share.Resources{Processors: 10 * maxProcessors * 1000, Memory: 10 * maxMemory, Accelerators: 10 * maxAccelerators}

// declarationID identifies a declaration.
type declarationID struct {
	kind Kind
	name string
}

// problem is an inconsistency of one declaration, in most cases with another one.
type problem struct {
	// declaration identifies the declaration with the invalid reference or value.
	declaration declarationID
	// related is the declaration that it refers to or collides with. It equals declaration if no
	// other one is involved.
	related declarationID
	reason  string
}

// checker collects the inconsistencies between declarations.
type checker struct {
	neighbours map[string]share.Neighbour
	shares     map[string]share.Share
	problems   []problem
}

// findProblems returns all inconsistencies between declarations.
func findProblems(d Declarations) []problem {
	c := &checker{neighbours: map[string]share.Neighbour{}, shares: map[string]share.Share{}}
	for _, s := range d.Shares {
		c.shares[s.Name] = s
	}
	c.checkNeighbours(d.Neighbours)
	c.checkShares(d.Shares)
	for _, s := range d.Services {
		c.checkShareUse(declarationID{KindService, s.Name}, s.Neighbour, s.Share, "runner", s.Runner)
	}
	for _, j := range d.Jobs {
		c.checkShareUse(declarationID{KindJob, j.Name}, j.Neighbour, j.Share, "task", j.Size)
	}
	c.checkYieldRules(d.YieldRules)
	return c.problems
}

func (c *checker) report(declaration, related declarationID, format string, args ...any) {
	c.problems = append(c.problems, problem{declaration: declaration, related: related, reason: fmt.Sprintf(format, args...)})
}

func (c *checker) checkNeighbours(all []share.Neighbour) {
	byHash := map[string]string{}
	for _, n := range all {
		c.neighbours[n.Name] = n
		if other, duplicate := byHash[n.TokenHash]; duplicate {
			c.report(declarationID{KindNeighbour, n.Name}, declarationID{KindNeighbour, other}, "has the same token hash as neighbour %q", other)
		}
		byHash[n.TokenHash] = n.Name
	}
}

func (c *checker) checkShares(all []share.Share) {
	var sum share.Resources
	for _, s := range all {
		id := declarationID{KindShare, s.Name}
		c.checkNeighbour(id, s.Neighbour)
		sum = sum.Plus(s.Quota)
		if !sum.Fits(maxTotalQuota) {
			c.report(id, id, "the sum of all quotas is above %v", maxTotalQuota)
			return
		}
	}
}

func (c *checker) checkNeighbour(id declarationID, name string) {
	if _, ok := c.neighbours[name]; !ok {
		c.report(id, declarationID{KindNeighbour, name}, "neighbour %q is not declared", name)
	}
}

// checkShareUse checks the share that a service or a job runs in: it must exist, belong to the same
// neighbour, and have a quota that fits one runner or task.
func (c *checker) checkShareUse(id declarationID, neighbour, name, unit string, size share.Resources) {
	c.checkNeighbour(id, neighbour)
	s, ok := c.shares[name]
	shareID := declarationID{KindShare, name}
	switch {
	case !ok:
		c.report(id, shareID, "share %q is not declared", name)
	case s.Neighbour != neighbour:
		c.report(id, shareID, "share %q belongs to neighbour %q, not to %q", name, s.Neighbour, neighbour)
	case !size.Fits(s.Quota):
		c.report(id, shareID, "one %s (%v) exceeds the quota of share %q (%v)", unit, size, name, s.Quota)
	}
}

func (c *checker) checkYieldRules(all []share.YieldRule) {
	rulesFrom := map[string][]share.YieldRule{}
	for _, r := range all {
		rulesFrom[r.Yields] = append(rulesFrom[r.Yields], r)
		for _, name := range []string{r.Yields, r.To} {
			if _, ok := c.shares[name]; !ok {
				c.report(declarationID{KindYieldRule, r.Name}, declarationID{KindShare, name}, "share %q is not declared", name)
			}
		}
	}
	for _, r := range all {
		if path := yieldPath(rulesFrom, r.To, r.Yields); path != nil {
			id := declarationID{KindYieldRule, r.Name}
			c.report(id, id, "shares would yield in a circle: %s", strings.Join(append([]string{r.Yields}, path...), " to "))
		}
	}
}

// yieldPath returns the shares on a path of yield rules from one share to another, or nil if there
// is none.
func yieldPath(rules map[string][]share.YieldRule, from, to string) []string {
	predecessor := map[string]string{from: ""}
	queue := []string{from}
	for len(queue) > 0 {
		current := queue[0]
		queue = queue[1:]
		if current == to {
			var path []string
			for ; current != ""; current = predecessor[current] {
				path = append([]string{current}, path...)
			}
			return path
		}
		for _, r := range rules[current] {
			if _, seen := predecessor[r.To]; !seen {
				predecessor[r.To] = current
				queue = append(queue, r.To)
			}
		}
	}
	return nil
}

// attributor finds the entry of a note that causes a problem.
type attributor struct {
	entries map[declarationID]Entry
	// fallback is the first entry of the note. It is used for problems with declarations that no
	// entry names.
	fallback Entry
}

func newAttributor(n Note) attributor {
	a := attributor{entries: map[declarationID]Entry{}}
	all := n.Entries()
	for _, e := range all {
		a.entries[declarationID{e.Kind, e.Name}] = e
	}
	if len(all) > 0 {
		a.fallback = all[0]
	}
	return a
}

// attribute returns the entry to refuse for a problem, and the reason. It prefers the entry that
// adds or changes the declaration with the problem, then the entry for the related declaration,
// then the first entry of the note.
func (a attributor) attribute(p problem) (Entry, string) {
	if e, ok := a.entries[p.declaration]; ok && e.Action != ActionWithdraw {
		return e, p.reason
	}
	reason := fmt.Sprintf("%s %q uses it: %s", p.declaration.kind, p.declaration.name, p.reason)
	if e, ok := a.entries[p.related]; ok {
		return e, reason
	}
	return a.fallback, reason
}
