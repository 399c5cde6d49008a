package catalog

// Revision is a position in the history of the platform's store. The store counts its changes, and
// begins a new era each time that it is restored from an older copy: its count goes back then, and
// counts are used again. A Revision combines the era and the count in one number, so that a Revision
// of an earlier era is always the lower one.
type Revision = int64

// countBits is the number of bits of the count in a Revision. A store takes decades to make 2^40
// changes; with an era of 13 bits a Revision stays an exact integer in JSON.
const countBits = 40

// RevisionOf returns the Revision of a count in an era.
func RevisionOf(era, count int64) Revision { return era<<countBits | count }

// EraOf returns a Revision's era; 0 if the store reports none.
func EraOf(r Revision) int64 { return r >> countBits }

// CountOf returns a Revision's count, as the store reports it.
func CountOf(r Revision) int64 { return r & (1<<countBits - 1) }
