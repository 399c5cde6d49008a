package catalog

// Revision is a place in the history of the platform's store. The store counts its
// changes, and begins an era each time that it comes back from an older copy of itself:
// counts go back then, and are given out again. A Revision holds the era and the count in
// one number, so that whatever was of an earlier era is the lower one.
type Revision = int64

// countBits is how many bits of a Revision are the count. A count of 2^40 changes is
// decades of a store's work; with an era of 13 bits it stays a whole number in JSON.
const countBits = 40

// RevisionOf returns the Revision of a count in an era.
func RevisionOf(era, count int64) Revision { return era<<countBits | count }

// EraOf returns a Revision's era; 0 where the store tells none.
func EraOf(r Revision) int64 { return r >> countBits }

// CountOf returns a Revision's count, as the store gives it.
func CountOf(r Revision) int64 { return r & (1<<countBits - 1) }
