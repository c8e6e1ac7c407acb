// Package property fixes the seed and the size of property tests, so that they give the
// same result every time unless flags override them.
//
// # Usage
//
//	func TestMain(m *testing.M) {
//		property.Fix(property.Size{Checks: 1500, Steps: 80})
//		os.Exit(m.Run())
//	}
package property

import (
	"flag"
	"strconv"
)

// seed is the default seed of all property tests.
const seed = 1

// Size is the size of a property test; a zero field takes the library's default.
type Size struct {
	// Checks is the number of runs, Steps the mean number of steps in a run.
	Checks int
	Steps  int
}

// Fix sets the seed and the size by rapid's flags, except for flags that were given on
// the command line. Call it before m.Run.
func Fix(s Size) {
	setDefault("rapid.seed", seed)
	setDefault("rapid.checks", s.Checks)
	setDefault("rapid.steps", s.Steps)
}

// setDefault sets a flag unless it was given on the command line or value is zero.
func setDefault(name string, value int) {
	f := flag.Lookup(name)
	if f == nil || value == 0 || f.Value.String() != f.DefValue {
		return
	}
	_ = f.Value.Set(strconv.Itoa(value))
}
