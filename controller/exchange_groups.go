package controller

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/peer"
	"endivemoor.example/endivemoor/peer/peerpb"
	"endivemoor.example/endivemoor/view"
)

const (
	// newsFor is how long a changed group goes into every exchange.
	newsFor = 10 * time.Second
	// turnSize is how many groups in turn answer a peer that knows others.
	turnSize = 2
)

// knownGroups is what one view's groups come to. It is worked out once a view:
// exchanges are many, changes of the view few.
type knownGroups struct {
	view   *view.View
	names  []string
	digest uint64
}

func digestOf(v *view.View) knownGroups {
	out := knownGroups{view: v, names: slices.Sorted(maps.Keys(v.Groups))}
	var hash xxhash.Digest
	hash.Reset()
	var number [8]byte
	add := func(n uint64) {
		binary.BigEndian.PutUint64(number[:], n)
		_, _ = hash.Write(number[:])
	}
	for _, name := range out.names {
		_, _ = hash.WriteString(name)
		add(uint64(v.Groups[name].Term))
		add(uint64(v.Groups[name].Version))
	}
	out.digest = hash.Sum64()
	return out
}

// known returns the present view's groups; x.mu must be held.
func (x *Exchange) known() knownGroups {
	if v := x.views.Load(); x.groups.view != v {
		x.groups = digestOf(v)
	}
	return x.groups
}

// news returns the groups that changed lately, and the digest of all.
func (x *Exchange) news() ([]*peerpb.GroupState, uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	known := x.known()
	now := x.clk.Now()
	var out []*peerpb.GroupState
	for _, name := range known.names {
		if g := known.view.Groups[name]; x.isNews(g, now) {
			out = append(out, peer.GroupState(g))
		}
	}
	return out, known.digest
}

func (x *Exchange) isNews(g *view.Group, now clock.Time) bool {
	if x.terms[g.Name] != g.Term {
		x.terms[g.Name] = g.Term
		x.changed[g.Name] = now
	}
	return now.Sub(x.changed[g.Name]) < newsFor
}

// answerGroups returns all groups to a VM that has just started, also while
// the store is down, and the news to others.
//
// Failure guarded against: a VM is cut off while a primary changes, and comes
// back when that is no news any more; it would send its callers to the old
// primary for good. Its digest differs, so each answer also brings some groups
// in turn until it does not. While all agree, an exchange carries no group,
// however many there are.
func (x *Exchange) answerGroups(in *peerpb.ExchangeRequest) []*peerpb.GroupState {
	if in.GetWantGroups() {
		var all []*peerpb.GroupState
		for _, g := range x.views.Load().Groups {
			all = append(all, peer.GroupState(g))
		}
		return all
	}
	out, digest := x.news()
	if digest != in.GetGroupsDigest() {
		out = append(out, x.inTurn()...)
	}
	return out
}

func (x *Exchange) inTurn() []*peerpb.GroupState {
	x.mu.Lock()
	defer x.mu.Unlock()
	known := x.known()
	var out []*peerpb.GroupState
	for range min(turnSize, len(known.names)) {
		x.turn = (x.turn + 1) % len(known.names)
		out = append(out, peer.GroupState(known.view.Groups[known.names[x.turn]]))
	}
	return out
}
