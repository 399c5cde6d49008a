package dbd

import (
	"maps"
	"regexp"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
)

// settings are a session's run-time parameters. They have no meaning here but
// for application_name; they are kept so that a test can see whether a proxy
// lets one caller's settings reach the next.
type settings struct {
	// initial is what the startup message set; a reset returns to it.
	initial map[string]string
	current map[string]string
	// before is the state at BEGIN, which a rollback returns to.
	before map[string]string
	// local is the state that the end of a block returns to, after SET LOCAL.
	local map[string]string
}

var (
	setStatement   = regexp.MustCompile(`(?is)^SET\s+(?:(SESSION|LOCAL)\s+)?([a-z_.]+)\s*(?:=|\s+TO\s)\s*(.*?)\s*;?\s*$`)
	showStatement  = regexp.MustCompile(`(?is)^SHOW\s+([a-z_.]+)\s*;?\s*$`)
	resetStatement = regexp.MustCompile(`(?is)^RESET\s+([a-z_.]+)\s*;?\s*$`)
)

// reported names the parameters whose change the protocol reports, in the
// spelling of the report.
var reported = map[string]string{
	"application_name": "application_name",
	"client_encoding":  "client_encoding",
	"datestyle":        "DateStyle",
	"timezone":         "TimeZone",
}

const (
	applicationName = "application_name"
	// transactionReadOnly can be shown, and follows the server's role.
	transactionReadOnly = "transaction_read_only"
	defaultValue        = "default"
)

func newSettings(startup map[string]string) settings {
	initial := map[string]string{
		"client_encoding": "UTF8",
		"datestyle":       "ISO, MDY",
		"timezone":        "UTC",
		applicationName:   "",
	}
	for k, v := range startup {
		if k != "user" && k != "database" {
			initial[strings.ToLower(k)] = v
		}
	}
	return settings{initial: initial, current: maps.Clone(initial)}
}

// set executes SET. A form that it does not know, such as SET SESSION
// CHARACTERISTICS, is accepted without effect.
func (x *session) set(text string) {
	m := setStatement.FindStringSubmatch(bare(text))
	if m == nil {
		return
	}
	name, value := strings.ToLower(m[2]), strings.Trim(m[3], `'"`)
	if strings.EqualFold(m[1], "LOCAL") {
		if !x.tx.block {
			return
		}
		if x.settings.local == nil {
			x.settings.local = maps.Clone(x.settings.current)
		}
	}
	if strings.EqualFold(value, defaultValue) {
		value = x.settings.initial[name]
	}
	x.settings.current[name] = value
	x.report(name)
}

// reset executes RESET name and RESET ALL.
func (x *session) reset(text string) {
	m := resetStatement.FindStringSubmatch(bare(text))
	if m == nil {
		return
	}
	if name := strings.ToLower(m[1]); name != "all" {
		x.settings.current[name] = x.settings.initial[name]
		x.report(name)
		return
	}
	x.restore(x.settings.initial)
}

// restore makes a remembered state current again.
func (x *session) restore(to map[string]string) {
	from := x.settings.current
	x.settings.current = maps.Clone(to)
	for name := range reported {
		if from[name] != to[name] {
			x.report(name)
		}
	}
}

// report tells the client of a changed parameter, if the protocol asks for it.
func (x *session) report(name string) {
	value := x.settings.current[name]
	if name == applicationName {
		x.application = value
		x.conn.setApplication(value)
	}
	if spelling, ok := reported[name]; ok {
		x.be.Send(&pgproto3.ParameterStatus{Name: spelling, Value: value})
	}
}

// show executes SHOW.
func (x *session) show(text string) (*result, error) {
	m := showStatement.FindStringSubmatch(bare(text))
	if m == nil {
		return nil, failure(codeSyntax, "cannot show that")
	}
	name := strings.ToLower(m[1])
	value, known := x.settings.current[name]
	if name == transactionReadOnly {
		value, known = x.readOnlyValue(), true
	}
	if !known {
		return nil, failure(codeUndefinedObject, "unrecognized configuration parameter %q", name)
	}
	return &result{cols: []column{{name: name}}, rows: [][]any{{value}}, tag: verbShow}, nil
}

func (x *session) readOnlyValue() string {
	if _, _, ok := x.srv.node.writable(); ok {
		return "off"
	}
	return "on"
}

// settingsAtBegin remembers what a rollback returns to.
func (x *session) settingsAtBegin() {
	x.settings.before = maps.Clone(x.settings.current)
	x.settings.local = nil
}

// settingsAtEnd takes back what a block's end takes back.
func (x *session) settingsAtEnd(committed bool) {
	switch {
	case x.settings.before == nil:
		return
	case !committed:
		x.restore(x.settings.before)
	case x.settings.local != nil:
		x.restore(x.settings.local)
	}
	x.settings.before, x.settings.local = nil, nil
}
