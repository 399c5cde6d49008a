package store

import (
	"context"
	"fmt"
	"testing"

	"endivemoor.example/endivemoor/platform/standin/platformd"
)

// BenchmarkChange measures the store's reads and writes for one change of profiles, from draft to
// published.
func BenchmarkChange(b *testing.B) {
	ctx := context.Background()
	p := platformd.NewStore()
	s := open(p)
	n := 0
	for b.Loop() {
		n++
		text := fmt.Sprintf("[shop]\n[shop.pay]\nkey = required\nworth = %d\n", n%999+1)
		d, _, err := s.Create(ctx, aoife, "f.ini", []byte(text))
		if err != nil {
			b.Fatal(err)
		}
		if _, err := s.Review(ctx, brian, d.ID, nil); err != nil {
			b.Fatal(err)
		}
		if _, err := s.Publish(ctx, aoife, d.ID); err != nil {
			b.Fatal(err)
		}
	}
	stats := p.Stats()
	b.ReportMetric(float64(stats.Reads)/float64(n), "reads/change")
	b.ReportMetric(float64(stats.Writes)/float64(n), "writes/change")
}
