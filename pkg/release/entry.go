package release

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
)

// Action is what a note does with a declaration; its value is the name of the list in the note that
// holds the entry.
type Action string

// The actions of a note.
const (
	ActionAdd      Action = "added"
	ActionChange   Action = "changed"
	ActionWithdraw Action = "withdrawn"
)

// Entry identifies one entry of a note: an action on a declaration.
type Entry struct {
	Action Action
	Kind   Kind
	Name   string
}

// String returns the entry as it appears in messages, such as: added share "reviews".
func (e Entry) String() string {
	return fmt.Sprintf("%s %s %q", e.Action, e.Kind, e.Name)
}

// Entries returns the entries of the note: added ones first, then changed, then withdrawn.
func (n Note) Entries() []Entry {
	all := n.Added.entries(ActionAdd)
	all = append(all, n.Changed.entries(ActionChange)...)
	for _, w := range n.Withdrawn {
		all = append(all, Entry{Action: ActionWithdraw, Kind: w.Kind, Name: w.Name})
	}
	return all
}

func (d Declarations) entries(a Action) []Entry {
	var all []Entry
	add := func(kind Kind, name string) { all = append(all, Entry{Action: a, Kind: kind, Name: name}) }
	for _, v := range d.Neighbours {
		add(KindNeighbour, v.Name)
	}
	for _, v := range d.Shares {
		add(KindShare, v.Name)
	}
	for _, v := range d.Services {
		add(KindService, v.Name)
	}
	for _, v := range d.Jobs {
		add(KindJob, v.Name)
	}
	for _, v := range d.YieldRules {
		add(KindYieldRule, v.Name)
	}
	return all
}

// Digest returns the lower-case hexadecimal SHA-256 of the content of the note. Comments, layout,
// and whether a default value is written out make no difference.
func (n Note) Digest() (string, error) {
	text, err := json.Marshal(encodeNote(n))
	if err != nil {
		return "", fmt.Errorf("digest of note %q: %w", n.Name, err)
	}
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:]), nil
}
