package burn_test

import (
	"os"
	"testing"

	"github.com/oriolepond/oriolepond/internal/property"
)

// TestMain sets the default size of the property test.
func TestMain(m *testing.M) {
	property.Fix(property.Size{Checks: 1500, Steps: 60})
	os.Exit(m.Run())
}
