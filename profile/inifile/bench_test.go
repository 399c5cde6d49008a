package inifile

import (
	"fmt"
	"strings"
	"testing"
)

// setOf returns the text of a set with the number of kinds given, ten in each profile.
func setOf(kinds int) []byte {
	var b strings.Builder
	for i := range kinds {
		if i%10 == 0 {
			fmt.Fprintf(&b, "[p%d]\nmax-read-age = 5s\ndrain-grace = 10s\nmax-queued = 100\n", i/10)
		}
		fmt.Fprintf(&b, "[p%d.k%d]\naccess = write\nworth = 10\ndeadline = 5s\nkey = required\n", i/10, i%10)
	}
	return []byte(b.String())
}

// BenchmarkParse measures the cost of parsing a published set, by the number of kinds.
func BenchmarkParse(b *testing.B) {
	for _, kinds := range []int{10, 50, 250, 1000} {
		text := setOf(kinds)
		b.Run(fmt.Sprintf("kinds=%d", kinds), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if set, _ := Parse("b.ini", text); set == nil {
					b.Fatal("refused")
				}
			}
			b.ReportMetric(float64(len(text)), "text-B")
		})
	}
}
