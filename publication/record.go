package publication

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"endivemoor.example/endivemoor/audit"
	"endivemoor.example/endivemoor/profile"
)

// Version identifies a published set by its generation and the digest of its text.
type Version struct {
	Generation profile.Generation `json:"generation"`
	Digest     string             `json:"digest"`
}

// PendingEntry is an audit entry that is stored in the object whose change it describes, so that
// one update writes both. Since is the number of the last segment of the audit log at the time at
// which the entry was prepared.
type PendingEntry struct {
	audit.Draft
	Since int `json:"since"`
}

// Record is a published set. It is the value of "profiles/current", and of
// "profiles/sets/<generation>" once its audit entry is in the audit trail.
type Record struct {
	Version
	// Text is the INI text.
	Text string `json:"text"`
	// Draft is the ID of the draft that was published.
	Draft     string    `json:"draft"`
	Author    string    `json:"author"`
	Reviewer  string    `json:"reviewer"`
	Publisher string    `json:"publisher"`
	Published time.Time `json:"published"`
	// Accepted lists the IDs of the dangerous changes that the reviewer accepted.
	Accepted []string `json:"accepted,omitempty"`
	// Replaced is the previous version.
	Replaced Version `json:"replaced"`
	// Entry is written to the audit trail by the publishing command or, if that was killed, by the
	// next command.
	Entry PendingEntry `json:"act"`
}

// Decode parses a record and verifies the digest of its text.
func Decode(value []byte) (*Record, error) {
	r := &Record{}
	if err := json.Unmarshal(value, r); err != nil {
		return nil, errors.Wrap(err, "published profiles")
	}
	if r.Generation == 0 {
		return nil, errors.New("published profiles have no generation")
	}
	if profile.Digest([]byte(r.Text)) != r.Digest {
		return nil, errors.Errorf("text of profile generation %d does not match its digest", r.Generation)
	}
	return r, nil
}

// Encode returns the record as the value of its object.
func (r *Record) Encode() ([]byte, error) {
	value, err := json.Marshal(r)
	return value, errors.Wrap(err, "encode published profiles")
}

// version returns the zero Version for a nil record, which means that nothing is published yet.
func (r *Record) version() Version {
	if r == nil {
		return Version{}
	}
	return r.Version
}

// AcceptResult is the decision of a daemon on an offered version.
type AcceptResult uint8

const (
	// Take puts the offered version in force.
	Take AcceptResult = iota
	// Same means that the offered version is already in force.
	Same
	// Older is refused because its generation is lower than the one in force.
	Older
	// Forked is refused because it has the generation in force with a different text. This package
	// cannot produce such a version, so the store or peer that offers it is not trustworthy.
	Forked
)

// String returns the result's name in logs.
func (r AcceptResult) String() string {
	switch r {
	case Take:
		return "take"
	case Same:
		return "same"
	case Older:
		return "older"
	default:
		return "forked"
	}
}

// Accept decides whether a daemon adopts a version that the store or a peer offers.
//
// Failure guarded against: a peer that was paused for an hour, or a store that was restored from a
// backup, offers an older generation, and a daemon that adopts it serves reads by withdrawn rules.
// Only generations are ordered, so neither the source of the offers nor their order matters.
func Accept(current, offered Version) AcceptResult {
	switch {
	case offered.Generation > current.Generation:
		return Take
	case offered.Generation < current.Generation:
		return Older
	case offered.Digest != current.Digest:
		return Forked
	default:
		return Same
	}
}
