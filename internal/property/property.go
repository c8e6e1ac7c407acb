// Package property fixes the seed and the size of property tests, so that they
// give the same verdict every time, unless flags ask for others.
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

// seed is the seed of all property tests.
const seed = 1

// Size is how much a property test tries; a zero count takes the library's default.
type Size struct {
	// Checks is the number of runs, and Steps the mean number of steps in one.
	Checks int
	Steps  int
}

// Fix sets the flags of the property tests that were not given. It is called
// before the tests run.
func Fix(s Size) {
	set("rapid.seed", seed)
	set("rapid.checks", s.Checks)
	set("rapid.steps", s.Steps)
}

// set gives a flag a value unless it has one.
func set(name string, value int) {
	f := flag.Lookup(name)
	if f == nil || value == 0 || f.Value.String() != f.DefValue {
		return
	}
	_ = f.Value.Set(strconv.Itoa(value))
}
