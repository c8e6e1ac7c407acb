package target

import "slices"

// OverLimit returns the targets that have more in flight than their part, and
// whether any has anything in flight.
func (t *Table) OverLimit(part map[string]int) (over []string, busy bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, s := range t.targets {
		if s.inFlight > part[id] {
			over = append(over, id)
		}
		busy = busy || s.inFlight > 0
	}
	slices.Sort(over)
	return over, busy
}
