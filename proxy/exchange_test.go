package proxy

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/internal/standin/dbd"
	"endivemoor.example/endivemoor/view"
)

// scriptedTarget is a target whose answers to simple queries are set by a test.
type scriptedTarget struct {
	ln     net.Listener
	answer func(b *pgproto3.Backend, sql string)
}

func startScripted(t *testing.T, cl *cluster, answer func(b *pgproto3.Backend, sql string)) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	s := &scriptedTarget{ln: ln, answer: answer}
	go s.accept()
	g := *cl.views.Load().Groups["ledger"]
	g.Servers = []view.Server{{ID: "a", Addr: ln.Addr().String()}}
	cl.publish(g)
}

func (s *scriptedTarget) accept() {
	for {
		c, err := s.ln.Accept()
		if err != nil {
			return
		}
		go s.serve(c)
	}
}

func (s *scriptedTarget) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	b := pgproto3.NewBackend(c, c)
	if _, err := b.ReceiveStartupMessage(); err != nil {
		return
	}
	b.Send(&pgproto3.AuthenticationOk{})
	b.Send(&pgproto3.BackendKeyData{ProcessID: 1, SecretKey: []byte{1, 2, 3, 4}})
	b.Send(&pgproto3.ReadyForQuery{TxStatus: txIdle})
	for b.Flush() == nil {
		m, err := b.Receive()
		if err != nil {
			return
		}
		if q, ok := m.(*pgproto3.Query); ok {
			s.reply(b, q.String)
		}
	}
}

func (s *scriptedTarget) reply(b *pgproto3.Backend, sql string) {
	switch sql {
	case "DISCARD ALL":
		b.Send(&pgproto3.CommandComplete{CommandTag: []byte(sql)})
	case statusQuery:
		var d pgproto3.RowDescription
		for _, n := range []string{"server", "role", "term", "promised", "lsn", "start_lsn"} {
			d.Fields = append(d.Fields, pgproto3.FieldDescription{Name: []byte(n)})
		}
		b.Send(&d)
		b.Send(&pgproto3.DataRow{Values: [][]byte{[]byte("a"), []byte("primary"), []byte("1"), []byte("1"), []byte("9"), []byte("0")}})
		b.Send(&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")})
	default:
		s.answer(b, sql)
	}
	b.Send(&pgproto3.ReadyForQuery{TxStatus: txIdle})
}

// A target starts a COPY, whose data the proxy cannot withhold for its gate. The caller receives a
// specific error, and its next request gets a clean connection.
func TestCopyAnswersAreRefused(t *testing.T) {
	for name, first := range map[string]pgproto3.BackendMessage{
		"out": &pgproto3.CopyOutResponse{ColumnFormatCodes: []uint16{0}},
		"in":  &pgproto3.CopyInResponse{ColumnFormatCodes: []uint16{0}},
	} {
		t.Run(name, func(t *testing.T) {
			cl := startCluster(t, dbd.Options{})
			startScripted(t, cl, func(b *pgproto3.Backend, sql string) {
				if strings.HasPrefix(sql, "COPY") {
					b.Send(first)
					return
				}
				b.Send(&pgproto3.CommandComplete{CommandTag: []byte("SELECT 0")})
			})
			c := startProxy(t, cl).connect(t, simple)
			_, err := c.Exec(context.Background(), "COPY passes TO STDOUT")
			require.Equal(t, "0A000", pgError(t, err).Code)
			exec(t, c, "SELECT 1")
		})
	}
}

// A target sends a message that answers no request. It must not become part of the answer, and the
// connection must not be used again.
func TestStrayAnswersEndTheConnection(t *testing.T) {
	cl := startCluster(t, dbd.Options{})
	startScripted(t, cl, func(b *pgproto3.Backend, sql string) {
		if strings.HasPrefix(sql, "STRAY") {
			b.Send(&pgproto3.ParseComplete{})
		}
		b.Send(&pgproto3.CommandComplete{CommandTag: []byte("SELECT 0")})
	})
	r := startProxy(t, cl)
	c := r.connect(t, simple)
	_, err := c.Exec(context.Background(), "STRAY")
	require.Equal(t, "08007", pgError(t, err).Code)
	require.Contains(t, r.last().Attempts[0].Error, errStray.Error())
	exec(t, c, "SELECT 1")
}

// A large answer is streamed, whole and in order, although only a part of it fits into the proxy's
// buffer.
func TestLargeAnswersAreStreamed(t *testing.T) {
	cl := startCluster(t, dbd.Options{})
	const rows = 400
	startScripted(t, cl, func(b *pgproto3.Backend, _ string) {
		b.Send(&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("v"), DataTypeOID: 25}}})
		for range rows {
			b.Send(&pgproto3.DataRow{Values: [][]byte{[]byte(strings.Repeat("x", 1000))}})
		}
		b.Send(&pgproto3.CommandComplete{CommandTag: []byte("SELECT 400")})
	})
	r := startProxy(t, cl, func(c *Config) { c.Limits.AnswerBuffer = 8 << 10 })
	c := r.connect(t, simple)
	res, err := c.Query(context.Background(), "SELECT v")
	require.NoError(t, err)
	n := 0
	for res.Next() {
		require.Len(t, res.RawValues()[0], 1000)
		n++
	}
	require.NoError(t, res.Err())
	require.Equal(t, rows, n)
	require.NotEmpty(t, token(c), "the end of the answer waited for the gate")
}

// A caller requests a large answer and does not read it. Its request must not hold the connection
// to the target beyond its deadline.
func TestSlowReaderLosesItsConnection(t *testing.T) {
	cl := startCluster(t, dbd.Options{})
	startScripted(t, cl, func(b *pgproto3.Backend, sql string) {
		if sql == "SELECT 1" {
			b.Send(&pgproto3.CommandComplete{CommandTag: []byte("SELECT 0")})
			return
		}
		row := &pgproto3.DataRow{Values: [][]byte{[]byte(strings.Repeat("x", 1<<20))}}
		b.Send(&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("v"), DataTypeOID: 25}}})
		for range 64 {
			b.Send(row)
		}
		b.Send(&pgproto3.CommandComplete{CommandTag: []byte("SELECT 64")})
	})
	r := startProxy(t, cl)
	c := r.connect(t, simple).PgConn()
	buf, err := (&pgproto3.Query{String: "/*endivemoor kind=brief*/ SELECT v"}).Encode(nil)
	require.NoError(t, err)
	_, err = c.Conn().Write(buf)
	require.NoError(t, err)
	require.Eventually(t, func() bool { return r.pool.Stats("a").Open == 1 }, waitLimit, time.Millisecond)
	require.Eventually(t, func() bool { return r.pool.Stats("a").Open == 0 }, waitLimit, time.Millisecond)
	exec(t, r.connect(t, simple), "SELECT 1")
}
