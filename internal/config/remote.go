package config

// FromPeer returns a copy from a head and chunks that a peer sent; chunks that
// were not sent are taken from the copy at hand.
func FromPeer(h Head, sent map[string][]byte, have Snapshot) (Snapshot, error) {
	values := make(map[string][]byte, len(h.Chunks))
	for _, hash := range h.Chunks {
		if hash == "" {
			continue
		}
		if value, ok := sent[hash]; ok {
			values[hash] = value
		} else {
			values[hash] = have.values[hash]
		}
	}
	return newCopy(h, values, have)
}
