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

// Section is one section of a document. Its accessors return the checked value, or the default if
// the key is absent or its value was reported.
type Section struct {
	Name string
	// Line is the line of the header, 0 if unknown.
	Line    int
	doc     *Document
	keys    map[string]entry
	read    map[string]bool
	skipped bool
}

// IsDefault reports whether the section contains the keys before the first header.
func (s *Section) IsDefault() bool { return s.Name == defaultSection }

// Has reports whether the key is present.
func (s *Section) Has(key string) bool {
	_, ok := s.keys[key]
	return ok
}

// Keys returns the names of the keys in the section, sorted.
func (s *Section) Keys() []string {
	names := make([]string, 0, len(s.keys))
	for name := range s.keys {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Fault reports an Error about a key, or about the section if key is empty.
func (s *Section) Fault(key, message, repair string) { s.report(finding.Error, key, message, repair) }

// Warn reports a Warning.
func (s *Section) Warn(key, message, repair string) { s.report(finding.Warning, key, message, repair) }

// Skip reports the whole section, and excludes its keys from further findings.
func (s *Section) Skip(message, repair string) {
	s.skipped = true
	s.Fault("", message, repair)
}

func (s *Section) report(severity finding.Severity, key, message, repair string) {
	line := s.Line
	if e, ok := s.keys[key]; ok {
		line = e.line
	}
	name := s.Name
	if s.IsDefault() {
		name, line = "", s.firstLine()
	}
	s.doc.report(finding.Finding{Section: name, Key: key, Line: line, Severity: severity, Message: message, Repair: repair})
}

// firstLine returns the line of the first key, because a section without a header has no line of
// its own.
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
	s.read[key] = true
	e, ok := s.keys[key]
	return e.value, ok
}

// String returns the value of a key.
func (s *Section) String(key, def string) string {
	if v, ok := s.get(key); ok {
		return v
	}
	return def
}

// Required returns the value of a key, and reports a key that is absent or empty.
func (s *Section) Required(key, repair string) string {
	v, _ := s.get(key)
	if v == "" {
		s.Fault(key, "key is missing", repair)
	}
	return v
}

// Choice returns the value of a key, which must be one of the allowed values.
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

// Bool returns the value of a key, which must be true or false.
func (s *Section) Bool(key string, def bool) bool {
	return s.Choice(key, strconv.FormatBool(def), "true", "false") == "true"
}

// Duration returns a duration such as 250ms or 10s, which must be within the bounds.
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

// Int returns an integer, which must be within the bounds.
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

// Float returns a number, which must be within the bounds and not NaN.
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
	known := make([]string, 0, len(s.read))
	for key := range s.read {
		known = append(known, key)
	}
	slices.Sort(known)
	for _, key := range s.Keys() {
		if !s.read[key] {
			s.Fault(key, "unknown key", "remove it or use one of "+strings.Join(known, ", "))
		}
	}
}
