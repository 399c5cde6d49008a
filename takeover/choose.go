package takeover

import (
	"cmp"
	"slices"

	"github.com/pkg/errors"

	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
)

// Copies is how many targets of a service hold a log, the primary included.
// The platform does not tell it.
const Copies = 3

// Enough is how many targets beside the old primary must be stopped for their
// logs together to hold every acknowledged commit: all but one of the copies.
//
// Failure guarded against: a promotion among what is left of a service. Two of
// three targets hold a commit; one of those is gone, the other is the primary
// that seems stuck, and the third one, which received nothing, is the only one
// that answers. It shows as purchases that were confirmed and are not there.
const Enough = Copies - 1

// Fenced is a target that was stopped, and what it holds.
type Fenced struct {
	ID target.ID
	// Received is the end of what it has received.
	Received timeline.Position
	// Leaving is set if the target drains.
	Leaving bool
}

// Holds reports whether a log that ends at a position has everything up to another
// one that was acknowledged, or that it was copied from.
//
// Failure guarded against: a target that has joined with an empty log tells the
// newest term and the number 0. By terms alone that is beyond every position of
// an earlier term, and the target is promoted with nothing. It shows as a service
// that has forgotten all. It holds because numbers go on from term to term: a log
// that has a commit is never shorter than its number.
func Holds(have, want timeline.Position) bool {
	return !have.Less(want) && have.LSN >= want.LSN
}

// Furthest orders logs by what they hold, as cmp.Compare does; an empty one holds
// nothing, whichever term it tells.
func Furthest(a, b timeline.Position) int {
	a, b = told(a), told(b)
	switch {
	case a == b:
		return 0
	case a.Less(b):
		return -1
	default:
		return 1
	}
}

func told(p timeline.Position) timeline.Position {
	if p.LSN == 0 {
		return timeline.Position{}
	}
	return p
}

// ErrNoCandidate says that no fenced target surely holds every acknowledged
// commit.
var ErrNoCandidate = errors.New("no target surely holds every acknowledged commit")

// Choose returns the target to promote. Of those that hold the most, one that
// stays is preferred. If the old primary has told where its log ends, the
// chosen one must hold that.
func Choose(fenced []Fenced, end *timeline.Position) (Fenced, error) {
	if len(fenced) == 0 {
		return Fenced{}, ErrNoCandidate
	}
	best := slices.MaxFunc(fenced, func(a, b Fenced) int {
		if order := Furthest(a.Received, b.Received); order != 0 {
			return order
		}
		if a.Leaving != b.Leaving {
			if a.Leaving {
				return -1
			}
			return 1
		}
		return -cmp.Compare(a.ID, b.ID)
	})
	if end == nil {
		return best, nil
	}
	return chooseHolding(fenced, *end)
}

func chooseHolding(fenced []Fenced, end timeline.Position) (Fenced, error) {
	var best *Fenced
	for i := range fenced {
		f := &fenced[i]
		if !Holds(f.Received, end) {
			continue
		}
		if best == nil || (best.Leaving && !f.Leaving) || (best.Leaving == f.Leaving && f.ID < best.ID) {
			best = f
		}
	}
	if best == nil {
		return Fenced{}, ErrNoCandidate
	}
	return *best, nil
}
