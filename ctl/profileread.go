package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"time"

	"endivemoor.example/endivemoor/profile"
	"endivemoor.example/endivemoor/profile/inifile"
	"endivemoor.example/endivemoor/publication"
)

const timeFormat = time.RFC3339

// errNothingInForce is returned by commands that need a published set.
var errNothingInForce = &refusedError{message: "no profiles are published yet"}

type profileRetire struct {
	Draft   string `arg:"" optional:"" help:"ID of the draft to withdraw."`
	Profile string `help:"Name of a profile in force: drafts the set without it, to be reviewed and published."`
	Reason  string `help:"Why." required:""`
}

// Run withdraws a draft. The removal of a profile in force becomes a draft, which must be reviewed
// and published like any other change.
func (c *profileRetire) Run(r *runner) error {
	if (c.Draft == "") == (c.Profile == "") {
		return &inputError{message: "name a draft or a --profile"}
	}
	if c.Profile != "" {
		return c.draftRemoval(r)
	}
	by, err := r.requireActor(c.Reason)
	if err != nil {
		return err
	}
	d, err := r.profiles().Retire(r.ctx, by, c.Draft)
	if err != nil {
		return err
	}
	return r.print(infoOf(d), func(w io.Writer) { fmt.Fprintln(w, infoOf(d)) })
}

func (c *profileRetire) draftRemoval(r *runner) error {
	current, err := r.inForce()
	if err != nil {
		return err
	}
	text, err := inifile.Without([]byte(current.Text), c.Profile)
	if err != nil {
		return &inputError{message: err.Error()}
	}
	return r.createDraft("without "+c.Profile, text, c.Reason)
}

func (r *runner) inForce() (*publication.Record, error) {
	current, err := r.profiles().Current(r.ctx)
	if err == nil && current == nil {
		return nil, errNothingInForce
	}
	return current, err
}

type profileList struct{}

// listing is the output of profile list.
type listing struct {
	Published *recordInfo `json:"published"`
	Drafts    []draftInfo `json:"drafts"`
}

// Run prints the set in force and the open drafts.
func (profileList) Run(r *runner) error {
	current, err := r.profiles().Current(r.ctx)
	if err != nil {
		return err
	}
	drafts, err := r.profiles().Drafts(r.ctx)
	if err != nil {
		return err
	}
	l := listing{Drafts: []draftInfo{}}
	if current != nil {
		info := infoOfRecord(current, statePublished)
		l.Published = &info
	}
	for _, d := range drafts {
		l.Drafts = append(l.Drafts, infoOf(d))
	}
	return r.print(l, func(w io.Writer) {
		if l.Published == nil {
			fmt.Fprintln(w, "nothing published")
		} else {
			fmt.Fprintln(w, l.Published)
		}
		lines(w, l.Drafts)
	})
}

type profileShow struct {
	Generation profile.Generation `arg:"" optional:"" help:"Generation; what is in force if left out."`
	Draft      string             `help:"ID of an open draft instead."`
}

// setText is the text of a published set or of a draft, with its description.
type setText struct {
	Record *recordInfo `json:"record,omitempty"`
	Draft  *draftInfo  `json:"draft,omitempty"`
	Text   string      `json:"text"`
}

// Run prints only the text, so that the output can be saved as a file.
func (c *profileShow) Run(r *runner) error {
	s, err := c.find(r)
	if err != nil {
		return err
	}
	return r.print(s, func(w io.Writer) { fmt.Fprint(w, s.Text) })
}

func (c *profileShow) find(r *runner) (setText, error) {
	if c.Draft != "" {
		d, err := r.profiles().Draft(r.ctx, c.Draft)
		info := infoOf(d)
		return setText{Draft: &info, Text: d.Text}, err
	}
	current, err := r.inForce()
	if err != nil {
		return setText{}, err
	}
	record, state := current, statePublished
	if c.Generation != 0 && c.Generation != current.Generation {
		state = stateRetired
		if record, err = r.profiles().Set(r.ctx, c.Generation); err != nil {
			return setText{}, err
		}
	}
	if record == nil {
		return setText{}, &refusedError{message: fmt.Sprintf("no generation %d", c.Generation)}
	}
	info := infoOfRecord(record, state)
	return setText{Record: &info, Text: record.Text}, nil
}

type profileHistory struct {
	Last int `short:"n" help:"How many." default:"20"`
}

// Run prints the published sets.
func (c *profileHistory) Run(r *runner) error {
	records, err := r.profiles().History(r.ctx, c.Last)
	if err != nil {
		return err
	}
	infos := []recordInfo{}
	for i, record := range records {
		state := stateRetired
		if i == 0 {
			state = statePublished
		}
		infos = append(infos, infoOfRecord(record, state))
	}
	return r.print(infos, func(w io.Writer) { lines(w, infos) })
}

type profileStatus struct {
	Fresh time.Duration `help:"How old a VM's word may be to count." default:"1m"`
}

// rollout is the state of the set in force on the daemons and VMs.
type rollout struct {
	Published *recordInfo     `json:"published"`
	Daemons   []daemonRollout `json:"daemons"`
	// VMs is the state of the whole fleet, as reported by the daemons.
	VMs []vmRollout `json:"vms"`
}

// daemonRollout is the state of one daemon.
type daemonRollout struct {
	Daemon     string `json:"daemon"`
	Generation uint64 `json:"generation"`
	Digest     string `json:"digest,omitempty"`
	InForce    bool   `json:"in_force"`
	Error      string `json:"error,omitempty"`
}

func (a daemonRollout) String() string {
	switch {
	case a.Error != "":
		return fmt.Sprintf("daemon %s unknown: %s", a.Daemon, a.Error)
	case a.InForce:
		return fmt.Sprintf("daemon %s in force: generation %d", a.Daemon, a.Generation)
	default:
		return fmt.Sprintf("daemon %s behind: generation %d", a.Daemon, a.Generation)
	}
}

// Run queries the daemons, so that no daemon has to write its state to the store.
func (c *profileStatus) Run(r *runner) error {
	current, err := r.inForce()
	if err != nil {
		return err
	}
	info := infoOfRecord(current, statePublished)
	s := rollout{Published: &info, Daemons: []daemonRollout{}}
	var answers []answer
	if len(r.daemons) > 0 {
		if answers, err = r.fetchAll("/status", nil); err != nil {
			return err
		}
	}
	var statuses []daemonStatus
	for _, a := range answers {
		s.Daemons = append(s.Daemons, daemonRolloutOf(a, current.Version))
		statuses = append(statuses, statusOf(a))
	}
	s.VMs = vmRollouts(fleetOf(statuses), current.Generation, c.Fresh)
	if err := r.print(s, s.text); err != nil {
		return err
	}
	return firstError(answers)
}

func (s rollout) text(w io.Writer) {
	fmt.Fprintln(w, s.Published)
	lines(w, s.Daemons)
	if len(s.VMs) > 0 {
		lines(w, s.VMs)
		fmt.Fprintln(w, rolloutSummary(s.VMs))
	}
}

func daemonRolloutOf(a answer, want publication.Version) daemonRollout {
	out := daemonRollout{Daemon: a.Daemon, Error: a.Error}
	status, _ := a.Value.(map[string]any)
	if n, ok := status["generation"].(json.Number); ok {
		out.Generation, _ = strconv.ParseUint(n.String(), 10, 64)
	}
	out.Digest, _ = status["digest"].(string)
	has := publication.Version{Generation: profile.Generation(out.Generation), Digest: out.Digest}
	out.InForce = publication.Accept(has, want) == publication.Same
	return out
}
