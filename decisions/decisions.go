// Package decisions counts the decisions that a VM makes under load: by the part that decides, the
// subject that it decides about, such as a target or a workspace, and the outcome. The counts go to
// a metric, which has no subjects so that it stays bounded, and to one log line a subject, which
// Read and Sum turn into a table over all VMs.
package decisions

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
)

// Event is the log event that reports the counts of one subject.
const Event = "decisions"

// By is the part that decides.
type By string

const (
	// Limit decides which operations of a workspace get a token.
	Limit By = "limit"
	// Queue decides which requests get a connection to a target, and which are refused.
	Queue By = "queue"
	// Connections decides which connections to a target are opened and closed.
	Connections By = "connections"
	// Placing decides at which target a read is tried.
	Placing By = "placing"
	// Refusal decides what a VM refuses by itself, and when callers return.
	Refusal By = "refusal"
	// Repeat decides whether the fleet itself repeats a statement.
	Repeat By = "repeat"
	// Outlier decides which targets that fail a part of their statements are set aside.
	Outlier By = "outlier"
	// Condition decides which VMs are gateways less often.
	Condition By = "condition"
	// Returning decides which requests are those of callers who return.
	Returning By = "returning"
)

const (
	// maxSubjects is the number of subjects that are reported by name between two reports; others
	// are counted together.
	maxSubjects = 64
	// otherSubjects is the subject of all others.
	otherSubjects = "other"
)

type subject struct {
	by   By
	name string
}

// Recorder counts decisions. It is safe for concurrent use; a nil Recorder counts nothing.
type Recorder struct {
	total *prometheus.CounterVec

	mu      sync.Mutex
	pending map[subject]map[string]int
}

// NewRecorder returns a Recorder and registers its metric.
func NewRecorder(r prometheus.Registerer) *Recorder {
	total := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "endivemoor_decisions_total", Help: "Decisions under load by the part that decides and by outcome."},
		[]string{"by", "outcome"})
	r.MustRegister(total)
	return &Recorder{total: total, pending: make(map[subject]map[string]int)}
}

// Count counts n decisions about a subject. An outcome is a constant of the part that decides.
func (r *Recorder) Count(by By, name, outcome string, n int) {
	if r == nil || n == 0 {
		return
	}
	r.total.WithLabelValues(string(by), outcome).Add(float64(n))
	r.mu.Lock()
	defer r.mu.Unlock()
	s := subject{by, name}
	if r.pending[s] == nil && len(r.pending) >= maxSubjects {
		s.name = otherSubjects
	}
	if r.pending[s] == nil {
		r.pending[s] = make(map[string]int)
	}
	r.pending[s][outcome] += n
}

// Report logs what was counted since the last call, one line a subject.
func (r *Recorder) Report(log *zap.Logger) {
	r.mu.Lock()
	counts := r.pending
	r.pending = make(map[subject]map[string]int)
	r.mu.Unlock()
	order := slices.SortedFunc(maps.Keys(counts), func(a, b subject) int {
		return cmp.Or(cmp.Compare(a.by, b.by), cmp.Compare(a.name, b.name))
	})
	for _, s := range order {
		fields := []zap.Field{zap.String("by", string(s.by)), zap.String("subject", s.name)}
		for _, outcome := range slices.Sorted(maps.Keys(counts[s])) {
			fields = append(fields, zap.Int(outcomePrefix+outcome, counts[s][outcome]))
		}
		log.Info(Event, fields...)
	}
}

// outcomePrefix distinguishes outcomes from the other fields of a line.
const outcomePrefix = "n."
