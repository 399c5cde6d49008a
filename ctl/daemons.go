package ctl

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"

	"golang.org/x/sync/errgroup"
)

// maxAnswer bounds what is read of a daemon's answer, in bytes.
const maxAnswer = 16 << 20

// askedAtOnce bounds the daemons asked at the same time.
const askedAtOnce = 16

// daemonError says that a daemon did not give what was asked.
type daemonError struct {
	Daemon  string
	Message string
	// NotFound says that it answered and has no such record.
	NotFound bool
}

func (e *daemonError) Error() string { return "daemon " + e.Daemon + ": " + e.Message }

// answer is what one daemon said.
type answer struct {
	Daemon string `json:"daemon"`
	Value  any    `json:"value,omitempty"`
	Error  string `json:"error,omitempty"`
	err    error
}

// ask gets one path of one daemon's admin endpoint.
func ask(ctx context.Context, base, path string, query url.Values) (any, error) {
	target := strings.TrimSuffix(base, "/") + path
	if len(query) > 0 {
		target += "?" + query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, &inputError{message: err.Error()}
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, &daemonError{Daemon: base, Message: err.Error()}
	}
	defer resp.Body.Close()
	value, err := decodeAny(io.LimitReader(resp.Body, maxAnswer))
	switch {
	case resp.StatusCode == http.StatusNotFound:
		return nil, &daemonError{Daemon: base, Message: "no record of it", NotFound: true}
	case resp.StatusCode != http.StatusOK:
		return nil, &daemonError{Daemon: base, Message: resp.Status}
	case err != nil:
		return nil, &daemonError{Daemon: base, Message: err.Error()}
	}
	return value, nil
}

// askAll asks every daemon named, in the order given.
func (r *runner) askAll(path string, query url.Values) ([]answer, error) {
	if len(r.daemons) == 0 {
		return nil, &inputError{message: "name daemons by --daemon or ENDIVEMOOR_DAEMON"}
	}
	answers := make([]answer, len(r.daemons))
	var group errgroup.Group
	group.SetLimit(askedAtOnce)
	for i, base := range r.daemons {
		group.Go(func() error {
			value, err := ask(r.ctx, base, path, query)
			answers[i] = answer{Daemon: base, Value: value, err: err}
			if err != nil {
				answers[i].Error = err.Error()
			}
			return nil
		})
	}
	return answers, group.Wait()
}

// firstError returns the error of a daemon that could not be asked.
func firstError(answers []answer) error {
	for _, a := range answers {
		if a.err != nil {
			return a.err
		}
	}
	return nil
}

func answersText(w io.Writer, answers []answer) {
	for _, a := range answers {
		fmt.Fprintf(w, "daemon %s\n", a.Daemon)
		if a.err != nil {
			fmt.Fprintf(w, "error = %s\n", a.Error)
			continue
		}
		fields(w, a.Value)
	}
}

type explainCommand struct {
	Request   string `help:"ID of a request, from its error or the daemon's log." xor:"what" required:""`
	Promotion string `help:"Name of a group." xor:"what" required:""`
}

// Run prints the records of the daemons that have one: decisions are kept by
// the daemon that took them.
func (c *explainCommand) Run(r *runner) error {
	query := url.Values{}
	if c.Request != "" {
		query.Set("request", c.Request)
	} else {
		query.Set("promotion", c.Promotion)
	}
	answers, err := r.askAll("/explain", query)
	if err != nil {
		return err
	}
	var known []answer
	for _, a := range answers {
		if a.err == nil {
			known = append(known, a)
		}
	}
	if len(known) == 0 {
		return explainNothing(answers)
	}
	return r.print(known, func(w io.Writer) { answersText(w, known) })
}

// explainNothing tells daemons that have no record from those that could not
// be asked.
func explainNothing(answers []answer) error {
	for _, a := range answers {
		if d, ok := a.err.(*daemonError); !ok || !d.NotFound {
			return a.err
		}
	}
	return &refusedError{message: "no daemon that was asked has a record of it; records are kept for a while by the daemon that decided"}
}
