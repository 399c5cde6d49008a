package ctl

import (
	"fmt"
	"io"
	"os"

	"endivemoor.example/endivemoor/finding"
	"endivemoor.example/endivemoor/profile"
	"endivemoor.example/endivemoor/profile/diff"
	"endivemoor.example/endivemoor/profile/inifile"
	"endivemoor.example/endivemoor/publication"
)

type profileCommands struct {
	Check   profileCheck   `cmd:"" help:"Check files and print every finding. Needs no platform."`
	Diff    profileDiff    `cmd:"" help:"Name the changes of a file, or of an open draft, against what is in force."`
	Draft   profileDraft   `cmd:"" help:"Check a file and store it as a draft."`
	Review  profileReview  `cmd:"" help:"Accept somebody else's draft. Each dangerous change needs its own --accept."`
	Publish profilePublish `cmd:"" help:"Put a reviewed draft in force everywhere."`
	Retire  profileRetire  `cmd:"" help:"Withdraw a draft, or draft the removal of a profile."`
	List    profileList    `cmd:"" help:"What is in force, and the open drafts."`
	Show    profileShow    `cmd:"" help:"Print the text of what is in force, of a generation or of a draft."`
	History profileHistory `cmd:"" help:"Published sets, the newest first."`
	Status  profileStatus  `cmd:"" help:"Where each generation is in force, as the daemons named by --daemon say."`
}

type profileCheck struct {
	Files []string `arg:"" type:"path" help:"INI files, each a whole set."`
}

// Run prints the findings of all files together.
func (c *profileCheck) Run(r *runner) error {
	var all finding.Findings
	for _, path := range c.Files {
		text, err := os.ReadFile(path)
		if err != nil {
			all = append(all, finding.Finding{File: path, Message: err.Error(), Repair: "name a file that can be read"})
			continue
		}
		_, found := inifile.Parse(path, text)
		all = append(all, found...)
	}
	if err := r.print(list(all), func(w io.Writer) { checkText(w, all) }); err != nil {
		return err
	}
	if all.Refused() {
		return &inputError{message: fmt.Sprintf("%d findings", len(all))}
	}
	return nil
}

func checkText(w io.Writer, all finding.Findings) {
	lines(w, all)
	if len(all) == 0 {
		fmt.Fprintln(w, "no findings")
	}
}

type profileDiff struct {
	File    string `arg:"" optional:"" type:"path" help:"INI file of the whole set."`
	Draft   string `help:"ID of an open draft instead of a file."`
	Against string `type:"path" help:"Compare with this file instead of what is in force. Needs no platform."`
}

// identifiedChange is a change with the ID that --accept takes.
type identifiedChange struct {
	ID string `json:"id"`
	diff.Change
}

// Run prints the changes.
func (c *profileDiff) Run(r *runner) error {
	name, text, err := c.text(r)
	if err != nil {
		return err
	}
	changes, err := c.changes(r, name, text)
	if err != nil {
		return err
	}
	out := []identifiedChange{}
	for _, change := range changes {
		out = append(out, identifiedChange{ID: change.ID(), Change: change})
	}
	return r.print(out, func(w io.Writer) {
		lines(w, changes)
		if len(changes) == 0 {
			fmt.Fprintln(w, "no changes")
		}
	})
}

func (c *profileDiff) text(r *runner) (string, []byte, error) {
	if (c.File == "") == (c.Draft == "") {
		return "", nil, &inputError{message: "name a file or a --draft"}
	}
	if c.File != "" {
		text, err := os.ReadFile(c.File)
		return c.File, text, err
	}
	d, err := r.profiles().Draft(r.ctx, c.Draft)
	return "draft " + d.ID, []byte(d.Text), err
}

func (c *profileDiff) changes(r *runner, name string, text []byte) ([]diff.Change, error) {
	if c.Against == "" {
		changes, findings, err := r.profiles().Changes(r.ctx, name, text)
		return changes, firstOf(err, findings.Err())
	}
	base, err := os.ReadFile(c.Against)
	if err != nil {
		return nil, err
	}
	from, before := inifile.Parse(c.Against, base)
	to, after := inifile.Parse(name, text)
	if found := append(before, after...); found.Refused() {
		return nil, found
	}
	return diff.Sets(from, to), nil
}

// firstOf returns the first error that is not nil.
func firstOf(first, second error) error {
	if first != nil {
		return first
	}
	return second
}

type profileDraft struct {
	File   string `arg:"" type:"path" help:"INI file of the whole set."`
	Reason string `help:"Why." required:""`
}

// draftInfo is a draft without its text and acts.
type draftInfo struct {
	ID       string            `json:"id"`
	State    publication.State `json:"state"`
	Author   string            `json:"author"`
	Reason   string            `json:"reason"`
	Created  string            `json:"created"`
	Digest   string            `json:"digest"`
	Reviewer string            `json:"reviewer,omitempty"`
	Accepted []string          `json:"accepted,omitempty"`
	Findings finding.Findings  `json:"findings,omitempty"`
	Changes  []string          `json:"changes,omitempty"`
}

func infoOf(d publication.Draft) draftInfo {
	i := draftInfo{ID: d.ID, State: d.State, Author: d.Author, Reason: d.Reason, Created: d.Created.Format(timeFormat), Digest: d.Digest}
	if d.Review != nil {
		i.Reviewer, i.Accepted = d.Review.Reviewer, d.Review.Accepted
	}
	return i
}

func (i draftInfo) String() string {
	line := fmt.Sprintf("draft %s %s by %s at %s: %s", i.ID, i.State, i.Author, i.Created, i.Reason)
	if i.Reviewer != "" {
		line += " (reviewed by " + i.Reviewer + ")"
	}
	return line
}

// Run stores the draft and prints its changes.
func (c *profileDraft) Run(r *runner) error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	return r.createDraft(c.File, text, c.Reason)
}

func (r *runner) createDraft(file string, text []byte, reason string) error {
	by, err := r.requireActor(reason)
	if err != nil {
		return err
	}
	changes, findings, err := r.profiles().Changes(r.ctx, file, text)
	if err != nil {
		return err
	}
	if err := findings.Err(); err != nil {
		return err
	}
	d, findings, err := r.profiles().Create(r.ctx, by, file, text)
	if err != nil {
		return err
	}
	info := infoOf(d)
	info.Findings = findings
	for _, change := range changes {
		info.Changes = append(info.Changes, change.String())
	}
	return r.print(info, func(w io.Writer) {
		lines(w, findings)
		lines(w, changes)
		fmt.Fprintln(w, info)
	})
}

type profileReview struct {
	Draft  string   `arg:"" help:"ID of the draft."`
	Reason string   `help:"What was looked at." required:""`
	Accept []string `help:"ID of a dangerous change to accept, as named by profile diff; repeat for more."`
}

// Run records the review.
func (c *profileReview) Run(r *runner) error {
	by, err := r.requireActor(c.Reason)
	if err != nil {
		return err
	}
	d, err := r.profiles().Review(r.ctx, by, c.Draft, c.Accept)
	if err != nil {
		return err
	}
	return r.print(infoOf(d), func(w io.Writer) { fmt.Fprintln(w, infoOf(d)) })
}

type profilePublish struct {
	Draft  string `arg:"" help:"ID of the draft."`
	Reason string `help:"Why now." required:""`
}

// recordInfo is a record without its text and act.
type recordInfo struct {
	Generation profile.Generation `json:"generation"`
	Digest     string             `json:"digest"`
	State      string             `json:"state"`
	Draft      string             `json:"draft"`
	Author     string             `json:"author"`
	Reviewer   string             `json:"reviewer"`
	Publisher  string             `json:"publisher"`
	Published  string             `json:"published"`
	Reason     string             `json:"reason"`
	Accepted   []string           `json:"accepted,omitempty"`
	// Settled is false while the audit entry is stored in the record and not yet in the trail.
	Settled *bool `json:"settled,omitempty"`
}

const (
	statePublished = "published"
	stateRetired   = "retired"
)

func infoOfRecord(p *publication.Record, state string) recordInfo {
	return recordInfo{
		Generation: p.Generation, Digest: p.Digest, State: state, Draft: p.Draft,
		Author: p.Author, Reviewer: p.Reviewer, Publisher: p.Publisher,
		Published: p.Published.Format(timeFormat), Reason: p.Entry.Reason, Accepted: p.Accepted,
	}
}

func (i recordInfo) String() string {
	return fmt.Sprintf("generation %d %s %.12s by %s, reviewed by %s, published by %s at %s: %s",
		i.Generation, i.State, i.Digest, i.Author, i.Reviewer, i.Publisher, i.Published, i.Reason)
}

// Run publishes the draft. The store accepts the set in a single update: exit code 0 means that it
// was accepted, 4 that the outcome is unknown, and any other code that nothing changed.
func (c *profilePublish) Run(r *runner) error {
	by, err := r.requireActor(c.Reason)
	if err != nil {
		return err
	}
	p, err := r.profiles().Publish(r.ctx, by, c.Draft)
	if err != nil {
		return err
	}
	info := infoOfRecord(p.Record, statePublished)
	info.Settled = &p.Settled
	return r.print(info, func(w io.Writer) {
		fmt.Fprintln(w, info)
		if !p.Settled {
			fmt.Fprintln(w, "accepted; its audit entry travels with it and is written by the next command")
		}
	})
}
