// Package release holds release notes, which add, change and withdraw the
// declarations of a pool, and the configuration that results from them.
//
// A note is checked by itself when it is parsed, and against a configuration
// when it is applied. Apply returns a new configuration and an outcome for
// each entry; a note takes effect whole or not at all. Values are immutable.
//
// # Usage
//
//	note, err := release.Parse("note.jsonc", text)
//	if err != nil {
//		return err // A *jsonc.SyntaxError or a *jsonc.FaultsError with all faults.
//	}
//	if err := release.Check("note.jsonc", config, note); err != nil {
//		return err // A *jsonc.FaultsError with all faults against the configuration.
//	}
//	next, report := release.Apply(config, note)
package release

import "github.com/oriolepond/oriolepond/pkg/share"

// Declarations are the things that a note or a configuration holds, by kind.
type Declarations struct {
	Neighbours []share.Neighbour
	Shares     []share.Share
	Services   []Service
	Jobs       []Job
	YieldRules []share.YieldRule
}

// Withdrawal names one declaration that a note takes away.
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

	// lines are where the entries stand in the file.
	lines map[Entry]int
}

// Line returns the line on which an entry stands; 1 if the note was not parsed from a text.
func (n Note) Line(e Entry) int {
	return max(1, n.lines[e])
}
