package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/pkg/errors"

	auditlog "endivemoor.example/endivemoor/audit/log"
	drainstore "endivemoor.example/endivemoor/drain/store"
	pubstore "endivemoor.example/endivemoor/publication/store"
	"endivemoor.example/endivemoor/store"
	"endivemoor.example/endivemoor/store/client"
)

const formJSON = "json"

// callTimeout bounds one call to the platform, so that a command has time to
// read a lost answer back.
const callTimeout = 3 * time.Second

// runner is what commands need.
type runner struct {
	ctx      context.Context
	out      io.Writer
	form     string
	actor    string
	daemons  []string
	platform store.Store
}

func newRunner(ctx context.Context, c *cli, out io.Writer) (*runner, error) {
	p, err := client.New(c.Platform, client.Options{Timeout: min(callTimeout, c.Timeout)})
	if err != nil {
		return nil, &inputError{message: err.Error()}
	}
	return &runner{ctx: ctx, out: out, form: c.Output, actor: strings.TrimSpace(c.Actor), daemons: c.Daemon, platform: p}, nil
}

func (r *runner) profiles() *pubstore.Store { return pubstore.New(r.platform, time.Now) }
func (r *runner) drains() *drainstore.Store { return drainstore.New(r.platform, time.Now) }
func (r *runner) trail() *auditlog.Log      { return auditlog.New(r.platform) }

// by returns who acts and why, both of which a change must have.
func (r *runner) by(reason string) (pubstore.By, error) {
	if r.actor == "" {
		return pubstore.By{}, &inputError{message: "name who acts by --actor or ENDIVEMOOR_ACTOR"}
	}
	if strings.TrimSpace(reason) == "" {
		return pubstore.By{}, &inputError{message: "give a --reason"}
	}
	return pubstore.By{Actor: r.actor, Reason: reason}, nil
}

// print writes v as JSON, or what text writes.
func (r *runner) print(v any, text func(w io.Writer)) error {
	if r.form != formJSON {
		text(r.out)
		return nil
	}
	enc := json.NewEncoder(r.out)
	enc.SetIndent("", "  ")
	enc.SetEscapeHTML(false)
	return errors.Wrap(enc.Encode(v), "write")
}

// lines writes the items one a line.
func lines[T fmt.Stringer](w io.Writer, items []T) {
	for _, item := range items {
		fmt.Fprintln(w, item)
	}
}

// list gives an empty JSON list instead of null.
func list[T any](items []T) []T {
	if items == nil {
		return []T{}
	}
	return items
}
