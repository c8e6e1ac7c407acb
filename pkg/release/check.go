package release

import "github.com/oriolepond/oriolepond/internal/jsonc"

// Check returns a *jsonc.FaultsError with every fault of a note against the
// configuration that it would be applied to, or nil.
func Check(file string, c Config, n Note) error {
	_, refusals := attempt(c, n)
	if len(refusals) == 0 {
		return nil
	}
	faults := &jsonc.FaultsError{File: file}
	for _, e := range n.Entries() {
		for _, reason := range refusals[e] {
			faults.Faults = append(faults.Faults, jsonc.Fault{Line: n.Line(e), Path: e.String(), Reason: reason})
		}
	}
	return faults
}
