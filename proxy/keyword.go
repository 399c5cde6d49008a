package proxy

import (
	"regexp"
	"strings"
)

// The proxy does not parse SQL. It looks at the first word of a statement in
// order to send BEGIN to the primary, to ask for the position along with a
// COMMIT, and to keep transaction control out of keyed requests. The first two
// save a round trip and decide nothing; the third works because a keyed
// statement travels by Parse, which takes one statement only.
var leading = regexp.MustCompile(`^(?:\s+|--[^\n]*(?:\n|$)|/\*(?s:.*?)\*/|;)+`)

var controlWords = map[string]bool{
	"BEGIN": true, "START": true, "COMMIT": true, "END": true, "ROLLBACK": true, "ABORT": true,
	"PREPARE": true, "SAVEPOINT": true, "RELEASE": true,
}

// firstWord returns the first word of a statement in upper case.
func firstWord(sql string) string {
	rest := sql[len(leading.FindString(sql)):]
	end := strings.IndexFunc(rest, func(r rune) bool {
		return (r < 'a' || r > 'z') && (r < 'A' || r > 'Z')
	})
	if end < 0 {
		end = len(rest)
	}
	return strings.ToUpper(rest[:end])
}

func opensTransaction(sql string) bool {
	w := firstWord(sql)
	return w == "BEGIN" || w == "START"
}

func endsTransaction(sql string) bool {
	w := firstWord(sql)
	return w == "COMMIT" || w == "END"
}

// controlsTransaction reports whether the statement could open or end one.
// What cannot be read with certainty is taken for control: no word at all, or
// a comment within a comment, which the target reads differently.
func controlsTransaction(sql string) bool {
	head := leading.FindString(sql)
	if strings.Count(head, "/*") != strings.Count(head, "*/") {
		return true
	}
	w := firstWord(sql)
	return w == "" || controlWords[w]
}
