package groups

import (
	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/target"
)

// life is one run of a target's process.
type life struct {
	incarnation int64
	// since is the store's revision at which this life was first listed, if the
	// target was known in another one before and what it says is not trusted yet.
	since int64
}

// noteLives takes over the targets' incarnations as of a revision of the store,
// and returns the targets that have started again.
func (g *Group) noteLives(targets []*catalog.Target, revision int64) (reborn []*catalog.Target) {
	g.mu.Lock()
	defer g.mu.Unlock()
	lives := make(map[target.ID]life, len(targets))
	for _, t := range targets {
		known, ok := g.lives[t.ID]
		switch {
		case !ok:
			known = life{incarnation: t.Incarnation}
		case known.incarnation != t.Incarnation:
			known = life{incarnation: t.Incarnation, since: revision}
			reborn = append(reborn, t)
		}
		lives[t.ID] = known
	}
	g.lives = lives
	return reborn
}

// Vouches reports whether a target's word that it is not paused shows that its
// primary is not being replaced.
//
// Failure guarded against: an attempt pauses a replica, which starts again and has
// forgotten it. It follows the old primary, and says so: a VM that takes it for a
// witness goes on to serve exact reads there, and to confirm commits, though another
// target leads. So the word of a target that has started again counts only once
// this VM knows all records of attempts up to the revision at which the new life
// was listed, and none of them is open or has made another target the primary. An
// attempt that is recorded later pauses the target in this life.
func (g *Group) Vouches(id target.ID) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	l := g.lives[id]
	if l.since == 0 {
		return true
	}
	c := g.cfg.Catalog.Load()
	r := c.LeadershipRecords[g.Service]
	replaced := r != nil && (r.Attempt != nil || (r.Primary != "" && r.Primary != g.believed.Primary))
	if c.FleetRevision < l.since || replaced {
		return false
	}
	l.since = 0
	g.lives[id] = l
	return true
}
