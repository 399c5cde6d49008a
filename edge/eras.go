package edge

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock"
)

// eras tracks the eras of the store. The store begins a new era each time it is restored from an
// older copy of itself and so loses the changes made since that copy.
type eras struct {
	log   *zap.Logger
	clk   clock.Clock
	count prometheus.Counter

	mu    sync.Mutex
	known bool
	first int64 // the era in which this process began
	era   int64
	since clock.Time // when the current era was first received; 0 if it is the first one
	began chan struct{}
}

func newEras(log *zap.Logger, clk clock.Clock, r prometheus.Registerer) *eras {
	s := &eras{log: log, clk: clk, began: make(chan struct{})}
	s.count = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "endivemoor_store_restores_total", Help: "Times that the platform's store came back from an older copy."})
	r.MustRegister(s.count)
	return s
}

// record records an era that the store or a peer has reported. The first one does not count as a
// change.
func (s *eras) record(era int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.known {
		s.known, s.first, s.era = true, era, era
		return
	}
	if era <= s.era {
		return
	}
	s.log.Warn("store-restored", zap.Int64("era", era), zap.Int64("before", s.era))
	s.count.Add(float64(era - s.era))
	s.era, s.since = era, s.clk.Now()
	close(s.began)
	s.began = make(chan struct{})
}

// recordRevision records the era of a revision that a peer has reported. A peer without a revision
// reports 0.
func (s *eras) recordRevision(r catalog.Revision) {
	if r != 0 {
		s.record(catalog.EraOf(r))
	}
}

// current returns the latest known era.
func (s *eras) current() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// missingRecordEra returns the latest era for which an absent record is known never to have
// existed: the one in which this process began, because a restore may have lost the record since.
func (s *eras) missingRecordEra() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.first
}

// restoredAt returns when the current era was first received; 0 if this process has seen no other.
func (s *eras) restoredAt() clock.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.since
}

// startedWithin reports whether the current era began less than the given duration ago.
func (s *eras) startedWithin(than time.Duration) bool {
	at := s.restoredAt()
	return at != 0 && s.clk.Now().Sub(at) < than
}

// nextEra returns a channel that is closed when the next era begins.
func (s *eras) nextEra() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.began
}
