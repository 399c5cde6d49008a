package gossip

import (
	"context"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/gossip/gossippb"
	"endivemoor.example/endivemoor/target"
)

// manyTargets are the targets of a deployment, in groups of three.
func manyTargets(n int) map[target.ID]*catalog.Target {
	out := make(map[target.ID]*catalog.Target, n)
	for i := range n {
		id := target.ID(fmt.Sprintf("ledger-%d-%d", i/3, i%3))
		out[id] = &catalog.Target{ID: id, Service: fmt.Sprint("ledger-", i/3), Addr: fmt.Sprintf("10.1.%d.%d:80", i/200, i%200), Zone: "a", Slots: 3}
	}
	return out
}

// listedAt is the state of a VM that has read the list of targets at a revision.
func listedAt(targets map[target.ID]*catalog.Target, revision int64) *catalog.Holder {
	h := catalog.NewHolder()
	h.SetTargets(targets, revision)
	return h
}

// pullTargets is the reply of one VM to a pull of another, and the list that results from it.
func pullTargets(t *testing.T, from, to *catalog.Catalog) (size int, update *Update) {
	s := &Server{source: &source{known: LocalState{Catalog: from}}, clk: &manualClock{}, bulks: newBulks()}
	out, err := s.Pull(context.Background(), &gossippb.PullRequest{
		TargetsRevision: to.TargetsRevision, TargetsDigest: to.TargetsDigest(), TakesChanges: true, TakesBulks: true,
	})
	require.NoError(t, err)
	size = proto.Size(out)
	for _, b := range out.GetBulks() {
		size += int(b.GetSize())
	}
	return size, updateOf(out, to, 0)
}

// Guards against: VMs that start together and read the same list at different revisions, and send
// each other the full list.
func TestEqualListsAreNotSent(t *testing.T) {
	for _, n := range []int{3, 300, 3000} {
		later, earlier := listedAt(manyTargets(n), 20), listedAt(manyTargets(n), 10)
		size, update := pullTargets(t, later.Load(), earlier.Load())
		require.Less(t, size, 200)
		require.True(t, earlier.SetTargets(update.Targets.Targets, update.Targets.Revision))
		require.EqualValues(t, 20, earlier.Load().TargetsRevision)
		require.Len(t, earlier.Load().Targets, n)
	}
}

// Guards against: full lists between VMs whose lists come from different watchers, which receive the
// store's changes in different batches.
func TestChangesOfOtherBatchesApply(t *testing.T) {
	for _, n := range []int{300, 3000} {
		targets := func(draining ...target.ID) map[target.ID]*catalog.Target {
			out := manyTargets(n)
			for _, id := range draining {
				out[id].Draining = true
			}
			return out
		}
		one, other := listedAt(targets(), 10), listedAt(targets(), 10)
		one.SetTargets(targets("ledger-1-0"), 14)
		one.SetTargets(targets("ledger-1-0", "ledger-2-0", "ledger-3-0"), 20)
		other.SetTargets(targets("ledger-1-0", "ledger-2-0"), 17)
		size, update := pullTargets(t, one.Load(), other.Load())
		require.Less(t, size, 400)
		require.False(t, update.Diverged)
		require.Equal(t, one.Load().Targets, update.Targets.Targets)
	}
}

// Guards against: a bulk of the same full list for each revision that a peer may have.
func TestOneBulkOfAFullListServesAllPeers(t *testing.T) {
	h := listedAt(manyTargets(3000), 20)
	s := &Server{source: &source{known: LocalState{Catalog: h.Load()}}, clk: &manualClock{}, bulks: newBulks()}
	for revision := range int64(10) {
		out, err := s.Pull(context.Background(), &gossippb.PullRequest{TargetsRevision: revision, TakesChanges: true, TakesBulks: true})
		require.NoError(t, err)
		require.Len(t, out.GetBulks(), 1)
	}
	require.Len(t, s.bulks.byID, 1)
}
