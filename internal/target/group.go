package target

import "time"

// The tiers of distance, nearest first.
const (
	tierDataCentre = iota
	tierRegion
	tierElsewhere
	tierCount
)

const (
	// levelCount is the number of steps of utilisation that are told apart.
	levelCount = 8
	// candidateCount is how many equally used targets are compared for a request.
	candidateCount = 4
)

// state is what the table knows of one target.
type state struct {
	Target
	inFlight int
	health   health
	group    *group
	tier     int
	// level and index say where the target stands in its group; level is -1 while it takes nothing.
	level int
	index int
	// free is what the target adds to the group's idle slots.
	free int
}

// ejected reports whether the target is out of the normal choice.
func (s *state) ejected() bool { return !s.health.probeAt.IsZero() }

// group holds the targets of one service by tier and utilisation, so that a
// choice looks at a fixed number of targets whatever their count.
type group struct {
	all    []*state
	levels [tierCount][levelCount][]*state
	// ejected are the targets that wait for a probe.
	ejected []*state
	idle    int
	cursor  uint32
}

// add takes a target in.
func (g *group) add(s *state, tier int) {
	s.group, s.tier = g, tier
	s.level, s.free = -1, 0
	g.all = append(g.all, s)
	if s.ejected() {
		g.ejected = append(g.ejected, s)
	}
	g.place(s)
}

// place puts a target where its requests in flight and its health belong.
func (g *group) place(s *state) {
	g.remove(s)
	free := s.usable() - s.inFlight
	if s.ejected() || free <= 0 {
		return
	}
	s.level = s.inFlight * levelCount / s.usable()
	s.free = free
	g.idle += free
	bucket := &g.levels[s.tier][s.level]
	s.index = len(*bucket)
	*bucket = append(*bucket, s)
}

func (g *group) remove(s *state) {
	if s.level < 0 {
		return
	}
	bucket := g.levels[s.tier][s.level]
	last := len(bucket) - 1
	bucket[s.index] = bucket[last]
	bucket[s.index].index = s.index
	g.levels[s.tier][s.level] = bucket[:last]
	g.idle -= s.free
	s.level, s.free = -1, 0
}

// choose returns the target for a request, or nil.
func (g *group) choose(w Want) *state {
	if w.Idempotent && len(g.ejected) > 0 {
		if s := g.probe(w); s != nil {
			return s
		}
	}
	for tier := range g.levels {
		for level := range g.levels[tier] {
			if s := g.best(g.levels[tier][level], w); s != nil {
				return s
			}
		}
	}
	return nil
}

// best returns the fastest of some targets of a bucket.
func (g *group) best(bucket []*state, w Want) *state {
	n := uint32(len(bucket))
	if n == 0 {
		return nil
	}
	g.cursor++
	var best *state
	var lowest time.Duration
	for i := range min(n, candidateCount) {
		s := bucket[(g.cursor+i)%n]
		if s.ID == w.Exclude {
			continue
		}
		score := s.health.score(w.Now)
		if best == nil || score < lowest {
			best, lowest = s, score
		}
	}
	return best
}

// probe returns an ejected target whose time has come and that has nothing in flight.
func (g *group) probe(w Want) *state {
	for _, s := range g.ejected {
		due := !w.Now.Before(s.health.probeAt)
		if due && s.inFlight == 0 && s.usable() > 0 && s.ID != w.Exclude {
			return s
		}
	}
	return nil
}

// judge ejects a target that fails everything, and takes one back that answered a probe.
func (g *group) judge(s *state, r Result, probe bool, now time.Time) Change {
	switch {
	case r == Succeeded && s.ejected() && probe:
		s.health.readmit(now)
		g.dropEjected(s)
		g.place(s)
		return Readmitted
	case s.ejected() && probe && r != Abandoned:
		s.health.eject(now)
	case !s.ejected() && s.health.failing() && g.mayEject():
		s.health.eject(now)
		g.ejected = append(g.ejected, s)
		g.place(s)
		return Ejected
	}
	return Unchanged
}

// maxEjected is the greatest part of a service's targets that is ejected at once, as a divisor.
const maxEjected = 3

// mayEject reports whether one more target may be ejected.
func (g *group) mayEject() bool {
	return (len(g.ejected)+1)*maxEjected <= len(g.all)
}

func (g *group) dropEjected(s *state) {
	for i, e := range g.ejected {
		if e == s {
			g.ejected = append(g.ejected[:i], g.ejected[i+1:]...)
			return
		}
	}
}
