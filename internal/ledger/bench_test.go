package ledger

import (
	"fmt"
	"testing"
	"time"

	"github.com/oriolepond/oriolepond/pkg/share"
)

// opened returns a book with n open incarnations of 280 shares.
func opened(n int) (*Book, []Incarnation) {
	b := NewBook()
	size := share.Resources{Processors: 4000, Memory: 8 << 30}
	all := make([]Incarnation, n)
	for i := range all {
		all[i] = Incarnation{Task: fmt.Sprintf("job-%d-%d", i/4, i%4), Number: 1}
		b.Open(all[i], fmt.Sprintf("team-%d/batch", i%280), size, start)
		b.Record(all[i], NewUsage(time.Duration(i)*time.Second, float64(i)*8e9, 0), start)
	}
	return b, all
}

func BenchmarkRecord(b *testing.B) {
	book, all := opened(28_600)
	usage := NewUsage(100*time.Hour, 1e15, 0)
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		usage.Processor += 1000
		book.Record(all[i%len(all)], usage, start.Add(time.Duration(i)*time.Millisecond))
		i++
	}
}

func BenchmarkEncode(b *testing.B) {
	for _, n := range []int{1000, 7150, 28_600} {
		b.Run(fmt.Sprint("open=", n), func(b *testing.B) {
			book, _ := opened(n)
			b.ReportAllocs()
			for b.Loop() {
				text, err := book.Encode()
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(len(text))/float64(n), "B/open")
			}
		})
	}
}
