package groups

import (
	"slices"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/leadership"
	"endivemoor.example/endivemoor/takeover"
	"endivemoor.example/endivemoor/target"
)

// incarnation is one run of a target's process.
type incarnation struct {
	number int64
	// listedAt is the store's revision at which this incarnation was first listed, if the service was
	// known before and the target's reports are not trusted yet.
	listedAt int64
	// trustedBreak is when the last connection broke after which the target's reports are trusted
	// again.
	trustedBreak clock.Time
}

// recordIncarnations records the targets' incarnations as of a revision of the store, and returns
// the targets that have restarted.
func (g *Group) recordIncarnations(targets []*catalog.Target, revision int64) (restarted []*catalog.Target) {
	g.mu.Lock()
	defer g.mu.Unlock()
	incarnations := make(map[target.ID]incarnation, len(targets))
	for _, t := range targets {
		known, ok := g.incarnations[t.ID]
		switch {
		case !ok && g.incarnations == nil:
			known = incarnation{number: t.Incarnation}
		case !ok:
			known = incarnation{number: t.Incarnation, listedAt: revision}
		case known.number != t.Incarnation:
			known.number, known.listedAt = t.Incarnation, revision
			restarted = append(restarted, t)
		}
		incarnations[t.ID] = known
	}
	g.incarnations = incarnations
	return restarted
}

// CanWitness reports whether a target's report that it is not paused shows that its primary is not
// being replaced.
//
// Failure guarded against: an attempt pauses a replica, which restarts and has lost the pause, or a
// replica joins after the attempt has paused the others. It follows the old primary and reports so.
// A VM that accepts it as a witness continues to serve exact reads at the old primary, and to
// confirm commits, although another target leads. So the report of such a target counts only once
// this VM has all records of attempts up to the revision at which the new incarnation was listed,
// and none of them is open or has made another target the primary. An attempt that is recorded later
// pauses the new incarnation. A VM that is cut off from the store is told of no new incarnation, but
// the restart breaks its connections to the target: this VM then needs all records up to the break.
// A process that starts does not know what was before: it needs all records up to then.
func (g *Group) CanWitness(id target.ID) bool {
	brokenAt := max(g.cfg.BrokenAt(id), g.startedAt)
	g.mu.Lock()
	defer g.mu.Unlock()
	known, listed := g.incarnations[id]
	if !listed {
		return false
	}
	broken := brokenAt > known.trustedBreak
	if known.listedAt == 0 && !broken {
		return true
	}
	c := g.cfg.Catalog.Load()
	r := c.LeadershipRecords[g.Service]
	replaced := r != nil && (r.Attempt != nil || (r.Primary != "" && r.Primary != g.state.Primary))
	if max(c.FleetRevision, g.cfg.RecordsRevision()) < known.listedAt || replaced {
		return false
	}
	confirmedAt := g.recordConfirmedAt()
	if broken && confirmedAt < brokenAt {
		// An attempt that this VM does not know cannot have got past its fences yet.
		return g.cfg.Clock.Now().Sub(confirmedAt) <= takeover.Permission
	}
	known.listedAt, known.trustedBreak = 0, max(known.trustedBreak, brokenAt)
	g.incarnations[id] = known
	return true
}

// TrustReplicas records which replicas' reports are trusted by now. It is to be called often: a replica
// that was trusted before an attempt is recorded remains a witness until the attempt pauses it.
func (g *Group) TrustReplicas() {
	for _, t := range g.Replicas(g.Leadership.Current().Primary) {
		g.CanWitness(t.ID)
	}
}

// HasWitness reports whether a proof that a primary leads is expected to be had at once: this VM is
// permitted to assume it, or trusts the reports of a replica.
func (g *Group) HasWitness(b leadership.State) bool {
	return g.Permitted(b, g.cfg.Clock.Now()) ||
		slices.ContainsFunc(g.Replicas(b.Primary), func(t *catalog.Target) bool { return g.CanWitness(t.ID) })
}

// recordConfirmedAt returns the time as of which the service's record is known to be the latest. The
// caller holds the lock.
func (g *Group) recordConfirmedAt() clock.Time {
	if g.cfg.RecordsConfirmedAt == nil {
		return g.recordReadAt
	}
	return max(g.cfg.RecordsConfirmedAt(), g.recordReadAt)
}
