package catalog

import (
	"testing"

	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/target"
)

// Failure guarded against: a restarted watch or a late reply of a peer delivers a configuration that
// was already replaced, and it comes into force again.
func TestConfigurationNeverGoesBack(t *testing.T) {
	h := NewHolder()
	require.True(t, h.SetConfig(&Config{Version: 7}))
	require.False(t, h.SetConfig(&Config{Version: 6}))
	require.False(t, h.SetConfig(&Config{Version: 7}))
	require.EqualValues(t, 7, h.Load().Config.Version)
}

func TestEarlierListsAreNotInstalled(t *testing.T) {
	h := NewHolder()
	require.True(t, h.SetTargets(map[target.ID]*Target{"a": {ID: "a", Service: "s"}}, 10))
	require.False(t, h.SetTargets(nil, 9))
	require.Len(t, h.Load().ByService["s"], 1)
	require.True(t, h.SetFleet([]VM{{ID: "b"}, {ID: "a"}}, nil, 20))
	require.False(t, h.SetFleet(nil, nil, 19))
	require.Equal(t, "a", h.Load().VMs[0].ID)
	_, ok := h.Load().VM("b")
	require.True(t, ok)
}

// A peer's list of the fleet may be older while one of its leadership records is newer, or the other
// way round: each record is compared by its own revision.
func TestLeadershipRecordsCompareByTheirOwnRevision(t *testing.T) {
	h := NewHolder()
	h.SetLeadershipRecord(&LeadershipRecord{Service: "s", Revision: 5, Primary: "a"})
	h.SetFleet(nil, map[string]*LeadershipRecord{"s": {Service: "s", Revision: 4, Primary: "b"}, "t": {Service: "t", Revision: 3}}, 1)
	require.Equal(t, target.ID("a"), h.Load().LeadershipRecords["s"].Primary)
	require.NotNil(t, h.Load().LeadershipRecords["t"])
	h.SetLeadershipRecord(&LeadershipRecord{Service: "s", Revision: 5, Primary: "c"})
	require.Equal(t, target.ID("a"), h.Load().LeadershipRecords["s"].Primary)
}

func TestChangedIsClosedByTheNextChange(t *testing.T) {
	h := NewHolder()
	changed := h.Changed()
	select {
	case <-changed:
		t.Fatal("the channel is closed before a change")
	default:
	}
	h.SetConfig(&Config{Version: 1})
	<-changed
	require.False(t, h.Load().Complete())
	h.SetTargets(map[target.ID]*Target{"a": {ID: "a"}}, 1)
	require.True(t, h.Load().Complete())
}
