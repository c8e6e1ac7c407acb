package target

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkChoice measures a choice with its report and release while half of the slots are taken.
func BenchmarkChoice(b *testing.B) {
	for _, count := range []int{50, 1200} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			table := tableOf(count, 2)
			for range count {
				table.Acquire(want(start))
			}
			w := want(start.Add(time.Hour))
			b.ReportAllocs()
			for b.Loop() {
				slot, _ := table.Acquire(w)
				table.Report(slot, Succeeded, time.Millisecond, w.Now)
				table.Release(slot)
			}
		})
	}
}
