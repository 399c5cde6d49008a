package ctl

import (
	"context"
	"io/fs"

	"github.com/pkg/errors"

	drainstore "endivemoor.example/endivemoor/drain/store"
	"endivemoor.example/endivemoor/finding"
	"endivemoor.example/endivemoor/publication"
	pubstore "endivemoor.example/endivemoor/publication/store"
	"endivemoor.example/endivemoor/store"
)

// ExitCode is the exit status of a command.
type ExitCode int

const (
	// ExitDone: the command succeeded.
	ExitDone ExitCode = 0
	// ExitRefused: a rule or another operator's change forbids the command, or a check found the
	// audit trail damaged. Nothing was changed.
	ExitRefused ExitCode = 1
	// ExitBadInput: the arguments are invalid or a text has findings. Nothing was changed.
	ExitBadInput ExitCode = 2
	// ExitUnavailable: the platform or a daemon did not answer. Nothing was changed.
	ExitUnavailable ExitCode = 3
	// ExitUnknown: a change was sent and no answer arrived, so it may have taken effect. The
	// operator must check the state before trying again.
	ExitUnknown ExitCode = 4
)

// inputError is an error in the arguments.
type inputError struct{ message string }

func (e *inputError) Error() string { return e.message }

// refusedError is the error of a command that a rule or the state found forbids.
type refusedError struct{ message string }

func (e *refusedError) Error() string { return e.message }

func codeOf(err error) ExitCode {
	if err == nil {
		return ExitDone
	}
	for _, rule := range exitRules {
		if rule.is(err) {
			return rule.code
		}
	}
	return ExitRefused
}

type exitRule struct {
	code ExitCode
	is   func(error) bool
}

// exitRules are tried in order. Only a change of the command itself may have an unknown outcome: if
// the store stops answering while an earlier command's entry is being recovered, this command has
// changed nothing.
var exitRules = []exitRule{
	{ExitUnknown, isType[*pubstore.UnknownError]},
	{ExitUnknown, isType[*drainstore.UnknownError]},
	{ExitUnknown, isType[*unknownRecordError]},
	{ExitBadInput, isType[finding.Findings]},
	{ExitBadInput, isType[*inputError]},
	{ExitBadInput, isType[*fs.PathError]},
	{ExitBadInput, isCheck},
	{ExitRefused, isType[*publication.RefusedError]},
	{ExitUnavailable, isUnavailable},
}

func isType[E error](err error) bool {
	var as E
	return errors.As(err, &as)
}

func isCheck(err error) bool {
	var refused *publication.RefusedError
	return errors.As(err, &refused) && (refused.Rule == publication.RuleChecked || refused.Rule == publication.RuleActor || refused.Rule == publication.RuleReason)
}

func isUnavailable(err error) bool {
	return errors.Is(err, store.ErrUnavailable) || errors.Is(err, store.ErrNoAnswer) ||
		errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) || isType[*daemonError](err)
}
