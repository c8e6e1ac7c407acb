package burn_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/internal/burn"
)

// BenchmarkKeeper measures the load that keepers put on the store and on an
// instance, while each instance counts 40 latencies for each series and slot.
func BenchmarkKeeper(b *testing.B) {
	const series, slots, flushes = 280, 3, 5
	for _, instances := range []int{7, 28} {
		b.Run(fmt.Sprintf("instances=%d", instances), func(b *testing.B) {
			for b.Loop() {
				h := newHarness(b)
				var keepers []*burn.Keeper
				for i := range instances {
					keepers = append(keepers, h.keeper(fmt.Sprintf("entry-%d-20260102T030405~0123456789abcdef0123", i)))
				}
				started := time.Now()
				for range slots * flushes {
					for _, k := range keepers {
						for s := range series {
							for i := range 40 / flushes {
								finished := sample(time.Duration((s+i*i)%100) * 7 * time.Millisecond)
								finished.Neighbour = fmt.Sprintf("neighbour-%d", s)
								k.Recorder.Record(h.now, finished)
							}
						}
						require.NoError(b, k.Move(b.Context()))
						require.NoError(b, k.Flush(b.Context()))
					}
					h.now = h.now.Add(burn.SlotLength / flushes)
				}
				simulatedSeconds := slots * burn.SlotLength.Seconds()
				c := h.store.Counts()
				b.ReportMetric(float64(c.Writes)/simulatedSeconds, "writes/s")
				b.ReportMetric(float64(c.LeaseCalls)/simulatedSeconds, "leases/s")
				b.ReportMetric(float64(c.Reads)/simulatedSeconds, "reads/s")
				b.ReportMetric(float64(c.WriteBytes)/simulatedSeconds/float64(instances), "writeB/s/instance")
				b.ReportMetric(time.Since(started).Seconds()/simulatedSeconds/float64(instances)*100, "%core/instance")
				list, err := h.client.List(b.Context(), burn.Prefix+"slot/")
				require.NoError(b, err)
				largest := 0
				for _, e := range list.Entries {
					largest = max(largest, len(e.Value))
				}
				b.ReportMetric(float64(largest), "slotbytes")
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}

// BenchmarkReadStored measures a report from the store on 280 series that use all slots.
func BenchmarkReadStored(b *testing.B) {
	h := newHarness(b)
	k := h.keeper("a")
	for range burn.KeptSlots {
		for s := range 280 {
			for i := range 40 {
				finished := sample(time.Duration((s+i*i)%100) * 7 * time.Millisecond)
				finished.Neighbour = fmt.Sprintf("neighbour-%d", s)
				k.Recorder.Record(h.now, finished)
			}
		}
		require.NoError(b, k.Move(b.Context()))
		h.now = h.now.Add(burn.SlotLength)
	}
	b.ReportAllocs()
	for b.Loop() {
		stored, err := burn.ReadStored(b.Context(), h.client, h.now)
		require.NoError(b, err)
		_, err = stored.Report(config(0.9), h.now)
		require.NoError(b, err)
	}
}
