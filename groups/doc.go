// Package groups tracks the state of each service's targets beyond the catalog: which one is the
// primary, whether it answers, and which evidence there is for the freshness of reads. Begin with
// Registry and Group. It queries targets for their status where requests do not show enough. It
// does not change primaries; package promoter does.
package groups
