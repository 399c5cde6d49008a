package peer

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"

	"github.com/twitchtv/twirp"

	"endivemoor.example/endivemoor/internal/terse"
	"endivemoor.example/endivemoor/peer/peerpb"
)

// Handler processes the messages of peers. It is called from many goroutines.
type Handler interface {
	// OnExchange merges the sender's state and returns the state of this VM.
	OnExchange(ctx context.Context, in *peerpb.ExchangeRequest) *peerpb.ExchangeReply
	// OnObserve returns this VM's own evidence of a group's servers.
	OnObserve(in *peerpb.ObserveRequest) *peerpb.ObserveReply
	// OnCancel cancels the running statement of a session of this VM, and reports whether it found
	// the session.
	OnCancel(process uint32, secret []byte) bool
}

// service adapts a Handler to the generated interface and refuses senders without an ID or
// address.
type service struct {
	h Handler
}

// Exchange implements peerpb.Peer.
func (s service) Exchange(ctx context.Context, in *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error) {
	if err := checkSender(in.GetSender()); err != nil {
		return nil, err
	}
	return s.h.OnExchange(ctx, in), nil
}

// Observe implements peerpb.Peer.
func (s service) Observe(_ context.Context, in *peerpb.ObserveRequest) (*peerpb.ObserveReply, error) {
	if err := checkSender(in.GetSender()); err != nil {
		return nil, err
	}
	return s.h.OnObserve(in), nil
}

// Cancel implements peerpb.Peer.
func (s service) Cancel(_ context.Context, in *peerpb.CancelRequest) (*peerpb.CancelReply, error) {
	return &peerpb.CancelReply{Found: s.h.OnCancel(in.GetProcess(), in.GetSecret())}, nil
}

func checkSender(m *peerpb.Member) error {
	if m.GetVm() == "" {
		return twirp.RequiredArgumentError("sender.vm")
	}
	if m.GetAddr() == "" {
		return twirp.RequiredArgumentError("sender.addr")
	}
	return nil
}

// NewServer returns an HTTP server of the peer service. A non-nil config enables TLS and must
// require from every client a certificate of the fleet's authority.
func NewServer(h Handler, config *tls.Config) *http.Server {
	handler := terse.Handler(http.MaxBytesHandler(peerpb.NewPeerServer(service{h}), maxRequestBytes))
	return &http.Server{
		Handler:           handler,
		TLSConfig:         config,
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// Serve runs srv on ln, with TLS if it is configured.
func Serve(srv *http.Server, ln net.Listener) error {
	if srv.TLSConfig != nil {
		return srv.ServeTLS(ln, "", "")
	}
	return srv.Serve(ln)
}
