// Package finding carries what a check has to say about a configuration: each
// finding has its place and how to mend it, and all are reported together, so
// that an operator corrects a file once and not line by line.
package finding

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Severity says if a finding refuses the configuration.
type Severity uint8

const (
	// Error refuses the configuration.
	Error Severity = iota
	// Warning is reported and does not refuse.
	Warning
)

// String returns the severity's name.
func (s Severity) String() string {
	if s == Warning {
		return "warning"
	}
	return "error"
}

// MarshalText gives the name in JSON.
func (s Severity) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Finding is one thing that a check found.
type Finding struct {
	File    string `json:"file,omitempty"`
	Section string `json:"section,omitempty"`
	Key     string `json:"key,omitempty"`
	// Line is 1-based; 0 means that the finding has no line.
	Line     int      `json:"line,omitempty"`
	Severity Severity `json:"severity"`
	Message  string   `json:"message"`
	// Mend says what to do about it.
	Mend string `json:"mend,omitempty"`
}

// String is one line: "file:7: [section] key: error: message; mend".
func (f Finding) String() string {
	var b strings.Builder
	b.WriteString(f.File)
	if f.Line > 0 {
		fmt.Fprintf(&b, ":%d", f.Line)
	}
	if b.Len() > 0 {
		b.WriteString(": ")
	}
	if f.Section != "" {
		fmt.Fprintf(&b, "[%s] ", f.Section)
	}
	if f.Key != "" {
		fmt.Fprintf(&b, "%s: ", f.Key)
	}
	fmt.Fprintf(&b, "%s: %s", f.Severity, f.Message)
	if f.Mend != "" {
		b.WriteString("; " + f.Mend)
	}
	return b.String()
}

// Findings is a report. It is an error when it is not empty; use Err to get an
// error only if something was refused.
type Findings []Finding

// Error returns one line for each finding.
func (fs Findings) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Refused reports whether any finding is an Error.
func (fs Findings) Refused() bool {
	return slices.ContainsFunc(fs, func(f Finding) bool { return f.Severity == Error })
}

// Err returns fs as an error if any finding is an Error, else nil.
func (fs Findings) Err() error {
	if !fs.Refused() {
		return nil
	}
	return fs
}

// Sort orders by file, line, section, key and message, so that two checks of
// one text report alike.
func (fs Findings) Sort() {
	slices.SortStableFunc(fs, func(a, b Finding) int {
		return cmp.Or(
			cmp.Compare(a.File, b.File),
			cmp.Compare(a.Line, b.Line),
			cmp.Compare(a.Section, b.Section),
			cmp.Compare(a.Key, b.Key),
			cmp.Compare(a.Message, b.Message),
		)
	})
}
