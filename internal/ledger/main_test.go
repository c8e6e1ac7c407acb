package ledger

import (
	"os"
	"testing"

	"github.com/oriolepond/oriolepond/internal/property"
)

func TestMain(m *testing.M) {
	property.Fix(property.Size{})
	os.Exit(m.Run())
}
