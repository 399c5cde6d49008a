package audit

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strings"
	"time"
)

// Action is the kind of an act.
type Action string

// Actions of operators and of the fleet itself.
const (
	ProfileDrafted   Action = "profile.draft"
	ProfileReviewed  Action = "profile.review"
	ProfilePublished Action = "profile.publish"
	ProfileRetired   Action = "profile.retire"
	TargetDrained    Action = "target.drain"
	TargetUndrained  Action = "target.undrain"
	GroupPromoted    Action = "group.promote"
	GroupFenced      Action = "group.fence"
	GroupDiscarded   Action = "group.discard"
	KeyChanged       Action = "key.change"
)

// Limits of a draft's texts in bytes, so that an entry always fits in a segment of the log. From
// and To may contain evidence, or the data that a rewound server discarded.
const (
	maxFieldBytes  = 1024
	maxDetailBytes = 16 << 10
)

// resolution is the resolution of recorded times.
const resolution = time.Millisecond

// Draft is the content of an entry before it has a place in the trail.
type Draft struct {
	// ID is chosen once for each act, before its first write. The log keeps one entry for each ID,
	// so a write may be repeated after its answer was lost.
	ID string `json:"id"`
	// Time is the actor's wall clock time, in UTC with milliseconds.
	Time   time.Time `json:"time"`
	Actor  string    `json:"actor"`
	Action Action    `json:"action"`
	Reason string    `json:"reason"`
	// Reviewer accepted the change; empty if it was not reviewed.
	Reviewer string `json:"reviewer,omitempty"`
	// Subject is the changed object: a draft, a target or a group.
	Subject string `json:"subject"`
	From    string `json:"from"`
	To      string `json:"to"`
}

// Entry is a draft with its place in the trail. Seq starts at 1.
type Entry struct {
	Seq uint64 `json:"seq"`
	Draft
	// Previous is the digest of the previous entry, empty for the first.
	Previous string `json:"previous"`
	// Digest is the hex SHA-256 of this entry's canonical form.
	Digest string `json:"digest"`
}

// Head identifies the last entry of a trail. A Head recorded outside the trail is an anchor.
type Head struct {
	Seq    uint64 `json:"seq"`
	Digest string `json:"digest"`
}

// Head returns the head of a trail that ends with the entry.
func (e Entry) Head() Head { return Head{Seq: e.Seq, Digest: e.Digest} }

// Next returns the entry that follows head.
func Next(head Head, d Draft) Entry {
	e := Entry{Seq: head.Seq + 1, Draft: d.normalized(), Previous: head.Digest}
	e.Digest = e.computeDigest()
	return e
}

// normalized returns the draft as it reads back from JSON, so that an entry has the same digest
// when it is written and when it is read.
func (d Draft) normalized() Draft {
	d.Time = d.Time.UTC().Truncate(resolution)
	d.Action = Action(truncate(string(d.Action), maxFieldBytes))
	for _, field := range []*string{&d.ID, &d.Actor, &d.Reason, &d.Reviewer, &d.Subject} {
		*field = truncate(*field, maxFieldBytes)
	}
	d.From = truncate(d.From, maxDetailBytes)
	d.To = truncate(d.To, maxDetailBytes)
	return d
}

func truncate(s string, most int) string {
	s = strings.ToValidUTF8(s, "\uFFFD")
	if len(s) <= most {
		return s
	}
	return strings.ToValidUTF8(s[:most], "")
}

// computeDigest returns the digest of the canonical form: the entry's JSON with the fields in the
// order of the type, no spaces, and an empty digest.
func (e Entry) computeDigest() string {
	e.Digest = ""
	sum := sha256.Sum256(e.canonical())
	return hex.EncodeToString(sum[:])
}

func (e Entry) canonical() []byte {
	var b bytes.Buffer
	enc := json.NewEncoder(&b)
	enc.SetEscapeHTML(false)
	if err := enc.Encode(e); err != nil {
		// Encoding fails only for a year outside of 0..9999. The digest of such an entry never
		// matches, so Verify reports the entry.
		return nil
	}
	return bytes.TrimSuffix(b.Bytes(), []byte("\n"))
}
