package proxy

import (
	"time"

	"endivemoor.example/endivemoor/view"
)

// sweepEvery is how often the pool's idle connections are looked at. A target
// that drains loses its idle connections within this time.
const sweepEvery = time.Second

// sweeper is a pool that closes what the view no longer wants.
type sweeper interface{ Sweep(v *view.View) }

// sweep looks after the pool until stop is called.
func (s *Server) sweep() (stop func()) {
	p, ok := s.cfg.Pool.(sweeper)
	if !ok {
		return func() {}
	}
	done := make(chan struct{})
	tick := time.NewTicker(sweepEvery)
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
