package placement

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/oriolepond/oriolepond/pkg/share"
)

func TestEstimateStaysWithinSafeBounds(t *testing.T) {
	gpu := share.Resources{Processors: 1000, Memory: 1 << 30, Accelerators: 2}
	repeat := func(n int, r share.Resources) []share.Resources {
		all := make([]share.Resources, n)
		for i := range all {
			all[i] = r
		}
		return all
	}
	cases := []struct {
		name     string
		declared share.Resources
		seen     []share.Resources
		least    share.Resources
		most     share.Resources
		limited  bool
	}{
		{"never measured: a multiple of the declared size, few at once", cores(2), nil, cores(16), cores(16), true},
		{"never measured: no more than the greatest worker", cores(20), nil, cores(32), cores(32), true},
		{"one smaller peak: not below the declared size", cores(4), repeat(1, cores(1)), cores(4), cores(4), true},
		{"many smaller peaks: below the declared size", cores(12), repeat(20, cores(4)), cores(4), cores(5), false},
		{"many greater peaks: above the declared size", cores(1), repeat(20, cores(4)), cores(4), cores(5), false},
		{"one greater peak among many", cores(1), append(repeat(20, cores(2)), cores(6)), cores(6), cores(7), false},
		{"peaks as declared: the declared size", cores(4), repeat(20, cores(4)), cores(4), cores(4), false},
		{"unused accelerators stay assigned", gpu, repeat(20, cores(1)), gpu, gpu.Plus(cores(1)), false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := NewSizes()
			for _, seen := range c.seen {
				s.Observe("f", seen)
			}
			size, limit := s.Estimate("f", c.declared, cores(32))
			require.True(t, c.least.Fits(size), size.String())
			require.True(t, size.Fits(c.most), size.String())
			require.Equal(t, c.limited, limit > 0)
		})
	}
}

// No estimate is below a recent peak, whatever size was declared.
func TestEstimateCoversRecentPeaks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewSizes()
		declared := cores(rapid.Int64Range(0, 40).Draw(t, "declared"))
		var peaks []share.Resources
		for range rapid.IntRange(1, 100).Draw(t, "tasks") {
			r := cores(rapid.Int64Range(0, 40).Draw(t, "seen"))
			peaks = append(peaks, r)
			s.Observe("f", r)
			size, _ := s.Estimate("f", declared, cores(32))
			for _, r := range peaks[max(0, len(peaks)-maxSizeSamples):] {
				require.True(t, r.Fits(size))
			}
		}
	})
}
