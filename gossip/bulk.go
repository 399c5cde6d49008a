package gossip

import (
	"bytes"
	"compress/gzip"
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"endivemoor.example/endivemoor/clock"
	"endivemoor.example/endivemoor/gossip/gossippb"
	"endivemoor.example/endivemoor/recency"
)

const (
	// inlineBytes is the largest size of a list that a reply carries itself.
	inlineBytes = 16 << 10
	// rangeBytes is how much of a bulk one call reads: small enough that several peers that read
	// concurrently over a slow link still need only a fraction of callTimeout.
	rangeBytes = 8 << 10
	// maxReaders is how many peers may read bulks concurrently; other peers read from another VM,
	// or later.
	maxReaders = 4
	// readerIdle is how long after its last range a peer counts as a reader.
	readerIdle = 400 * time.Millisecond
	// bulkTTL is how long a bulk is retained after its last use.
	bulkTTL = 3 * time.Second
	// maxBulks bounds the bulks that are retained.
	maxBulks = 8
)

// fullList is the base version of a bulk that holds a full list instead of a change.
const fullList = -1

// bulkKey identifies the change that a bulk holds.
type bulkKey struct {
	list     recency.List
	from, to int64
}

type bulk struct {
	key  bulkKey
	data []byte
	used clock.Time
}

// bulkCache holds the lists that are too large for one reply. A peer reads a list range by range:
// each range fits into the time of one call, and the ranges that have arrived are kept if the next
// one is late.
type bulkCache struct {
	// encoding is held while a list is encoded, so that concurrent requests for the same list find
	// the bulk instead of encoding it again.
	encoding sync.Mutex

	mu      sync.Mutex
	byID    map[uint64]*bulk
	readers map[string]clock.Time
}

func newBulks() *bulkCache {
	return &bulkCache{byID: make(map[uint64]*bulk), readers: make(map[string]clock.Time)}
}

// find returns the offer of a retained bulk; nil if there is none.
func (b *bulkCache) find(key bulkKey, now clock.Time) *gossippb.Bulk {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire(now)
	for id, k := range b.byID {
		if k.key == key {
			k.used = now
			return &gossippb.Bulk{Id: id, Size: uint64(len(k.data))}
		}
	}
	return nil
}

// add retains an encoded list and returns the offer of it.
func (b *bulkCache) add(key bulkKey, data []byte, now clock.Time) *gossippb.Bulk {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.byID) >= maxBulks {
		b.evict()
	}
	id := rand.Uint64()
	b.byID[id] = &bulk{key: key, data: data, used: now}
	return &gossippb.Bulk{Id: id, Size: uint64(len(data))}
}

// expire drops the bulks that were not used within bulkTTL, and the readers that are idle.
func (b *bulkCache) expire(now clock.Time) {
	for id, k := range b.byID {
		if now.Sub(k.used) > bulkTTL {
			delete(b.byID, id)
		}
	}
	for vm, at := range b.readers {
		if now.Sub(at) > readerIdle {
			delete(b.readers, vm)
		}
	}
}

// evict drops the least recently used bulk.
func (b *bulkCache) evict() {
	var oldest uint64
	var at clock.Time
	for id, k := range b.byID {
		if oldest == 0 || k.used < at {
			oldest, at = id, k.used
		}
	}
	delete(b.byID, oldest)
}

// read returns the range of a bulk at an offset to a peer.
func (b *bulkCache) read(vm string, id, offset uint64, now clock.Time) ([]byte, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire(now)
	k := b.byID[id]
	if k == nil {
		return nil, twirp.NotFoundError("no such bulk")
	}
	if _, reads := b.readers[vm]; !reads && len(b.readers) >= maxReaders {
		return nil, twirp.NewError(twirp.ResourceExhausted, "others read")
	}
	b.readers[vm], k.used = now, now
	size := uint64(len(k.data))
	from := min(offset, size)
	to := min(from+rangeBytes, size)
	if to == size {
		delete(b.readers, vm)
	}
	return k.data[from:to], nil
}

// Read implements gossippb.Gossip.
func (s *Server) Read(_ context.Context, in *gossippb.ReadRequest) (*gossippb.ReadReply, error) {
	data, err := s.bulks.read(in.GetVm(), in.GetId(), in.GetOffset(), s.clk.Now())
	if err != nil {
		return nil, err
	}
	return &gossippb.ReadReply{Data: data}, nil
}

// key returns the key of the bulk that holds the update. One bulk of a full list serves all peers.
func (u *listUpdate) key() bulkKey {
	if u.full {
		return bulkKey{u.list, fullList, u.to}
	}
	return bulkKey{u.list, u.known, u.to}
}

// addList adds the update of one list to a reply: inline if it is small or the peer does not take
// bulks, and otherwise as the offer of a bulk.
func (s *Server) addList(out *gossippb.PullReply, in *gossippb.PullRequest, u listUpdate) error {
	if !in.GetTakesBulks() {
		u.addTo(out)
		return nil
	}
	key := u.key()
	s.bulks.encoding.Lock()
	defer s.bulks.encoding.Unlock()
	now := s.clk.Now()
	if offer := s.bulks.find(key, now); offer != nil {
		out.Bulks = append(out.Bulks, offer)
		return nil
	}
	part := &gossippb.PullReply{}
	u.addTo(part)
	if proto.Size(part) <= inlineBytes {
		proto.Merge(out, part)
		return nil
	}
	data, err := pack(part)
	if err != nil {
		return err
	}
	out.Bulks = append(out.Bulks, s.bulks.add(key, data, now))
	return nil
}

// pack encodes and compresses a reply.
func pack(m *gossippb.PullReply) ([]byte, error) {
	raw, err := proto.Marshal(m)
	if err != nil {
		return nil, errors.Wrap(err, "encode list")
	}
	var out bytes.Buffer
	w, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compress list")
	}
	if _, err := w.Write(raw); err != nil {
		return nil, errors.Wrap(err, "compress list")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress list")
	}
	return out.Bytes(), nil
}
