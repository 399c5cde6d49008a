package relay

import (
	"context"
	"time"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/relay/relaypb"
	"endivemoor.example/endivemoor/returning"
)

const (
	// tellInterval is the interval at which a VM tells others whom it has refused. Most callers are
	// told to return later than this.
	tellInterval = 100 * time.Millisecond
	// tellTimeout bounds one such message.
	tellTimeout = 200 * time.Millisecond
	// expireInterval is the interval at which a VM forgets the callers who have left.
	expireInterval = time.Second
)

// TellRefused tells the other gateways of each service whom this VM refuses, until ctx ends.
func (r *Router) TellRefused(ctx context.Context, books *returning.Books) {
	tick := time.NewTicker(tellInterval)
	defer tick.Stop()
	expire := time.NewTicker(expireInterval)
	defer expire.Stop()
	for {
		select {
		case <-expire.C:
			books.Expire(r.cfg.Clock.Now())
		case <-tick.C:
			for service, news := range books.Untold() {
				r.tell(ctx, refusedRequest(service, news, r.cfg.Clock.Now()))
			}
		case <-ctx.Done():
			return
		}
	}
}

// tell sends a message to the other gateways of its service that respond. A lost one is not repeated:
// its callers then count as new.
func (r *Router) tell(ctx context.Context, in *relaypb.RefusedRequest) {
	for _, vm := range r.otherGateways(in.GetService()) {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, tellTimeout)
			defer cancel()
			_, _ = r.peers.get(vm.Peer).Refused(ctx, in)
		}()
	}
}

// otherGateways returns the other gateways of a service that respond.
func (r *Router) otherGateways(service string) []catalog.VM {
	p := r.assignment.Load()
	if p == nil {
		return nil
	}
	var out []catalog.VM
	for _, vm := range p.Others(service) {
		if !r.peers.inBackoff(vm.Peer) {
			out = append(out, vm)
		}
	}
	return out
}

func refusedRequest(service string, news returning.News, now clock.Time) *relaypb.RefusedRequest {
	out := &relaypb.RefusedRequest{Service: service}
	out.Callers, out.AgeUs = withAges(news.Refused, now)
	out.Returned, out.ReturnedAgeUs = withAges(news.Returned, now)
	return out
}

func withAges(all []returning.Refused, now clock.Time) (callers []uint64, us []uint32) {
	for _, one := range all {
		if age := now.Sub(one.First); age >= 0 && age < returning.MaxAge {
			callers, us = append(callers, one.Caller), append(us, uint32(micros(age)))
		}
	}
	return callers, us
}

// Refused implements relaypb.Relay.
func (s *Server) Refused(_ context.Context, in *relaypb.RefusedRequest) (*relaypb.RefusedReply, error) {
	if s.cfg.Returning != nil {
		now := s.cfg.Clock.Now()
		s.cfg.Returning.Told(now, in.GetService(), in.GetCallers(), durations(in.GetAgeUs()))
		s.cfg.Returning.Returned(now, in.GetService(), in.GetReturned(), durations(in.GetReturnedAgeUs()))
	}
	return &relaypb.RefusedReply{}, nil
}

func durations(us []uint32) []time.Duration {
	out := make([]time.Duration, len(us))
	for i, one := range us {
		out[i] = duration(int64(one))
	}
	return out
}
