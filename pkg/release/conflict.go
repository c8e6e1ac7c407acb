package release

// Conflict reports that another note added, changed or withdrew the declaration of an entry first.
type Conflict struct {
	Entry Entry
	// Other is the name of the note that came first.
	Other    string
	Revision int64
}

// Conflicts returns the entries of a note whose declarations other notes have changed after the
// revision since. A note without conflicts may be applied to the newer configuration.
func Conflicts(c Config, n Note, since int64) []Conflict {
	var all []Conflict
	for _, e := range n.Entries() {
		o, ok := c.Origin(e.Kind, e.Name)
		if ok && o.Revision > since && o.Note != n.Name {
			all = append(all, Conflict{Entry: e, Other: o.Note, Revision: o.Revision})
		}
	}
	return all
}
