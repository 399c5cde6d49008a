package audit

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strings"
	"time"
)

// Action names what was done.
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

// Bounds of a draft's texts in bytes, so that an entry always fits a segment of
// the log. From and To may hold evidence, or what a rewound server discarded.
const (
	maxField  = 1024
	maxDetail = 16 << 10
)

// resolution of recorded times.
const resolution = time.Millisecond

// Draft is what its writer knows of an entry, before it has a place.
type Draft struct {
	// ID is chosen once for each act, before it is first written. The log keeps
	// one entry for an ID, so writing it again after a lost answer is harmless.
	ID string `json:"id"`
	// Time is the wall clock of the actor, in UTC with milliseconds.
	Time   time.Time `json:"time"`
	Actor  string    `json:"actor"`
	Action Action    `json:"action"`
	Reason string    `json:"reason"`
	// Reviewer is who accepted the change, if it was reviewed.
	Reviewer string `json:"reviewer,omitempty"`
	// Subject is what was changed: a draft, a target, a group.
	Subject string `json:"subject"`
	From    string `json:"from"`
	To      string `json:"to"`
}

// Entry is a draft with its place in the trail. Seq begins at 1.
type Entry struct {
	Seq uint64 `json:"seq"`
	Draft
	// Previous is the digest of the entry before, empty for the first.
	Previous string `json:"previous"`
	// Digest is the hex SHA-256 of this entry's canonical form.
	Digest string `json:"digest"`
}

// Head names the last entry of a trail. Noted elsewhere it is an anchor.
type Head struct {
	Seq    uint64 `json:"seq"`
	Digest string `json:"digest"`
}

// Head returns the entry as the end of a trail.
func (e Entry) Head() Head { return Head{Seq: e.Seq, Digest: e.Digest} }

// Next returns the entry that follows head.
func Next(head Head, d Draft) Entry {
	e := Entry{Seq: head.Seq + 1, Draft: d.normal(), Previous: head.Digest}
	e.Digest = e.compute()
	return e
}

// normal returns the draft as it reads back from JSON, so that the digest of
// what was written is the digest of what is read.
func (d Draft) normal() Draft {
	d.Time = d.Time.UTC().Truncate(resolution)
	d.Action = Action(clip(string(d.Action), maxField))
	for _, field := range []*string{&d.ID, &d.Actor, &d.Reason, &d.Reviewer, &d.Subject} {
		*field = clip(*field, maxField)
	}
	d.From = clip(d.From, maxDetail)
	d.To = clip(d.To, maxDetail)
	return d
}

func clip(s string, most int) string {
	s = strings.ToValidUTF8(s, "\uFFFD")
	if len(s) <= most {
		return s
	}
	return strings.ToValidUTF8(s[:most], "")
}

// compute returns the digest of the canonical form: the entry's JSON with the
// fields in the order of the type, no spaces, and an empty digest.
func (e Entry) compute() string {
	e.Digest = ""
	sum := sha256.Sum256(e.canonical())
	return hex.EncodeToString(sum[:])
}

func (e Entry) canonical() []byte {
	var b bytes.Buffer
	enc := json.NewEncoder(&b)
	enc.SetEscapeHTML(false)
	if err := enc.Encode(e); err != nil {
		// Only a year outside of 0..9999 cannot be encoded. Such an entry gets
		// no digest that matches, so Verify reports it.
		return nil
	}
	return bytes.TrimSuffix(b.Bytes(), []byte("\n"))
}
