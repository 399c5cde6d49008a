package audit

import (
	"bytes"
	"encoding/json"

	"github.com/pkg/errors"
)

// Export returns the entries as JSON lines in canonical form, one entry a line.
// A line with its digest emptied is what the digest covers.
func Export(entries []Entry) []byte {
	var b bytes.Buffer
	for _, e := range entries {
		b.Write(e.canonical())
		b.WriteByte('\n')
	}
	return b.Bytes()
}

// Import reads what Export wrote. A field that it does not know is an error, so
// that nothing stands in an export that no digest covers.
func Import(text []byte) ([]Entry, error) {
	var entries []Entry
	for i, line := range bytes.Split(text, []byte("\n")) {
		if len(bytes.TrimSpace(line)) == 0 {
			continue
		}
		dec := json.NewDecoder(bytes.NewReader(line))
		dec.DisallowUnknownFields()
		var e Entry
		if err := dec.Decode(&e); err != nil {
			return nil, errors.Wrapf(err, "line %d of the export", i+1)
		}
		if !bytes.Equal(bytes.TrimSpace(line), e.canonical()) {
			return nil, errors.Errorf("line %d of the export is not in canonical form", i+1)
		}
		entries = append(entries, e)
	}
	return entries, nil
}
