package inidoc

import "strings"

const (
	delimiter = "="
	// defaultSection is ini.v1's name for the keys before the first header.
	defaultSection = "DEFAULT"
)

// location identifies the n-th occurrence (from 0) of a section, or a key in it. The location of a
// section's header has an empty key.
type location struct {
	section    string
	occurrence int
	key        string
}

// index maps locations to 1-based lines. For a key that appears twice in a section, it contains the
// first line.
type index map[location]int

func indexLines(text [][]byte) index {
	lines := index{}
	seen := map[string]int{}
	at := location{section: defaultSection}
	for i, raw := range text {
		line := strings.TrimSpace(string(raw))
		switch {
		case line == "" || line[0] == '#' || line[0] == ';':
		case line[0] == '[':
			name, _, _ := strings.Cut(line[1:], "]")
			at = location{section: strings.TrimSpace(name), occurrence: seen[name]}
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
