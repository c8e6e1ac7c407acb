package config

// FromPeer returns the snapshot of a head that a peer sent. Chunks that are not in sent are taken
// from the current snapshot.
func FromPeer(h Head, sent map[string][]byte, current Snapshot) (Snapshot, error) {
	values := make(map[string][]byte, len(h.Chunks))
	for _, hash := range h.Chunks {
		if hash == "" {
			continue
		}
		if value, ok := sent[hash]; ok {
			values[hash] = value
		} else {
			values[hash] = current.values[hash]
		}
	}
	return snapshotFromChunks(h, values, current)
}
