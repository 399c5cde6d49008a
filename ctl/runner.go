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

const outputJSON = "json"

// callTimeout limits one call to the platform, so that a command has time to read back the result
// of a call whose answer was lost.
const callTimeout = 3 * time.Second

// runner holds what commands share: the output, the actor, and access to the platform and the
// daemons.
type runner struct {
	ctx      context.Context
	out      io.Writer
	format   string
	actor    string
	daemons  []string
	platform store.Store
}

func newRunner(ctx context.Context, c *cli, out io.Writer) (*runner, error) {
	p, err := client.New(c.Platform, client.Options{Timeout: min(callTimeout, c.Timeout)})
	if err != nil {
		return nil, &inputError{message: err.Error()}
	}
	return &runner{ctx: ctx, out: out, format: c.Output, actor: strings.TrimSpace(c.Actor), daemons: c.Daemon, platform: p}, nil
}

func (r *runner) profiles() *pubstore.Store { return pubstore.New(r.platform, time.Now) }
func (r *runner) drains() *drainstore.Store { return drainstore.New(r.platform, time.Now) }
func (r *runner) trail() *auditlog.Log      { return auditlog.New(r.platform) }

// requireActor returns the actor and the reason of a change, and an error if either is missing.
func (r *runner) requireActor(reason string) (pubstore.Attribution, error) {
	if r.actor == "" {
		return pubstore.Attribution{}, &inputError{message: "name who acts by --actor or ENDIVEMOOR_ACTOR"}
	}
	if strings.TrimSpace(reason) == "" {
		return pubstore.Attribution{}, &inputError{message: "give a --reason"}
	}
	return pubstore.Attribution{Actor: r.actor, Reason: reason}, nil
}

// print writes v as JSON, or calls text for the text output.
func (r *runner) print(v any, text func(w io.Writer)) error {
	if r.format != outputJSON {
		text(r.out)
		return nil
	}
	enc := json.NewEncoder(r.out)
	enc.SetIndent("", "  ")
	enc.SetEscapeHTML(false)
	return errors.Wrap(enc.Encode(v), "write")
}

// lines writes each item on a line of its own.
func lines[T fmt.Stringer](w io.Writer, items []T) {
	for _, item := range items {
		fmt.Fprintln(w, item)
	}
}

// list returns an empty list for nil, so that JSON has [] instead of null.
func list[T any](items []T) []T {
	if items == nil {
		return []T{}
	}
	return items
}
