package gossip

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
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
	"endivemoor.example/endivemoor/recency"
)

// thousands is what a VM with the configuration that the users plan for can tell.
func thousands() Knowledge {
	h := catalog.NewHolder()
	h.SetConfig(many(7, time.Second))
	return Knowledge{Catalog: h.Load()}
}

// Guards against a reply that grows with the lists that it carries, so that it does not arrive over a slow link.
func TestLargeListIsReadRangeByRange(t *testing.T) {
	known := thousands()
	var reads, lost atomic.Int32
	h := NewHandler(&source{known: known}, nil, &manual{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/Read") && reads.Add(1)%5 == 0 {
			lost.Add(1)
			panic(http.ErrAbortHandler)
		}
		h.ServeHTTP(w, r)
	}))
	defer server.Close()
	c, addr := NewClients((&net.Dialer{}).DialContext, &manual{}), strings.TrimPrefix(server.URL, "http://")
	q := Question{Self: "me", Known: &catalog.Catalog{}}
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
}

// Guards against a list that is encoded for each of hundreds of VMs, and kept for good.
func TestBulkIsSharedAndForgotten(t *testing.T) {
	clk := &manual{now: clock.Time(time.Hour)}
	s := &Server{source: &source{known: thousands()}, clk: clk, bulks: newBulks()}
	pull := func() *gossippb.PullReply {
		out, err := s.Pull(context.Background(), &gossippb.PullRequest{TakesBulks: true, TakesChanges: true})
		require.NoError(t, err)
		require.Less(t, proto.Size(out), inlineBytes)
		return out
	}
	first := pull().GetBulks()[0].GetId()
	clk.now = clk.now.Add(bulkKept)
	require.Equal(t, first, pull().GetBulks()[0].GetId())
	clk.now = clk.now.Add(bulkKept + 1)
	require.NotEqual(t, first, pull().GetBulks()[0].GetId())
	require.Len(t, s.bulks.kept, 1)
	for i := range int64(3 * maxBulks) {
		s.bulks.keep(bulkKey{recency.Config, i, i + 1}, nil, clk.now)
	}
	require.Len(t, s.bulks.kept, maxBulks)
}

// Guards against a list that is encoded once for each of those who ask at the same moment.
func TestBulkIsEncodedOnceForAllWhoAskAtOnce(t *testing.T) {
	s := &Server{source: &source{known: thousands()}, clk: &manual{now: clock.Time(time.Hour)}, bulks: newBulks()}
	var asked sync.WaitGroup
	for range 2 * maxBulks {
		asked.Go(func() {
			_, err := s.Pull(context.Background(), &gossippb.PullRequest{TakesBulks: true, TakesChanges: true})
			require.NoError(t, err)
		})
	}
	asked.Wait()
	require.Len(t, s.bulks.kept, 1)
}

// Guards against a link that many read over at once, so that no range arrives in time.
func TestFewReadAtOnce(t *testing.T) {
	now := clock.Time(time.Hour)
	b := newBulks()
	id := b.keep(bulkKey{recency.Config, 1, 2}, make([]byte, 2*rangeBytes), now).GetId()
	read := func(vm string, offset uint64) error {
		_, err := b.read(vm, id, offset, now)
		return err
	}
	for i := range maxReaders {
		require.NoError(t, read(fmt.Sprint("vm", i), 0))
	}
	require.True(t, isRefused(read("late", 0)))
	require.NoError(t, read("vm0", rangeBytes), "vm0 has read all")
	require.NoError(t, read("late", 0))
	require.True(t, isRefused(read("later", 0)))
	now = now.Add(readerIdle + 1)
	require.NoError(t, read("later", 0), "the others are gone")
	_, err := b.read("vm0", id+1, 0, now)
	require.Equal(t, twirp.NotFound, err.(twirp.Error).Code())
}

// Guards against a VM of an earlier version that is offered what it cannot read.
func TestWhoTakesNoBulksIsToldAll(t *testing.T) {
	known := thousands()
	s := &Server{source: &source{known: known}, clk: &manual{}, bulks: newBulks()}
	out, err := s.Pull(context.Background(), &gossippb.PullRequest{})
	require.NoError(t, err)
	require.Empty(t, out.GetBulks())
	require.Equal(t, known.Catalog.Config, newsOf(out, &catalog.Catalog{}, 0).Config)
}
