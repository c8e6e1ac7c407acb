package target

import "slices"

// OverLimit returns the ids of the targets that have more requests in flight than their limit, which
// is 0 if limits does not hold it, and whether any target has a request in flight. The ids are
// sorted.
func (t *Table) OverLimit(limits map[string]int) (over []string, busy bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, s := range t.targets {
		if s.inFlight > limits[id] {
			over = append(over, id)
		}
		busy = busy || s.inFlight > 0
	}
	slices.Sort(over)
	return over, busy
}
