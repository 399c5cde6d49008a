package spending

import (
	"cmp"
	"io"
	"slices"
	"strconv"

	"endivemoor.example/endivemoor/logging"
)

// Event is the log event that reports a VM's counts.
const Event = "spent"

// Summary adds up the counts in the logs of VMs. It is not safe for concurrent use.
type Summary struct {
	// counts are the latest counts of each incarnation of a VM. They only grow while it runs, so
	// the latest ones replace the earlier ones.
	counts map[incarnation]map[Item]int64
}

// incarnation is one process of a VM.
type incarnation struct{ vm, zone, incarnation string }

// NewSummary returns an empty Summary.
func NewSummary() *Summary { return &Summary{counts: make(map[incarnation]map[Item]int64)} }

// Read adds a log. Lines of other events, and lines that are not key=value pairs, are skipped.
func (s *Summary) Read(r io.Reader) error {
	return logging.EachEvent(r, []string{Event}, s.add)
}

// add replaces the counts of an incarnation by those of one line.
func (s *Summary) add(fields map[string]string) {
	counts := make(map[Item]int64)
	for key, value := range fields {
		parseCount(counts, key, value)
	}
	s.counts[incarnation{vm: fields["vm"], zone: fields["zone"], incarnation: fields["incarnation"]}] = counts
}

func parseCount(counts map[Item]int64, key, value string) {
	i, ok := parseKey(key)
	if !ok {
		return
	}
	if n, err := strconv.ParseInt(value, 10, 64); err == nil {
		counts[i] = n
	}
}

// Row is one row of a table.
type Row struct {
	Family Family `json:"family"`
	Name   string `json:"name"`
	Detail string `json:"detail,omitempty"`
	// Zone is the zone of the VMs; empty if the row covers all zones.
	Zone string `json:"zone,omitempty"`
	// VMs is the number of VMs that have a count, Total the sum of the counts, and Most the highest
	// count, at the VM MostAt.
	VMs    int    `json:"vms"`
	Total  int64  `json:"total"`
	Most   int64  `json:"most"`
	MostAt string `json:"most_at"`
}

// Rows returns a row for each item, over all VMs or by their zone.
func (s *Summary) Rows(byZone bool) []Row {
	type key struct {
		Item
		zone string
	}
	at := make(map[key]*Row)
	for vm, counts := range s.byVM(byZone) {
		for i, n := range counts {
			k := key{i, vm.zone}
			if at[k] == nil {
				at[k] = &Row{Family: i.Family, Name: i.Name, Detail: i.Detail, Zone: vm.zone}
			}
			r := at[k]
			r.VMs++
			r.Total += n
			if n > r.Most || r.MostAt == "" {
				r.Most, r.MostAt = n, vm.vm
			}
		}
	}
	out := make([]Row, 0, len(at))
	for _, r := range at {
		out = append(out, *r)
	}
	slices.SortFunc(out, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Family, b.Family), cmp.Compare(b.Total, a.Total),
			cmp.Compare(a.Name, b.Name), cmp.Compare(a.Detail, b.Detail), cmp.Compare(a.Zone, b.Zone))
	})
	return out
}

// byVM sums the counts of each VM's incarnations.
func (s *Summary) byVM(byZone bool) map[incarnation]map[Item]int64 {
	out := make(map[incarnation]map[Item]int64)
	for vm, counts := range s.counts {
		vm.incarnation = ""
		if !byZone {
			vm.zone = ""
		}
		if out[vm] == nil {
			out[vm] = make(map[Item]int64)
		}
		for i, n := range counts {
			out[vm][i] += n
		}
	}
	return out
}
