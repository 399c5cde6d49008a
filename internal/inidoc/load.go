package inidoc

import (
	"bytes"
	"fmt"
	"strings"

	"gopkg.in/ini.v1"

	"endivemoor.example/endivemoor/finding"
)

// MaxFileBytes is the size of the largest file that is read.
const MaxFileBytes = 256 << 10

// maxUnparsableLines limits the unparsable lines reported for one file.
const maxUnparsableLines = 20

var options = ini.LoadOptions{
	IgnoreContinuation:         true,
	SpaceBeforeInlineComment:   true,
	KeyValueDelimiters:         delimiter,
	AllowShadows:               true,
	AllowDuplicateShadowValues: true,
	PreserveEmptyShadowValues:  true,
	AllowNonUniqueSections:     true,
}

// Options returns the options of the parser: one line for each value, no interpolation, and
// duplicate keys and sections kept so that they can be reported.
func Options() ini.LoadOptions { return options }

// Document is one parsed file with its findings so far.
type Document struct {
	// File is the name used in findings.
	File     string
	sections []*Section
	findings finding.Findings
}

// Load parses text. Unreadable parts become findings and the document contains the rest, so that
// one report covers the whole file.
func Load(file string, text []byte) *Document {
	d := &Document{File: file}
	if len(text) > MaxFileBytes {
		d.report(finding.Finding{Message: fmt.Sprintf("file has %d bytes, at most %d are read", len(text), MaxFileBytes), Repair: "split it or remove what is not used"})
		return d
	}
	lines := bytes.Split(bytes.Clone(text), []byte("\n"))
	if parsed := d.parse(lines); parsed != nil {
		d.collect(parsed, indexLines(lines))
	}
	return d
}

// parse runs the library on the lines. The library stops at the first line that it cannot parse;
// parse reports and blanks this line and runs the library on the rest.
func (d *Document) parse(lines [][]byte) *ini.File {
	for range maxUnparsableLines {
		parsed, err := ini.LoadSources(options, bytes.Join(lines, []byte("\n")))
		if err == nil {
			return parsed
		}
		n := unparsableLine(lines, err)
		d.report(finding.Finding{Line: n, Message: strings.TrimSpace(err.Error()), Repair: "write [section], key = value or # comment"})
		if n == 0 {
			return nil
		}
		blank(lines, n-1)
	}
	return nil
}

// blank empties a line. If the line is a header, it also empties the lines of the section, which
// would otherwise be parsed as keys of the section before it.
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

// unparsableLine finds the line that a parse error quotes. It returns 0 if there is none.
func unparsableLine(lines [][]byte, err error) int {
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
		section := &Section{doc: d, Name: s.Name(), keys: map[string]entry{}, read: map[string]bool{}}
		at := location{section: s.Name(), occurrence: seen[s.Name()]}
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
		if section.Name == defaultSection && len(section.keys) == 0 && section.Line == 0 {
			continue
		}
		d.sections = append(d.sections, section)
	}
}

// Sections returns the sections in the order of the file.
func (d *Document) Sections() []*Section { return d.sections }

// Section returns the named section, or an empty one that returns only defaults.
func (d *Document) Section(name string) *Section {
	for _, s := range d.sections {
		if s.Name == name {
			return s
		}
	}
	return &Section{doc: d, Name: name, keys: map[string]entry{}, read: map[string]bool{}}
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
func (d *Document) Report(message, repair string) {
	d.report(finding.Finding{Message: message, Repair: repair})
}

// Finish adds a finding for every key that no accessor read, and returns all findings sorted.
func (d *Document) Finish() finding.Findings {
	for _, s := range d.sections {
		s.reportUnknown()
	}
	d.findings.Sort()
	return d.findings
}
