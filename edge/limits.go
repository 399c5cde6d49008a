package edge

import (
	"cmp"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/decisions"
	"endivemoor.example/endivemoor/feature"
	"endivemoor.example/endivemoor/ratelimit"
)

const (
	// ownerTimeout is how long to wait for one owner's reply before the next owner is asked too.
	ownerTimeout = 40 * time.Millisecond
	// allOwnersTimeout bounds the wait for all owners, and unresponsiveTimeout bounds it if none of
	// them has answered recently.
	allOwnersTimeout    = 250 * time.Millisecond
	unresponsiveTimeout = 60 * time.Millisecond
	// noOwnerRetryAfter is the retry-after of a caller if no owner answers. It is short because the
	// caller's next try reaches another VM, which may be on the better side of a partition.
	noOwnerRetryAfter = 30 * time.Millisecond
	// ownersHoldTime is how long after a restore of the store the owners stay unchanged. VMs whose
	// entries were lost have rewritten them by then.
	ownersHoldTime = 3 * time.Second
)

// limits enforces the rate limits of workspaces and holds this VM's share of them.
type limits struct {
	edge       *Edge
	metrics    limitMetrics
	assignment atomic.Pointer[ratelimit.Assignment]

	mu      sync.Mutex
	buckets *ratelimit.Buckets
	tokens  *ratelimit.TokenCache
}

func newLimits(e *Edge) *limits {
	l := &limits{edge: e, metrics: newLimitMetrics(e.metrics), buckets: ratelimit.NewBuckets(e.settings.Bounds.LimitMargin), tokens: ratelimit.NewTokenCache()}
	l.assignment.Store(ratelimit.NewAssignment(e.settings.Node, nil, e.clk.Now()))
	return l
}

// update applies a new catalog. It must be called from one goroutine only.
//
// Failure guarded against: the store is restored from an older copy without the entries of many
// VMs, which rewrite them. Each of these VMs would become a new owner that has to wait, and whole
// workspaces would have no owner meanwhile.
func (l *limits) update(c *catalog.Catalog) {
	if !l.holdsAssignment() {
		l.assignment.Store(l.assignment.Load().Next(c.VMs, l.edge.clk.Now()))
	}
	if c.Config == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.buckets.Retain(c.Config.Workspaces)
	l.tokens.Retain(c.Config.Workspaces)
}

// holdsAssignment reports whether the owners stay unchanged regardless of the fleet's list.
func (l *limits) holdsAssignment() bool {
	return l.edge.eras.startedWithin(ownersHoldTime) && !l.assignment.Load().Matches(nil)
}

// outdated reports whether the owners must be reassigned for the current fleet's list.
func (l *limits) outdated(c *catalog.Catalog) bool {
	return len(c.VMs) > 0 && !l.holdsAssignment() && !l.assignment.Load().Matches(c.VMs)
}

// Draw takes tokens from this VM's share of a workspace's limit.
func (l *limits) Draw(workspace string, r ratelimit.Request) ratelimit.Reply {
	now := l.edge.clk.Now()
	share := l.assignment.Load().Share(workspace, now)
	c := l.edge.catalog.Load().Config
	if share.Owners == 0 || c == nil || c.Workspaces[workspace] == nil || l.edge.shutdown.leaving.Load() {
		return ratelimit.Reply{RetryAfter: noOwnerRetryAfter}
	}
	if l.edge.features.Without(feature.LimitsByPriority) {
		r.Priority, r.Operations = ratelimit.LowestPriority, 0
	}
	l.mu.Lock()
	reply := l.buckets.Grant(now, c.Workspaces[workspace], share, r)
	l.mu.Unlock()
	if l.edge.features.Without(feature.LimitsByPriority) {
		reply.Interval = 0
	}
	l.countReply(workspace, reply)
	return reply
}

// Take implements engine.Limiter.
func (l *limits) Take(ctx context.Context, w *catalog.Workspace, priority int) (retryAfter time.Duration, ok bool) {
	if !w.Limited {
		return 0, true
	}
	if l.edge.features.Without(feature.LimitsByPriority) {
		priority = ratelimit.LowestPriority
	}
	request, retryAfter, ok := l.spendOrRequest(w.Name, priority)
	switch {
	case ok:
		return 0, true
	case retryAfter > 0:
		l.edge.decisions.Count(decisions.Limit, w.Name, refusedInBackoff, 1)
		return retryAfter, false
	}
	refusal, ok := l.drawFromOwners(ctx, w.Name, request)
	if ok {
		return 0, true
	}
	l.edge.decisions.Count(decisions.Limit, w.Name, refused, 1)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tokens.BackOff(l.edge.clk.Now(), w, len(l.edge.catalog.Load().VMs), request, refusal)
	return refusal.RetryAfter, false
}

// Return implements engine.Limiter.
func (l *limits) Return(w *catalog.Workspace) {
	if !w.Limited {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tokens.Return(w.Name)
}

// spendOrRequest spends a cached token. Without one, it returns the request for tokens, or how long
// the caller is to wait if none is to be sent yet.
func (l *limits) spendOrRequest(workspace string, priority int) (r ratelimit.Request, retryAfter time.Duration, ok bool) {
	now := l.edge.clk.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tokens.RecordOperation(now, workspace, priority)
	spent := l.tokens.Spend(now, workspace, priority)
	l.metrics.expired.Add(float64(l.tokens.TakeExpired()))
	if spent {
		return r, 0, true
	}
	return l.tokens.Request(now, workspace, priority), l.tokens.RetryAfter(now, workspace, priority), false
}

// ownerReply is an owner's reply, or the error of a request without one.
type ownerReply struct {
	ratelimit.Reply
	err error
}

// drawFromOwners requests tokens from the owners. If none has one, it returns the refusal.
func (l *limits) drawFromOwners(ctx context.Context, workspace string, r ratelimit.Request) (refusal ratelimit.Reply, ok bool) {
	owners, timeout := l.responsiveOwners(l.assignment.Load().Nearest(workspace, l.edge.settings.Zone))
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	refusal, ok = l.drawInSequence(ctx, owners, workspace, r)
	refusal.RetryAfter = cmp.Or(refusal.RetryAfter, noOwnerRetryAfter)
	return refusal, ok
}

// drawInSequence asks one owner after the other, and also the next one if a reply takes longer than
// ownerTimeout. If no owner has a token, it returns the refusal with the shortest retry-after; it is
// zero if no owner replied.
func (l *limits) drawInSequence(ctx context.Context, owners []catalog.VM, workspace string, r ratelimit.Request) (refusal ratelimit.Reply, ok bool) {
	answers := make(chan ownerReply, len(owners))
	sent, answered := 0, 0
	next := func() {
		if sent < len(owners) {
			go l.drawFrom(owners[sent], workspace, r, answers)
			sent++
		}
	}
	ownerTimer := time.NewTicker(ownerTimeout)
	defer ownerTimer.Stop()
	for next(); answered < len(owners); {
		select {
		case a := <-answers:
			answered++
			if a.Tokens > 0 && l.spend(workspace, r.Priority) {
				return ratelimit.Reply{}, true
			}
			if a.err == nil && (refusal.RetryAfter == 0 || a.RetryAfter < refusal.RetryAfter) {
				refusal = a.Reply
			}
			next()
		case <-ownerTimer.C:
			next()
		case <-ctx.Done():
			return refusal, false
		}
	}
	return refusal, false
}

// responsiveOwners omits the owners that are in backoff after not answering. If all are, it returns
// all of them with a short timeout; it returns none if this VM reaches no peer, because the
// requests would fail.
func (l *limits) responsiveOwners(owners []catalog.VM) ([]catalog.VM, time.Duration) {
	out := make([]catalog.VM, 0, len(owners))
	for _, vm := range owners {
		if vm.ID == l.edge.settings.Node || !l.edge.router.InBackoff(vm) {
			out = append(out, vm)
		}
	}
	switch {
	case len(out) > 0:
		return out, allOwnersTimeout
	case l.edge.gossip.Reaches(l.edge.clk.Now()):
		return owners, unresponsiveTimeout
	default:
		return nil, unresponsiveTimeout
	}
}

// drawFrom requests tokens from one owner and caches those granted.
func (l *limits) drawFrom(vm catalog.VM, workspace string, r ratelimit.Request, answers chan<- ownerReply) {
	requested := l.edge.clk.Now()
	var a ownerReply
	if vm.ID == l.edge.settings.Node {
		a.Reply = l.Draw(workspace, r)
	} else {
		a.Reply, a.err = l.edge.router.Draw(vm, workspace, r)
	}
	if a.err != nil {
		l.edge.log.Debug("owner-silent", zap.String("workspace", workspace), zap.String("owner", vm.ID), zap.Error(a.err))
	}
	l.mu.Lock()
	l.tokens.Put(workspace, requested, r, a.Reply)
	l.mu.Unlock()
	answers <- a
}

func (l *limits) spend(workspace string, priority int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tokens.Spend(l.edge.clk.Now(), workspace, priority)
}
