package release

import "github.com/oriolepond/oriolepond/pkg/share"

// Origin says which note last touched a declaration.
type Origin struct {
	Kind     Kind
	Name     string
	Note     string
	Revision int64
	// Withdrawn means that the note took the declaration away.
	Withdrawn bool
}

// Config is the sum of all notes that took effect, in order of kinds and names.
type Config struct {
	// Revision grows by one with each note.
	Revision int64
	Declarations
	// Origins are the last touches of all declarations, and of those withdrawn lately.
	Origins []Origin

	index *index
}

// index finds declarations by name.
type index struct {
	services map[string]int
	jobs     map[string]int
	shares   map[string]int
	tokens   map[string]int
}

// WithIndex returns a copy of c whose look-ups take constant time.
func (c Config) WithIndex() Config {
	c.index = &index{
		services: positions(c.Services, func(s Service) string { return s.Name }),
		jobs:     positions(c.Jobs, func(j Job) string { return j.Name }),
		shares:   positions(c.Shares, func(s share.Share) string { return s.Name }),
		tokens:   positions(c.Neighbours, func(n share.Neighbour) string { return n.TokenHash }),
	}
	return c
}

func positions[T any](all []T, key func(T) string) map[string]int {
	at := make(map[string]int, len(all))
	for i := range all {
		at[key(all[i])] = i
	}
	return at
}

// Service returns the service of that name, and whether there is one.
func (c Config) Service(name string) (Service, bool) {
	if c.index != nil {
		return indexed(c.Services, c.index.services, name)
	}
	return search(c.Services, func(s Service) bool { return s.Name == name })
}

// Job returns the job of that name, and whether there is one.
func (c Config) Job(name string) (Job, bool) {
	if c.index != nil {
		return indexed(c.Jobs, c.index.jobs, name)
	}
	return search(c.Jobs, func(j Job) bool { return j.Name == name })
}

// Share returns the share of that name, and whether there is one.
func (c Config) Share(name string) (share.Share, bool) {
	if c.index != nil {
		return indexed(c.Shares, c.index.shares, name)
	}
	return search(c.Shares, func(s share.Share) bool { return s.Name == name })
}

// NeighbourByToken returns the neighbour with that token hash, and whether there is one.
func (c Config) NeighbourByToken(hash string) (share.Neighbour, bool) {
	if c.index != nil {
		return indexed(c.Neighbours, c.index.tokens, hash)
	}
	return search(c.Neighbours, func(n share.Neighbour) bool { return n.TokenHash == hash })
}

// Origin returns the last touch of a declaration, and whether one is known.
func (c Config) Origin(kind Kind, name string) (Origin, bool) {
	return search(c.Origins, func(o Origin) bool { return o.Kind == kind && o.Name == name })
}

func indexed[T any](all []T, at map[string]int, key string) (T, bool) {
	if i, ok := at[key]; ok {
		return all[i], true
	}
	var none T
	return none, false
}

func search[T any](all []T, is func(T) bool) (T, bool) {
	for i := range all {
		if is(all[i]) {
			return all[i], true
		}
	}
	var none T
	return none, false
}
