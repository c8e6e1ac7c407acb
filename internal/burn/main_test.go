package burn_test

import (
	"os"
	"testing"

	"github.com/oriolepond/oriolepond/internal/property"
)

// TestMain fixes the size of the property test in an ordinary run.
func TestMain(m *testing.M) {
	property.Fix(property.Size{Checks: 1500, Steps: 60})
	os.Exit(m.Run())
}
