package proxy

import (
	"regexp"
	"strings"
)

// leadingTrivia matches the white space, comments and semicolons before a statement's first word.
//
// The proxy does not parse SQL. It looks at the first word of a statement in order to send BEGIN to
// the primary, to query the position along with a COMMIT, and to reject transaction control in
// keyed requests. The first two save a round trip and affect no result; the third is reliable
// because a keyed statement is sent by Parse, which accepts one statement only.
var leadingTrivia = regexp.MustCompile(`^(?:\s+|--[^\n]*(?:\n|$)|/\*(?s:.*?)\*/|;)+`)

var controlWords = map[string]bool{
	"BEGIN": true, "START": true, "COMMIT": true, "END": true, "ROLLBACK": true, "ABORT": true,
	"PREPARE": true, "SAVEPOINT": true, "RELEASE": true,
}

// statement is an SQL text with the properties that are determined without parsing it.
type statement struct {
	sql string
	// word is the first word, in upper case.
	word string
	// single reports that the text is certainly one statement.
	single bool
	// control reports that the statement could open or end a transaction.
	control bool
}

func newStatement(sql string) statement {
	head := leadingTrivia.FindString(sql)
	st := statement{sql: sql, word: firstWord(sql[len(head):]), single: isSingle(sql)}
	st.control = isControl(head, st.word)
	return st
}

func (st statement) opens() bool { return st.word == "BEGIN" || st.word == "START" }

func (st statement) ends() bool { return st.word == "COMMIT" || st.word == "END" }

// firstWord returns the word at the start of a text, in upper case.
func firstWord(sql string) string {
	end := strings.IndexFunc(sql, func(r rune) bool {
		return (r < 'a' || r > 'z') && (r < 'A' || r > 'Z')
	})
	if end < 0 {
		end = len(sql)
	}
	return strings.ToUpper(sql[:end])
}

// isSingle reports whether a text is certainly one statement: it has no semicolon except at its
// end.
func isSingle(sql string) bool {
	return !strings.Contains(strings.TrimRight(sql, "; \t\r\n"), ";")
}

// isControl reports whether a statement could open or end a transaction. A text that cannot be
// classified with certainty counts as control: one without a first word, or one with nested
// comments, which the target reads differently.
func isControl(head, word string) bool {
	if strings.Count(head, "/*") != strings.Count(head, "*/") {
		return true
	}
	return word == "" || controlWords[word]
}
