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
	// inlineBytes is how large a list may be that a reply carries.
	inlineBytes = 16 << 10
	// rangeBytes is how much of a bulk one call reads: over a slow link that several
	// peers read over at once it still takes a fraction of callTimeout.
	rangeBytes = 8 << 10
	// maxReaders is how many peers may read bulks at once; the others ask elsewhere, or
	// later.
	maxReaders = 4
	// readerIdle is how long after its last range a peer counts as a reader.
	readerIdle = 400 * time.Millisecond
	// bulkKept is for how long a bulk is kept that nobody asks for.
	bulkKept = 3 * time.Second
	// maxBulks bounds the bulks that are kept.
	maxBulks = 8
)

// whole stands for the version that a whole list leads from.
const whole = -1

// bulkKey tells which change a bulk holds.
type bulkKey struct {
	list     recency.List
	from, to int64
}

type bulk struct {
	key  bulkKey
	data []byte
	used clock.Time
}

// bulks are lists too large for one reply. A peer reads them range by range: each fits
// into the time of a call, and those that have arrived are kept if the next one is late.
type bulks struct {
	// encoding is held while a list is encoded: who asks for the same meanwhile finds it.
	encoding sync.Mutex

	mu      sync.Mutex
	kept    map[uint64]*bulk
	readers map[string]clock.Time
}

func newBulks() *bulks {
	return &bulks{kept: make(map[uint64]*bulk), readers: make(map[string]clock.Time)}
}

// find returns the offer of a bulk that is kept; nil if there is none.
func (b *bulks) find(key bulkKey, now clock.Time) *gossippb.Bulk {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forget(now)
	for id, k := range b.kept {
		if k.key == key {
			k.used = now
			return &gossippb.Bulk{Id: id, Size: uint64(len(k.data))}
		}
	}
	return nil
}

// keep offers an encoded list.
func (b *bulks) keep(key bulkKey, data []byte, now clock.Time) *gossippb.Bulk {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.kept) >= maxBulks {
		b.drop()
	}
	id := rand.Uint64()
	b.kept[id] = &bulk{key: key, data: data, used: now}
	return &gossippb.Bulk{Id: id, Size: uint64(len(data))}
}

// forget drops the bulks that nobody has asked for lately, and readers that are gone.
func (b *bulks) forget(now clock.Time) {
	for id, k := range b.kept {
		if now.Sub(k.used) > bulkKept {
			delete(b.kept, id)
		}
	}
	for vm, at := range b.readers {
		if now.Sub(at) > readerIdle {
			delete(b.readers, vm)
		}
	}
}

// drop drops the bulk that was asked for the longest time ago.
func (b *bulks) drop() {
	var oldest uint64
	var at clock.Time
	for id, k := range b.kept {
		if oldest == 0 || k.used < at {
			oldest, at = id, k.used
		}
	}
	delete(b.kept, oldest)
}

// read returns a range for a peer.
func (b *bulks) read(vm string, id, offset uint64, now clock.Time) ([]byte, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forget(now)
	k := b.kept[id]
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

// tellList adds one list to a reply, as build encodes it: within the reply if it is
// small or the peer takes no bulks, and else as the offer of a bulk.
func (s *Server) tellList(out *gossippb.PullReply, in *gossippb.PullRequest, key bulkKey, build func(*gossippb.PullReply)) error {
	if !in.GetTakesBulks() {
		build(out)
		return nil
	}
	s.bulks.encoding.Lock()
	defer s.bulks.encoding.Unlock()
	now := s.clk.Now()
	if offer := s.bulks.find(key, now); offer != nil {
		out.Bulks = append(out.Bulks, offer)
		return nil
	}
	part := &gossippb.PullReply{}
	build(part)
	if proto.Size(part) <= inlineBytes {
		proto.Merge(out, part)
		return nil
	}
	data, err := pack(part)
	if err != nil {
		return err
	}
	out.Bulks = append(out.Bulks, s.bulks.keep(key, data, now))
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
