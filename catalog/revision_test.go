package catalog

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Failure guarded against: evidence or a token from before a restore of the store counts as newer
// than one from after it.
func TestALaterEraIsTheHigherRevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		era, count := rapid.Int64Range(0, 8000).Draw(t, "era"), rapid.Int64Range(0, 1<<40-1).Draw(t, "count")
		r := RevisionOf(era, count)
		require.Equal(t, era, EraOf(r))
		require.Equal(t, count, CountOf(r))
		require.Greater(t, RevisionOf(era+1, 0), r)
		require.Less(t, r, int64(1)<<53, "an exact integer in JSON")
	})
	require.EqualValues(t, 412, RevisionOf(0, 412), "a store without eras")
}

// Failure guarded against: records stay in force after the store has lost them, or a list of an era
// that is already known marks records as lost.
func TestRecordsThatTheStoreHasLost(t *testing.T) {
	h := NewHolder()
	h.SetFleet(nil, map[string]*LeadershipRecord{"a": {Service: "a", Revision: RevisionOf(1, 450), Attempt: &Attempt{}}, "b": {Service: "b", Revision: RevisionOf(1, 300)}}, RevisionOf(1, 500))
	h.SetFleet(nil, map[string]*LeadershipRecord{"b": {Service: "b", Revision: RevisionOf(2, 300), Era: 1}}, RevisionOf(2, 310))
	c := h.Load()
	require.Equal(t, &LeadershipRecord{Service: "a", Lost: true}, c.LeadershipRecords["a"])
	require.EqualValues(t, 1, c.LeadershipRecords["b"].Era)
	require.False(t, h.SetFleet(nil, nil, RevisionOf(1, 900)), "a late list of the era before")
	h.SetLeadershipRecord(&LeadershipRecord{Service: "a", Revision: RevisionOf(2, 311), Era: 2})
	require.False(t, h.Load().LeadershipRecords["a"].Lost)
}
