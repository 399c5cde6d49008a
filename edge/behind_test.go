package edge_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/platform/standin/database"
	"endivemoor.example/endivemoor/takeover"
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

// The VM that changes a crowded primary dies in the middle of it: the old primary may
// have stepped down already, and nobody leads. The others take over once its attempt
// has lapsed, and no write is lost.
func TestHolderDiesWhileItChangesACrowdedPrimary(t *testing.T) {
	playOn(t, 3, database.Options{Slots: 1}, func(f *fleet) {
		f.group.SetBehind("ledger-1", 30*time.Second)
		f.group.SetBehind("ledger-2", 30*time.Second)
		go func() {
			holder := ""
			for holder == "" {
				time.Sleep(time.Millisecond)
				holder = holderOf(f)
			}
			time.Sleep(150 * time.Millisecond)
			f.kill(holder)
		}()
		browse(f, 60, 14*time.Second)
		time.Sleep(takeover.ExpireAfter + 5*time.Second)
		alive := ""
		for name, v := range f.vms {
			if !v.killed.Load() {
				alive = name
			}
		}
		require.True(t, f.session(alive, exact).Query("WRITE after it").OK())
		f.fair()
	})
}

// holderOf is the VM that has an attempt under way; none is empty.
func holderOf(f *fleet) string {
	o, ok := f.world.Store.Get("endivemoor", "reign."+service)
	if !ok || !strings.Contains(string(o.Spec), "nonce") {
		return ""
	}
	for name := range f.vms {
		if strings.Contains(string(o.Spec), `"`+name+`"`) {
			return name
		}
	}
	return ""
}
