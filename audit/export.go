package audit

import (
	"bytes"
	"encoding/json"

	"github.com/pkg/errors"
)

// Export returns the entries as JSON lines in canonical form, one entry a line. An entry's digest
// covers its line with the digest emptied.
func Export(entries []Entry) []byte {
	var b bytes.Buffer
	for _, e := range entries {
		b.Write(e.canonical())
		b.WriteByte('\n')
	}
	return b.Bytes()
}

// Import reads the output of Export. An unknown field is an error, so that an export contains
// nothing that no digest covers.
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
