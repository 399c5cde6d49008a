package gossip

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"endivemoor.example/endivemoor/catalog"
	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/gossip/gossippb"
	"endivemoor.example/endivemoor/internal/bubble"
	"endivemoor.example/endivemoor/internal/memnet"
	"endivemoor.example/endivemoor/recency"
)

// largeState is the state of a VM with a configuration of the size that the users plan for.
func largeState() LocalState {
	h := catalog.NewHolder()
	h.SetConfig(many(7, time.Second))
	return LocalState{Catalog: h.Load()}
}

// Failure guarded against: a reply grows with the lists that it carries, until it no longer arrives
// over a slow link within the call's timeout.
func TestLargeListIsReadRangeByRange(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		const addr = "10.0.0.1:1"
		known := largeState()
		var reads, lost atomic.Int32
		h := NewHandler(&source{known: known}, nil, &manualClock{})
		network := memnet.New()
		listener, err := network.Host("peer").Listen(addr)
		require.NoError(t, err)
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if strings.HasSuffix(r.URL.Path, "/Read") && reads.Add(1)%5 == 0 {
				lost.Add(1)
				panic(http.ErrAbortHandler)
			}
			h.ServeHTTP(w, r)
		})}
		go server.Serve(listener)
		defer time.Sleep(2 * idleTimeout)
		defer server.Close()
		c := NewClients(network.Host("me").DialContext, &manualClock{})
		q := PullOptions{Self: "me", Known: &catalog.Catalog{}}
		n, err := c.Pull(context.Background(), addr, q)
		require.NoError(t, err)
		require.Nil(t, n.Config)
		require.Len(t, n.Bulks, 1)
		require.Greater(t, n.Bulks[0].Size(), 2*rangeBytes)
		got, err := c.Fetch(context.Background(), addr, q, n.Bulks[0])
		require.NoError(t, err)
		require.Equal(t, known.Catalog.Config, got.Config)
		require.Positive(t, lost.Load(), "some ranges were lost")
		require.LessOrEqual(t, int(reads.Load()-lost.Load()), n.Bulks[0].Size()/rangeBytes+1, "no range that arrived was read again")
	})
}

// Failure guarded against: a list is encoded anew for each of hundreds of VMs, or retained without
// bound.
func TestBulkIsSharedAndExpires(t *testing.T) {
	clk := &manualClock{now: clock.Time(time.Hour)}
	s := &Server{source: &source{known: largeState()}, clk: clk, bulks: newBulks()}
	pull := func() *gossippb.PullReply {
		out, err := s.Pull(context.Background(), &gossippb.PullRequest{TakesBulks: true, TakesChanges: true})
		require.NoError(t, err)
		require.Less(t, proto.Size(out), inlineBytes)
		return out
	}
	first := pull().GetBulks()[0].GetId()
	clk.now = clk.now.Add(bulkTTL)
	require.Equal(t, first, pull().GetBulks()[0].GetId())
	clk.now = clk.now.Add(bulkTTL + 1)
	require.NotEqual(t, first, pull().GetBulks()[0].GetId())
	require.Len(t, s.bulks.byID, 1)
	for i := range int64(3 * maxBulks) {
		s.bulks.add(bulkKey{recency.Config, i, i + 1}, nil, clk.now)
	}
	require.Len(t, s.bulks.byID, maxBulks)
}

// Failure guarded against: a list is encoded once for each of several concurrent requests.
func TestBulkIsEncodedOnceForConcurrentPulls(t *testing.T) {
	s := &Server{source: &source{known: largeState()}, clk: &manualClock{now: clock.Time(time.Hour)}, bulks: newBulks()}
	var requests sync.WaitGroup
	for range 2 * maxBulks {
		requests.Go(func() {
			_, err := s.Pull(context.Background(), &gossippb.PullRequest{TakesBulks: true, TakesChanges: true})
			require.NoError(t, err)
		})
	}
	requests.Wait()
	require.Len(t, s.bulks.byID, 1)
}

// Failure guarded against: so many peers read concurrently over a link that no range arrives within
// the call's timeout.
func TestConcurrentReadersAreBounded(t *testing.T) {
	now := clock.Time(time.Hour)
	b := newBulks()
	id := b.add(bulkKey{recency.Config, 1, 2}, make([]byte, 2*rangeBytes), now).GetId()
	read := func(vm string, offset uint64) error {
		_, err := b.read(vm, id, offset, now)
		return err
	}
	for i := range maxReaders {
		require.NoError(t, read(fmt.Sprint("vm", i), 0))
	}
	require.True(t, isRefused(read("late", 0)))
	require.NoError(t, read("vm0", rangeBytes), "vm0 has read the whole bulk")
	require.NoError(t, read("late", 0))
	require.True(t, isRefused(read("later", 0)))
	now = now.Add(readerIdle + 1)
	require.NoError(t, read("later", 0), "the other readers have expired")
	_, err := b.read("vm0", id+1, 0, now)
	require.Equal(t, twirp.NotFound, err.(twirp.Error).Code())
}

// Failure guarded against: a VM of an earlier version is offered a bulk that it cannot read.
func TestPeerWithoutBulksGetsFullList(t *testing.T) {
	known := largeState()
	s := &Server{source: &source{known: known}, clk: &manualClock{}, bulks: newBulks()}
	out, err := s.Pull(context.Background(), &gossippb.PullRequest{})
	require.NoError(t, err)
	require.Empty(t, out.GetBulks())
	require.Equal(t, known.Catalog.Config, updateOf(out, &catalog.Catalog{}, 0).Config)
}
