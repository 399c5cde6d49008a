package edge

import (
	"cmp"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/ratelimit"
)

const (
	// ownerPatience is how long one owner's answer is waited for before the next one is
	// asked as well.
	ownerPatience = 40 * time.Millisecond
	// ownersPatience bounds the wait for all of them, and silentPatience if none has
	// answered lately.
	ownersPatience = 250 * time.Millisecond
	silentPatience = 60 * time.Millisecond
	// ownersAway is when a caller should return if no owner answers: at once, as its next
	// try reaches another VM, which may be on the better side of a cut.
	ownersAway = 30 * time.Millisecond
	// ownersRest is for how long after a restore of the store the owners stay as they
	// were: entries of VMs that it has lost are written again by then.
	ownersRest = 3 * time.Second
)

// limits lets the operations of workspaces through, as far as their limits go, and
// keeps this VM's part of them.
type limits struct {
	edge *Edge
	plan atomic.Pointer[ratelimit.Plan]

	mu     sync.Mutex
	ledger *ratelimit.Ledger
	purse  *ratelimit.Purse
}

func newLimits(e *Edge) *limits {
	l := &limits{edge: e, ledger: ratelimit.NewLedger(e.set.Bounds.LimitMargin), purse: ratelimit.NewPurse()}
	l.plan.Store(ratelimit.NewPlan(e.set.Node, nil, e.clk.Now()))
	return l
}

// update takes over a new catalog. It is called by one goroutine.
//
// Failure guarded against: the store comes back from an older copy without the entries of
// many VMs, which write them again. Each of them would be a new owner that has to wait, and
// whole workspaces would be without one.
func (l *limits) update(c *catalog.Catalog) {
	if !l.holds() {
		l.plan.Store(l.plan.Load().Next(c.VMs, l.edge.clk.Now()))
	}
	if c.Config == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ledger.Keep(c.Config.Workspaces)
	l.purse.Keep(c.Config.Workspaces)
}

// holds reports whether the owners stay as they are, whatever the list says.
func (l *limits) holds() bool { return l.edge.eras.younger(ownersRest) && !l.plan.Load().IsOf(nil) }

// behind reports whether the owners are to be those of another list.
func (l *limits) behind(c *catalog.Catalog) bool {
	return len(c.VMs) > 0 && !l.holds() && !l.plan.Load().IsOf(c.VMs)
}

// Draw takes tokens of the part that this VM owns of a workspace's limit.
func (l *limits) Draw(workspace string, want int) (tokens int, comeBack time.Duration) {
	now := l.edge.clk.Now()
	part := l.plan.Load().Part(workspace, now)
	c := l.edge.catalog.Load().Config
	if part.Of == 0 || c == nil || c.Workspaces[workspace] == nil || l.edge.ends.leaving.Load() {
		return 0, ownersAway
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ledger.Grant(now, c.Workspaces[workspace], part, want)
}

// Take implements engine.Limiter.
func (l *limits) Take(ctx context.Context, w *catalog.Workspace) (comeBack time.Duration, ok bool) {
	if !w.Limited {
		return 0, true
	}
	want, wait := l.atHand(w.Name)
	switch {
	case wait > 0:
		return wait, false
	case want == 0:
		return 0, true
	}
	comeBack, ok = l.ask(ctx, w.Name, want)
	if !ok {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.purse.Close(l.edge.clk.Now(), w.Name, comeBack)
	}
	return comeBack, ok
}

// Return implements engine.Limiter.
func (l *limits) Return(w *catalog.Workspace) {
	if !w.Limited {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.purse.Return(w.Name)
}

// atHand spends a token that this VM has. If it has none, want says how many to ask for,
// or wait for how long not to.
func (l *limits) atHand(workspace string) (want int, wait time.Duration) {
	now := l.edge.clk.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.purse.Asked(now, workspace)
	if l.purse.Spend(now, workspace) {
		return 0, 0
	}
	return l.purse.Want(now, workspace), l.purse.Closed(now, workspace)
}

// drawn is an owner's answer.
type drawn struct {
	tokens   int
	comeBack time.Duration
	err      error
}

// ask asks the owners for a token, and says when to come back if none has one.
func (l *limits) ask(ctx context.Context, workspace string, want int) (comeBack time.Duration, ok bool) {
	owners, patience := l.awake(l.plan.Load().Nearest(workspace, l.edge.set.Zone))
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	comeBack, ok = l.askInTurn(ctx, owners, workspace, want)
	return cmp.Or(comeBack, ownersAway), ok
}

// askInTurn asks one owner after the other, and the next one as well if one takes long. If
// none has a token, the result is the earliest time that one of them told, or 0.
func (l *limits) askInTurn(ctx context.Context, owners []catalog.VM, workspace string, want int) (comeBack time.Duration, ok bool) {
	answers := make(chan drawn, len(owners))
	asked, answered := 0, 0
	next := func() {
		if asked < len(owners) {
			go l.drawAt(owners[asked], workspace, want, answers)
			asked++
		}
	}
	slow := time.NewTicker(ownerPatience)
	defer slow.Stop()
	for next(); answered < len(owners); {
		select {
		case a := <-answers:
			answered++
			if a.tokens > 0 && l.spend(workspace) {
				return 0, true
			}
			if a.err == nil && (comeBack == 0 || a.comeBack < comeBack) {
				comeBack = a.comeBack
			}
			next()
		case <-slow.C:
			next()
		case <-ctx.Done():
			return comeBack, false
		}
	}
	return comeBack, false
}

// awake leaves out the owners that did not answer just now. If none has, all are asked
// again and not waited for long; none is by a VM that reaches nobody, as it knows already
// that it will be in vain.
func (l *limits) awake(owners []catalog.VM) ([]catalog.VM, time.Duration) {
	out := make([]catalog.VM, 0, len(owners))
	for _, vm := range owners {
		if vm.ID == l.edge.set.Node || !l.edge.router.InBackoff(vm) {
			out = append(out, vm)
		}
	}
	switch {
	case len(out) > 0:
		return out, ownersPatience
	case l.edge.gossip.Reaches(l.edge.clk.Now()):
		return owners, silentPatience
	default:
		return nil, silentPatience
	}
}

// drawAt asks one owner, and keeps what it gives.
func (l *limits) drawAt(vm catalog.VM, workspace string, want int, answers chan<- drawn) {
	asked := l.edge.clk.Now()
	var a drawn
	if vm.ID == l.edge.set.Node {
		a.tokens, a.comeBack = l.Draw(workspace, want)
	} else {
		a.tokens, a.comeBack, a.err = l.edge.router.Draw(vm, workspace, want)
	}
	if a.err != nil {
		l.edge.log.Debug("owner-silent", zap.String("workspace", workspace), zap.String("owner", vm.ID), zap.Error(a.err))
	}
	l.mu.Lock()
	l.purse.Put(workspace, asked, a.tokens)
	l.mu.Unlock()
	answers <- a
}

func (l *limits) spend(workspace string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.purse.Spend(l.edge.clk.Now(), workspace)
}
