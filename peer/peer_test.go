package peer

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"math/big"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"endivemoor.example/endivemoor/peer/peerpb"
)

// authority signs the certificates of one fleet.
type authority struct {
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
}

func newAuthority(t testing.TB) *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	raw, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	require.NoError(t, err)
	cert, err := x509.ParseCertificate(raw)
	require.NoError(t, err)
	return &authority{key, cert}
}

func (a *authority) config(t testing.TB) *tls.Config {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(2), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, KeyUsage: x509.KeyUsageDigitalSignature,
	}
	raw, err := x509.CreateCertificate(rand.Reader, tmpl, a.cert, &key.PublicKey, a.key)
	require.NoError(t, err)
	pool := x509.NewCertPool()
	pool.AddCert(a.cert)
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{{Certificate: [][]byte{raw}, PrivateKey: key}},
		RootCAs:      pool, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert,
	}
}

// countingHandler counts exchanges.
type countingHandler struct{ exchanges int }

func (e *countingHandler) OnExchange(context.Context, *peerpb.ExchangeRequest) *peerpb.ExchangeReply {
	e.exchanges++
	return &peerpb.ExchangeReply{Generation: 7}
}
func (e *countingHandler) OnObserve(*peerpb.ObserveRequest) *peerpb.ObserveReply {
	return &peerpb.ObserveReply{}
}
func (e *countingHandler) OnCancel(uint32, []byte) bool { return true }

func serve(t testing.TB, h Handler, config *tls.Config) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	srv := NewServer(h, config)
	go func() { _ = Serve(srv, ln) }()
	t.Cleanup(func() { _ = srv.Close() })
	return ln.Addr().String()
}

// An unauthorized client on the network announces a primary of a later term, and every proxy would
// send its writes there. A daemon must accept calls only from holders of a certificate that the
// fleet's authority signed.
func TestOnlyTheFleetMayExchange(t *testing.T) {
	fleet := newAuthority(t)
	h := &countingHandler{}
	addr := serve(t, h, fleet.config(t))
	req := &peerpb.ExchangeRequest{Sender: &peerpb.Member{Vm: "p1", Addr: "127.0.0.1:1"}}

	reply, err := NewClients(fleet.config(t)).At(addr).Exchange(context.Background(), req)
	require.NoError(t, err)
	require.Equal(t, uint64(7), reply.GetGeneration())

	unauthorized := newAuthority(t).config(t)
	unauthorized.RootCAs = fleet.config(t).RootCAs
	_, err = NewClients(unauthorized).At(addr).Exchange(context.Background(), req)
	require.Error(t, err)
	_, err = NewClients(nil).At(addr).Exchange(context.Background(), req)
	require.Error(t, err)
	require.Equal(t, 1, h.exchanges)
}

func TestExchangeNeedsASender(t *testing.T) {
	addr := serve(t, &countingHandler{}, nil)
	_, err := NewClients(nil).At(addr).Exchange(context.Background(), &peerpb.ExchangeRequest{})
	require.ErrorContains(t, err, "sender.vm")
}
