package dbd

import (
	"regexp"
	"strconv"
	"strings"

	"modernc.org/libc"
	sqlite3 "modernc.org/sqlite/lib"
)

// The server does not parse SQL. It only extracts the first words of a statement, for transaction
// control and command tags, the request tag and the highest parameter number.
var (
	leadingComments = regexp.MustCompile(`^(?:\s+|/\*(?s:.*?)\*/|--[^\n]*(?:\n|$))+`)
	tagComment      = regexp.MustCompile(`^\s*/\*endivemoor\s+(.*?)\*/`)
	parameter       = regexp.MustCompile(`\$(\d+)`)
	word            = regexp.MustCompile(`[A-Za-z_]+`)
)

// trimComments returns s without leading white space and comments.
func trimComments(s string) string {
	return leadingComments.ReplaceAllString(s, "")
}

// leadingWord returns the first word of a statement in upper case.
func leadingWord(s string) string {
	w := leadingWords(s, 1)
	if len(w) == 0 {
		return ""
	}
	return w[0]
}

// leadingWords returns up to n first words of a statement in upper case.
func leadingWords(s string, n int) []string {
	words := word.FindAllString(truncate(trimComments(s), summaryLimit), n)
	for i, w := range words {
		words[i] = strings.ToUpper(w)
	}
	return words
}

// requestTag returns the content of a leading endivemoor comment, or "".
func requestTag(s string) string {
	m := tagComment.FindStringSubmatch(s)
	if m == nil {
		return ""
	}
	return strings.TrimSpace(m[1])
}

// parameters returns the highest $n in s. A $n within a literal counts too.
func parameters(s string) int {
	highest := 0
	for _, m := range parameter.FindAllStringSubmatch(s, -1) {
		if n, err := strconv.Atoi(m[1]); err == nil {
			highest = max(highest, n)
		}
	}
	return highest
}

// split splits a simple query into its statements. SQLite determines where a statement is complete,
// so that a semicolon in a literal or a comment does not end it.
func split(s string) []string {
	var out []string
	for {
		end := completeAt(s)
		if end < 0 {
			break
		}
		out = appendStatement(out, s[:end])
		s = s[end:]
	}
	return appendStatement(out, s)
}

func appendStatement(out []string, s string) []string {
	if strings.Trim(trimComments(s), "; \t\r\n") == "" {
		return out
	}
	return append(out, s)
}

// completeAt returns the length of the first complete statement of s, or -1.
func completeAt(s string) int {
	tls := libc.NewTLS()
	defer tls.Close()
	for i := strings.IndexByte(s, ';'); i >= 0; {
		if isComplete(tls, s[:i+1]) {
			return i + 1
		}
		next := strings.IndexByte(s[i+1:], ';')
		if next < 0 {
			break
		}
		i += 1 + next
	}
	return -1
}

func isComplete(tls *libc.TLS, s string) bool {
	p, err := libc.CString(s)
	if err != nil {
		return false
	}
	defer libc.Xfree(tls, p)
	return sqlite3.Xsqlite3_complete(tls, p) != 0
}
