package placement

// groupCounts counts the tasks of one group by worker, rack and data centre.
type groupCounts struct {
	total       int
	workers     map[string]int
	racks       map[string]int
	dataCentres map[string]int
}

// group returns the task counts of the group (submission) with the given name. It
// adds empty counts if the pool has none for it.
func (p *Pool) group(name string) *groupCounts {
	g, ok := p.groups[name]
	if !ok {
		g = &groupCounts{workers: map[string]int{}, racks: map[string]int{}, dataCentres: map[string]int{}}
		p.groups[name] = g
	}
	return g
}

// add adds n, which may be negative, to the counts of a worker, its rack and its
// data centre. It reports whether the group has no tasks left.
func (g *groupCounts) add(w Worker, n int) bool {
	g.total += n
	addCount(g.workers, w.ID, n)
	addCount(g.racks, w.Rack, n)
	addCount(g.dataCentres, w.DataCentre, n)
	return g.total == 0
}

// addCount adds n to a count, and deletes the count if it becomes 0.
func addCount(counts map[string]int, key string, n int) {
	counts[key] += n
	if counts[key] == 0 {
		delete(counts, key)
	}
}

// crowding returns how much of a group runs close to a worker, from 0 to 1: the
// mean of the fractions of its tasks on the worker, in its rack and in its data
// centre.
func (g *groupCounts) crowding(w Worker) float64 {
	if g == nil || g.total == 0 {
		return 0
	}
	sum := float64(g.workers[w.ID] + g.racks[w.Rack] + g.dataCentres[w.DataCentre])
	return sum / float64(3*g.total)
}

// moveGroupCounts updates the counts of a worker's residents when the worker
// changes its rack or data centre.
func (p *Pool) moveGroupCounts(s *workerState, w Worker) {
	for _, r := range s.residents {
		g := p.group(r.Group)
		g.add(w, 1)
		g.add(s.Worker, -1)
	}
}
