package dbd

import (
	"context"
	"encoding/json"
	"regexp"
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgtype"

	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
)

// controlCallPattern matches a call of a control function and captures its name and its arguments.
var controlCallPattern = regexp.MustCompile(`(?is)^SELECT\s+(?:\*\s+FROM\s+)?endivemoor_(status|fence|promote|follow|history|log)\(([^()]*)\)\s*;?\s*$`)

var (
	statusColumns = []column{
		{"server", pgtype.TextOID},
		{"role", pgtype.TextOID},
		{"term", pgtype.Int8OID},
		{"promised", pgtype.Int8OID},
		{"lsn", pgtype.Int8OID},
		{"start_lsn", pgtype.Int8OID},
	}
	discardedColumns = []column{{"term", pgtype.Int8OID}, {"lsn", pgtype.Int8OID}, {"statement", pgtype.TextOID}}
	historyColumns   = []column{{"term", pgtype.Int8OID}, {"start_lsn", pgtype.Int8OID}, {"end_lsn", pgtype.Int8OID}}
	entryColumns     = []column{
		{"term", pgtype.Int8OID},
		{"lsn", pgtype.Int8OID},
		{"committed_micros", pgtype.Int8OID},
		{"statements", pgtype.TextOID},
	}
)

// controlColumns holds the result columns of each control function.
var controlColumns = map[string][]column{
	"status":  statusColumns,
	"fence":   statusColumns,
	"promote": statusColumns,
	"follow":  discardedColumns,
	"history": historyColumns,
	"log":     entryColumns,
}

// callArity is the number of arguments of each control function.
var callArity = map[string]int{"status": 0, "fence": 1, "promote": 1, "follow": 2, "history": 1, "log": 3}

// controlName returns the name of the control function that a statement calls, and its arguments as
// written. ok is false if the statement calls none.
func controlName(text string) (name string, args []string, ok bool) {
	m := controlCallPattern.FindStringSubmatch(trimComments(text))
	if m == nil {
		return "", nil, false
	}
	if inner := strings.TrimSpace(m[2]); inner != "" {
		args = strings.Split(inner, ",")
	}
	return strings.ToLower(m[1]), args, true
}

// columns returns the result columns of a statement without running it.
func (x *session) columns(text string) ([]column, error) {
	if name, _, ok := controlName(text); ok {
		return controlColumns[name], nil
	}
	if text == "" {
		return nil, nil
	}
	switch leadingWord(text) {
	case verbBegin, verbStart, verbCommit, verbEnd, verbRollback, verbAbort, verbSavepoint, verbRelease,
		verbSet, verbReset, verbDiscard, verbDeallocate:
		return nil, nil
	case verbShow:
		res, err := x.show(text)
		if err != nil {
			return nil, err
		}
		return res.cols, nil
	}
	return readStorage(x.srv.node, func(e *engine) ([]column, error) { return e.columns(x.srv.ctx, text) })
}

// controlCall runs the control function that the statement calls; its last result is false if the
// statement calls none. It takes no statement slot, so that a saturated server still answers.
func (x *session) controlCall(ctx context.Context, s Statement) (*result, error, bool) {
	name, written, ok := controlName(s.SQL)
	if !ok {
		return nil, nil, false
	}
	args, err := callArguments(name, written, s.Args)
	if err != nil {
		return nil, err, true
	}
	res, err := x.call(ctx, name, args)
	if err != nil {
		return nil, err, true
	}
	res.cols = controlColumns[name]
	res.tag = commandTag(s.SQL, res)
	return res, nil, true
}

// callArguments replaces each $n by its parameter and strips the quotes of literals.
func callArguments(name string, written []string, params []Value) ([]string, error) {
	if len(written) != callArity[name] {
		return nil, sqlErrorf(codeInvalidParameter, "endivemoor_%s takes %d arguments", name, callArity[name])
	}
	out := make([]string, len(written))
	for i, w := range written {
		w = strings.TrimSpace(w)
		n, err := strconv.Atoi(strings.TrimPrefix(w, "$"))
		switch {
		case strings.HasPrefix(w, "$") && err == nil && n >= 1 && n <= len(params):
			out[i] = params[n-1].String()
		default:
			out[i] = strings.Trim(w, "'")
		}
	}
	return out, nil
}

func (x *session) call(ctx context.Context, name string, args []string) (*result, error) {
	n := x.srv.node
	if name == "status" {
		return statusResult(n.status(), nil)
	}
	if name == "log" {
		return x.callLog(ctx, args)
	}
	term, err := parseTerm(args[len(args)-1])
	if err != nil {
		return nil, err
	}
	switch name {
	case "fence":
		return statusResult(n.fence(term))
	case "promote":
		return statusResult(n.promote(term))
	case "follow":
		return discardedResult(n.follow(ctx, args[0], term))
	default:
		return historyResult(n.history(term))
	}
}

func (x *session) callLog(ctx context.Context, args []string) (*result, error) {
	var n [3]uint64
	for i, a := range args {
		v, err := strconv.ParseUint(a, 10, 64)
		if err != nil {
			return nil, sqlErrorf(codeInvalidParameter, "%q is not a number", a)
		}
		n[i] = v
	}
	have := timeline.Position{Term: timeline.Term(n[0]), LSN: timeline.LSN(n[1])}
	entries, err := x.srv.node.entriesAfter(ctx, have, timeline.Term(n[2]))
	if err != nil {
		return nil, err
	}
	res := &result{}
	for _, e := range entries {
		text, err := json.Marshal(e.Statements)
		if err != nil {
			return nil, err
		}
		res.rows = append(res.rows, []any{int64(e.Position.Term), int64(e.Position.LSN), e.CommittedMicros, string(text)})
	}
	return res, nil
}

func parseTerm(s string) (timeline.Term, error) {
	n, err := strconv.ParseUint(s, 10, 63)
	if err != nil {
		return 0, sqlErrorf(codeInvalidParameter, "%q is not a term", s)
	}
	return timeline.Term(n), nil
}

func statusResult(s target.Status, err error) (*result, error) {
	if err != nil {
		return nil, err
	}
	row := []any{string(s.Server), s.Role.String(), int64(s.Term), int64(s.Promised), int64(s.LSN), int64(s.Start)}
	return &result{rows: [][]any{row}}, nil
}

func discardedResult(entries []target.Entry, err error) (*result, error) {
	if err != nil {
		return nil, err
	}
	res := &result{}
	for _, e := range entries {
		res.rows = append(res.rows, []any{int64(e.Position.Term), int64(e.Position.LSN), e.Statement})
	}
	return res, nil
}

func historyResult(h primaryHistory, err error) (*result, error) {
	if err != nil {
		return nil, err
	}
	res := &result{}
	for _, s := range h.starts {
		res.rows = append(res.rows, []any{int64(s.Term), int64(s.LSN), int64(h.end)})
	}
	return res, nil
}
