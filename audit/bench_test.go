package audit

import (
	"fmt"
	"testing"
)

// BenchmarkVerify measures the time to verify a trail, by its length.
func BenchmarkVerify(b *testing.B) {
	for _, n := range []int{100, 1000, 10_000, 100_000} {
		entries := trail(n)
		b.Run(fmt.Sprintf("entries=%d", n), func(b *testing.B) {
			for b.Loop() {
				if len(Verify(entries)) != 0 {
					b.Fatal("faults")
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/entry")
		})
	}
}
