package takeover

import (
	"cmp"
	"slices"

	"github.com/pkg/errors"

	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
)

// Copies is how many targets of a service hold a log, the primary included.
// The platform does not tell it; each service on the users' sheets has three.
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
		if a.Received != b.Received {
			if a.Received.Less(b.Received) {
				return -1
			}
			return 1
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
		if f.Received.Less(end) {
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
