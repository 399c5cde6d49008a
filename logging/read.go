package logging

import (
	"bufio"
	"bytes"
	"io"
	"slices"

	"github.com/go-logfmt/logfmt"
	"github.com/pkg/errors"
)

// maxLineBytes limits the length of a line when a log is read.
const maxLineBytes = 1 << 20

// eventKey is the key of an event's name.
const eventKey = "event"

// EachEvent calls take with the fields of each line whose event is one of events. Lines of other
// events, and lines that are not key=value pairs, are skipped.
func EachEvent(r io.Reader, events []string, take func(fields map[string]string)) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		if !mentionsAny(lines.Bytes(), events) {
			continue
		}
		if fields := fieldsOf(lines.Bytes()); slices.Contains(events, fields[eventKey]) {
			take(fields)
		}
	}
	return errors.Wrap(lines.Err(), "read the log")
}

// mentionsAny is a cheap check that avoids decoding most lines.
func mentionsAny(line []byte, events []string) bool {
	return slices.ContainsFunc(events, func(event string) bool { return bytes.Contains(line, []byte(event)) })
}

// fieldsOf decodes one line, up to the first part that is not a key=value pair.
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
