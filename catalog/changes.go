package catalog

const (
	// maxChanges bounds the changes that are remembered. A change reaches a fleet of
	// thousands within some two seconds, in which a storm brings 32.
	maxChanges = 64
	// minChanged is how many entries they may have together, however short the list is.
	minChanged = 1024
)

// step is a change that leads from one version to the next.
type step interface {
	// from is the version that it leads from.
	from() int64
	// entries is how much it tells of.
	entries() int
}

// since returns the changes that lead from a version to the present one; none if
// they are not all remembered.
func since[S step](changes []S, version int64) []S {
	for i, first := range changes {
		if first.from() == version {
			return changes[i:]
		}
	}
	return nil
}

// remembered returns the changes with one more, without the oldest ones that are
// beyond the bounds. Together they have no more entries than the whole list, of which
// size is the length: beyond that the whole is told instead.
func remembered[S step](changes []S, last S, size int) []S {
	most := max(size, minChanged)
	out := append(append([]S(nil), changes...), last)
	sum := 0
	for i := len(out) - 1; i >= 0; i-- {
		sum += out[i].entries()
		if sum > most || len(out)-i > maxChanges {
			return out[i+1:]
		}
	}
	return out
}
