package release

import (
	"fmt"
	"slices"
)

// Outcome is what became of one entry of a note.
type Outcome string

// The outcomes of an entry.
const (
	TookEffect Outcome = "tookEffect"
	Pending    Outcome = "pending"
	Refused    Outcome = "refused"
	Superseded Outcome = "superseded"
)

// Action is the list of a note that an entry stands in.
type Action string

// The actions of a note.
const (
	ActionAdd      Action = "added"
	ActionChange   Action = "changed"
	ActionWithdraw Action = "withdrawn"
)

// EntryReport is the outcome of one entry of a note.
type EntryReport struct {
	Action  Action
	Kind    Kind
	Name    string
	Outcome Outcome
	// Reason says why an entry was refused or superseded.
	Reason string
	// PendingOn names the instances that have not confirmed the entry.
	PendingOn []string
}

// Report is the outcome of a note, entry by entry.
type Report struct {
	Note     string
	Revision int64
	Entries  []EntryReport
}

// Refused reports whether any entry was refused.
func (r Report) Refused() bool {
	return slices.ContainsFunc(r.Entries, func(e EntryReport) bool { return e.Outcome == Refused })
}

// Apply returns the configuration after the note, and the outcome of each entry.
// If any entry is refused, the configuration is returned as it was.
func Apply(c Config, n Note) (Config, Report) {
	a := applier{report: Report{Note: n.Name, Revision: c.Revision + 1}}
	next := c
	next.Neighbours = applyKind(&a, KindNeighbour, c.Neighbours, n.Added.Neighbours, n.Changed.Neighbours, n.Withdrawn)
	next.Shares = applyKind(&a, KindShare, c.Shares, n.Added.Shares, n.Changed.Shares, n.Withdrawn)
	next.Services = applyKind(&a, KindService, c.Services, n.Added.Services, n.Changed.Services, n.Withdrawn)
	next.Jobs = applyKind(&a, KindJob, c.Jobs, n.Added.Jobs, n.Changed.Jobs, n.Withdrawn)
	next.YieldRules = applyKind(&a, KindYieldRule, c.YieldRules, n.Added.YieldRules, n.Changed.YieldRules, n.Withdrawn)
	if a.report.Refused() {
		a.report.Revision = c.Revision
		return c, a.report
	}
	next.Revision = c.Revision + 1
	next.Notes = append(slices.Clone(c.Notes), n.Name)
	return next, a.report
}

// applier collects the outcomes of the entries of one note.
type applier struct {
	report Report
}

func (a *applier) record(action Action, kind Kind, name, reason string) {
	e := EntryReport{Action: action, Kind: kind, Name: name, Outcome: TookEffect}
	if reason != "" {
		e.Outcome = Refused
		e.Reason = reason
	}
	a.report.Entries = append(a.report.Entries, e)
}

// applyKind returns the declarations of one kind after the note.
func applyKind[T any](a *applier, kind Kind, have, added, changed []T, withdrawn []Withdrawal) []T {
	next := slices.Clone(have)
	find := func(name string) int {
		return slices.IndexFunc(next, func(d T) bool { return nameOf(d) == name })
	}
	for _, d := range added {
		reason := ""
		if find(nameOf(d)) >= 0 {
			reason = fmt.Sprintf("%s %q is already declared", kind, nameOf(d))
		} else {
			next = append(next, d)
		}
		a.record(ActionAdd, kind, nameOf(d), reason)
	}
	for _, d := range changed {
		reason := ""
		if i := find(nameOf(d)); i < 0 {
			reason = fmt.Sprintf("%s %q is not declared", kind, nameOf(d))
		} else {
			next[i] = d
		}
		a.record(ActionChange, kind, nameOf(d), reason)
	}
	for _, w := range withdrawn {
		if w.Kind != kind {
			continue
		}
		reason := ""
		if i := find(w.Name); i < 0 {
			reason = fmt.Sprintf("%s %q is not declared", kind, w.Name)
		} else {
			next = slices.Delete(next, i, i+1)
		}
		a.record(ActionWithdraw, kind, w.Name, reason)
	}
	return next
}
