// Package losses reads the daemons' logs and reports, by cause, statements that were not served and
// statements that were served later than their route's objective. Read returns them; ByCause,
// ByWorkspace and ByWindow count them.
package losses

import (
	"cmp"
	"io"
	"slices"
	"time"

	"endivemoor.example/endivemoor/logging"
)

// Log events that report a loss.
const (
	eventLate     = "statement-late"
	eventUnserved = "statement-unserved"
)

// Kind is the kind of a loss.
type Kind string

const (
	// Late: the statement was served after its objective.
	Late Kind = "late"
	// Unserved: the statement was refused or failed.
	Unserved Kind = "unserved"
)

// Loss is one statement that was late or not served.
type Loss struct {
	Kind     Kind
	Request  string
	Database string
	// Workspace is the workspace of the statement; empty if it has none.
	Workspace string
	// Code is the code of the answer.
	Code string
	// Cause is the phase that took the most time; see package engine.
	Cause string
	After time.Duration
	At    time.Time
}

// Read returns the losses in a log. Lines of other events, and lines that are not key=value pairs,
// are skipped.
func Read(r io.Reader) ([]Loss, error) {
	var out []Loss
	err := logging.EachEvent(r, []string{eventLate, eventUnserved}, func(fields map[string]string) {
		out = append(out, lossOf(fields))
	})
	return out, err
}

// lossOf decodes the fields of a line that reports a loss.
func lossOf(f map[string]string) Loss {
	l := Loss{Kind: Unserved, Request: f["request"], Database: f["database"], Workspace: f["workspace"], Code: f["code"], Cause: f["cause"]}
	if f["event"] == eventLate {
		l.Kind = Late
	}
	// A truncated line is counted with the fields that it has.
	l.At, _ = time.Parse(time.RFC3339Nano, f["time"])
	if seconds, err := time.ParseDuration(f["after"] + "s"); err == nil {
		l.After = seconds
	}
	return l
}

// Row is one row of a table.
type Row struct {
	// Workspace is set only in tables by workspace.
	Workspace string `json:"workspace,omitempty"`
	Kind      Kind   `json:"kind"`
	Code      string `json:"code"`
	Cause     string `json:"cause"`
	Count     int    `json:"count"`
	// Longest is the longest time that one of the statements took.
	Longest time.Duration `json:"longest"`
	// Request is the ID of that statement's request, by which its log lines can be found.
	Request string `json:"request"`
}

// ByCause counts losses by kind, code and cause, most frequent first.
func ByCause(all []Loss) []Row { return count(all, func(Loss) string { return "" }) }

// ByWorkspace counts like ByCause, separately for each workspace.
func ByWorkspace(all []Loss) []Row { return count(all, func(l Loss) string { return l.Workspace }) }

func count(all []Loss, workspace func(Loss) string) []Row {
	type key struct {
		workspace   string
		kind        Kind
		code, cause string
	}
	at := make(map[key]*Row)
	for _, l := range all {
		k := key{workspace(l), l.Kind, l.Code, l.Cause}
		if at[k] == nil {
			at[k] = &Row{Workspace: k.workspace, Kind: l.Kind, Code: l.Code, Cause: l.Cause}
		}
		r := at[k]
		r.Count++
		if l.After >= r.Longest {
			r.Longest, r.Request = l.After, l.Request
		}
	}
	var out []Row
	for _, r := range at {
		out = append(out, *r)
	}
	slices.SortFunc(out, func(a, b Row) int {
		return cmp.Or(b.Count-a.Count, cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Code, b.Code), cmp.Compare(a.Cause, b.Cause))
	})
	return out
}

// Window is a time span with its losses.
type Window struct {
	From  time.Time `json:"from"`
	Count int       `json:"count"`
	// Cause is the most frequent cause.
	Cause string `json:"cause"`
}

// ByWindow counts losses by time span, in order of time. Spans without a loss are left out.
func ByWindow(all []Loss, length time.Duration) []Window {
	in := make(map[time.Time][]Loss)
	for _, l := range all {
		from := l.At.Truncate(length)
		in[from] = append(in[from], l)
	}
	var out []Window
	for from, losses := range in {
		out = append(out, Window{From: from, Count: len(losses), Cause: ByCause(losses)[0].Cause})
	}
	slices.SortFunc(out, func(a, b Window) int { return a.From.Compare(b.From) })
	return out
}
