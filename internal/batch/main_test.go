package batch

import (
	"os"
	"testing"

	"github.com/oriolepond/oriolepond/internal/property"
)

func TestMain(m *testing.M) {
	property.Fix(property.Size{Checks: 400, Steps: 80})
	os.Exit(m.Run())
}
