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
	// recentChangePeriod is how long a changed group is part of every exchange.
	recentChangePeriod = 10 * time.Second
	// rotationSize is how many groups a reply carries, in rotation, to a peer whose groups differ.
	rotationSize = 2
)

// groupIndex holds the sorted names and the digest of the groups of one view. It is computed once
// per view, because exchanges are far more frequent than changes of the view.
type groupIndex struct {
	view   *view.View
	names  []string
	digest uint64
}

func indexGroups(v *view.View) groupIndex {
	out := groupIndex{view: v, names: slices.Sorted(maps.Keys(v.Groups))}
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

// currentIndex returns the index of the current view. x.mu must be held.
func (x *Exchange) currentIndex() groupIndex {
	if v := x.views.Load(); x.index.view != v {
		x.index = indexGroups(v)
	}
	return x.index
}

// recentGroups returns the groups that changed within recentChangePeriod, and the digest of all
// groups.
func (x *Exchange) recentGroups() ([]*peerpb.GroupState, uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	known := x.currentIndex()
	now := x.clk.Now()
	var out []*peerpb.GroupState
	for _, name := range known.names {
		if g := known.view.Groups[name]; x.changedRecently(g, now) {
			out = append(out, peer.GroupState(g))
		}
	}
	return out, known.digest
}

func (x *Exchange) changedRecently(g *view.Group, now clock.Time) bool {
	if x.terms[g.Name] != g.Term {
		x.terms[g.Name] = g.Term
		x.changed[g.Name] = now
	}
	return now.Sub(x.changed[g.Name]) < recentChangePeriod
}

// answerGroups returns all groups to a VM that has just started, which also works while the store
// is down, and the recently changed groups to all others.
//
// Failure guarded against: a VM is partitioned while a primary changes and reconnects after
// recentChangePeriod, so no exchange carries the change any more and the VM routes its callers to
// the old primary for good. The digest of its groups differs, so each reply also carries some
// groups in rotation until the digests are equal. While they are equal, an exchange carries no
// group, however many groups there are.
func (x *Exchange) answerGroups(in *peerpb.ExchangeRequest) []*peerpb.GroupState {
	if in.GetWantGroups() {
		var all []*peerpb.GroupState
		for _, g := range x.views.Load().Groups {
			all = append(all, peer.GroupState(g))
		}
		return all
	}
	out, digest := x.recentGroups()
	if digest != in.GetGroupsDigest() {
		out = append(out, x.nextInRotation()...)
	}
	return out
}

func (x *Exchange) nextInRotation() []*peerpb.GroupState {
	x.mu.Lock()
	defer x.mu.Unlock()
	known := x.currentIndex()
	var out []*peerpb.GroupState
	for range min(rotationSize, len(known.names)) {
		x.rotation = (x.rotation + 1) % len(known.names)
		out = append(out, peer.GroupState(known.view.Groups[known.names[x.rotation]]))
	}
	return out
}
