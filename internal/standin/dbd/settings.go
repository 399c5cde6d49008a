package dbd

import (
	"maps"
	"regexp"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
)

// settings are the run-time parameters of a session. Only application_name has an effect on this
// server; the others let a test check that a proxy does not pass the settings of one caller on to
// the next.
type settings struct {
	// initial holds the values of the startup message, which RESET restores.
	initial map[string]string
	current map[string]string
	// atBegin holds the values at BEGIN, which a rollback restores; nil outside a block.
	atBegin map[string]string
	// beforeLocal holds the values before the first SET LOCAL of a block, which COMMIT restores.
	beforeLocal map[string]string
}

var (
	setStatement   = regexp.MustCompile(`(?is)^SET\s+(?:(SESSION|LOCAL)\s+)?([a-z_.]+)\s*(?:=|\s+TO\s)\s*(.*?)\s*;?\s*$`)
	showStatement  = regexp.MustCompile(`(?is)^SHOW\s+([a-z_.]+)\s*;?\s*$`)
	resetStatement = regexp.MustCompile(`(?is)^RESET\s+([a-z_.]+)\s*;?\s*$`)
)

// reportedParameters maps the parameters whose changes are reported to the client to their spelling
// in the report.
var reportedParameters = map[string]string{
	"application_name": "application_name",
	"client_encoding":  "client_encoding",
	"datestyle":        "DateStyle",
	"timezone":         "TimeZone",
}

const (
	applicationName = "application_name"
	// transactionReadOnly can be shown; its value depends on the server's role.
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

// set executes SET. Unsupported forms, such as SET SESSION CHARACTERISTICS, are accepted without
// effect.
func (x *session) set(text string) {
	m := setStatement.FindStringSubmatch(trimComments(text))
	if m == nil {
		return
	}
	name, value := strings.ToLower(m[2]), strings.Trim(m[3], `'"`)
	if strings.EqualFold(m[1], "LOCAL") {
		if !x.tx.inBlock {
			return
		}
		if x.settings.beforeLocal == nil {
			x.settings.beforeLocal = maps.Clone(x.settings.current)
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
	m := resetStatement.FindStringSubmatch(trimComments(text))
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

// restore replaces the current values by saved ones and reports the changes.
func (x *session) restore(to map[string]string) {
	from := x.settings.current
	x.settings.current = maps.Clone(to)
	for name := range reportedParameters {
		if from[name] != to[name] {
			x.report(name)
		}
	}
}

// report applies a changed parameter and reports it to the client if the protocol requires it.
func (x *session) report(name string) {
	value := x.settings.current[name]
	if name == applicationName {
		x.application = value
		x.conn.setApplication(value)
	}
	if spelling, ok := reportedParameters[name]; ok {
		x.be.Send(&pgproto3.ParameterStatus{Name: spelling, Value: value})
	}
}

// show executes SHOW.
func (x *session) show(text string) (*result, error) {
	m := showStatement.FindStringSubmatch(trimComments(text))
	if m == nil {
		return nil, sqlErrorf(codeSyntax, "cannot show that")
	}
	name := strings.ToLower(m[1])
	value, known := x.settings.current[name]
	if name == transactionReadOnly {
		value, known = x.readOnlyValue(), true
	}
	if !known {
		return nil, sqlErrorf(codeUndefinedObject, "unrecognized configuration parameter %q", name)
	}
	return &result{cols: []column{{name: name}}, rows: [][]any{{value}}, tag: verbShow}, nil
}

func (x *session) readOnlyValue() string {
	if _, _, ok := x.srv.node.writable(); ok {
		return "off"
	}
	return "on"
}

// saveSettings saves the values at the start of a block.
func (x *session) saveSettings() {
	x.settings.atBegin = maps.Clone(x.settings.current)
	x.settings.beforeLocal = nil
}

// endBlockSettings restores the values that the end of a block undoes: all changes since BEGIN
// after a rollback, and those since the first SET LOCAL after a commit.
func (x *session) endBlockSettings(committed bool) {
	switch {
	case x.settings.atBegin == nil:
		return
	case !committed:
		x.restore(x.settings.atBegin)
	case x.settings.beforeLocal != nil:
		x.restore(x.settings.beforeLocal)
	}
	x.settings.atBegin, x.settings.beforeLocal = nil, nil
}
