package log

import (
	"context"
	"fmt"
	"testing"

	"endivemoor.example/endivemoor/platform/standin/platformd"
	"endivemoor.example/endivemoor/store"
)

// countingStore counts the bytes written.
type countingStore struct {
	*platformd.Store
	bytes int
}

func (w *countingStore) Put(ctx context.Context, p store.Purpose, key string, value []byte, expect store.Version) (store.Version, error) {
	w.bytes += len(value)
	return w.Store.Put(ctx, p, key, value, expect)
}

// BenchmarkAppend measures the store operations and bytes for each act, when acts are appended
// singly or in batches as a daemon's recorder writes them.
func BenchmarkAppend(b *testing.B) {
	for _, batch := range []int{1, 4, 16, 64} {
		b.Run(fmt.Sprintf("batch=%d", batch), func(b *testing.B) {
			w := &countingStore{Store: platformd.NewStore()}
			l := open(w)
			ctx := context.Background()
			n := 0
			for b.Loop() {
				since, err := l.Last(ctx)
				if err != nil {
					b.Fatal(err)
				}
				acts := make([]Pending, batch)
				for i := range acts {
					acts[i] = act(fmt.Sprint(n))
					acts[i].Since = since
					n++
				}
				if err := l.Append(ctx, acts...); err != nil {
					b.Fatal(err)
				}
			}
			stats := w.Stats()
			b.ReportMetric(float64(stats.Reads)/float64(n), "reads/act")
			b.ReportMetric(float64(stats.Writes)/float64(n), "writes/act")
			b.ReportMetric(float64(w.bytes)/float64(n), "written-B/act")
		})
	}
}
