package inidoc

import (
	"bytes"
	"fmt"
	"strings"

	"gopkg.in/ini.v1"

	"endivemoor.example/endivemoor/finding"
)

// MaxText is the largest file that is read, in bytes.
const MaxText = 256 << 10

// maxBroken bounds the unreadable lines reported for one file.
const maxBroken = 20

var options = ini.LoadOptions{
	IgnoreContinuation:         true,
	SpaceBeforeInlineComment:   true,
	KeyValueDelimiters:         delimiter,
	AllowShadows:               true,
	AllowDuplicateShadowValues: true,
	PreserveEmptyShadowValues:  true,
	AllowNonUniqueSections:     true,
}

// Options are how the library reads: one line a value, no interpolation asked
// for, and what stands twice kept so that it can be reported.
func Options() ini.LoadOptions { return options }

// Document is one parsed file and the findings about it so far.
type Document struct {
	// File is the name used in findings.
	File     string
	sections []*Section
	findings finding.Findings
}

// Load parses text. What cannot be read becomes findings; the document holds
// the rest, so that one report names everything.
func Load(file string, text []byte) *Document {
	d := &Document{File: file}
	if len(text) > MaxText {
		d.report(finding.Finding{Message: fmt.Sprintf("file has %d bytes, at most %d are read", len(text), MaxText), Mend: "split it or remove what is not used"})
		return d
	}
	lines := bytes.Split(bytes.Clone(text), []byte("\n"))
	if parsed := d.parse(lines); parsed != nil {
		d.collect(parsed, indexLines(lines))
	}
	return d
}

// parse gives the lines to the library, which stops at the first one that it
// cannot read. That line is reported and blanked, and the rest read again.
func (d *Document) parse(lines [][]byte) *ini.File {
	for range maxBroken {
		parsed, err := ini.LoadSources(options, bytes.Join(lines, []byte("\n")))
		if err == nil {
			return parsed
		}
		n := brokenLine(lines, err)
		d.report(finding.Finding{Line: n, Message: strings.TrimSpace(err.Error()), Mend: "write [section], key = value or # comment"})
		if n == 0 {
			return nil
		}
		blank(lines, n-1)
	}
	return nil
}

// blank empties a line. With a header go the lines of its section: they would
// be taken for keys of the section before it.
func blank(lines [][]byte, at int) {
	header := isHeader(lines[at])
	lines[at] = nil
	if !header {
		return
	}
	for at++; at < len(lines) && !isHeader(lines[at]); at++ {
		lines[at] = nil
	}
}

func isHeader(line []byte) bool { return bytes.HasPrefix(bytes.TrimSpace(line), []byte("[")) }

// brokenLine finds the line that a parse error quotes; 0 if it cannot.
func brokenLine(lines [][]byte, err error) int {
	for i, line := range lines {
		trimmed := bytes.TrimSpace(line)
		if len(trimmed) > 0 && strings.HasSuffix(strings.TrimSpace(err.Error()), ": "+string(trimmed)) {
			return i + 1
		}
	}
	return 0
}

func (d *Document) collect(parsed *ini.File, lines index) {
	seen := map[string]int{}
	for _, s := range parsed.Sections() {
		section := &Section{doc: d, Name: s.Name(), keys: map[string]entry{}, asked: map[string]bool{}}
		at := place{section: s.Name(), occurrence: seen[s.Name()]}
		section.Line = lines[at]
		seen[s.Name()]++
		for _, k := range s.Keys() {
			at.key = k.Name()
			section.keys[k.Name()] = entry{value: k.Value(), line: lines[at]}
			if len(k.ValueWithShadows()) > 1 {
				section.Fault(k.Name(), "key stands more than once", "keep one")
			}
		}
		if at.occurrence > 0 {
			section.Fault("", "section stands more than once", "join them")
			continue
		}
		if section.Name == outside && len(section.keys) == 0 && section.Line == 0 {
			continue
		}
		d.sections = append(d.sections, section)
	}
}

// Sections returns the sections in the order of the file.
func (d *Document) Sections() []*Section { return d.sections }

// Section returns the named section, or an empty one so that its defaults can
// be read.
func (d *Document) Section(name string) *Section {
	for _, s := range d.sections {
		if s.Name == name {
			return s
		}
	}
	return &Section{doc: d, Name: name, keys: map[string]entry{}, asked: map[string]bool{}}
}

// Has reports whether the file has the section.
func (d *Document) Has(name string) bool {
	for _, s := range d.sections {
		if s.Name == name {
			return true
		}
	}
	return false
}

func (d *Document) report(f finding.Finding) {
	f.File = d.File
	d.findings = append(d.findings, f)
}

// Report adds a finding that belongs to no section.
func (d *Document) Report(message, mend string) {
	d.report(finding.Finding{Message: message, Mend: mend})
}

// Finish adds a finding for every key that nobody asked for, and returns all
// findings sorted.
func (d *Document) Finish() finding.Findings {
	for _, s := range d.sections {
		s.reportUnknown()
	}
	d.findings.Sort()
	return d.findings
}
