package logging

import (
	"bufio"
	"bytes"
	"io"
	"slices"

	"github.com/go-logfmt/logfmt"
	"github.com/pkg/errors"
)

// maxLine bounds a line of a log that is read, in bytes.
const maxLine = 1 << 20

// eventKey names the event of a line.
const eventKey = "event"

// EachEvent passes on the fields of each line of a log that tells one of some events.
// Lines of other events, and lines that are no key=value pairs, are passed over.
func EachEvent(r io.Reader, events []string, take func(fields map[string]string)) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		if !mentions(lines.Bytes(), events) {
			continue
		}
		if fields := fieldsOf(lines.Bytes()); slices.Contains(events, fields[eventKey]) {
			take(fields)
		}
	}
	return errors.Wrap(lines.Err(), "read the log")
}

// mentions spares most lines their decoding.
func mentions(line []byte, events []string) bool {
	return slices.ContainsFunc(events, func(event string) bool { return bytes.Contains(line, []byte(event)) })
}

// fieldsOf decodes one line, as far as it is one of ours.
func fieldsOf(line []byte) map[string]string {
	fields := make(map[string]string)
	d := logfmt.NewDecoder(bytes.NewReader(line))
	for d.ScanRecord() {
		for d.ScanKeyval() {
			fields[string(d.Key())] = string(d.Value())
		}
	}
	return fields
}
