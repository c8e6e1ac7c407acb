package batch

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against decisions that depend on the iteration order of maps, so that a simulation of the
// same day gives another result each time.
func TestSameDayGivesTheSameDecisions(t *testing.T) {
	decisions := func() string {
		var b strings.Builder
		random := rand.New(rand.NewPCG(5, 8))
		sim := newServingSim(t, 1, "s", "s", "v", "v", "u", "u")
		sim.renewsLeases = true
		images := []string{"a", "b", "c", "d"}
		for _, serving := range []string{"s", "v", "u"} {
			sim.headroomLost[serving] = map[string]float64{}
			for _, image := range images {
				sim.headroomLost[serving][image] = random.Float64() * 20
			}
		}
		sim.onNote = func(n Note) { fmt.Fprintf(&b, "%+v\n", n) }
		for range 40 {
			step := fillerStep(images[random.IntN(len(images))], 1+random.IntN(4))
			step.Size.Processors = 310 + 7*step.Size.Processors/16
			sim.submit(chain(step, 2)...)
			sim.run(interferenceTick)
			if random.IntN(10) == 0 {
				sim.replaceLeader()
			}
		}
		for _, id := range []string{"w-01", "w-02", "w-04"} {
			info := sim.core.workers[id].WorkerInfo
			info.Draining, info.Remaining = true, time.Second
			sim.core.SetWorker(info, sim.now)
		}
		sim.run(5 * time.Second)
		return b.String()
	}
	first := decisions()
	for range 10 {
		require.Equal(t, first, decisions())
	}
}
