package proxy

import (
	"context"
	"crypto/tls"
	"maps"
	"slices"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"go.uber.org/zap"

	"endivemoor.example/endivemoor/outcome"
	"endivemoor.example/endivemoor/session"
)

const (
	// maxStartupMessage bounds messages before the login, in bytes.
	maxStartupMessage = 8 << 10
	// maxNegotiations bounds the SSL and GSS requests of one connection.
	maxNegotiations = 3

	paramUser        = "user"
	paramDatabase    = "database"
	paramProfile     = "endivemoor.profile"
	paramToken       = "endivemoor.session"
	paramReplication = "replication"
)

// reportedParameters are sent at login. They never change, since session settings end with each
// transaction.
var reportedParameters = map[string]string{
	"server_version":              "16.0 (endivemoor)",
	"server_encoding":             "UTF8",
	"client_encoding":             "UTF8",
	"DateStyle":                   "ISO, MDY",
	"IntervalStyle":               "postgres",
	"TimeZone":                    "UTC",
	"integer_datetimes":           "on",
	"standard_conforming_strings": "on",
}

// login runs the startup, from the first byte to the first ReadyForQuery, within Limits.Startup,
// and reports whether the session is established.
func (s *caller) login() bool {
	_ = s.raw.SetDeadline(time.Now().Add(s.srv.cfg.Limits.Startup))
	start, oerr := s.negotiate()
	if start == nil && oerr == nil {
		return false
	}
	if oerr == nil {
		oerr = s.authorize(start)
	}
	if oerr != nil {
		s.srv.metrics.refusedStartup(oerr.Code)
		s.sendFatal(oerr)
		return false
	}
	return s.completeLogin()
}

// negotiate reads up to the startup message. Both results are nil if the connection carried a
// cancel request or failed.
func (s *caller) negotiate() (*pgproto3.StartupMessage, *outcome.Error) {
	for range maxNegotiations {
		m, err := s.be.ReceiveStartupMessage()
		if err != nil {
			return nil, startupRefusal(err)
		}
		switch m := m.(type) {
		case *pgproto3.StartupMessage:
			return m, nil
		case *pgproto3.CancelRequest:
			s.srv.cancelRequest(m)
			return nil, nil
		case *pgproto3.SSLRequest:
			if err := s.startTLS(); err != nil {
				return nil, nil
			}
		case *pgproto3.GSSEncRequest:
			if _, err := s.raw.Write([]byte{'N'}); err != nil {
				return nil, nil
			}
		}
	}
	return nil, refuse(outcome.CodeProtocolViolation, "too many encryption requests")
}

// startupRefusal returns the answer to a malformed startup message, or nil if the caller
// disconnected, as a load balancer's health check does.
func startupRefusal(err error) *outcome.Error {
	if isDisconnect(err) {
		return nil
	}
	return readRefusal(err)
}

// startTLS answers an SSL request. Bytes received before the handshake are refused, since they
// would be taken for encrypted ones (CVE-2021-23214).
func (s *caller) startTLS() error {
	if _, secured := s.raw.(*tls.Conn); s.srv.cfg.TLS == nil || secured {
		_, err := s.raw.Write([]byte{'N'})
		return err
	}
	if _, err := s.raw.Write([]byte{'S'}); err != nil {
		return err
	}
	conn := tls.Server(s.raw, s.srv.cfg.TLS)
	if err := conn.HandshakeContext(context.Background()); err != nil {
		s.srv.cfg.Log.Info("tls_handshake_failed", zap.Error(err))
		return err
	}
	s.attach(conn)
	return nil
}

// authorize authenticates the caller before it evaluates the request for a group and a profile, so
// that an unauthenticated client learns nothing about them.
func (s *caller) authorize(m *pgproto3.StartupMessage) *outcome.Error {
	params, oerr := startupParams(m.Parameters)
	if oerr != nil {
		return oerr
	}
	user := params[paramUser]
	if user == "" {
		return refuse(outcome.CodeInvalidAuthorization, "no user name was given")
	}
	s.state.User = user
	if oerr := s.authenticate(user); oerr != nil {
		return oerr
	}
	if oerr := s.selectGroupAndProfile(params); oerr != nil {
		return oerr
	}
	return s.restoreWatermark(params[paramToken])
}

// selectGroupAndProfile looks up the group and the profile that the caller names.
func (s *caller) selectGroupAndProfile(params map[string]string) *outcome.Error {
	if params[paramReplication] != "" {
		return refuse(codeNotSupported, "replication connections are not supported")
	}
	v := s.srv.cfg.View.Load()
	name := params[paramDatabase]
	if name == "" {
		name = s.state.User
	}
	if v.Groups[name] == nil {
		return refuse(outcome.CodeUndefinedDatabase, "database group \""+name+"\" does not exist")
	}
	p := v.Profiles.Profile(params[paramProfile])
	if p == nil {
		return refuse(outcome.CodeInvalidParameter, "profile \""+params[paramProfile]+"\" is not published: set "+paramProfile)
	}
	if oerr := s.srv.addToProfile(s, p); oerr != nil {
		return oerr
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.ID = uint64(s.pid)
	s.state.Group = name
	s.state.Profile = p
	return nil
}

// restoreWatermark takes the session's watermark from the caller's token.
func (s *caller) restoreWatermark(token string) *outcome.Error {
	s.state.Watermarks = session.Watermarks{}
	if token == "" {
		return nil
	}
	watermarks, err := s.srv.cfg.Tokens.Verify(token, s.state.User, time.Now())
	if err != nil {
		return refuse(outcome.CodeInvalidParameter, paramToken+": "+err.Error())
	}
	s.state.Watermarks = watermarks
	return nil
}

func (s *caller) completeLogin() bool {
	for _, name := range slices.Sorted(maps.Keys(reportedParameters)) {
		s.be.Send(&pgproto3.ParameterStatus{Name: name, Value: reportedParameters[name]})
	}
	s.be.Send(&pgproto3.BackendKeyData{ProcessID: s.pid, SecretKey: s.secret})
	s.be.Send(&pgproto3.ReadyForQuery{TxStatus: txIdle})
	if s.be.Flush() != nil {
		return false
	}
	s.be.SetMaxBodyLen(s.srv.cfg.Limits.MaxMessage)
	return s.raw.SetDeadline(time.Time{}) == nil
}
