package publication

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"endivemoor.example/endivemoor/profile"
	"endivemoor.example/endivemoor/profile/diff"
	"endivemoor.example/endivemoor/profile/inifile"
)

// machine runs the commands of a scenario on the state machine, without a store. It holds the drafts
// by name and the record in force.
type machine struct {
	drafts  map[string]Draft
	current *Record
	steps   int
}

func TestScenarios(t *testing.T) {
	m := &machine{drafts: map[string]Draft{}}
	datadriven.RunTest(t, "testdata/scenarios.txt", func(t *testing.T, d *datadriven.TestData) string {
		if err := m.run(t, d); err != nil {
			return err.Error()
		}
		return m.state()
	})
}

func (m *machine) state() string {
	var out strings.Builder
	for _, id := range slices.Sorted(maps.Keys(m.drafts)) {
		fmt.Fprintf(&out, "%s %s, ", id, m.drafts[id].State)
	}
	if m.current == nil {
		return out.String() + "nothing in force"
	}
	fmt.Fprintf(&out, "generation %d of %s by %s, reviewed by %s", m.current.Generation, m.current.Draft, m.current.Author, m.current.Reviewer)
	return out.String()
}

func (m *machine) step(t *testing.T, d *datadriven.TestData) Step {
	m.steps++
	s := Step{ID: fmt.Sprint("step-", m.steps), At: AuditPoint{Time: time.Unix(int64(m.steps), 0).UTC()}}
	d.MaybeScanArgs(t, "by", &s.Actor)
	d.MaybeScanArgs(t, "because", &s.Reason)
	return s
}

func (m *machine) run(t *testing.T, d *datadriven.TestData) error {
	var name string
	d.MaybeScanArgs(t, "draft", &name)
	draft, next, err := m.drafts[name], m.current, error(nil)
	switch d.Cmd {
	case "write":
		draft, err = NewDraft(name, []byte(d.Input), m.step(t, d))
	case "check":
		_, findings := inifile.Parse(name, []byte(draft.Text))
		draft, err = draft.Check(findings, m.current)
	case "review":
		draft, err = draft.Approve(m.step(t, d), m.current, m.changes(draft), accepted(d))
	case "retire":
		draft, err = draft.Retire(m.step(t, d))
	case "publish":
		next, err = draft.Publish(m.step(t, d), m.current)
	}
	if err != nil {
		return err
	}
	m.drafts[name], m.current = draft, next
	return nil
}

func accepted(d *datadriven.TestData) []string {
	for _, arg := range d.CmdArgs {
		if arg.Key == "accept" {
			return arg.Vals
		}
	}
	return nil
}

func (m *machine) changes(d Draft) []diff.Change {
	before := &profile.Set{}
	if m.current != nil {
		before, _ = inifile.Parse("", []byte(m.current.Text))
	}
	after, _ := inifile.Parse("", []byte(d.Text))
	return diff.Sets(before, after)
}

// Daemons receive the same records in different orders: one was paused for an hour, another was
// restarted while only its peers answer, a third watches the store. Each must end with the highest
// generation, and its generation must never decrease on the way.
func TestAcceptNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		offers := rapid.SliceOf(rapid.Uint64Range(1, 50)).Draw(t, "offers")
		var current Version
		var highest profile.Generation
		for _, g := range offers {
			offered := Version{Generation: profile.Generation(g), Digest: fmt.Sprint(g)}
			before := current
			if Accept(current, offered) == Take {
				current = offered
			}
			require.GreaterOrEqual(t, current.Generation, before.Generation)
			highest = max(highest, offered.Generation)
		}
		require.Equal(t, highest, current.Generation)
	})
	require.Equal(t, Forked, Accept(Version{Generation: 3, Digest: "a"}, Version{Generation: 3, Digest: "b"}))
	require.Equal(t, Same, Accept(Version{Generation: 3, Digest: "a"}, Version{Generation: 3, Digest: "a"}))
}

// The text of the published object is edited in the store. No daemon may adopt it, because the digest
// is that of the reviewed text.
func TestEditedRecordIsNotDecoded(t *testing.T) {
	r := &Record{Version: Version{Generation: 1, Digest: profile.Digest([]byte("[a]"))}, Text: "[a]"}
	value, err := r.Encode()
	require.NoError(t, err)
	back, err := Decode(value)
	require.NoError(t, err)
	require.Equal(t, r, back)
	_, err = Decode([]byte(strings.Replace(string(value), "[a]", "[b]", 1)))
	require.ErrorContains(t, err, "digest")
	_, err = Decode([]byte("{}"))
	require.Error(t, err)
}
