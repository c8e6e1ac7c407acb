package burn_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/internal/burn"
)

// What keepers cost the store, and an instance, over slots in which each
// instance counts 40 different latencies of each series.
func BenchmarkKeeper(b *testing.B) {
	const series, slots, flushes = 280, 3, 5
	for _, instances := range []int{7, 28} {
		b.Run(fmt.Sprintf("instances=%d", instances), func(b *testing.B) {
			for b.Loop() {
				r := newRig(b)
				var keepers []*burn.Keeper
				for i := range instances {
					keepers = append(keepers, r.keeper(fmt.Sprintf("entry-%d-20260102T030405~0123456789abcdef0123", i)))
				}
				begun := time.Now()
				for range slots * flushes {
					for _, k := range keepers {
						for s := range series {
							for i := range 40 / flushes {
								one := sample(time.Duration((s+i*i)%100) * 7 * time.Millisecond)
								one.Neighbour = fmt.Sprintf("neighbour-%d", s)
								k.Recorder.Record(r.now, one)
							}
						}
						require.NoError(b, k.Move(b.Context()))
						require.NoError(b, k.Flush(b.Context()))
					}
					r.now = r.now.Add(burn.SlotLength / flushes)
				}
				virtual := slots * burn.SlotLength.Seconds()
				c := r.store.Counts()
				b.ReportMetric(float64(c.Writes)/virtual, "writes/s")
				b.ReportMetric(float64(c.LeaseCalls)/virtual, "leases/s")
				b.ReportMetric(float64(c.Reads)/virtual, "reads/s")
				b.ReportMetric(float64(c.WriteBytes)/virtual/float64(instances), "writeB/s/instance")
				b.ReportMetric(time.Since(begun).Seconds()/virtual/float64(instances)*100, "%core/instance")
				list, err := r.client.List(b.Context(), burn.Prefix+"slot/")
				require.NoError(b, err)
				most := 0
				for _, e := range list.Entries {
					most = max(most, len(e.Value))
				}
				b.ReportMetric(float64(most), "slotbytes")
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}

// Time of one report from the store with all slots of 280 series in use.
func BenchmarkReadStored(b *testing.B) {
	r := newRig(b)
	k := r.keeper("a")
	for range burn.KeptSlots {
		for s := range 280 {
			for i := range 40 {
				one := sample(time.Duration((s+i*i)%100) * 7 * time.Millisecond)
				one.Neighbour = fmt.Sprintf("neighbour-%d", s)
				k.Recorder.Record(r.now, one)
			}
		}
		require.NoError(b, k.Move(b.Context()))
		r.now = r.now.Add(burn.SlotLength)
	}
	b.ReportAllocs()
	for b.Loop() {
		stored, err := burn.ReadStored(b.Context(), r.client, r.now)
		require.NoError(b, err)
		_, err = stored.Report(config(0.9), r.now)
		require.NoError(b, err)
	}
}
