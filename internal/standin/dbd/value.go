package dbd

import (
	"strings"
)

// Value is one parameter of a statement in the log. At most one field is set; none means NULL.
type Value struct {
	Text  *string  `json:"text,omitempty"`
	Int   *int64   `json:"int,omitempty"`
	Float *float64 `json:"float,omitempty"`
	Blob  []byte   `json:"blob"`
}

// Statement is one SQL statement with its parameters.
type Statement struct {
	SQL  string  `json:"sql"`
	Args []Value `json:"args,omitempty"`
}

// driverValue returns v as an argument for database/sql.
func (v Value) driverValue() any {
	switch {
	case v.Text != nil:
		return *v.Text
	case v.Int != nil:
		return *v.Int
	case v.Float != nil:
		return *v.Float
	case v.Blob != nil:
		return v.Blob
	default:
		return nil
	}
}

// String returns v for a summary.
func (v Value) String() string {
	switch {
	case v.Text != nil:
		return *v.Text
	case v.Int != nil, v.Float != nil:
		return sprint(v.driverValue())
	case v.Blob != nil:
		return "(bytes)"
	default:
		return "NULL"
	}
}

func driverArgs(args []Value) []any {
	out := make([]any, len(args))
	for i, a := range args {
		out[i] = a.driverValue()
	}
	return out
}

// summaryLimit bounds the summary of statements, in bytes.
const summaryLimit = 256

// summarize returns the statements and parameters as one short line.
func summarize(stmts []Statement) string {
	var b strings.Builder
	for _, s := range stmts {
		if b.Len() > 0 {
			b.WriteString("; ")
		}
		b.WriteString(s.SQL)
		for _, a := range s.Args {
			b.WriteString(" | " + a.String())
		}
	}
	return truncate(b.String(), summaryLimit)
}

// truncate returns at most the first n bytes of s, without a partial character at the end.
func truncate(s string, n int) string {
	if len(s) <= n {
		return s
	}
	return strings.ToValidUTF8(s[:n], "")
}
