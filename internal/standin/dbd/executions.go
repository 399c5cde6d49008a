package dbd

import (
	"net/url"
	"sync"

	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
)

// Values of Execution.End.
const (
	// EndCommitted marks a transaction that was committed.
	EndCommitted = "committed"
	// EndRolledBack marks a transaction that was rolled back by its client, by the end of its
	// connection or by a fence.
	EndRolledBack = "rolled-back"
)

// executionLimit bounds the execution log; later transactions are only counted, as dropped.
const executionLimit = 200_000

// Execution records one write transaction of this server. From these records a checker establishes
// whether a request ran once, twice or not at all, or in one transaction with statements of another
// caller.
type Execution struct {
	Server target.ID `json:"server"`
	// Transaction numbers the write transactions of this server from 1.
	Transaction uint64 `json:"transaction"`
	// Backend is the process ID that the server gave the connection.
	Backend     uint32            `json:"backend"`
	Application string            `json:"application"`
	End         string            `json:"end"`
	Position    timeline.Position `json:"position"`
	// Kind and Key come from the request tag, if a statement has one.
	Kind string `json:"kind,omitempty"`
	Key  string `json:"key,omitempty"`
	// Statements lists the statements that ran in the transaction, with parameters, each truncated
	// to 256 bytes.
	Statements []string `json:"statements"`
}

// addStatement records one statement and its request tag.
func (e *Execution) addStatement(s Statement) {
	e.Statements = append(e.Statements, summarize([]Statement{s}))
	tag, err := url.ParseQuery(requestTag(s.SQL))
	if err != nil {
		return
	}
	if k := tag.Get("key"); k != "" && e.Key == "" {
		e.Key = k
	}
	if k := tag.Get("kind"); k != "" && e.Kind == "" {
		e.Kind = k
	}
}

// executionLog holds the executions of one server.
type executionLog struct {
	mu              sync.Mutex
	list            []Execution
	dropped         uint64
	lastTransaction uint64
}

// nextTransaction returns the number of a new write transaction.
func (l *executionLog) nextTransaction() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastTransaction++
	return l.lastTransaction
}

func (l *executionLog) add(e Execution) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.list) >= executionLimit {
		l.dropped++
		return
	}
	l.list = append(l.list, e)
}

func (l *executionLog) all() []Execution {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Execution(nil), l.list...)
}
