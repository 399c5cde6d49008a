package audit

import "fmt"

// FaultKind is the kind of a fault in a trail.
type FaultKind string

const (
	// Changed entries do not match their own digest.
	Changed FaultKind = "changed"
	// Dropped entries are missing.
	Dropped FaultKind = "dropped"
	// Repeated entries appear more than once, or two entries share an act's ID.
	Repeated FaultKind = "repeated"
	// Reordered entries appear after a later entry.
	Reordered FaultKind = "reordered"
	// Rewritten entries match their own digest, but not the digest in the next entry or in an
	// anchor.
	Rewritten FaultKind = "rewritten"
)

// Fault is one fault found by Verify.
type Fault struct {
	Kind FaultKind `json:"kind"`
	// Seq is the first entry affected.
	Seq     uint64 `json:"seq"`
	Message string `json:"message"`
}

// String returns the fault as one line of text.
func (f Fault) String() string { return fmt.Sprintf("entry %d %s: %s", f.Seq, f.Kind, f.Message) }

// Verify checks a whole trail from its first entry, in the given order, and that it contains every
// anchor. It returns all faults. No faults mean that the trail is as it was written, at least up to
// the last anchor.
func Verify(entries []Entry, anchors ...Head) []Fault {
	v := verifier{digests: map[uint64]string{}, ids: map[string]uint64{}}
	for _, e := range entries {
		v.checkEntry(e)
	}
	for _, a := range anchors {
		v.checkAnchor(a)
	}
	return v.faults
}

type verifier struct {
	faults []Fault
	// last is the previous entry, in the order of the trail.
	last    Head
	highest uint64
	digests map[uint64]string
	ids     map[string]uint64
}

func (v *verifier) fault(kind FaultKind, seq uint64, format string, args ...any) {
	v.faults = append(v.faults, Fault{Kind: kind, Seq: seq, Message: fmt.Sprintf(format, args...)})
}

func (v *verifier) checkEntry(e Entry) {
	if e.computeDigest() != e.Digest {
		v.fault(Changed, e.Seq, "its content does not match its digest")
	}
	v.checkOrder(e)
	v.checkID(e)
	v.digests[e.Seq] = e.Digest
	v.highest = max(v.highest, e.Seq)
	v.last = e.Head()
}

// checkOrder checks the entry's number and its link to the previous entry.
func (v *verifier) checkOrder(e Entry) {
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

func (v *verifier) checkID(e Entry) {
	if first, ok := v.ids[e.ID]; ok && first != e.Seq {
		v.fault(Repeated, e.Seq, "entry %d records the same act %q", first, e.ID)
		return
	}
	v.ids[e.ID] = e.Seq
}

func (v *verifier) checkAnchor(a Head) {
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
