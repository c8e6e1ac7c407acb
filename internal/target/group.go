package target

import "time"

// The distance tiers of targets, nearest first.
const (
	tierDataCentre = iota
	tierRegion
	tierElsewhere
	tierCount
)

const (
	// levelCount is the number of utilisation levels into which targets are sorted.
	levelCount = 8
	// candidateCount is the number of targets of one level whose latencies are compared for a request.
	candidateCount = 4
)

// state is the table's record of one target.
type state struct {
	Target
	inFlight int
	health   health
	group    *group
	tier     int
	// level and index locate the target in group.buckets; level is -1 while the target accepts no
	// request.
	level int
	index int
	// free is the number of the target's free slots that group.idle includes.
	free int
}

// ejected reports whether the target gets no requests except probes.
func (s *state) ejected() bool { return !s.health.probeAt.IsZero() }

// group holds the targets of one service, sorted into buckets by distance tier and utilisation
// level. The cost of choosing a target therefore does not grow with their number.
type group struct {
	targets []*state
	buckets [tierCount][levelCount][]*state
	// ejected lists the targets that wait for a successful probe.
	ejected []*state
	// idle is the number of free slots at healthy targets.
	idle int
	// cursor determines which target of a bucket is considered first. Each search of a bucket
	// increments it, so that the targets take turns.
	cursor uint32
}

// add adds a target to the group.
func (g *group) add(s *state, tier int) {
	s.group, s.tier = g, tier
	s.level, s.free = -1, 0
	g.targets = append(g.targets, s)
	if s.ejected() {
		g.ejected = append(g.ejected, s)
	}
	g.rebucket(s)
}

// rebucket moves a target to the bucket that matches its utilisation, or to none if it is ejected
// or has no free slot.
func (g *group) rebucket(s *state) {
	g.remove(s)
	free := s.usableSlots() - s.inFlight
	if s.ejected() || free <= 0 {
		return
	}
	s.level = s.inFlight * levelCount / s.usableSlots()
	s.free = free
	g.idle += free
	bucket := &g.buckets[s.tier][s.level]
	s.index = len(*bucket)
	*bucket = append(*bucket, s)
}

// remove takes a target out of its bucket.
func (g *group) remove(s *state) {
	if s.level < 0 {
		return
	}
	bucket := g.buckets[s.tier][s.level]
	last := len(bucket) - 1
	bucket[s.index] = bucket[last]
	bucket[s.index].index = s.index
	g.buckets[s.tier][s.level] = bucket[:last]
	g.idle -= s.free
	s.level, s.free = -1, 0
}

// choose returns the target for a request, or nil if none accepts it. An ejected target that is
// due for a probe by the request comes first.
func (g *group) choose(criteria Criteria) *state {
	if len(g.ejected) > 0 {
		if s := g.dueProbe(criteria); s != nil {
			return s
		}
	}
	for tier := range g.buckets {
		for level := range g.buckets[tier] {
			if s := g.fastest(g.buckets[tier][level], criteria); s != nil {
				return s
			}
		}
	}
	return nil
}

// fastest returns the target with the lowest latency among the next candidateCount targets of a
// bucket, or nil.
func (g *group) fastest(bucket []*state, criteria Criteria) *state {
	n := uint32(len(bucket))
	if n == 0 {
		return nil
	}
	g.cursor++
	var best *state
	var lowest time.Duration
	for i := range min(n, candidateCount) {
		s := bucket[(g.cursor+i)%n]
		if s.ID == criteria.Exclude {
			continue
		}
		score := s.health.score(criteria.Now)
		if best == nil || score < lowest {
			best, lowest = s, score
		}
	}
	return best
}

// dueProbe returns an ejected target that is due for a probe by the request and has no request in flight, or nil. A
// request that is not idempotent is a probe only if no idempotent one has come for longestEjection.
func (g *group) dueProbe(criteria Criteria) *state {
	for _, s := range g.ejected {
		probeAt := s.health.probeAt
		if !criteria.Idempotent {
			probeAt = probeAt.Add(longestEjection)
		}
		due := !criteria.Now.Before(probeAt)
		if due && s.inFlight == 0 && s.usableSlots() > 0 && s.ID != criteria.Exclude {
			return s
		}
	}
	return nil
}

// updateEjection applies the result of an attempt: it ejects a target after failuresToEject
// failures in a row if mayEject allows it, readmits it after a successful probe, and extends the
// ejection after a failed probe.
func (g *group) updateEjection(s *state, r Result, probe bool, now time.Time) Change {
	switch {
	case r == Succeeded && s.ejected() && probe:
		s.health.readmit(now)
		g.dropEjected(s)
		g.rebucket(s)
		return Readmitted
	case s.ejected() && probe && r != Abandoned:
		s.health.eject(now)
	case !s.ejected() && s.health.failing() && g.mayEject():
		s.health.eject(now)
		g.ejected = append(g.ejected, s)
		g.rebucket(s)
		return Ejected
	}
	return Unchanged
}

// maxEjectedDivisor limits the ejected targets of a service to a third of all its targets.
const maxEjectedDivisor = 3

// mayEject reports whether one more target may be ejected.
func (g *group) mayEject() bool {
	return (len(g.ejected)+1)*maxEjectedDivisor <= len(g.targets)
}

// dropEjected removes a target from the list of ejected ones.
func (g *group) dropEjected(s *state) {
	for i, e := range g.ejected {
		if e == s {
			g.ejected = append(g.ejected[:i], g.ejected[i+1:]...)
			return
		}
	}
}
