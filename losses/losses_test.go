package losses

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const log = `time=2026-09-25T05:56:18.72Z level=info event=statement-late vm=a request=r1 database=pay code=ok cause=queue after=0.4 tries=1
time=2026-09-25T05:56:18.93Z level=info event=statement-late vm=b request=r2 database=pay code=ok cause=queue after=0.6 tries=2
time=2026-09-25T05:56:19.1Z level=info event=configuration version=7
not a line of ours: = "
time=2026-09-25T05:56:23.1Z level=info event=statement-unserved vm=a request=r3 database=renew code=busy cause=primary after=0.8 tries=0
`

func TestLossesAreCountedByCause(t *testing.T) {
	all, err := Read(strings.NewReader(log))
	require.NoError(t, err)
	require.Equal(t, []Row{
		{Kind: Late, Code: "ok", Cause: "queue", Count: 2, Longest: 600 * time.Millisecond, Request: "r2"},
		{Kind: Unserved, Code: "busy", Cause: "primary", Count: 1, Longest: 800 * time.Millisecond, Request: "r3"},
	}, ByCause(all))
}

func TestLossesAreCountedByWindow(t *testing.T) {
	all, err := Read(strings.NewReader(log))
	require.NoError(t, err)
	windows := ByWindow(all, 2*time.Second)
	require.Len(t, windows, 2)
	require.Equal(t, 2, windows[0].Count)
	require.Equal(t, "queue", windows[0].Cause)
	require.Equal(t, "primary", windows[1].Cause)
}

func TestLossesAreCountedByWorkspace(t *testing.T) {
	all, err := Read(strings.NewReader(`time=2026-09-25T05:56:18Z event=statement-unserved request=r1 workspace=north code=busy cause=limit after=0.01
time=2026-09-25T05:56:19Z event=statement-unserved request=r2 workspace=south code=busy cause=limit after=0.02
time=2026-09-25T05:56:19Z event=statement-unserved request=r3 workspace=north code=busy cause=limit after=0.03
`))
	require.NoError(t, err)
	require.Equal(t, []Row{
		{Workspace: "north", Kind: Unserved, Code: "busy", Cause: "limit", Count: 2, Longest: 30 * time.Millisecond, Request: "r3"},
		{Workspace: "south", Kind: Unserved, Code: "busy", Cause: "limit", Count: 1, Longest: 20 * time.Millisecond, Request: "r2"},
	}, ByWorkspace(all))
}
