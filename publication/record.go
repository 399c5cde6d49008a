package publication

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"endivemoor.example/endivemoor/audit"
	"endivemoor.example/endivemoor/profile"
)

// Version names a published set: which one, and what it says.
type Version struct {
	Generation profile.Generation `json:"generation"`
	Digest     string             `json:"digest"`
}

// Act is an audit entry that travels with the change that it tells of, so that
// a change and its entry are written by one update. Since is the last segment
// of the audit log when the act was prepared.
type Act struct {
	audit.Draft
	Since int `json:"since"`
}

// Record is a published set. It is the value of "profiles/current", and of
// "profiles/sets/<generation>" once its act stands in the audit trail.
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
	// Accepted are the dangerous changes that the reviewer gave its word for.
	Accepted []string `json:"accepted,omitempty"`
	// Replaced is the version before.
	Replaced Version `json:"replaced"`
	// Act is written to the audit trail by the publisher or, if that was
	// killed, by the next command.
	Act Act `json:"act"`
}

// Decode reads a record and checks that its text has its digest.
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

// Encode returns the object's value.
func (r *Record) Encode() ([]byte, error) {
	value, err := json.Marshal(r)
	return value, errors.Wrap(err, "encode published profiles")
}

// version of a record that may be nil: nothing published yet.
func (r *Record) version() Version {
	if r == nil {
		return Version{}
	}
	return r.Version
}

// Verdict is what a daemon does with a version that it is offered.
type Verdict uint8

const (
	// Take puts the offered version in force.
	Take Verdict = iota
	// Same is what is in force already.
	Same
	// Older is refused: its offerer is behind.
	Older
	// Forked is refused: the same generation with another text. It cannot come
	// about through this package, so it tells of a store or peer to mistrust.
	Forked
)

// String returns the verdict's name in logs.
func (v Verdict) String() string {
	switch v {
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

// Accept decides on a version offered by the store or by a peer. It guards
// against a reverted configuration: a peer that was paused for an hour, or a
// store restored from a backup, offers an older generation, and a daemon that
// took it would serve reads by rules that were withdrawn. The generation is
// compared alone, so it does not matter who offers, or in which order.
func Accept(current, offered Version) Verdict {
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
