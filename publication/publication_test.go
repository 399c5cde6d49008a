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

// bench plays commands on the pure machine: drafts by name and the record in
// force, without any store.
type bench struct {
	drafts  map[string]Draft
	current *Record
	steps   int
}

func TestScenarios(t *testing.T) {
	b := &bench{drafts: map[string]Draft{}}
	datadriven.RunTest(t, "testdata/scenarios.txt", func(t *testing.T, d *datadriven.TestData) string {
		if err := b.play(t, d); err != nil {
			return err.Error()
		}
		return b.state()
	})
}

func (b *bench) state() string {
	var out strings.Builder
	for _, id := range slices.Sorted(maps.Keys(b.drafts)) {
		fmt.Fprintf(&out, "%s %s, ", id, b.drafts[id].State)
	}
	if b.current == nil {
		return out.String() + "nothing in force"
	}
	fmt.Fprintf(&out, "generation %d of %s by %s, reviewed by %s", b.current.Generation, b.current.Draft, b.current.Author, b.current.Reviewer)
	return out.String()
}

func (b *bench) step(t *testing.T, d *datadriven.TestData) Step {
	b.steps++
	s := Step{ID: fmt.Sprint("step-", b.steps), Act: Mark{Time: time.Unix(int64(b.steps), 0).UTC()}}
	d.MaybeScanArgs(t, "by", &s.Actor)
	d.MaybeScanArgs(t, "because", &s.Reason)
	return s
}

func (b *bench) play(t *testing.T, d *datadriven.TestData) error {
	var name string
	d.MaybeScanArgs(t, "draft", &name)
	draft, next, err := b.drafts[name], b.current, error(nil)
	switch d.Cmd {
	case "write":
		draft, err = NewDraft(name, []byte(d.Input), b.step(t, d))
	case "check":
		_, findings := inifile.Parse(name, []byte(draft.Text))
		draft, err = draft.Check(findings, b.current)
	case "review":
		draft, err = draft.Approve(b.step(t, d), b.current, b.changes(draft), accepted(d))
	case "retire":
		draft, err = draft.Retire(b.step(t, d))
	case "publish":
		next, err = draft.Publish(b.step(t, d), b.current)
	}
	if err != nil {
		return err
	}
	b.drafts[name], b.current = draft, next
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

func (b *bench) changes(d Draft) []diff.Change {
	before := &profile.Set{}
	if b.current != nil {
		before, _ = inifile.Parse("", []byte(b.current.Text))
	}
	after, _ := inifile.Parse("", []byte(d.Text))
	return diff.Sets(before, after)
}

// A daemon was paused for an hour, another was restarted while only its peers
// answer, a third watches the store. In whatever order they are offered the
// same records, each ends with the highest and never steps back on the way.
func TestAcceptNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		offers := rapid.SliceOf(rapid.Uint64Range(1, 50)).Draw(t, "offers")
		var now Version
		var highest profile.Generation
		for _, g := range offers {
			offered := Version{Generation: profile.Generation(g), Digest: fmt.Sprint(g)}
			before := now
			if Accept(now, offered) == Take {
				now = offered
			}
			require.GreaterOrEqual(t, now.Generation, before.Generation)
			highest = max(highest, offered.Generation)
		}
		require.Equal(t, highest, now.Generation)
	})
	require.Equal(t, Forked, Accept(Version{Generation: 3, Digest: "a"}, Version{Generation: 3, Digest: "b"}))
	require.Equal(t, Same, Accept(Version{Generation: 3, Digest: "a"}, Version{Generation: 3, Digest: "a"}))
}

// Somebody edits the text of the published object in the store. No daemon may
// take it: its digest is what was reviewed.
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
