package spending

import (
	"cmp"
	"slices"
	"strings"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
)

// Family is a group of counts.
type Family string

const (
	Bytes   Family = "bytes"
	Queries Family = "questions"
	Calls   Family = "calls"
)

// Item identifies one count.
type Item struct {
	Family Family
	// Name is the purpose of bytes, the reason of queries, or the kind of calls.
	Name string
	// Detail is the reach of bytes or the verb of calls; empty for queries.
	Detail string
}

// separator joins the parts of an Item's key.
const separator = "."

// Key returns the Item's key in a log line.
func (i Item) Key() string {
	parts := []string{string(i.Family), i.Name}
	if i.Detail != "" {
		parts = append(parts, i.Detail)
	}
	return strings.Join(parts, separator)
}

// parseKey is the inverse of Key. It returns false if the key does not belong to an Item.
func parseKey(key string) (Item, bool) {
	parts := strings.SplitN(key, separator, 3)
	if len(parts) < 2 || !slices.Contains([]Family{Bytes, Queries, Calls}, Family(parts[0])) {
		return Item{}, false
	}
	i := Item{Family: Family(parts[0]), Name: parts[1]}
	if len(parts) == 3 {
		i.Detail = parts[2]
	}
	return i, true
}

func (i Item) compare(o Item) int {
	return cmp.Or(cmp.Compare(i.Family, o.Family), cmp.Compare(i.Name, o.Name), cmp.Compare(i.Detail, o.Detail))
}

// total is one count and its metric.
type total struct {
	n      atomic.Int64
	metric prometheus.Counter
}

func (t *total) add(n int) {
	t.n.Add(int64(n))
	t.metric.Add(float64(n))
}

// Fields returns all counts since the VM's start, in a fixed order.
func (m *Meter) Fields() []zap.Field {
	m.mu.Lock()
	defer m.mu.Unlock()
	items := make([]Item, 0, len(m.totals))
	for i := range m.totals {
		items = append(items, i)
	}
	slices.SortFunc(items, Item.compare)
	out := make([]zap.Field, len(items))
	for n, i := range items {
		out[n] = zap.Int64(i.Key(), m.totals[i].n.Load())
	}
	return out
}
