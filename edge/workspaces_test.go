package edge_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/platform/standin/consumer"
	"endivemoor.example/endivemoor/platform/standin/workspaces"
)

// applyWait is how long a version takes to be in force everywhere, and less than an idle
// transaction may last.
const applyWait = 2 * time.Second

// openAs opens a session at a VM with an API key.
func (f *fleet) openAs(key, vm, db string) (*consumer.Session, consumer.Answer) {
	return f.world.OpenAs(f.nextConsumer(), key, f.addr(vm), db)
}

// admittedSession opens a session with an API key that a workspace holds.
func (f *fleet) admittedSession(key, vm, db string) *consumer.Session {
	f.t.Helper()
	c, a := f.openAs(key, vm, db)
	require.Equal(f.t, "I", a.State, "startup: %+v", a)
	return c
}

// checkWorkspaces checks the invariants, and that each operation was attributed to the right
// workspace and limited by it.
func (f *fleet) checkWorkspaces() {
	f.t.Helper()
	f.checkInvariants()
	require.Equal(f.t, workspaces.CheckResult{}, f.world.Checker.Check(workspaces.DefaultBounds))
}

func workspace(name string, keys ...string) workspaces.Workspace {
	return workspaces.Workspace{Name: name, Keys: keys}
}

// publishWorkspaces publishes workspaces and waits until they are in force.
func (f *fleet) publishWorkspaces(all ...workspaces.Workspace) {
	f.world.SetWorkspaces(all...)
	time.Sleep(applyWait)
}

// Guards against: targets that receive another workspace than the caller's, or its key.
func TestTargetsAreToldTheCallersWorkspace(t *testing.T) {
	for _, vms := range fleetSizes(3, 30) {
		runFleet(t, vms, func(f *fleet) {
			f.publishWorkspaces(workspace("north", "n1", "n2"), workspace("south", "s1"))
			for _, key := range []string{"n1", "s1", "n2", "s1", "n1"} {
				for _, db := range []string{exact, bounded, own} {
					c := f.admittedSession(key, "vm1", db)
					require.True(t, c.Query("WRITE a "+key).OK())
					require.True(t, c.Query("READ a").OK())
					require.True(t, c.Query("BEGIN READ").OK())
					require.True(t, c.Query("READ a").OK())
					require.True(t, c.Query("COMMIT").OK())
					c.Close()
				}
			}
			f.checkWorkspaces()
		})
	}
}

// Guards against: consumers that are served although no workspace holds their key.
func TestCallersWithoutAHeldKeyAreRefused(t *testing.T) {
	runFleet(t, 3, func(f *fleet) {
		f.publishWorkspaces(workspace("north", "n1"))
		_, a := f.openAs("nobody", "vm0", exact)
		require.Equal(t, "NOAUTH", a.Code)
		routes := standardRoutes()
		routes[1].Public = true
		f.world.SetRoutes(routes...)
		time.Sleep(applyWait)
		_, a = f.openAs("nobody", "vm0", bounded)
		require.Equal(t, "I", a.State, "a public route accepts unknown keys")
		f.checkWorkspaces()
	})
}

// Guards against: sessions and transactions that continue after their key was revoked.
func TestKeyTakenAwayEndsWhatItOpened(t *testing.T) {
	runFleet(t, 3, func(f *fleet) {
		f.publishWorkspaces(workspace("north", "n1", "n2"))
		idle, busy, other := f.admittedSession("n1", "vm0", exact), f.admittedSession("n1", "vm1", exact), f.admittedSession("n2", "vm0", exact)
		require.True(t, busy.Query("BEGIN").OK())
		require.True(t, busy.Query("WRITE a 1").OK())
		f.publishWorkspaces(workspace("north", "n2"))
		require.Equal(t, "NOAUTH", idle.Query("READ a").Code)
		require.Equal(t, "ABORTED", busy.Query("COMMIT").Code)
		require.Equal(t, "NOAUTH", busy.Query("READ a").Code)
		seen := other.Query("READ a")
		require.True(t, seen.OK(), "%+v", seen)
		require.NotEqual(t, []string{"1"}, seen.Rows)
		f.checkWorkspaces()
	})
}

// Guards against: a key that still counts for the workspace that held it before.
func TestKeyThatMovesCountsForItsNewHolder(t *testing.T) {
	runFleet(t, 3, func(f *fleet) {
		f.publishWorkspaces(workspace("north", "k"), workspace("south"))
		c := f.admittedSession("k", "vm0", own)
		require.True(t, c.Query("WRITE a 1").OK())
		require.True(t, c.Query("BEGIN").OK())
		require.True(t, c.Query("READ a").OK())
		f.publishWorkspaces(workspace("north"), workspace("south", "k"))
		require.Equal(t, "NOAUTH", c.Query("READ a").Code, "the transaction belongs to the former holder of the key")
		c = f.admittedSession("k", "vm0", own)
		require.True(t, c.Query("READ a").OK())
		f.publishWorkspaces(workspace("north"), workspace("south"))
		require.Equal(t, "NOAUTH", c.Query("READ a").Code)
		f.publishWorkspaces(workspace("north", "k"), workspace("south"))
		c = f.admittedSession("k", "vm0", own)
		require.True(t, c.Query("READ a").OK(), "the key is held by its first workspace again")
		f.checkWorkspaces()
	})
}

// Guards against: a revoked key that is still accepted at VMs that the store refuses.
func TestKeyTakenAwayWhileAVMIsTurnedAway(t *testing.T) {
	runFleet(t, 3, func(f *fleet) {
		f.publishWorkspaces(workspace("north", "n1"), workspace("south", "s1"))
		c := f.admittedSession("n1", "vm2", exact)
		f.world.CutFromStore("vm2", true)
		f.publishWorkspaces(workspace("south", "s1"))
		require.Equal(t, "NOAUTH", c.Query("READ a").Code)
		f.world.CutFromStore("vm2", false)
		f.checkWorkspaces()
	})
}
