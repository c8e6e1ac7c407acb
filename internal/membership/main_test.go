package membership_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed and the size of the property tests, unless flags set others.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "3000", "rapid.steps": "100"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = f.Value.Set(value)
		}
	}
	os.Exit(m.Run())
}
