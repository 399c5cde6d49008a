// Package log stores the audit trail in objects of the platform. Log is the type to begin with;
// verification is in package audit.
//
// The trail is divided into segments, audit/segments/<number>. An entry is appended by a
// conditional update of the last segment, so of two concurrent writers one wins and the other
// appends after it. A segment is full once its object has reached SegmentBytes. Every reader can
// determine this from the object itself. A full segment is never written again, and the next one is
// created only then, so there is always exactly one segment that may be appended to. audit/head
// contains the number of a recent segment. It is a hint that saves reads, and no decision depends
// on it.
//
// An entry is written once: if an answer is lost, the result is read back by the act's ID. An act
// that another command may have recorded is searched for from the segment that was the last one
// when the act was prepared (Pending.Since).
//
// Recorder writes the fleet's own acts. It queues them in memory while the store is down and
// reports how many are waiting.
package log
