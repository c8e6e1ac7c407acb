package home_test

import (
	"os"
	"testing"

	"github.com/oriolepond/oriolepond/internal/property"
)

func TestMain(m *testing.M) {
	property.Fix(property.Size{Checks: 3000})
	os.Exit(m.Run())
}
