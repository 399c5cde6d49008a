package proxy

import (
	"time"

	"endivemoor.example/endivemoor/view"
)

// sweepInterval is the interval at which the pool's idle connections are checked. The idle
// connections to a draining target are closed within this time.
const sweepInterval = time.Second

// sweeper is a pool that closes idle connections that the view no longer calls for.
type sweeper interface{ Sweep(v *view.View) }

// sweep sweeps the pool periodically until stop is called.
func (s *Server) sweep() (stop func()) {
	p, ok := s.cfg.Pool.(sweeper)
	if !ok {
		return func() {}
	}
	done := make(chan struct{})
	tick := time.NewTicker(sweepInterval)
	go func() {
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
				p.Sweep(s.cfg.View.Load())
			case <-done:
				return
			}
		}
	}()
	return func() { close(done) }
}
