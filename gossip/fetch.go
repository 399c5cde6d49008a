package gossip

import (
	"bytes"
	"compress/gzip"
	"context"
	"io"
	"time"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"endivemoor.example/endivemoor/gossip/gossippb"
	"endivemoor.example/endivemoor/internal/wait"
)

const (
	// rangeTries is how often a range is requested before the read of the bulk fails.
	rangeTries = 3
	// rangePause is the pause between two tries.
	rangePause = 50 * time.Millisecond
	// maxBulkBytes bounds a bulk, both compressed and uncompressed: larger than the largest object
	// of the store, and than the lists of thousands of VMs.
	maxBulkBytes = 16 << 20
)

// Bulk is a list that a peer offers to read range by range.
type Bulk struct {
	id   uint64
	size uint64
}

// Size returns the size in bytes on the network, that is, compressed.
func (b Bulk) Size() int { return int(b.size) }

func bulksOf(in []*gossippb.Bulk) []Bulk {
	var out []Bulk
	for _, b := range in {
		out = append(out, Bulk{id: b.GetId(), size: b.GetSize()})
	}
	return out
}

// Fetch reads a bulk that the peer has offered in its reply to a pull. A range that does not arrive
// is requested again; the ranges before it are kept.
func (c *Clients) Fetch(ctx context.Context, addr string, q PullOptions, b Bulk) (*Update, error) {
	if b.size > maxBulkBytes {
		return nil, errors.Errorf("read bulk from %s: size of %d bytes exceeds the limit of %d", addr, b.size, maxBulkBytes)
	}
	sent := c.clk.Now()
	data := make([]byte, 0, b.size)
	for uint64(len(data)) < b.size {
		part, err := c.readRange(ctx, addr, &gossippb.ReadRequest{Vm: q.Self, Id: b.id, Offset: uint64(len(data))})
		if err != nil {
			return nil, errors.Wrapf(err, "read bulk from %s: at byte %d of %d", addr, len(data), b.size)
		}
		data = append(data, part...)
	}
	in, err := unpack(data)
	if err != nil {
		return nil, errors.Wrapf(err, "read bulk from %s", addr)
	}
	return updateOf(in, q.Known, sent), nil
}

// readRange reads one range, and retries up to rangeTries times in all.
func (c *Clients) readRange(ctx context.Context, addr string, in *gossippb.ReadRequest) ([]byte, error) {
	var last error
	for range rangeTries {
		out, err := c.client(addr).Read(ctx, in)
		switch {
		case err == nil && len(out.GetData()) == 0:
			return nil, errors.New("peer returned an empty range")
		case err == nil:
			return out.GetData(), nil
		case isRefused(err):
			return nil, err
		}
		last = err
		if !wait.For(ctx, rangePause) {
			break
		}
	}
	return nil, last
}

// isRefused reports whether a peer has replied that it does not serve the range.
func isRefused(err error) bool {
	var refused twirp.Error
	return errors.As(err, &refused) && (refused.Code() == twirp.NotFound || refused.Code() == twirp.ResourceExhausted)
}

// unpack is the reverse of pack.
func unpack(data []byte) (*gossippb.PullReply, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, errors.Wrap(err, "decompress list")
	}
	raw, err := io.ReadAll(io.LimitReader(r, maxBulkBytes))
	if err != nil {
		return nil, errors.Wrap(err, "decompress list")
	}
	var m gossippb.PullReply
	if err := proto.Unmarshal(raw, &m); err != nil {
		return nil, errors.Wrap(err, "decode list")
	}
	return &m, nil
}
