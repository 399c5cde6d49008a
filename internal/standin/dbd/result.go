package dbd

import (
	"context"
	"database/sql"
	"fmt"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"
	"github.com/pkg/errors"
)

// result is the complete result of one statement, held in memory.
type result struct {
	cols []column
	rows [][]any
	// changes is the number of rows that an INSERT, UPDATE or DELETE has changed.
	changes int64
	tag     string
}

// Statement verbs that the server distinguishes: those of transaction control and of session
// settings, and those whose command tag has a count.
const (
	verbBegin      = "BEGIN"
	verbStart      = "START"
	verbCommit     = "COMMIT"
	verbEnd        = "END"
	verbRollback   = "ROLLBACK"
	verbAbort      = "ABORT"
	verbSavepoint  = "SAVEPOINT"
	verbRelease    = "RELEASE"
	verbSet        = "SET"
	verbShow       = "SHOW"
	verbReset      = "RESET"
	verbDiscard    = "DISCARD"
	verbDeallocate = "DEALLOCATE"
	verbCreate     = "CREATE"
	verbInsert     = "INSERT"
	verbUpdate     = "UPDATE"
	verbDelete     = "DELETE"
	verbSelect     = "SELECT"
	verbWith       = "WITH"
	verbValues     = "VALUES"
)

// query runs one statement on conn and reads its whole result.
func query(ctx context.Context, conn *sql.Conn, s Statement) (*result, error) {
	rows, err := conn.QueryContext(ctx, s.SQL, driverArgs(s.Args)...)
	if err != nil {
		return nil, err
	}
	defer func() { _ = rows.Close() }()
	res, err := readRows(rows)
	if err != nil {
		return nil, err
	}
	if err := rows.Close(); err != nil {
		return nil, err
	}
	verb := leadingWord(s.SQL)
	if verb == verbInsert || verb == verbUpdate || verb == verbDelete {
		err = conn.QueryRowContext(ctx, "SELECT changes()").Scan(&res.changes)
	}
	res.tag = commandTag(s.SQL, res)
	return res, err
}

func readRows(rows *sql.Rows) (*result, error) {
	types, err := rows.ColumnTypes()
	if err != nil {
		return nil, errors.Wrap(err, "read column types")
	}
	res := &result{}
	for _, t := range types {
		res.cols = append(res.cols, column{name: t.Name(), oid: typeOID(t.DatabaseTypeName())})
	}
	for rows.Next() {
		row := make([]any, len(types))
		into := make([]any, len(types))
		for i := range row {
			into[i] = &row[i]
		}
		if err := rows.Scan(into...); err != nil {
			return nil, errors.Wrap(err, "read a row")
		}
		res.rows = append(res.rows, row)
	}
	return res, rows.Err()
}

// commandTag returns the command tag of the statement for CommandComplete.
func commandTag(sqlText string, r *result) string {
	words := leadingWords(sqlText, 2)
	switch {
	case len(words) == 0:
		return ""
	case words[0] == verbInsert:
		return fmt.Sprintf("INSERT 0 %d", r.changes)
	case words[0] == verbUpdate, words[0] == verbDelete:
		return fmt.Sprintf("%s %d", words[0], r.changes)
	case words[0] == verbSelect, words[0] == verbWith, words[0] == verbValues:
		return fmt.Sprintf("SELECT %d", len(r.rows))
	default:
		return strings.Join(words, " ")
	}
}

// typeOID maps a column's declared SQLite type to a PostgreSQL type. Expressions have no declared
// type: for them it returns zero, and the client decodes the text to the type that it needs.
func typeOID(declared string) uint32 {
	switch strings.ToUpper(declared) {
	case "INTEGER", "INT", "BIGINT":
		return pgtype.Int8OID
	case "REAL", "DOUBLE PRECISION":
		return pgtype.Float8OID
	case "BLOB", "BYTEA":
		return pgtype.ByteaOID
	case "TEXT", "VARCHAR":
		return pgtype.TextOID
	default:
		return 0
	}
}

// rowDescription describes cols in the formats that the client has requested.
func rowDescription(cols []column, formats []int16) *pgproto3.RowDescription {
	d := &pgproto3.RowDescription{}
	for i, c := range cols {
		d.Fields = append(d.Fields, pgproto3.FieldDescription{
			Name:         []byte(c.name),
			DataTypeOID:  c.oid,
			DataTypeSize: -1,
			TypeModifier: -1,
			Format:       formatOf(formats, i),
		})
	}
	return d
}

// formatOf returns the format of value i by the protocol's rule: no format code means text for all,
// and a single one applies to all.
func formatOf(formats []int16, i int) int16 {
	switch {
	case len(formats) == 0:
		return pgtype.TextFormatCode
	case len(formats) == 1:
		return formats[0]
	case i < len(formats):
		return formats[i]
	default:
		return pgtype.TextFormatCode
	}
}

// dataRow encodes one row.
func dataRow(m *pgtype.Map, cols []column, row []any, formats []int16) (*pgproto3.DataRow, error) {
	d := &pgproto3.DataRow{Values: make([][]byte, len(row))}
	for i, v := range row {
		b, err := encode(m, cols[i].oid, formatOf(formats, i), v)
		if err != nil {
			return nil, errors.Wrapf(err, "encode column %q", cols[i].name)
		}
		d.Values[i] = b
	}
	return d, nil
}

func encode(m *pgtype.Map, oid uint32, format int16, v any) ([]byte, error) {
	if v == nil {
		return nil, nil
	}
	if oid == pgtype.ByteaOID {
		if s, ok := v.(string); ok {
			v = []byte(s)
		}
	}
	if format == pgtype.BinaryFormatCode {
		return m.Encode(oid, format, v, []byte{})
	}
	switch t := v.(type) {
	case string:
		return []byte(t), nil
	case []byte:
		return m.Encode(pgtype.ByteaOID, format, t, []byte{})
	default:
		return []byte(sprint(t)), nil
	}
}

func sprint(v any) string { return fmt.Sprint(v) }

// decode converts a parameter of the wire protocol to a Value. Parameters in text format, other
// than BYTEA, stay text: SQLite converts them by the type of the column.
func decode(m *pgtype.Map, oid uint32, format int16, src []byte) (Value, error) {
	if src == nil {
		return Value{}, nil
	}
	if oid == pgtype.ByteaOID {
		var b []byte
		err := m.Scan(oid, format, src, &b)
		return Value{Blob: b}, err
	}
	if format == pgtype.TextFormatCode {
		s := string(src)
		return Value{Text: &s}, nil
	}
	t, ok := m.TypeForOID(oid)
	if !ok {
		return Value{}, errors.Errorf("binary parameter of unknown type %d", oid)
	}
	v, err := t.Codec.DecodeValue(m, oid, format, src)
	if err != nil {
		return Value{}, err
	}
	return valueOf(v), nil
}

func valueOf(v any) Value {
	switch n := v.(type) {
	case int16:
		i := int64(n)
		return Value{Int: &i}
	case int32:
		i := int64(n)
		return Value{Int: &i}
	case int64:
		return Value{Int: &n}
	case float32:
		f := float64(n)
		return Value{Float: &f}
	case float64:
		return Value{Float: &n}
	case bool:
		i := int64(0)
		if n {
			i = 1
		}
		return Value{Int: &i}
	default:
		s := sprint(v)
		return Value{Text: &s}
	}
}
