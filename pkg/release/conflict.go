package release

// Conflict says that another note touched an entry's declaration first.
type Conflict struct {
	Entry Entry
	// Other is the note that came first.
	Other    string
	Revision int64
}

// Conflicts returns the entries of a note whose declarations were touched by
// other notes after a revision. A note without conflicts can be moved onto the
// newer configuration.
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
