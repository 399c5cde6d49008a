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
			for service, refused := range books.Untold() {
				r.tell(ctx, refusedRequest(service, refused, r.cfg.Clock.Now()))
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

func refusedRequest(service string, refused []returning.Refused, now clock.Time) *relaypb.RefusedRequest {
	out := &relaypb.RefusedRequest{Service: service}
	for _, one := range refused {
		if age := now.Sub(one.First); age >= 0 && age < returning.MaxAge {
			out.Callers, out.AgeUs = append(out.Callers, one.Caller), append(out.AgeUs, uint32(micros(age)))
		}
	}
	return out
}

// Refused implements relaypb.Relay.
func (s *Server) Refused(_ context.Context, in *relaypb.RefusedRequest) (*relaypb.RefusedReply, error) {
	if s.cfg.Returning != nil {
		ages := make([]time.Duration, len(in.GetAgeUs()))
		for i, us := range in.GetAgeUs() {
			ages[i] = duration(int64(us))
		}
		s.cfg.Returning.Told(s.cfg.Clock.Now(), in.GetService(), in.GetCallers(), ages)
	}
	return &relaypb.RefusedReply{}, nil
}
