package release

import "github.com/oriolepond/oriolepond/pkg/share"

// Origin records the note that last added, changed or withdrew a declaration.
type Origin struct {
	Kind     Kind
	Name     string
	Note     string
	Revision int64
	// Withdrawn reports whether the note withdrew the declaration.
	Withdrawn bool
}

// Config is the configuration that results from all notes that took effect so far. Declarations
// and origins are sorted by kind and name.
type Config struct {
	// Revision grows by one with each note.
	Revision int64
	Declarations
	// Origins are the origins of all declarations, and of those withdrawn within the last
	// WithdrawnOriginRetention revisions.
	Origins []Origin

	index *index
}

// index maps the keys of declarations to their positions in a Config.
type index struct {
	services map[string]int
	jobs     map[string]int
	shares   map[string]int
	tokens   map[string]int
}

// WithIndex returns a copy of c that finds services, jobs, shares and token hashes in constant
// time.
func (c Config) WithIndex() Config {
	c.index = &index{
		services: indexByKey(c.Services, func(s Service) string { return s.Name }),
		jobs:     indexByKey(c.Jobs, func(j Job) string { return j.Name }),
		shares:   indexByKey(c.Shares, func(s share.Share) string { return s.Name }),
		tokens:   indexByKey(c.Neighbours, func(n share.Neighbour) string { return n.TokenHash }),
	}
	return c
}

func indexByKey[T any](all []T, key func(T) string) map[string]int {
	index := make(map[string]int, len(all))
	for i := range all {
		index[key(all[i])] = i
	}
	return index
}

// Service returns the service with the given name, and whether there is one.
func (c Config) Service(name string) (Service, bool) {
	if c.index != nil {
		return lookUp(c.Services, c.index.services, name)
	}
	return find(c.Services, func(s Service) bool { return s.Name == name })
}

// Job returns the job with the given name, and whether there is one.
func (c Config) Job(name string) (Job, bool) {
	if c.index != nil {
		return lookUp(c.Jobs, c.index.jobs, name)
	}
	return find(c.Jobs, func(j Job) bool { return j.Name == name })
}

// Share returns the share with the given name, and whether there is one.
func (c Config) Share(name string) (share.Share, bool) {
	if c.index != nil {
		return lookUp(c.Shares, c.index.shares, name)
	}
	return find(c.Shares, func(s share.Share) bool { return s.Name == name })
}

// NeighbourByToken returns the neighbour with the given token hash, and whether there is one.
func (c Config) NeighbourByToken(hash string) (share.Neighbour, bool) {
	if c.index != nil {
		return lookUp(c.Neighbours, c.index.tokens, hash)
	}
	return find(c.Neighbours, func(n share.Neighbour) bool { return n.TokenHash == hash })
}

// Origin returns the origin of a declaration, and whether there is one on record.
func (c Config) Origin(kind Kind, name string) (Origin, bool) {
	return find(c.Origins, func(o Origin) bool { return o.Kind == kind && o.Name == name })
}

func lookUp[T any](all []T, index map[string]int, key string) (T, bool) {
	if i, ok := index[key]; ok {
		return all[i], true
	}
	var none T
	return none, false
}

func find[T any](all []T, match func(T) bool) (T, bool) {
	for i := range all {
		if match(all[i]) {
			return all[i], true
		}
	}
	var none T
	return none, false
}
