package scenario

import (
	"bytes"
	"time"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/outcome"
	"endivemoor.example/endivemoor/profile"
	"endivemoor.example/endivemoor/session"
	"endivemoor.example/endivemoor/timeline"
)

// requestDeadline is the deadline of a request. callerGrace is how long after it the caller gives
// up on a proxy that does not answer.
const (
	requestDeadline = 2 * time.Second
	callerGrace     = 500 * time.Millisecond
)

// caller is one session of an application. It presents its token to each proxy that it uses, unless
// it has lost the token.
type caller struct {
	name  string
	token string
}

// access is the kind of a call: write or read.
type access uint8

const (
	accessWrite access = iota
	accessRead
)

// call is one request of a caller, with what the checkers need to know about it.
type call struct {
	id         int
	caller     *caller
	access     access
	op         string // operation name, for the matrix
	row        string
	key        string
	durability profile.Durability
	statements int
	proxy      string
	invoked    clock.Time
	deadline   clock.Time
	token      string             // session token sent with the request
	marks      session.Watermarks // marks that the proxy decoded from the token

	answered clock.Time // 0 until answered
	outcome  outcome.Outcome
	rows     int // number of rows that a read returned
	retry    time.Duration
	ackWait  time.Duration // from the commit to the acknowledgement
}

func (w *World) caller(name string) *caller {
	c := w.callers[name]
	if c == nil {
		c = &caller{name: name}
		w.callers[name] = c
	}
	return c
}

// request describes a call to make.
type request struct {
	op         string
	access     access
	row        string
	key        string
	durability profile.Durability
	statements int
}

// start sends a request through a VM's proxy. The answer is stored in the returned call.
func (w *World) start(name, vmName string, r request) *call {
	s := w.caller(name)
	w.nextID++
	c := &call{
		id: w.nextID, caller: s, access: r.access, op: r.op, row: r.row, key: r.key,
		durability: r.durability, statements: max(1, r.statements), proxy: vmName,
		invoked: w.now, deadline: w.now.Add(requestDeadline), token: s.token,
		marks: session.Watermarks{},
	}
	w.history = append(w.history, c)
	v := w.vm(vmName)
	w.at(w.now.Add(w.delay()), func() { w.arrive(c, v) })
	w.at(c.deadline.Add(callerGrace), func() { w.reply(c, outcome.Unknown, 0, 0) })
	return c
}

// arrive delivers a call to a proxy. When the proxy refuses the connection, the caller gets its
// answer immediately and knows that the request did not run.
func (w *World) arrive(c *call, v *vm) {
	if !v.up || v.proxy.refuses() {
		w.reply(c, outcome.NotRun, 0, time.Second)
		return
	}
	w.runOn(v.node, v.epoch, func() {
		if !w.readToken(c) {
			w.reply(c, outcome.NotRun, 0, 0)
			return
		}
		v.proxy.serve(c)
	})
}

// epoch is the wall clock at the start of virtual time.
var epoch = time.Unix(1_800_000_000, 0)

func (w *World) wallClock() time.Time { return epoch.Add(w.now.Sub(startOfTime)) }

// readToken verifies the caller's token, as a proxy does at connect. An invalid token makes the
// proxy refuse the connection before anything has run.
func (w *World) readToken(c *call) bool {
	if c.token == "" {
		return true
	}
	marks, err := w.keys.Verify(c.token, c.caller.name, w.wallClock())
	if err != nil {
		w.logf("%s: %v", c.caller.name, err)
		return false
	}
	c.marks = marks
	return true
}

// issueToken issues the session a token that covers a write.
func (w *World) issueToken(c *call, pos timeline.Position) {
	marks := session.Watermarks{}
	if old, err := w.keys.Verify(c.caller.token, c.caller.name, w.wallClock()); err == nil {
		marks.Merge(old)
	}
	marks.Raise(groupName, pos)
	token, err := w.keys.Issue(c.caller.name, marks, w.wallClock())
	if err != nil {
		panic(err) // a token for one group is always short enough
	}
	c.caller.token = token
}

// newKeys returns the signing keys of a world.
func newKeys() *session.Keys {
	keys, err := session.NewKeys("k1", map[string][]byte{"k1": secret("k1")})
	if err != nil {
		panic(err) // the secret is long enough
	}
	return keys
}

func secret(id string) []byte {
	return bytes.Repeat([]byte(id), session.MinKeyBytes)
}

// reply delivers the answer to the caller; only the first answer counts.
func (w *World) reply(c *call, o outcome.Outcome, rows int, retry time.Duration) {
	if c.answered != 0 {
		return
	}
	c.answered = w.now
	c.outcome = o
	c.rows = rows
	c.retry = retry
	w.logCall(c)
}

func (w *World) logCall(c *call) {
	if c.access == accessRead {
		w.logf("%s read %s at %s: %s rows=%d", c.caller.name, c.row, c.proxy, c.outcome, c.rows)
		return
	}
	w.logf("%s %s %s%s at %s: %s", c.caller.name, c.op, c.row, keyNote(c), c.proxy, c.outcome)
}

func keyNote(c *call) string {
	if c.key == "" {
		return ""
	}
	return " key=" + c.key
}
