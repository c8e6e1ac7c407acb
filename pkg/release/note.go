// Package release implements release notes and the configuration that results from them. A release
// note (Note) adds, changes and withdraws declarations: the neighbours that use the pool, their
// shares of its capacity, their services and batch jobs, and the yield rules by which the tasks of
// one share yield to the services of another. An entry is one such change. The configuration
// (Config) holds all declarations, and its revision grows by one with each note that takes effect.
//
// Parse checks a note on its own; Check and Apply check it against a configuration. Apply returns
// the new configuration and the outcome of each entry, and applies either all entries of a note or
// none. Notes and configurations are not modified after they are created.
//
// # Usage
//
//	note, err := release.Parse("note.jsonc", text)
//	if err != nil {
//		return err // A *jsonc.SyntaxError, or a *jsonc.FaultsError with all faults.
//	}
//	if err := release.Check("note.jsonc", config, note); err != nil {
//		return err // A *jsonc.FaultsError with all faults against the configuration.
//	}
//	next, report := release.Apply(config, note)
package release

import "github.com/oriolepond/oriolepond/pkg/share"

// Declarations are the declarations of a note or of a configuration, by kind.
type Declarations struct {
	Neighbours []share.Neighbour
	Shares     []share.Share
	Services   []Service
	Jobs       []Job
	YieldRules []share.YieldRule
}

// Withdrawal names one declaration that a note removes.
type Withdrawal struct {
	Kind Kind
	Name string
}

// Kind is the kind of a declaration.
type Kind string

// The kinds of declarations.
const (
	KindNeighbour Kind = "neighbour"
	KindShare     Kind = "share"
	KindService   Kind = "service"
	KindJob       Kind = "job"
	KindYieldRule Kind = "yieldRule"
)

// Note is one release note.
type Note struct {
	Name      string
	Added     Declarations
	Changed   Declarations
	Withdrawn []Withdrawal

	// lines are the line numbers of the entries in the file.
	lines map[Entry]int
}

// Line returns the line number of an entry; 1 if the note was not parsed from a text.
func (n Note) Line(e Entry) int {
	return max(1, n.lines[e])
}
