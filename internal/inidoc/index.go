package inidoc

import "strings"

const (
	delimiter = "="
	// outside is ini.v1's name for keys before the first section.
	outside = "DEFAULT"
)

// place names the n-th occurrence (from 0) of a section, and of a key in it.
// A section's header has an empty key.
type place struct {
	section    string
	occurrence int
	key        string
}

// index maps places to 1-based lines. Of a key that stands twice the first
// line is kept.
type index map[place]int

func indexLines(text [][]byte) index {
	lines := index{}
	seen := map[string]int{}
	at := place{section: outside}
	for i, raw := range text {
		line := strings.TrimSpace(string(raw))
		switch {
		case line == "" || line[0] == '#' || line[0] == ';':
		case line[0] == '[':
			name, _, _ := strings.Cut(line[1:], "]")
			at = place{section: strings.TrimSpace(name), occurrence: seen[name]}
			seen[name]++
			lines[at] = i + 1
		default:
			name, _, _ := strings.Cut(line, delimiter)
			key := at
			key.key = strings.TrimSpace(name)
			if lines[key] == 0 {
				lines[key] = i + 1
			}
		}
	}
	return lines
}
