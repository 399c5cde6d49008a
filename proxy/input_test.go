package proxy

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/internal/standin/dbd"
	"endivemoor.example/endivemoor/session"
)

// raw opens a connection without a driver.
func (r *rig) raw(t testing.TB) net.Conn {
	c, err := net.Dial("tcp", r.addr)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// lastError reads until the connection ends and returns the last error message.
func lastError(t testing.TB, c net.Conn) *pgproto3.ErrorResponse {
	f := pgproto3.NewFrontend(c, c)
	var last *pgproto3.ErrorResponse
	for {
		m, err := f.Receive()
		if err != nil {
			require.NotNil(t, last, "connection ended without an error message")
			return last
		}
		if e, ok := m.(*pgproto3.ErrorResponse); ok {
			cp := *e
			last = &cp
		}
	}
}

func TestGarbageFirstBytesAreRefused(t *testing.T) {
	r := startProxy(t, startCluster(t, dbd.Options{}))
	healthy := r.connect(t)
	for name, first := range map[string][]byte{
		"http":          []byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"),
		"tls":           {0x16, 0x03, 0x01, 0x02, 0x00, 0x01, 0x00, 0x01, 0xfc},
		"zero":          make([]byte, 64),
		"huge length":   {0x7f, 0xff, 0xff, 0xff, 0, 3, 0, 0},
		"negative":      {0xff, 0xff, 0xff, 0xff, 0, 3, 0, 0},
		"wrong version": {0, 0, 0, 8, 0, 2, 0, 0},
		"no terminator": {0, 0, 0, 12, 0, 3, 0, 0, 'u', 's', 'e', 'r'},
	} {
		t.Run(name, func(t *testing.T) {
			c := r.raw(t)
			_, err := c.Write(first)
			require.NoError(t, err)
			e := lastError(t, c)
			require.Equal(t, "FATAL", e.Severity)
			require.Equal(t, "08P01", e.Code)
		})
	}
	exec(t, healthy, "SELECT 1")
}

// A client opens connections and sends a byte now and then before login. If every byte extended the
// deadline, each connection would hold a session forever.
func TestSlowStartupIsCut(t *testing.T) {
	r := startProxy(t, startCluster(t, dbd.Options{}), func(c *Config) { c.Limits.Startup = 50 * time.Millisecond })
	c := r.raw(t)
	go drip(c, []byte{0, 0, 8}, 0)
	require.Equal(t, "08P01", lastError(t, c).Code)
	require.Eventually(t, func() bool { return r.Sessions() == 0 }, waitLimit, time.Millisecond)
}

// drip writes first, and then fill repeatedly until the other side closes the connection.
func drip(c net.Conn, first []byte, fill byte) {
	_, err := c.Write(first)
	for err == nil {
		time.Sleep(time.Millisecond)
		_, err = c.Write([]byte{fill})
	}
}

// A message arrives byte by byte and never ends. The session ends after a bounded time, and nothing
// of the message runs.
func TestUnfinishedMessageIsCut(t *testing.T) {
	r := startProxy(t, startCluster(t, dbd.Options{}), func(c *Config) { c.Limits.Message = 50 * time.Millisecond })
	c := r.connect(t)
	conn := c.PgConn().Conn()
	go drip(conn, []byte{'Q', 0, 0xf, 0, 0, 'S', 'E', 'L'}, 'x')
	require.Equal(t, "08P01", lastError(t, conn).Code)
}

func TestOversizedMessageIsRefused(t *testing.T) {
	r := startProxy(t, startCluster(t, dbd.Options{}), func(c *Config) {
		c.Limits.MaxMessage, c.Limits.MaxBatch = 4096, 16384
	})
	_, err := r.connect(t, simple).Exec(context.Background(), "SELECT '"+strings.Repeat("x", 5000)+"'")
	require.Equal(t, "54000", pgError(t, err).Code)

	c := r.connect(t, func(cfg *pgx.ConnConfig) { cfg.DefaultQueryExecMode = pgx.QueryExecModeExec })
	b := &pgx.Batch{}
	for range 20 {
		b.Queue("SELECT '" + strings.Repeat("x", 2000) + "'")
	}
	require.Equal(t, "54000", pgError(t, c.SendBatch(context.Background(), b).Close()).Code)
	exec(t, r.connect(t), "SELECT 1")
}

func TestUnknownMessageEndsTheSession(t *testing.T) {
	r := startProxy(t, startCluster(t, dbd.Options{}))
	conn := r.connect(t).PgConn().Conn()
	_, err := conn.Write([]byte{'!', 0, 0, 0, 4})
	require.NoError(t, err)
	require.Equal(t, "08P01", lastError(t, conn).Code)
}

func TestLoginRefusals(t *testing.T) {
	cl := startCluster(t, dbd.Options{})
	r := startProxy(t, cl)
	otherKeys, err := session.NewKeys("k1", map[string][]byte{"k1": bytes.Repeat([]byte("f"), session.MinKeyBytes)})
	require.NoError(t, err)
	watermarks := session.Watermarks{"ledger": cl.primary().Status().Position()}
	forged, err := otherKeys.Issue("app", watermarks, time.Now())
	require.NoError(t, err)
	foreign, err := cl.keys.Issue("other", watermarks, time.Now())
	require.NoError(t, err)
	for name, c := range map[string]struct {
		change func(*pgx.ConnConfig)
		code   string
	}{
		"wrong password":  {func(c *pgx.ConnConfig) { c.Password = "wrong" }, "28P01"},
		"unknown user":    {func(c *pgx.ConnConfig) { c.User = "nobody" }, "28P01"},
		"unknown group":   {func(c *pgx.ConnConfig) { c.Database = "nowhere" }, "3D000"},
		"unknown profile": {func(c *pgx.ConnConfig) { c.RuntimeParams[paramProfile] = "nope" }, "22023"},
		"no profile":      {func(c *pgx.ConnConfig) { delete(c.RuntimeParams, paramProfile) }, "22023"},
		"replication":     {func(c *pgx.ConnConfig) { c.RuntimeParams[paramReplication] = "database" }, "0A000"},
		"forged token":    {withToken(forged), "22023"},
		"foreign token":   {withToken(foreign), "22023"},
		"no token at all": {withToken("garbage"), "22023"},
	} {
		t.Run(name, func(t *testing.T) {
			cfg, err := pgx.ParseConfig(r.dsn(""))
			require.NoError(t, err)
			c.change(cfg)
			_, err = pgx.ConnectConfig(context.Background(), cfg)
			e := pgError(t, err)
			require.Equal(t, c.code, e.Code)
			require.Equal(t, "FATAL", e.Severity)
		})
	}
	require.Eventually(t, func() bool { return r.Sessions() == 0 }, waitLimit, time.Millisecond)
}

func TestSessionsAreBounded(t *testing.T) {
	r := startProxy(t, startCluster(t, dbd.Options{}), func(c *Config) { c.Limits.MaxSessions = 1 })
	held := r.connect(t)
	_, err := pgx.Connect(context.Background(), r.dsn(""))
	require.Equal(t, "53300", pgError(t, err).Code)
	exec(t, held, "SELECT 1")
}

func TestTLSAndReload(t *testing.T) {
	dir := t.TempDir()
	certFile, keyFile := filepath.Join(dir, "cert"), filepath.Join(dir, "key")
	writePair(t, certFile, keyFile)
	cert, err := LoadCertificate(certFile, keyFile)
	require.NoError(t, err)
	r := startProxy(t, startCluster(t, dbd.Options{}), func(c *Config) { c.TLS = cert.Config() })
	secure := func() *pgx.Conn {
		c, err := pgx.Connect(context.Background(), strings.Replace(r.dsn(""), "disable", "require", 1))
		require.NoError(t, err)
		t.Cleanup(func() { _ = c.Close(context.Background()) })
		return c
	}
	exec(t, secure(), "SELECT 1")
	require.NoError(t, os.WriteFile(certFile, []byte("broken"), 0o600))
	require.Error(t, cert.Reload())
	exec(t, secure(), "SELECT 1")
	writePair(t, certFile, keyFile)
	require.NoError(t, cert.Reload())
	exec(t, secure(), "SELECT 1")
	exec(t, r.connect(t), "SELECT 1")
}

func writePair(t *testing.T, certFile, keyFile string) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "proxy"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	require.NoError(t, err)
	rawKey, err := x509.MarshalECPrivateKey(key)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(certFile, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600))
	require.NoError(t, os.WriteFile(keyFile, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: rawKey}), 0o600))
}

// FuzzFirstBytes sends arbitrary first bytes on a connection. The proxy must neither panic nor keep
// the session, and must serve the next caller.
func FuzzFirstBytes(f *testing.F) {
	r := startProxy(f, startCluster(f, dbd.Options{}))
	start, err := (&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters:      map[string]string{"user": "app", "database": "ledger", paramProfile: "app"},
	}).Encode(nil)
	require.NoError(f, err)
	f.Add(start)
	f.Add(append(bytes.Clone(start), 'p', 0, 0, 0, 20))
	f.Add([]byte{0, 0, 0, 8, 4, 210, 22, 47})
	f.Add([]byte{0, 0, 0, 16, 4, 210, 22, 46, 0, 0, 0, 1, 0, 0, 0, 1})
	f.Add([]byte("GET / HTTP/1.1\r\n\r\n"))
	f.Fuzz(func(t *testing.T, first []byte) {
		c := r.raw(t)
		_, _ = c.Write(first)
		_ = c.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, io.LimitReader(c, 1<<20))
		_ = c.Close()
		require.Eventually(t, func() bool { return r.Sessions() == 0 }, waitLimit, time.Millisecond)
	})
}

func TestProfileBoundsItsSessions(t *testing.T) {
	cl := startCluster(t, dbd.Options{})
	p := testProfile()
	p.MaxSessions = 1
	cl.views.Load().Profiles.Profiles["app"] = p
	r := startProxy(t, cl)
	held := r.connect(t)
	_, err := pgx.Connect(context.Background(), r.dsn(""))
	require.Equal(t, "53300", pgError(t, err).Code)
	require.NoError(t, held.Close(context.Background()))
	require.Eventually(t, func() bool { return r.Sessions() == 0 }, waitLimit, time.Millisecond)
	exec(t, r.connect(t), "SELECT 1")
}

// A driver prepares each statement under a new name and never closes one.
func TestPreparedStatementsAreBounded(t *testing.T) {
	r := startProxy(t, startCluster(t, dbd.Options{}), func(c *Config) { c.Limits.MaxStatements = 3 })
	c := r.connect(t)
	for _, n := range []string{"s1", "s2", "s3"} {
		_, err := c.Prepare(context.Background(), n, "SELECT 1")
		require.NoError(t, err)
	}
	_, err := c.Prepare(context.Background(), "s4", "SELECT 1")
	require.Equal(t, "54000", pgError(t, err).Code)
}

// FuzzMessages sends arbitrary bytes after the login. The proxy must neither panic nor keep the
// session, and its connections to the target must stay usable.
func FuzzMessages(f *testing.F) {
	r := startProxy(f, startCluster(f, dbd.Options{}))
	encode := func(ms ...pgproto3.FrontendMessage) (buf []byte) {
		for _, m := range ms {
			buf, _ = m.Encode(buf)
		}
		return buf
	}
	query := &pgproto3.Query{String: "SELECT 1"}
	bind, execute, sync := &pgproto3.Bind{}, &pgproto3.Execute{}, &pgproto3.Sync{}
	f.Add(encode(query, &pgproto3.Terminate{}))
	f.Add(encode(&pgproto3.Parse{Query: "SELECT 1"}, bind, &pgproto3.Describe{ObjectType: 'P'}, execute, sync))
	f.Add(encode(&pgproto3.Parse{Name: "s", Query: "BEGIN"}, &pgproto3.Flush{}, bind, execute, &pgproto3.Flush{}, sync))
	f.Add(encode(&pgproto3.Describe{ObjectType: 'x', Name: "s"}, &pgproto3.Close{ObjectType: 'y'}, execute, sync, query))
	f.Add(encode(&pgproto3.CopyData{Data: []byte("x")}, &pgproto3.CopyDone{}, &pgproto3.CopyFail{}, sync))
	f.Add(encode(&pgproto3.Query{String: "/*endivemoor kind=balance&key=%zz"}, &pgproto3.Query{String: "/*endivemoor kind=note*/"}))
	f.Add([]byte{'p', 0, 0, 0, 5, 0, 'S', 0, 0, 0, 4, 'Q', 0, 0, 0, 4})
	f.Fuzz(func(t *testing.T, messages []byte) {
		h, err := r.connect(t).PgConn().Hijack()
		require.NoError(t, err)
		_, _ = h.Conn.Write(messages)
		_ = h.Conn.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, io.LimitReader(h.Conn, 1<<20))
		_ = h.Conn.Close()
		require.Eventually(t, func() bool { return r.Sessions() == 0 }, waitLimit, time.Millisecond)
		exec(t, r.connect(t), "SELECT 1")
	})
}
