package takeover

import (
	"cmp"
	"slices"

	"github.com/pkg/errors"

	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
)

// LogCopies is how many targets of a service hold a log, the primary included. The platform does
// not report this number.
const LogCopies = 3

// RequiredFenced is how many targets other than the old primary must be paused for their logs
// together to hold every acknowledged commit: all copies but one.
//
// Failure guarded against: a promotion among the remaining targets of a service. Two of three
// targets hold a commit. One of them is removed, and the other is the primary that seems
// unresponsive, so that only the third one answers, which has not received the commit. Confirmed
// purchases are then missing.
const RequiredFenced = LogCopies - 1

// Fenced is a target that was paused, with the end of its log.
type Fenced struct {
	ID target.ID
	// Term is the newest term that it knows.
	Term timeline.Term
	// Received is the end of the log that it has received.
	Received timeline.Position
	// Leaving is set if the target is draining.
	Leaving bool
}

// Holds reports whether a log that ends at have contains everything up to want, a position that was
// acknowledged or that the log was copied from.
//
// Failure guarded against: a target that joins with an empty log reports the newest term and the
// number 0. Compared by terms alone that is beyond every position of an earlier term, so that the
// target would be promoted and the service would lose all its data. Numbers continue from term to
// term, so a log that holds a commit is never shorter than the commit's number.
func Holds(have, want timeline.Position) bool {
	return !have.Less(want) && have.LSN >= want.LSN
}

// CompareLogs orders logs by what they hold, as cmp.Compare does. An empty log holds nothing,
// whichever term its target reports.
func CompareLogs(a, b timeline.Position) int {
	a, b = normalizeEmpty(a), normalizeEmpty(b)
	switch {
	case a == b:
		return 0
	case a.Less(b):
		return -1
	default:
		return 1
	}
}

// normalizeEmpty returns the zero position for an empty log.
func normalizeEmpty(p timeline.Position) timeline.Position {
	if p.LSN == 0 {
		return timeline.Position{}
	}
	return p
}

// ErrNoCandidate is returned if no fenced target certainly holds every acknowledged commit.
var ErrNoCandidate = errors.New("no fenced target certainly holds every acknowledged commit")

// Choose returns the target to promote. Among those that hold the most, it prefers one that is not
// draining. If the old primary has reported where its log ends, the chosen target must hold that
// position.
func Choose(fenced []Fenced, end *timeline.Position) (Fenced, error) {
	if len(fenced) == 0 {
		return Fenced{}, ErrNoCandidate
	}
	best := slices.MaxFunc(fenced, func(a, b Fenced) int {
		if order := CompareLogs(a.Received, b.Received); order != 0 {
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

// Present is the fenced target that the platform may consider the present primary of a service: to
// designate it would change nothing.
type Present struct {
	ID target.ID
	// Led is the latest term in which it is known to have led; 0 if none is, or if a target that may have
	// led since is not fenced.
	Led timeline.Term
	// LostCopy is set if another target has left with its log since the others were last known to hold
	// every acknowledged commit.
	LostCopy bool
}

// ChooseOther is Choose among the targets other than the present primary. It is false if these may lack
// an acknowledged commit. The bound is a position that is known to be acknowledged.
//
// Failure guarded against: the other targets hold every position that this VM knows to be acknowledged,
// and lack what a VM that is cut off has acknowledged since. Only the avoided target holds it, and
// confirmed purchases are lost.
//
// So one of the others must hold the avoided target's log, or what they all lack was acknowledged by
// nobody: the avoided target led the term in which its log ends, nobody has led since, and all others
// received commits of that term. Then it has acknowledged only what the longest of their logs holds, unless a
// further target held more and has left.
func ChooseOther(fenced []Fenced, present Present, bound timeline.Position) (Fenced, bool) {
	others := slices.DeleteFunc(slices.Clone(fenced), func(f Fenced) bool { return f.ID == present.ID })
	if len(others) < RequiredFenced {
		return Fenced{}, false
	}
	best, err := Choose(others, nil)
	if err != nil || !Holds(best.Received, bound) {
		return Fenced{}, false
	}
	avoided := slices.IndexFunc(fenced, func(f Fenced) bool { return f.ID == present.ID })
	if avoided < 0 || CompareLogs(best.Received, fenced[avoided].Received) >= 0 {
		return best, true
	}
	return best, present.Led != 0 && !present.LostCopy && fenced[avoided].endsIn(present.Led) && !slices.ContainsFunc(others, func(f Fenced) bool { return !f.endsIn(present.Led) })
}

// endsIn reports whether a target's log ends in a term, and it knows no later one.
func (f Fenced) endsIn(term timeline.Term) bool {
	return f.Received.LSN > 0 && f.Received.Term == term && f.Term <= term
}
