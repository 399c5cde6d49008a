package catalog

const (
	// maxChanges bounds the changes that are retained. A change reaches a fleet of thousands within
	// some two seconds, in which a burst brings 32 changes.
	maxChanges = 64
	// minChanged is how many entries the retained changes may have together, however short the list
	// is.
	minChanged = 1024
)

// step is a change that leads from one version to the next.
type step interface {
	// from is the version that it starts from.
	from() int64
	// entries is the number of entries that it updates or removes.
	entries() int
}

// since returns the changes that lead from a version to the current one; none if they are not all
// retained.
func since[S step](changes []S, version int64) []S {
	for i, first := range changes {
		if first.from() == version {
			return changes[i:]
		}
	}
	return nil
}

// appendBounded returns the changes with one more, without the oldest ones that exceed the bounds.
// Together they have no more entries than the full list, whose length is size, or minChanged: with
// more than that, a VM sends the full list instead.
func appendBounded[S step](changes []S, last S, size int) []S {
	limit := max(size, minChanged)
	out := append(append([]S(nil), changes...), last)
	sum := 0
	for i := len(out) - 1; i >= 0; i-- {
		sum += out[i].entries()
		if sum > limit || len(out)-i > maxChanges {
			return out[i+1:]
		}
	}
	return out
}
