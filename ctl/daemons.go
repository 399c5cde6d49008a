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

// maxAnswerBytes limits the bytes read from a daemon's answer.
const maxAnswerBytes = 16 << 20

// maxConcurrentFetches limits the daemons queried at the same time.
const maxConcurrentFetches = 16

// daemonError reports that a daemon did not return the requested data.
type daemonError struct {
	Daemon  string
	Message string
	// NotFound is set if the daemon answered that it has no such record.
	NotFound bool
}

func (e *daemonError) Error() string { return "daemon " + e.Daemon + ": " + e.Message }

// answer is the answer of one daemon.
type answer struct {
	Daemon string `json:"daemon"`
	Value  any    `json:"value,omitempty"`
	Error  string `json:"error,omitempty"`
	err    error
}

// fetch gets one path of one daemon's admin endpoint.
func fetch(ctx context.Context, base, path string, query url.Values) (any, error) {
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
	value, err := decodeAny(io.LimitReader(resp.Body, maxAnswerBytes))
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

// fetchAll queries every configured daemon and returns the answers in the order of the daemons.
func (r *runner) fetchAll(path string, query url.Values) ([]answer, error) {
	if len(r.daemons) == 0 {
		return nil, &inputError{message: "name daemons by --daemon or ENDIVEMOOR_DAEMON"}
	}
	answers := make([]answer, len(r.daemons))
	var group errgroup.Group
	group.SetLimit(maxConcurrentFetches)
	for i, base := range r.daemons {
		group.Go(func() error {
			value, err := fetch(r.ctx, base, path, query)
			answers[i] = answer{Daemon: base, Value: value, err: err}
			if err != nil {
				answers[i].Error = err.Error()
			}
			return nil
		})
	}
	return answers, group.Wait()
}

// firstError returns the error of the first daemon that could not be queried.
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

// Run prints the records of the daemons that have one: a decision is recorded only by the daemon
// that made it.
func (c *explainCommand) Run(r *runner) error {
	query := url.Values{}
	if c.Request != "" {
		query.Set("request", c.Request)
	} else {
		query.Set("promotion", c.Promotion)
	}
	answers, err := r.fetchAll("/explain", query)
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

// explainNothing returns the error for an explain command without a record. It distinguishes
// daemons that have no record from daemons that could not be queried.
func explainNothing(answers []answer) error {
	for _, a := range answers {
		if d, ok := a.err.(*daemonError); !ok || !d.NotFound {
			return a.err
		}
	}
	return &refusedError{message: "no daemon that was asked has a record of it; records are kept for a while by the daemon that decided"}
}
