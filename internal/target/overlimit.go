package target

import "slices"

// OverLimit returns the sorted ids of the targets that have more requests in flight than their
// limit, and whether any target has a request in flight. The limit is 0 for a target that is not in
// limits.
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
