package proxy

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"endivemoor.example/endivemoor/filter"
	"endivemoor.example/endivemoor/outcome"
)

// chunkEnd is the kind of message that ended a chunk.
type chunkEnd uint8

const (
	endSync chunkEnd = iota
	endQuery
	endFlush
)

// chunk holds the messages that a caller sent up to a Sync, Query or Flush. They are copies, since
// pgproto3 reuses its messages on the next read.
type chunk struct {
	msgs []pgproto3.FrontendMessage
	end  chunkEnd
	size int
	// statements is a cache; it is valid if read is set.
	statements []statement
	read       bool
}

// messageOverhead is counted for each message in addition to its content, in bytes.
const messageOverhead = 64

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
	c.size += messageOverhead
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

// onlyCloses reports whether the chunk only closes prepared statements.
func (c *chunk) onlyCloses() bool {
	for _, m := range c.msgs {
		if cl, ok := m.(*pgproto3.Close); !ok || cl.ObjectType != 'S' {
			return false
		}
	}
	return c.end == endSync
}

// readChunk reads the next chunk. Its error is errCallerDisconnected or an *outcome.Error that ends
// the session.
func (s *caller) readChunk(w waitState) (*chunk, error) {
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
			return nil, errCallerDisconnected
		case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
			// The protocol requires that these messages be ignored outside COPY.
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

// onlyTag returns the tag if the chunk is a simple query that consists of the tag alone.
func (c *chunk) onlyTag() (filter.Tag, bool) {
	if len(c.msgs) != 1 || c.end != endQuery {
		return filter.Tag{}, false
	}
	tag, rest, err := filter.ParseTag(c.msgs[0].(*pgproto3.Query).String)
	return tag, err == nil && !tag.IsZero() && strings.Trim(rest, " \t\r\n;") == ""
}
