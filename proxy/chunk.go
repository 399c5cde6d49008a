package proxy

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"endivemoor.example/endivemoor/filter"
	"endivemoor.example/endivemoor/outcome"
)

// ending says what closed a chunk.
type ending uint8

const (
	endSync ending = iota
	endQuery
	endFlush
)

// chunk is what a caller sent up to a Sync, Query or Flush. Its messages are
// copies: the library's are valid only until the next one is read.
type chunk struct {
	msgs []pgproto3.FrontendMessage
	end  ending
	size int
	// statements are kept once they were read.
	statements []statement
	read       bool
}

// perMessage is counted for each message besides its content, in bytes.
const perMessage = 64

// add appends a copy of m.
func (c *chunk) add(m pgproto3.FrontendMessage) {
	switch m := m.(type) {
	case *pgproto3.Query:
		cp := *m
		c.msgs, c.size = append(c.msgs, &cp), c.size+len(m.String)
	case *pgproto3.Parse:
		cp := *m
		c.msgs, c.size = append(c.msgs, &cp), c.size+len(m.Query)
	case *pgproto3.Bind:
		cp := *m
		cp.Parameters = cloneAll(m.Parameters)
		c.msgs = append(c.msgs, &cp)
		for _, p := range cp.Parameters {
			c.size += len(p)
		}
	case *pgproto3.Describe:
		cp := *m
		c.msgs = append(c.msgs, &cp)
	case *pgproto3.Execute:
		cp := *m
		c.msgs = append(c.msgs, &cp)
	case *pgproto3.Close:
		cp := *m
		c.msgs = append(c.msgs, &cp)
	}
	c.size += perMessage
}

func cloneAll(params [][]byte) [][]byte {
	out := make([][]byte, len(params))
	for i, p := range params {
		out[i] = bytes.Clone(p)
	}
	return out
}

// executes reports whether the chunk runs a statement.
func (c *chunk) executes() bool {
	for _, m := range c.msgs {
		switch m.(type) {
		case *pgproto3.Query, *pgproto3.Execute:
			return true
		}
	}
	return false
}

// onlyCloses reports whether the chunk does nothing but forget statements.
func (c *chunk) onlyCloses() bool {
	for _, m := range c.msgs {
		if cl, ok := m.(*pgproto3.Close); !ok || cl.ObjectType != 'S' {
			return false
		}
	}
	return c.end == endSync
}

// readChunk reads the next chunk. Its error is errCallerGone or an
// *outcome.Error that ends the session.
func (s *caller) readChunk(w waitFor) (*chunk, error) {
	c := &chunk{}
	for {
		m, err := s.receive(w, len(c.msgs) == 0)
		if err != nil {
			return nil, err
		}
		switch m := m.(type) {
		case *pgproto3.Sync:
			c.end = endSync
			return c, s.checkStatements(c)
		case *pgproto3.Flush:
			c.end = endFlush
			return c, s.checkStatements(c)
		case *pgproto3.Query:
			c.add(m)
			c.end = endQuery
			return c, nil
		case *pgproto3.Terminate:
			return nil, errCallerGone
		case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
			// Ignored outside COPY, as the protocol says.
		case *pgproto3.FunctionCall:
			return nil, refuse(codeNotSupported, "function calls are not supported")
		default:
			c.add(m)
		}
		if c.size > s.srv.cfg.Limits.MaxBatch {
			return nil, refuse(outcome.CodeProgramLimit,
				fmt.Sprintf("batch exceeds the limit of %d bytes", s.srv.cfg.Limits.MaxBatch))
		}
	}
}

// readTags returns the tags of the statements, in order.
func readTags(statements []statement) ([]filter.Tag, *outcome.Error) {
	var tags []filter.Tag
	for _, st := range statements {
		tag, _, err := filter.ParseTag(st.sql)
		if err != nil {
			return nil, err
		}
		if !tag.IsZero() {
			tags = append(tags, tag)
		}
	}
	return tags, nil
}

// onlyTag returns the tag if the chunk is a simple query with nothing else.
func (c *chunk) onlyTag() (filter.Tag, bool) {
	if len(c.msgs) != 1 || c.end != endQuery {
		return filter.Tag{}, false
	}
	tag, rest, err := filter.ParseTag(c.msgs[0].(*pgproto3.Query).String)
	return tag, err == nil && !tag.IsZero() && strings.Trim(rest, " \t\r\n;") == ""
}
