package dbd

import (
	"net/url"
	"sync"

	"endivemoor.example/endivemoor/target"
	"endivemoor.example/endivemoor/timeline"
)

// Ends of a write transaction in the execution log.
const (
	// EndCommitted is a transaction that has an entry in the log.
	EndCommitted = "committed"
	// EndRolledBack is one that its caller, its connection's end or a fence
	// took back.
	EndRolledBack = "rolled-back"
)

// executionLimit bounds the execution log; later ones are counted as dropped.
const executionLimit = 200_000

// Execution is one write transaction as this server saw it: evidence for who
// judges whether a request ran, did not run, ran twice or was mixed.
type Execution struct {
	Server target.ID `json:"server"`
	// Transaction numbers the write transactions of this server from 1.
	Transaction uint64 `json:"transaction"`
	// Backend is the process number of the connection.
	Backend     uint32            `json:"backend"`
	Application string            `json:"application"`
	End         string            `json:"end"`
	Position    timeline.Position `json:"position"`
	// Kind and Key come from the request tag, if a statement carried one.
	Kind string `json:"kind,omitempty"`
	Key  string `json:"key,omitempty"`
	// Statements lists all that ran in the transaction, with parameters, each
	// cut to 256 bytes.
	Statements []string `json:"statements"`
}

// addStatement notes one statement and its tag.
func (e *Execution) addStatement(s Statement) {
	e.Statements = append(e.Statements, summarize([]Statement{s}))
	tag, err := url.ParseQuery(tagOf(s.SQL))
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

// executionLog keeps the executions of one server.
type executionLog struct {
	mu      sync.Mutex
	list    []Execution
	dropped uint64
	last    uint64
}

// begin numbers a transaction.
func (l *executionLog) begin() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.last++
	return l.last
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
