package edge

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock"
)

// eras is what this VM knows of the eras of the store: it begins one each time that it
// comes back from an older copy of itself, and has lost the changes since.
type eras struct {
	log   *zap.Logger
	clk   clock.Clock
	count prometheus.Counter

	mu    sync.Mutex
	known bool
	first int64 // the one in which this process began
	era   int64
	since clock.Time // when the present one was first heard of; 0 if it is the first one
	began chan struct{}
}

func newEras(log *zap.Logger, clk clock.Clock, r prometheus.Registerer) *eras {
	s := &eras{log: log, clk: clk, began: make(chan struct{})}
	s.count = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "endivemoor_store_restores_total", Help: "Times that the platform's store came back from an older copy."})
	r.MustRegister(s.count)
	return s
}

// note takes over an era that the store or a peer has told. The first one is no change.
func (s *eras) note(era int64) {
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

// noteRevision is note for the era of a revision that a peer has told. A peer that has
// none tells 0.
func (s *eras) noteRevision(r catalog.Revision) {
	if r != 0 {
		s.note(catalog.EraOf(r))
	}
}

// current is the latest era that is known.
func (s *eras) current() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// ofMissing is the era for which it can be said that a record which is not there never
// was: the one in which this process began, as a record may have been lost since.
func (s *eras) ofMissing() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.first
}

// restoredAt is when the present era was first heard of; 0 if this process knows no other.
func (s *eras) restoredAt() clock.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.since
}

// younger reports whether the present era began so lately.
func (s *eras) younger(than time.Duration) bool {
	at := s.restoredAt()
	return at != 0 && s.clk.Now().Sub(at) < than
}

// next is closed as the next era begins.
func (s *eras) next() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.began
}
