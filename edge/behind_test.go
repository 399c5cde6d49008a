package edge_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/platform/standin/database"
)

// browse has so many consumers read for some seconds, more than three slots can
// serve, while a few others write. It returns what the readers were told.
func browse(f *fleet, readers int, during time.Duration) *told {
	written := make(chan *told)
	go func() {
		written <- sellAtOnce(f, []string{exact}, 1, during, func(i int) []string { return []string{fmt.Sprintf("WRITE i%d x", i)} })
	}()
	out := sellAtOnce(f, []string{bounded}, readers, during, func(i int) []string { return []string{fmt.Sprintf("READ i%d", i%5)} })
	<-written
	return out
}

// Both replicas apply what they receive seconds later than usual, and each read that
// must not be so old comes to the primary, which can serve a third of them. The
// targets apply all as they are promoted: another one leads, and the old primary
// serves reads beside it. No write is lost or left in doubt by it.
func TestPrimaryIsChangedWhileAllReplicasAreFarBehind(t *testing.T) {
	playOn(t, 3, database.Options{Slots: 1}, func(f *fleet) {
		f.group.SetBehind("ledger-1", 30*time.Second)
		f.group.SetBehind("ledger-2", 30*time.Second)
		browse(f, 60, 20*time.Second)
		duties := f.world.Store.Duties()
		require.Len(t, duties, 1, "one change, and no other after it")
		require.Equal(t, "replica", f.group.Server("ledger-0").Role(), "the old primary serves on")
		f.fair()
	})
}

// The replicas are as far behind, but the primary can serve all that is asked. Those
// who write are not made to wait for nothing.
func TestIdlePrimaryIsNotChangedForItsReplicas(t *testing.T) {
	play(t, 3, func(f *fleet) {
		f.group.SetBehind("ledger-1", 30*time.Second)
		f.group.SetBehind("ledger-2", 30*time.Second)
		browse(f, 2, 10*time.Second)
		require.Empty(t, f.world.Store.Duties())
		f.fair()
	})
}

// One of the replicas is near. Reads go there, and the primary stays.
func TestPrimaryStaysWhileOneReplicaIsNear(t *testing.T) {
	playOn(t, 3, database.Options{Slots: 1}, func(f *fleet) {
		f.group.SetBehind("ledger-1", 30*time.Second)
		browse(f, 60, 20*time.Second)
		require.Empty(t, f.world.Store.Duties())
		f.fair()
	})
}
