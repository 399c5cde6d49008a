package dbd

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/pkg/errors"

	"endivemoor.example/endivemoor/timeline"
)

const (
	// PeerApplication is the prefix of a replica's application_name.
	PeerApplication = "endivemoor-replica"
	// ControlApplication is the prefix of the application_name of control connections, which do not
	// count towards the connection limit.
	ControlApplication = "endivemoor-control"
	// peerTimeout bounds a connection attempt to another server, and one query there.
	peerTimeout = 2 * time.Second
	// pollTimeout is how long a primary waits for a new entry before it answers a fetch with none.
	pollTimeout = 250 * time.Millisecond
	// pollLimit is the maximum number of entries in one answer.
	pollLimit = 500
)

// primaryHistory describes a primary's log: the starts of its terms and its last LSN.
type primaryHistory struct {
	starts timeline.History
	end    timeline.LSN
}

func (n *node) peerName() string { return PeerApplication + "/" + string(n.id) }

func dialPeer(ctx context.Context, name, addr string) (*pgconn.PgConn, error) {
	cfg, err := pgconn.ParseConfig("postgres://replica@" + addr + "/replication?sslmode=disable")
	if err != nil {
		return nil, errors.Wrap(err, "primary's address")
	}
	cfg.RuntimeParams["application_name"] = name
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return pgconn.ConnectConfig(ctx, cfg)
}

func closePeer(conn *pgconn.PgConn) {
	ctx, cancel := context.WithTimeout(context.Background(), retryDelay)
	defer cancel()
	_ = conn.Close(ctx)
}

// queryPeer runs one query, whose parameters are sent as text, and returns its rows.
func queryPeer(ctx context.Context, conn *pgconn.PgConn, sqlText string, args ...uint64) ([][][]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	params := make([][]byte, len(args))
	for i, a := range args {
		params[i] = strconv.AppendUint(nil, a, 10)
	}
	res := conn.ExecParams(ctx, sqlText, params, nil, nil, nil).Read()
	return res.Rows, res.Err
}

// fetchHistory queries the primary of term for the history of its log.
func fetchHistory(ctx context.Context, name, primary string, term timeline.Term) (primaryHistory, error) {
	conn, err := dialPeer(ctx, name, primary)
	if err != nil {
		return primaryHistory{}, err
	}
	defer closePeer(conn)
	rows, err := queryPeer(ctx, conn, "SELECT * FROM endivemoor_history($1)", uint64(term))
	if err != nil {
		return primaryHistory{}, err
	}
	var h primaryHistory
	for _, row := range rows {
		n, err := parseUints(row)
		if err != nil {
			return primaryHistory{}, err
		}
		h.starts = append(h.starts, timeline.Start{Term: timeline.Term(n[0]), LSN: timeline.LSN(n[1])})
		h.end = timeline.LSN(n[2])
	}
	return h, nil
}

// fetchEntries queries the primary of term for the entries after have.
func fetchEntries(ctx context.Context, conn *pgconn.PgConn, have timeline.Position, term timeline.Term) ([]Entry, error) {
	rows, err := queryPeer(ctx, conn, "SELECT * FROM endivemoor_log($1, $2, $3)",
		uint64(have.Term), uint64(have.LSN), uint64(term))
	if err != nil {
		return nil, err
	}
	out := make([]Entry, 0, len(rows))
	for _, row := range rows {
		n, err := parseUints(row[:3])
		if err != nil {
			return nil, err
		}
		e := Entry{
			Position:        timeline.Position{Term: timeline.Term(n[0]), LSN: timeline.LSN(n[1])},
			CommittedMicros: int64(n[2]),
		}
		if err := json.Unmarshal(row[3], &e.Statements); err != nil {
			return nil, errors.Wrap(err, "decode the statements of a replicated entry")
		}
		out = append(out, e)
	}
	return out, nil
}

func parseUints(row [][]byte) ([]uint64, error) {
	out := make([]uint64, len(row))
	for i, b := range row {
		n, err := strconv.ParseUint(string(b), 10, 64)
		if err != nil {
			return nil, errors.Wrap(err, "decode a number")
		}
		out[i] = n
	}
	return out, nil
}

// history returns the history of the log to a replica. Only the primary of term answers.
func (n *node) history(term timeline.Term) (primaryHistory, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.acceptsWritesLocked(term) {
		return primaryHistory{}, newFencedError(n.promised)
	}
	return primaryHistory{starts: n.entries.history, end: n.entries.end().LSN}, nil
}

// entriesAfter returns the entries after have to a replica. If there are none, it waits for one up
// to pollTimeout.
func (n *node) entriesAfter(ctx context.Context, have timeline.Position, term timeline.Term) ([]Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	for {
		out, appended, err := n.tryEntries(have, term)
		if err != nil || len(out) > 0 {
			return out, err
		}
		select {
		case <-appended:
		case <-ctx.Done():
			return nil, nil
		}
	}
}

// tryEntries returns the entries after have, and a channel that is closed when the next one is
// appended.
func (n *node) tryEntries(have timeline.Position, term timeline.Term) ([]Entry, <-chan struct{}, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.entries.end().Term != term {
		return nil, nil, sqlErrorf(codeNotInState, "this server's log is of term %d", n.entries.end().Term)
	}
	if !n.entries.contains(have) {
		return nil, nil, sqlErrorf(codeNotInState, "log mismatch at %v: follow again", have)
	}
	return n.entries.after(have.LSN, pollLimit), n.entries.appended, nil
}
