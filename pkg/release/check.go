package release

import "github.com/oriolepond/oriolepond/internal/jsonc"

// Check returns nil if a note can be applied to a configuration, or a *jsonc.FaultsError with every
// reason why it cannot; file is the name of the note's file in errors.
func Check(file string, c Config, n Note) error {
	_, refusals := applyOrRefuse(c, n)
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
