package audit

import "fmt"

// FaultKind says what is wrong at a place of a trail.
type FaultKind string

const (
	// Changed entries do not match their own digest.
	Changed FaultKind = "changed"
	// Dropped entries are missing.
	Dropped FaultKind = "dropped"
	// Repeated entries stand more than once, or two share an act's ID.
	Repeated FaultKind = "repeated"
	// Reordered entries stand after a later one.
	Reordered FaultKind = "reordered"
	// Rewritten entries match their own digest, but not what their neighbour or
	// an anchor says of them.
	Rewritten FaultKind = "rewritten"
)

// Fault is one thing that Verify found.
type Fault struct {
	Kind FaultKind `json:"kind"`
	// Seq is the first entry concerned.
	Seq     uint64 `json:"seq"`
	Message string `json:"message"`
}

// String is one line for people.
func (f Fault) String() string { return fmt.Sprintf("entry %d %s: %s", f.Seq, f.Kind, f.Message) }

// Verify checks a whole trail from its first entry, in the order given, and
// that it holds every anchor. It returns all faults; none means that the trail
// is as it was written, up to the last anchor at least.
func Verify(entries []Entry, anchors ...Head) []Fault {
	v := verifier{digests: map[uint64]string{}, ids: map[string]uint64{}}
	for _, e := range entries {
		v.entry(e)
	}
	for _, a := range anchors {
		v.anchor(a)
	}
	return v.faults
}

type verifier struct {
	faults []Fault
	// last is the entry before, in the order of the trail.
	last    Head
	highest uint64
	digests map[uint64]string
	ids     map[string]uint64
}

func (v *verifier) fault(kind FaultKind, seq uint64, format string, args ...any) {
	v.faults = append(v.faults, Fault{Kind: kind, Seq: seq, Message: fmt.Sprintf(format, args...)})
}

func (v *verifier) entry(e Entry) {
	if e.compute() != e.Digest {
		v.fault(Changed, e.Seq, "its content does not match its digest")
	}
	v.order(e)
	v.identity(e)
	v.digests[e.Seq] = e.Digest
	v.highest = max(v.highest, e.Seq)
	v.last = e.Head()
}

// order checks the entry's number and its link to the entry before it.
func (v *verifier) order(e Entry) {
	_, seen := v.digests[e.Seq]
	switch {
	case seen || e.Seq == 0:
		v.fault(Repeated, e.Seq, "its number stands more than once")
	case e.Seq < v.highest:
		v.fault(Reordered, e.Seq, "it stands after entry %d", v.highest)
	case e.Seq > v.highest+1:
		v.fault(Dropped, v.highest+1, "entries %d to %d are missing here", v.highest+1, e.Seq-1)
	case v.last.Seq == e.Seq-1 && e.Previous != v.last.Digest:
		v.fault(Rewritten, e.Seq-1, "entry %d was written after another entry %d", e.Seq, e.Seq-1)
	}
}

func (v *verifier) identity(e Entry) {
	if first, ok := v.ids[e.ID]; ok && first != e.Seq {
		v.fault(Repeated, e.Seq, "entry %d records the same act %q", first, e.ID)
		return
	}
	v.ids[e.ID] = e.Seq
}

func (v *verifier) anchor(a Head) {
	if a.Seq == 0 {
		return
	}
	digest, ok := v.digests[a.Seq]
	switch {
	case !ok && a.Seq > v.highest:
		v.fault(Dropped, v.highest+1, "the trail ends before entry %d, which was noted earlier", a.Seq)
	case !ok:
		v.fault(Dropped, a.Seq, "it was noted earlier and is missing")
	case digest != a.Digest:
		v.fault(Rewritten, a.Seq, "its digest is not the one noted earlier")
	}
}
