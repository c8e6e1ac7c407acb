package target

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkAcquire measures Acquire, Report and Release together while half of the slots are in
// use.
func BenchmarkAcquire(b *testing.B) {
	for _, count := range []int{50, 1200} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			table := tableOf(count, 2)
			for range count {
				table.Acquire(criteria(start))
			}
			request := criteria(start.Add(time.Hour))
			b.ReportAllocs()
			for b.Loop() {
				slot, _ := table.Acquire(request)
				table.Report(slot, Succeeded, time.Millisecond, request.Now)
				table.Release(slot)
			}
		})
	}
}
