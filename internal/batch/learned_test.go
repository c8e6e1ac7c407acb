package batch

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/internal/interference"
)

// learnPairs gives the core measured effects of all pairs of images. The precision of a pair is
// greater the later it comes.
func learnPairs(c *Core, images int) (last imagePair) {
	name := func(i int) string { return fmt.Sprintf("registry.example/team-%03d/<image>", i) }
	for i := range images {
		for k := range images {
			c.headroom.Set(c.imageID(name(i)), c.imageID(name(k)), interference.Evidence{
				Precision: 1 + float64(i*images+k)/math.Pi, WeightedMean: -float64(k+1) / math.E,
			})
			last = imagePair{name(i), name(k)}
		}
	}
	return last
}

// Guards against learned effects of many images that outgrow the store, against ones that are
// known well being left out for others, and against any being left out while there is space.
func TestLearnedEffectsFitIntoTheStore(t *testing.T) {
	for _, c := range []struct {
		name   string
		images int
		// kept is the least number of pairs that are kept.
		kept int
	}{
		{name: "none"},
		{name: "one pair", images: 1, kept: 1},
		{name: "all pairs fit", images: 30, kept: 900},
		{name: "500 images", images: 500, kept: 2000},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1_000_000_000, 0)
			core := NewCore(DefaultTiming(), now, now)
			last := learnPairs(core, c.images)
			startedAt := time.Now()
			value, err := core.EncodeEffects()
			require.NoError(t, err)
			encoded := time.Since(startedAt)
			require.LessOrEqual(t, len(value), storeLimit/learnedShare)
			startedAt = time.Now()
			next := NewCore(DefaultTiming(), now, now)
			require.NoError(t, next.RestoreEffects(value))
			restored := time.Since(startedAt)
			effects, err := next.measuredEffects(1 << 20)
			require.NoError(t, err)
			require.GreaterOrEqual(t, len(effects), c.kept)
			if c.images > 0 {
				_, known := next.headroom.MeasuredEvidence(next.imageID(last.serving), next.imageID(last.beside))
				require.True(t, known, "the pair that is known best")
			}
			t.Logf("%d of %d pairs in %d bytes, encoded in %s, restored in %s", len(effects), c.images*c.images, len(value),
				encoded.Round(100*time.Microsecond), restored.Round(100*time.Microsecond))
		})
	}
}
