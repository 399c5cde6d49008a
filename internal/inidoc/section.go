package inidoc

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"endivemoor.example/endivemoor/finding"
)

type entry struct {
	value string
	line  int
}

// Section is one section. Its accessors return a checked value, or the default
// when the key is absent or was reported.
type Section struct {
	Name string
	// Line of the header, 0 if unknown.
	Line    int
	doc     *Document
	keys    map[string]entry
	asked   map[string]bool
	skipped bool
}

// IsOutside reports whether the section holds keys before the first header.
func (s *Section) IsOutside() bool { return s.Name == outside }

// Has reports whether the key is present.
func (s *Section) Has(key string) bool {
	_, ok := s.keys[key]
	return ok
}

// Keys returns the names present, sorted.
func (s *Section) Keys() []string {
	names := make([]string, 0, len(s.keys))
	for name := range s.keys {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Fault reports an Error about a key, or about the section if key is empty.
func (s *Section) Fault(key, message, mend string) { s.report(finding.Error, key, message, mend) }

// Warn reports a Warning.
func (s *Section) Warn(key, message, mend string) { s.report(finding.Warning, key, message, mend) }

// Skip reports the section as a whole and its keys no further.
func (s *Section) Skip(message, mend string) {
	s.skipped = true
	s.Fault("", message, mend)
}

func (s *Section) report(severity finding.Severity, key, message, mend string) {
	line := s.Line
	if e, ok := s.keys[key]; ok {
		line = e.line
	}
	name := s.Name
	if s.IsOutside() {
		name, line = "", s.firstLine()
	}
	s.doc.report(finding.Finding{Section: name, Key: key, Line: line, Severity: severity, Message: message, Mend: mend})
}

// firstLine is the line of the first key; a section without header has no other.
func (s *Section) firstLine() int {
	first := s.Line
	for _, e := range s.keys {
		if first == 0 || e.line < first {
			first = e.line
		}
	}
	return first
}

func (s *Section) get(key string) (string, bool) {
	s.asked[key] = true
	e, ok := s.keys[key]
	return e.value, ok
}

// String returns the text of a key.
func (s *Section) String(key, def string) string {
	if v, ok := s.get(key); ok {
		return v
	}
	return def
}

// Required returns the text of a key, and reports one that is absent or empty.
func (s *Section) Required(key, mend string) string {
	v, _ := s.get(key)
	if v == "" {
		s.Fault(key, "key is missing", mend)
	}
	return v
}

// Choice returns one of the allowed words.
func (s *Section) Choice(key, def string, allowed ...string) string {
	v, ok := s.get(key)
	if !ok {
		return def
	}
	if !slices.Contains(allowed, v) {
		s.Fault(key, fmt.Sprintf("%q is not allowed", v), "use one of "+strings.Join(allowed, ", "))
		return def
	}
	return v
}

// Bool returns true or false; other spellings are reported.
func (s *Section) Bool(key string, def bool) bool {
	return s.Choice(key, strconv.FormatBool(def), "true", "false") == "true"
}

// Duration returns a span such as 250ms or 10s within the bounds.
func (s *Section) Duration(key string, def, least, most time.Duration) time.Duration {
	v, ok := s.get(key)
	if !ok {
		return def
	}
	d, err := time.ParseDuration(v)
	if err != nil {
		s.Fault(key, fmt.Sprintf("%q is not a duration", v), "write a number with a unit, such as 250ms, 10s or 5m")
		return def
	}
	if d < least || d > most {
		s.Fault(key, fmt.Sprintf("%s is out of bounds", d), fmt.Sprintf("use %s to %s", least, most))
		return def
	}
	return d
}

// Int returns a whole number within the bounds.
func (s *Section) Int(key string, def, least, most int) int {
	v, ok := s.get(key)
	if !ok {
		return def
	}
	n, err := strconv.Atoi(v)
	if err != nil {
		s.Fault(key, fmt.Sprintf("%q is not a whole number", v), fmt.Sprintf("use %d to %d", least, most))
		return def
	}
	if n < least || n > most {
		s.Fault(key, fmt.Sprintf("%d is out of bounds", n), fmt.Sprintf("use %d to %d", least, most))
		return def
	}
	return n
}

// Float returns a number within the bounds; NaN is reported.
func (s *Section) Float(key string, def, least, most float64) float64 {
	v, ok := s.get(key)
	if !ok {
		return def
	}
	n, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(n) {
		s.Fault(key, fmt.Sprintf("%q is not a number", v), fmt.Sprintf("use %g to %g", least, most))
		return def
	}
	if n < least || n > most {
		s.Fault(key, fmt.Sprintf("%g is out of bounds", n), fmt.Sprintf("use %g to %g", least, most))
		return def
	}
	return n
}

func (s *Section) reportUnknown() {
	if s.skipped {
		return
	}
	known := make([]string, 0, len(s.asked))
	for key := range s.asked {
		known = append(known, key)
	}
	slices.Sort(known)
	for _, key := range s.Keys() {
		if !s.asked[key] {
			s.Fault(key, "unknown key", "remove it or use one of "+strings.Join(known, ", "))
		}
	}
}
