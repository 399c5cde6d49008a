package ctl

import (
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"endivemoor.example/endivemoor/audit"
	auditlog "endivemoor.example/endivemoor/audit/log"
	pubstore "endivemoor.example/endivemoor/publication/store"
)

type auditCommands struct {
	Log    auditShow   `cmd:"" help:"Show the last entries."`
	Verify auditVerify `cmd:"" help:"Check the chain of digests; names what was changed, dropped or reordered."`
	Export auditExport `cmd:"" help:"Write the whole trail as JSON lines, which verify without the fleet."`
	Record auditRecord `cmd:"" help:"Record an act done by other means, such as a change of keys."`
}

type auditShow struct {
	Last    int    `short:"n" help:"How many entries, before they are filtered." default:"50"`
	By      string `help:"Only entries of this actor."`
	Action  string `help:"Only entries whose action begins so, such as profile."`
	Subject string `help:"Only entries about this subject."`
}

// Run prints the entries, oldest first.
func (c *auditShow) Run(r *runner) error {
	if c.Last < 1 {
		return &inputError{message: "-n must be at least 1"}
	}
	entries, err := r.trail().Tail(r.ctx, c.Last)
	if err != nil {
		return err
	}
	var shown []audit.Entry
	for _, e := range entries {
		if c.matches(e) {
			shown = append(shown, e)
		}
	}
	return r.print(list(shown), func(w io.Writer) {
		for _, e := range shown {
			entryText(w, e)
		}
	})
}

func (c *auditShow) matches(e audit.Entry) bool {
	return (c.By == "" || c.By == e.Actor) && strings.HasPrefix(string(e.Action), c.Action) && (c.Subject == "" || c.Subject == e.Subject)
}

func entryText(w io.Writer, e audit.Entry) {
	fmt.Fprintf(w, "%d %s %s %s %s", e.Seq, e.Time.Format(time.RFC3339), e.Actor, e.Action, e.Subject)
	if e.Reviewer != "" {
		fmt.Fprintf(w, " reviewed by %s", e.Reviewer)
	}
	fmt.Fprintf(w, ": %s\n    from %q to %q\n", e.Reason, truncateValue(e.From), truncateValue(e.To))
}

// maxValueBytes limits the bytes of a value in text output. JSON output contains the whole value.
const maxValueBytes = 100

func truncateValue(s string) string {
	if len(s) <= maxValueBytes {
		return s
	}
	return strings.ToValidUTF8(s[:maxValueBytes], "") + "..."
}

type auditVerify struct {
	File   string   `help:"Verify an export instead of the platform's trail." type:"path"`
	Anchor []string `help:"Head noted earlier, SEQ:DIGEST, as printed by verify; repeat for more."`
}

// verifyResult is the result of a verification.
type verifyResult struct {
	Entries int           `json:"entries"`
	Head    audit.Head    `json:"head"`
	Faults  []audit.Fault `json:"faults"`
}

// Run prints every fault, and the head of the trail for use as an anchor in a later verification.
func (c *auditVerify) Run(r *runner) error {
	anchors, err := parseAnchors(c.Anchor)
	if err != nil {
		return err
	}
	entries, err := c.entries(r)
	if err != nil {
		return err
	}
	v := verifyResult{Entries: len(entries), Faults: list(audit.Verify(entries, anchors...))}
	if len(entries) > 0 {
		v.Head = entries[len(entries)-1].Head()
	}
	if err := r.print(v, func(w io.Writer) { verifyResultText(w, v) }); err != nil {
		return err
	}
	if len(v.Faults) > 0 {
		return &refusedError{message: fmt.Sprintf("the trail has %d faults", len(v.Faults))}
	}
	return nil
}

func verifyResultText(w io.Writer, v verifyResult) {
	lines(w, v.Faults)
	if len(v.Faults) == 0 {
		fmt.Fprintf(w, "%d entries, no faults; note the head for next time:\n%d:%s\n", v.Entries, v.Head.Seq, v.Head.Digest)
	}
}

func (c *auditVerify) entries(r *runner) ([]audit.Entry, error) {
	if c.File == "" {
		return r.trail().All(r.ctx)
	}
	text, err := os.ReadFile(c.File)
	if err != nil {
		return nil, err
	}
	entries, err := audit.Import(text)
	if err != nil {
		return nil, &refusedError{message: err.Error()}
	}
	return entries, nil
}

func parseAnchors(texts []string) ([]audit.Head, error) {
	var anchors []audit.Head
	for _, text := range texts {
		number, digest, _ := strings.Cut(text, ":")
		seq, err := strconv.ParseUint(number, 10, 64)
		if err != nil || seq == 0 || digest == "" {
			return nil, &inputError{message: fmt.Sprintf("anchor %q is not of the form SEQ:DIGEST", text)}
		}
		anchors = append(anchors, audit.Head{Seq: seq, Digest: digest})
	}
	return anchors, nil
}

type auditExport struct {
	To string `help:"File to write; standard output if left out." type:"path"`
}

// Run writes the trail without checking it; the exported file can be verified separately.
func (c *auditExport) Run(r *runner) error {
	entries, err := r.trail().All(r.ctx)
	if err != nil {
		return err
	}
	text := audit.Export(entries)
	if c.To == "" {
		_, err := r.out.Write(text)
		return errors.Wrap(err, "write")
	}
	return os.WriteFile(c.To, text, exportMode)
}

// exportMode restricts an export to the operator's account, because reasons may contain names of
// people.
const exportMode = 0o600

type auditRecord struct {
	Action  string `arg:"" enum:"key.change" help:"What was done: key.change."`
	Subject string `arg:"" help:"What was changed, such as session-key/2026-03."`
	Reason  string `help:"Why." required:""`
	From    string `help:"What it was."`
	To      string `help:"What it is."`
}

// unknownRecordError reports that an entry was sent and that no answer arrived.
type unknownRecordError struct{ cause error }

func (e *unknownRecordError) Error() string { return e.cause.Error() }

// Run appends one entry.
func (c *auditRecord) Run(r *runner) error {
	by, err := r.requireActor(c.Reason)
	if err != nil {
		return err
	}
	since, err := r.trail().Last(r.ctx)
	if err != nil {
		return err
	}
	act := auditlog.Act(pubstore.NewID(), time.Now(), by.Actor, audit.Action(c.Action), by.Reason, c.Subject, c.From, c.To)
	act.Since = since
	err = r.trail().Append(r.ctx, act)
	if isType[*auditlog.UnknownError](err) {
		return &unknownRecordError{cause: err}
	}
	if err != nil {
		return err
	}
	return r.print(act, func(w io.Writer) { fmt.Fprintln(w, "recorded") })
}
