package decisions

import (
	"cmp"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"

	"endivemoor.example/endivemoor/logging"
)

// Row is one row of the table over all VMs.
type Row struct {
	By      By     `json:"by"`
	Subject string `json:"subject"`
	Outcome string `json:"outcome"`
	Count   int    `json:"count"`
	// VMs is the number of VMs that decided so.
	VMs int `json:"vms"`
	// Most is the largest number that one VM counted, and MostAt is that VM.
	Most   int    `json:"most"`
	MostAt string `json:"most-at"`
}

type rowKey struct {
	by               By
	subject, outcome string
}

// Sum adds up the counts of several VMs' logs.
type Sum struct{ byVM map[rowKey]map[string]int }

// NewSum returns an empty Sum.
func NewSum() *Sum { return &Sum{byVM: make(map[rowKey]map[string]int)} }

// Read adds the counts of a log. Lines of other events, and counts that are no numbers, are skipped.
func (s *Sum) Read(r io.Reader) error {
	return logging.EachEvent(r, []string{Event}, func(f map[string]string) {
		for name, value := range f {
			outcome, ok := strings.CutPrefix(name, outcomePrefix)
			n, err := strconv.Atoi(value)
			if !ok || err != nil {
				continue
			}
			k := rowKey{By(f["by"]), f["subject"], outcome}
			if s.byVM[k] == nil {
				s.byVM[k] = make(map[string]int)
			}
			s.byVM[k][f["vm"]] += n
		}
	})
}

// Rows returns the table: by the part that decides, then the largest counts first.
func (s *Sum) Rows() []Row {
	out := make([]Row, 0, len(s.byVM))
	for k, vms := range s.byVM {
		row := Row{By: k.by, Subject: k.subject, Outcome: k.outcome, VMs: len(vms)}
		for _, vm := range slices.Sorted(maps.Keys(vms)) {
			row.Count += vms[vm]
			if vms[vm] > row.Most {
				row.Most, row.MostAt = vms[vm], vm
			}
		}
		out = append(out, row)
	}
	slices.SortFunc(out, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.By, b.By), b.Count-a.Count, cmp.Compare(a.Subject, b.Subject), cmp.Compare(a.Outcome, b.Outcome))
	})
	return out
}
