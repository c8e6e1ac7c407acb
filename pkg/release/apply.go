package release

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/oriolepond/oriolepond/pkg/share"
)

// WithdrawnOriginRetention is the number of revisions for which the origin of a withdrawn
// declaration is kept.
const WithdrawnOriginRetention = 1000

// otherEntriesReason is the reason that a report gives for an entry that is valid, but whose note is
// refused because of other entries.
const otherEntriesReason = "the note is refused whole because of its other entries"

// Apply returns the configuration after the note, and the outcome of each entry. If any entry is
// refused, no entry takes effect and the configuration is returned unchanged.
func Apply(c Config, n Note) (Config, Report) {
	next, refusals := applyOrRefuse(c, n)
	if len(refusals) > 0 {
		return c, refusedReport(c, n, refusals)
	}
	next.Revision = c.Revision + 1
	next.Origins = updateOrigins(c.Origins, n, next.Revision)
	report := Report{Note: n.Name, Revision: next.Revision}
	for _, e := range n.Entries() {
		report.Entries = append(report.Entries, EntryReport{Entry: e, Outcome: TookEffect})
	}
	return next, report
}

func refusedReport(c Config, n Note, refusals map[Entry][]string) Report {
	report := Report{Note: n.Name, Revision: c.Revision}
	for _, e := range n.Entries() {
		reasons := refusals[e]
		if len(reasons) == 0 {
			reasons = []string{otherEntriesReason}
		}
		for _, reason := range reasons {
			report.Entries = append(report.Entries, EntryReport{Entry: e, Outcome: Refused, Reason: reason})
		}
	}
	return report
}

// applyOrRefuse returns the declarations after the note, and the reasons for each entry that is
// refused.
func applyOrRefuse(c Config, n Note) (Config, map[Entry][]string) {
	a := entryApplier{config: c, refusals: map[Entry][]string{}}
	next := Config{Revision: c.Revision}
	next.Neighbours = applyKind(&a, KindNeighbour, c.Neighbours, n.Added.Neighbours, n.Changed.Neighbours, n.Withdrawn)
	next.Shares = applyKind(&a, KindShare, c.Shares, n.Added.Shares, n.Changed.Shares, n.Withdrawn)
	next.Services = applyKind(&a, KindService, c.Services, n.Added.Services, n.Changed.Services, n.Withdrawn)
	next.Jobs = applyKind(&a, KindJob, c.Jobs, n.Added.Jobs, n.Changed.Jobs, n.Withdrawn)
	next.YieldRules = applyKind(&a, KindYieldRule, c.YieldRules, n.Added.YieldRules, n.Changed.YieldRules, n.Withdrawn)
	attribution := newAttributor(n)
	for _, p := range findProblems(next.Declarations) {
		e, reason := attribution.attribute(p)
		a.refuse(e, "%s", reason)
	}
	return next, a.refusals
}

// entryApplier applies the entries of one note and collects the reasons for refusing them.
type entryApplier struct {
	config   Config
	refusals map[Entry][]string
}

func (a *entryApplier) refuse(e Entry, format string, args ...any) {
	a.refusals[e] = append(a.refusals[e], fmt.Sprintf(format, args...))
}

// refuseMissing refuses an entry because its declaration does not exist.
func (a *entryApplier) refuseMissing(e Entry) {
	if o, ok := a.config.Origin(e.Kind, e.Name); ok && o.Withdrawn {
		a.refuse(e, "%s %q was withdrawn by note %q", e.Kind, e.Name, o.Note)
		return
	}
	a.refuse(e, "%s %q is not declared", e.Kind, e.Name)
}

// applyKind returns the declarations of one kind after the note, sorted by name.
func applyKind[T any](a *entryApplier, kind Kind, existing, added, changed []T, withdrawn []Withdrawal) []T {
	next := make(map[string]T, len(existing)+len(added))
	for _, d := range existing {
		next[nameOf(d)] = d
	}
	for _, d := range added {
		e := Entry{Action: ActionAdd, Kind: kind, Name: nameOf(d)}
		if _, ok := next[e.Name]; ok {
			a.refuse(e, "%s %q is already declared", kind, e.Name)
			continue
		}
		next[e.Name] = d
	}
	for _, d := range changed {
		e := Entry{Action: ActionChange, Kind: kind, Name: nameOf(d)}
		if _, ok := next[e.Name]; !ok {
			a.refuseMissing(e)
			continue
		}
		next[e.Name] = d
	}
	for _, w := range withdrawn {
		if w.Kind != kind {
			continue
		}
		if _, ok := next[w.Name]; !ok {
			a.refuseMissing(Entry{Action: ActionWithdraw, Kind: kind, Name: w.Name})
			continue
		}
		delete(next, w.Name)
	}
	return sortedByName(next)
}

func sortedByName[T any](byName map[string]T) []T {
	if len(byName) == 0 {
		return nil
	}
	all := make([]T, 0, len(byName))
	for _, d := range byName {
		all = append(all, d)
	}
	sortDeclarations(all)
	return all
}

func sortDeclarations[T any](all []T) {
	slices.SortFunc(all, func(a, b T) int { return cmp.Compare(nameOf(a), nameOf(b)) })
}

// updateOrigins returns the origins after a note, without those of declarations withdrawn more than
// WithdrawnOriginRetention revisions ago.
func updateOrigins(origins []Origin, n Note, revision int64) []Origin {
	type key struct {
		kind Kind
		name string
	}
	next := make(map[key]Origin, len(origins))
	for _, o := range origins {
		if !o.Withdrawn || o.Revision > revision-WithdrawnOriginRetention {
			next[key{o.Kind, o.Name}] = o
		}
	}
	for _, e := range n.Entries() {
		next[key{e.Kind, e.Name}] = Origin{
			Kind: e.Kind, Name: e.Name, Note: n.Name, Revision: revision,
			Withdrawn: e.Action == ActionWithdraw,
		}
	}
	all := make([]Origin, 0, len(next))
	for _, o := range next {
		all = append(all, o)
	}
	slices.SortFunc(all, compareOrigins)
	return all
}

func compareOrigins(a, b Origin) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
}

// nameOf returns the name of a declaration of any kind.
func nameOf(d any) string {
	switch d := d.(type) {
	case share.Neighbour:
		return d.Name
	case share.Share:
		return d.Name
	case Service:
		return d.Name
	case Job:
		return d.Name
	case share.YieldRule:
		return d.Name
	}
	return ""
}
