package spending

import (
	"cmp"
	"io"
	"slices"
	"strconv"

	"endivemoor.example/endivemoor/logging"
)

// Event is that of the log line that tells a VM's counts.
const Event = "spent"

// Account is what the VMs of a log have spent. It is for one goroutine.
type Account struct {
	// lives are the latest counts of each process: they only grow while it lives.
	lives map[life]map[Item]int64
}

// life is one process of a VM.
type life struct{ vm, zone, incarnation string }

// NewAccount returns an empty Account.
func NewAccount() *Account { return &Account{lives: make(map[life]map[Item]int64)} }

// Read adds a log. Lines of other events, and lines that are no key=value
// pairs, are passed over.
func (a *Account) Read(r io.Reader) error {
	return logging.EachEvent(r, []string{Event}, a.add)
}

// add takes over the counts of one line.
func (a *Account) add(fields map[string]string) {
	counts := make(map[Item]int64)
	for key, value := range fields {
		take(counts, key, value)
	}
	a.lives[life{vm: fields["vm"], zone: fields["zone"], incarnation: fields["incarnation"]}] = counts
}

func take(counts map[Item]int64, key, value string) {
	i, ok := parseKey(key)
	if !ok {
		return
	}
	if n, err := strconv.ParseInt(value, 10, 64); err == nil {
		counts[i] = n
	}
}

// Row is one line of a table.
type Row struct {
	Family Family `json:"family"`
	Name   string `json:"name"`
	Detail string `json:"detail,omitempty"`
	// Zone is the VMs' own; empty if the row is of all.
	Zone string `json:"zone,omitempty"`
	// VMs have spent it, Total in all and Most at the one that spent the most.
	VMs    int    `json:"vms"`
	Total  int64  `json:"total"`
	Most   int64  `json:"most"`
	MostAt string `json:"most_at"`
}

// Rows are the account's lines: of each item, over all VMs or by their zone.
func (a *Account) Rows(byZone bool) []Row {
	type key struct {
		Item
		zone string
	}
	at := make(map[key]*Row)
	for vm, counts := range a.byVM(byZone) {
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

// byVM sums the counts of each VM's processes.
func (a *Account) byVM(byZone bool) map[life]map[Item]int64 {
	out := make(map[life]map[Item]int64)
	for l, counts := range a.lives {
		l.incarnation = ""
		if !byZone {
			l.zone = ""
		}
		if out[l] == nil {
			out[l] = make(map[Item]int64)
		}
		for i, n := range counts {
			out[l][i] += n
		}
	}
	return out
}
