// Package release holds release notes, which add, change and withdraw the
// declarations of a pool, and the configuration that results from them.
//
// A note is checked whole and applied to a configuration by Apply, which
// returns a new configuration and an outcome for each entry. Values are
// immutable.
//
// # Usage
//
//	note, err := release.Parse("note.jsonc", text)
//	if err != nil {
//		return err // A *release.SyntaxError or a *release.CheckError with all faults.
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
}

// Config is the sum of all notes that took effect.
type Config struct {
	// Revision grows by one with each note.
	Revision int64
	// Notes are the names of the notes that took effect, oldest first.
	Notes []string
	Declarations
}

// Service returns the service of that name, and whether there is one.
func (c Config) Service(name string) (Service, bool) {
	for _, s := range c.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

// Job returns the job of that name, and whether there is one.
func (c Config) Job(name string) (Job, bool) {
	for _, j := range c.Jobs {
		if j.Name == name {
			return j, true
		}
	}
	return Job{}, false
}

// Share returns the share of that name, and whether there is one.
func (c Config) Share(name string) (share.Share, bool) {
	for _, s := range c.Shares {
		if s.Name == name {
			return s, true
		}
	}
	return share.Share{}, false
}

// NeighbourByToken returns the neighbour with that token hash, and whether there is one.
func (c Config) NeighbourByToken(hash string) (share.Neighbour, bool) {
	for _, n := range c.Neighbours {
		if n.TokenHash == hash {
			return n, true
		}
	}
	return share.Neighbour{}, false
}
