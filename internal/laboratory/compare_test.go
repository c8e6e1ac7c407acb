package laboratory

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// The half widths are those of published tables of Student's t distribution.
func TestDifferenceHasTheIntervalOfStudentsT(t *testing.T) {
	for _, c := range []struct {
		name        string
		values      []float64
		mean, width float64
		clear       bool
	}{
		{name: "none"},
		{name: "one seed", values: []float64{0.25}, mean: 0.25},
		// t = 12.706 with one degree of freedom; the standard error is 1.
		{name: "two seeds", values: []float64{1, 3}, mean: 2, width: 12.706},
		// t = 2.776 with four degrees of freedom; the standard error is sqrt(2.5/5).
		{name: "five seeds", values: []float64{1, 2, 3, 4, 5}, mean: 3, width: 2.776 * 0.70711, clear: true},
		{name: "equal", values: []float64{-1, -1, -1}, mean: -1, clear: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := difference("worth", c.values)
			require.InDelta(t, c.mean, d.Mean, 1e-9)
			require.InDelta(t, c.width, d.HalfWidth, 1e-3)
			require.Equal(t, c.clear, d.IsClear())
		})
	}
}
