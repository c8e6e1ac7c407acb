package placement

// groupCounts counts the tasks of one group by rack and data centre.
type groupCounts struct {
	total       int
	workers     map[string]int
	racks       map[string]int
	dataCentres map[string]int
}

// group returns the counts of a group.
func (p *Pool) group(name string) *groupCounts {
	g, ok := p.groups[name]
	if !ok {
		g = &groupCounts{workers: map[string]int{}, racks: map[string]int{}, dataCentres: map[string]int{}}
		p.groups[name] = g
	}
	return g
}

// add changes the counts of a worker's places and reports whether none is left.
func (g *groupCounts) add(w Worker, n int) bool {
	g.total += n
	addCount(g.workers, w.ID, n)
	addCount(g.racks, w.Rack, n)
	addCount(g.dataCentres, w.DataCentre, n)
	return g.total == 0
}

func addCount(counts map[string]int, key string, n int) {
	counts[key] += n
	if counts[key] == 0 {
		delete(counts, key)
	}
}

// crowding returns how many of a group's tasks would share their place with
// one more on a worker, as a part of all, from 0 to 1.
func (g *groupCounts) crowding(w Worker) float64 {
	if g == nil || g.total == 0 {
		return 0
	}
	sum := float64(g.workers[w.ID] + g.racks[w.Rack] + g.dataCentres[w.DataCentre])
	return sum / float64(3*g.total)
}

// moveGroupCounts carries a worker's residents over to its new place.
func (p *Pool) moveGroupCounts(s *workerState, w Worker) {
	for _, r := range s.residents {
		g := p.group(r.Group)
		g.add(w, 1)
		g.add(s.Worker, -1)
	}
}
