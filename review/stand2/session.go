package main

import (
	"fmt"
	"net"

	"endivemoor.example/endivemoor/platform/standin/consumer"
)

// session is a consumer's session whose statements are recorded.
type session struct {
	*consumer.Session
	name string
	rec  *record
	next int
}

func open(rec *record, addr, name, database string) (*session, error) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	s, a := consumer.Open(conn, name+".", database)
	if !a.OK() {
		return nil, fmt.Errorf("session %s was refused: %s %s", name, a.Code, a.Text)
	}
	return &session{Session: s, name: name, rec: rec}, nil
}

// query sends a statement and waits for its answer. A successful answer names the server that gave it.
func (s *session) query(text string) consumer.Answer {
	s.next++
	s.rec.line("sent %s.%d %s", s.name, s.next, text)
	a := s.Query(text)
	s.rec.line("answered %s.%d code=%q text=%q rows=%q position=%s lost=%t", s.name, s.next, a.Code, a.Text, a.Rows, a.Position, a.Lost)
	return a
}
