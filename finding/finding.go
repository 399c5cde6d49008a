// Package finding defines the result of checking a configuration. Each Finding has its place and a
// suggested repair. A check reports all findings together, so that an operator can correct a file
// in one pass.
package finding

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Severity determines whether a finding refuses the configuration.
type Severity uint8

const (
	// Error refuses the configuration.
	Error Severity = iota
	// Warning does not refuse the configuration.
	Warning
)

func (s Severity) String() string {
	if s == Warning {
		return "warning"
	}
	return "error"
}

// MarshalText implements encoding.TextMarshaler, so that JSON has the name.
func (s Severity) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Finding is one problem found by a check.
type Finding struct {
	File    string `json:"file,omitempty"`
	Section string `json:"section,omitempty"`
	Key     string `json:"key,omitempty"`
	// Line is 1-based; 0 if the finding has no line.
	Line     int      `json:"line,omitempty"`
	Severity Severity `json:"severity"`
	Message  string   `json:"message"`
	// Repair is an instruction that resolves the finding.
	Repair string `json:"mend,omitempty"`
}

// String returns one line: "file:7: [section] key: error: message; repair".
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
	if f.Repair != "" {
		b.WriteString("; " + f.Repair)
	}
	return b.String()
}

// Findings are the findings of a check. They are an error if there are any, including warnings; Err
// returns an error only if a finding refuses the configuration.
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

// Sort orders the findings by file, line, section, key and message, so that repeated checks of a
// text give the same report.
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
