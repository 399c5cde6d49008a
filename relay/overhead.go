package relay

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/decisions"
	"endivemoor.example/endivemoor/relay/relaypb"
	"endivemoor.example/endivemoor/target"
)

const (
	// overheadSamples is the number of statements that a gateway's overhead is the median of, so
	// that a single pause of either VM does not count.
	overheadSamples = 3
	// overheadTTL is the age at which a sample no longer counts. It covers overheadSamples tries of a
	// slow gateway by a VM that sends a statement every two seconds.
	overheadTTL = time.Minute
	// comparisonTTL is the age at which a sample of the second gateway no longer counts: longer, since
	// the second one is sampled only while the first is passed over.
	//
	// Failure guarded against: two gateways add the same by distance alone, and the second one is tried
	// first each time that its samples have become old.
	comparisonTTL = 10 * time.Minute
	// slowGatewayRatio is how many times as much a gateway adds as the other one before it is tried
	// second.
	slowGatewayRatio = 3
	// overheadFraction is the fraction of the objective that a gateway may add in any case.
	overheadFraction = 0.1
	// retrySlowEvery is the interval, in statements, at which a slow gateway is tried first again.
	retrySlowEvery = 8
)

// overheads holds what each gateway adds to the statements sent through it: the time that neither
// the queue nor the target took. It is safe for concurrent use.
//
// Failure guarded against: a gateway is so slow that it cannot say so, and every statement that is
// sent to it first comes late.
type overheads struct {
	mu   sync.Mutex
	byVM map[string]*overhead
}

// overhead is what one process of a VM adds.
type overhead struct {
	incarnation string
	// samples are the latest ones, the oldest at index next.
	samples [overheadSamples]overheadSample
	next    int
	// passedOver counts the statements that went to the other gateway first.
	passedOver int
}

type overheadSample struct {
	added time.Duration
	at    clock.Time // 0 if there is none
}

func (o *overheads) record(vm *catalog.VM, added time.Duration, now clock.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	v := o.byVM[vm.ID]
	if v == nil || v.incarnation != vm.Incarnation {
		if o.byVM == nil {
			o.byVM = make(map[string]*overhead)
		}
		v = &overhead{incarnation: vm.Incarnation}
		o.byVM[vm.ID] = v
	}
	v.samples[v.next] = overheadSample{added, now}
	v.next = (v.next + 1) % overheadSamples
}

// retain drops the VMs that are not on the fleet's list.
func (o *overheads) retain(c *catalog.Catalog) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for id := range o.byVM {
		if _, known := c.VM(id); !known {
			delete(o.byVM, id)
		}
	}
}

// slow reports whether the first of two gateways should be tried second. A gateway without recent
// samples counts as fast, so that it is tried.
func (o *overheads) slow(first, second *catalog.VM, objective time.Duration, now clock.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	v := o.byVM[first.ID]
	added := v.median(first, overheadTTL, now)
	bound := time.Duration(float64(objective) * overheadFraction)
	if bound <= 0 || added <= bound || added <= slowGatewayRatio*o.byVM[second.ID].median(second, comparisonTTL, now) {
		return false
	}
	v.passedOver++
	return v.passedOver%retrySlowEvery != 0
}

// median returns the median of the samples; 0 if one of them is missing or older than ttl.
func (v *overhead) median(vm *catalog.VM, ttl time.Duration, now clock.Time) time.Duration {
	if v == nil || v.incarnation != vm.Incarnation {
		return 0
	}
	sorted := v.samples
	for _, s := range sorted {
		if s.at == 0 || now.Sub(s.at) > ttl {
			return 0
		}
	}
	slices.SortFunc(sorted[:], func(a, b overheadSample) int { return cmp.Compare(a.added, b.added) })
	return sorted[overheadSamples/2].added
}

// recordOverhead records what a gateway has added to a statement. A statement that may have waited at
// the gateway shows nothing: for a connection or for a slot, which those of open transactions do as
// well, or as a commit for those before it.
func (r *Router) recordOverhead(vm *catalog.VM, in *relaypb.RunRequest, out *relaypb.RunReply, sent clock.Time) {
	report := out.GetLoadReport()
	if r.cfg.IgnoresOverhead || in.GetTransaction() != 0 || in.GetCommits() || report == nil || report.GetWaitUs() > 0 || report.GetOverloaded() {
		return
	}
	now := r.cfg.Clock.Now()
	r.overheads.record(vm, max(now.Sub(sent)-duration(out.GetTookUs()), 0), now)
}

// fasterFirst returns the gateways to a target in the order in which they are tried: the second one
// before the first if that is slow.
func (r *Router) fasterFirst(id target.ID, route []catalog.VM) []catalog.VM {
	if len(route) != maxGateways || r.peers.suspected(route[1].Peer) {
		return route
	}
	if !r.overheads.slow(&route[0], &route[1], r.assignment.Load().objective(id), r.cfg.Clock.Now()) {
		return route
	}
	r.cfg.Decisions.Count(decisions.Condition, route[0].ID, "passed-over", 1)
	return []catalog.VM{route[1], route[0]}
}

// objectives are the shortest objectives of the routes to each service.
type objectives struct {
	config    *catalog.Config
	byService map[string]time.Duration
}

// next returns the objectives of a catalog, which are the same ones while its configuration is.
func (o objectives) next(config *catalog.Config) objectives {
	if config == o.config || config == nil {
		return o
	}
	out := objectives{config: config, byService: make(map[string]time.Duration)}
	for _, r := range config.Routes {
		if known := out.byService[r.Service]; r.Objective > 0 && (known == 0 || r.Objective < known) {
			out.byService[r.Service] = r.Objective
		}
	}
	return out
}

// objective returns the shortest objective of the routes to a target; 0 if there is none.
func (a *catalogAssignment) objective(id target.ID) time.Duration {
	t := a.catalog.Targets[id]
	if t == nil {
		return 0
	}
	return a.objectives.byService[t.Service]
}
