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

// statement is a text with what is seen of it from outside.
type statement struct {
	sql string
	// word is the first word, in upper case.
	word string
	// single says that the text is surely one statement.
	single bool
	// control says that it could open or end a transaction.
	control bool
}

func newStatement(sql string) statement {
	head := leading.FindString(sql)
	st := statement{sql: sql, word: firstWord(sql[len(head):]), single: isSingle(sql)}
	st.control = controls(head, st.word)
	return st
}

func (st statement) opens() bool { return st.word == "BEGIN" || st.word == "START" }

func (st statement) ends() bool { return st.word == "COMMIT" || st.word == "END" }

// firstWord returns the word that a text begins with, in upper case.
func firstWord(sql string) string {
	end := strings.IndexFunc(sql, func(r rune) bool {
		return (r < 'a' || r > 'z') && (r < 'A' || r > 'Z')
	})
	if end < 0 {
		end = len(sql)
	}
	return strings.ToUpper(sql[:end])
}

// isSingle reports whether a text is surely one statement: without a semicolon
// but at its end it cannot be two.
func isSingle(sql string) bool {
	return !strings.Contains(strings.TrimRight(sql, "; \t\r\n"), ";")
}

// controls reports whether a statement could open or end a transaction. What
// cannot be read with certainty is taken for control: no word at all, or a
// comment within a comment, which the target reads differently.
func controls(head, word string) bool {
	if strings.Count(head, "/*") != strings.Count(head, "*/") {
		return true
	}
	return word == "" || controlWords[word]
}
