package release

import (
	"fmt"
	"slices"
	"time"
)

// Outcome is the outcome of one entry of a note.
type Outcome string

// The outcomes of an entry.
const (
	// TookEffect means that the entry is part of the configuration and no instance is known to
	// lack it.
	TookEffect Outcome = "tookEffect"
	// Pending means that some instances have not confirmed the entry yet.
	Pending Outcome = "pending"
	// Refused means that the note was not accepted.
	Refused Outcome = "refused"
	// Superseded means that a later note changed or withdrew the declaration.
	Superseded Outcome = "superseded"
)

// EntryReport is the outcome of one entry of a note.
type EntryReport struct {
	Entry
	Outcome Outcome
	// Reason explains why an entry was refused or superseded, or is pending on no instance by name.
	Reason string
	// PendingOn are the ids of the instances that have not confirmed the entry.
	PendingOn []string
}

// Report holds the outcome of each entry of a note.
type Report struct {
	Note     string
	Revision int64
	// Accepted is when the note was accepted; zero for a refused note.
	Accepted time.Time
	Entries  []EntryReport
}

// Refused reports whether any entry was refused.
func (r Report) Refused() bool {
	return r.has(Refused)
}

// Pending reports whether any entry is pending.
func (r Report) Pending() bool {
	return r.has(Pending)
}

func (r Report) has(o Outcome) bool {
	return slices.ContainsFunc(r.Entries, func(e EntryReport) bool { return e.Outcome == o })
}

// WithoutStatus returns a copy of the report in which the entries that took effect are pending, because
// an error prevented asking the instances.
func (r Report) WithoutStatus(err error) Report {
	r.Entries = slices.Clone(r.Entries)
	for i, e := range r.Entries {
		if e.Outcome == TookEffect {
			r.Entries[i].Outcome, r.Entries[i].Reason = Pending, fmt.Sprintf("the instances could not be asked: %v", err)
		}
	}
	return r
}

// Record is the stored record of an accepted note.
type Record struct {
	Note     string
	Digest   string
	Revision int64
	Accepted time.Time
	Entries  []Entry
}

// Report returns the outcome of an accepted note, given the configuration in force now and the
// instances that have not confirmed the note's revision.
func (r Record) Report(c Config, unconfirmed []string) Report {
	report := Report{Note: r.Note, Revision: r.Revision, Accepted: r.Accepted}
	for _, e := range r.Entries {
		report.Entries = append(report.Entries, r.outcome(e, c, unconfirmed))
	}
	return report
}

func (r Record) outcome(e Entry, c Config, unconfirmed []string) EntryReport {
	o, known := c.Origin(e.Kind, e.Name)
	switch {
	case !known && r.Revision < c.Revision:
		return EntryReport{Entry: e, Outcome: Superseded, Reason: "by a note that is no longer remembered"}
	case known && o.Revision > r.Revision:
		return EntryReport{Entry: e, Outcome: Superseded, Reason: fmt.Sprintf("by note %q, revision %d", o.Note, o.Revision)}
	case len(unconfirmed) > 0:
		return EntryReport{Entry: e, Outcome: Pending, PendingOn: unconfirmed}
	}
	return EntryReport{Entry: e, Outcome: TookEffect}
}
