// Package log keeps the audit trail in objects of the platform.
//
// The trail is cut into segments, audit/segments/<number>. An entry is appended
// by a conditional update of the last segment, so of two writers one wins and
// the other chains behind it. A segment is full once its object has reached
// SegmentBytes: that can be read off the object itself, a full one is never
// written again, and only then the next is created. So there is always exactly
// one segment that may be appended to, whoever looks. audit/head holds the
// number of a late segment; it is a hint that saves reads, and nothing is
// decided by it.
//
// An entry is written once: a lost answer is read back by the act's ID, and an
// act that another command may have recorded is looked for from the segment
// that was the last when the act was prepared (Pending.Since).
//
// Recorder is for the fleet's own acts: it queues in memory while the store is
// down, and says how many wait.
package log
