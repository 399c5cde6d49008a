package audit

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var noon = time.Date(2026, 3, 1, 12, 0, 0, 123456789, time.FixedZone("x", 3600))

func trail(n int) []Entry {
	var entries []Entry
	var head Head
	for i := range n {
		e := Next(head, Draft{ID: fmt.Sprint("act-", i), Time: noon.Add(time.Duration(i) * time.Minute), Actor: "aoife", Action: ProfilePublished, Reason: "age < 5s & more", Subject: "profiles", From: fmt.Sprint(i), To: fmt.Sprint(i + 1)})
		entries = append(entries, e)
		head = e.Head()
	}
	return entries
}

func kinds(faults []Fault) []FaultKind {
	var out []FaultKind
	for _, f := range faults {
		out = append(out, f.Kind)
	}
	return out
}

func TestUntouchedTrailVerifiesAlsoAfterExport(t *testing.T) {
	entries := trail(20)
	require.Empty(t, Verify(entries, entries[19].Head(), Head{}))
	back, err := Import(Export(entries))
	require.NoError(t, err)
	require.Equal(t, entries, back)
	require.Empty(t, Verify(nil))
}

// An operator edits the reason of a publish in the store, so its digest does not match its content.
func TestChangedEntryIsNamed(t *testing.T) {
	entries := trail(5)
	entries[2].Reason = "routine"
	require.Equal(t, []Fault{{Kind: Changed, Seq: 3, Message: "its content does not match its digest"}}, Verify(entries))
}

// An operator edits an entry and recomputes its digest, so the next entry's link to it does not
// match.
func TestRewrittenEntryIsNamedByItsSuccessor(t *testing.T) {
	entries := trail(5)
	entries[2].Reason = "routine"
	entries[2].Digest = entries[2].computeDigest()
	faults := Verify(entries)
	require.Equal(t, []FaultKind{Rewritten}, kinds(faults))
	require.EqualValues(t, 3, faults[0].Seq)
}

// All entries from entry 3 on are rewritten consistently, or the end of the trail is cut off. Only
// a head that an auditor recorded earlier reveals it.
func TestAnchorTellsARewrittenOrCutTail(t *testing.T) {
	entries := trail(5)
	noted := entries[4].Head()
	forged := trail(2)
	for i := 2; i < 5; i++ {
		forged = append(forged, Next(forged[i-1].Head(), Draft{ID: fmt.Sprint("f", i), Time: noon}))
	}
	require.Empty(t, Verify(forged))
	require.Equal(t, []FaultKind{Rewritten}, kinds(Verify(forged, noted)))
	require.Equal(t, []FaultKind{Dropped}, kinds(Verify(entries[:4], noted)))
}

// Any single entry that is dropped, repeated or moved must be reported with its number.
func TestEveryTamperedOrderIsNamed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := trail(rapid.IntRange(3, 12).Draw(t, "length"))
		last := len(entries) - 1
		i := rapid.IntRange(0, last-1).Draw(t, "entry")
		var want FaultKind
		switch rapid.IntRange(0, 2).Draw(t, "tampering") {
		case 0:
			entries, want = slices.Delete(entries, i, i+1), Dropped
		case 1:
			entries, want = slices.Insert(entries, i+1, entries[i]), Repeated
		default:
			j := rapid.IntRange(i+1, last).Draw(t, "other")
			entries[i], entries[j] = entries[j], entries[i]
			want = Reordered
		}
		named := func(f Fault) bool { return f.Kind == want && f.Seq == uint64(i+1) }
		require.True(t, slices.ContainsFunc(Verify(entries), named))
	})
}

// A retry that writes the same act twice makes the trail invalid, although every digest matches.
func TestActRecordedTwiceIsNamed(t *testing.T) {
	entries := trail(2)
	entries = append(entries, Next(entries[1].Head(), entries[0].Draft))
	require.Equal(t, []FaultKind{Repeated}, kinds(Verify(entries)))
}

func TestImportRefusesWhatNoDigestCovers(t *testing.T) {
	line := Export(trail(1))
	_, err := Import(append([]byte(`{"note":"x",`), line[1:]...))
	require.Error(t, err)
	_, err = Import([]byte("{\"seq\": 1}"))
	require.ErrorContains(t, err, "canonical")
}

func FuzzImport(f *testing.F) {
	f.Add(Export(trail(3)))
	f.Add([]byte("{}"))
	f.Fuzz(func(t *testing.T, text []byte) {
		entries, err := Import(text)
		if err != nil {
			return
		}
		again, err := Import(Export(entries))
		require.NoError(t, err)
		require.Equal(t, Verify(entries), Verify(again))
	})
}

func TestTextsAreClippedAndValid(t *testing.T) {
	long := string(make([]byte, 2*maxDetailBytes))
	e := Next(Head{}, Draft{ID: "a", Reason: long, Actor: "\xffx", To: long})
	require.Len(t, e.Reason, maxFieldBytes)
	require.Len(t, e.To, maxDetailBytes)
	back, err := Import(Export([]Entry{e}))
	require.NoError(t, err)
	require.Empty(t, Verify(back))
}
