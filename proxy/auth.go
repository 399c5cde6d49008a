package proxy

import (
	"crypto/hmac"
	"crypto/sha256"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"

	"endivemoor.example/endivemoor/outcome"
)

const mechanism = "SCRAM-SHA-256"

// authenticate authenticates user by SCRAM. The scram library implements the conversation.
func (s *caller) authenticate(user string) *outcome.Error {
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) {
		return s.srv.credentials(user), nil
	})
	if err != nil {
		return refuse(outcome.CodeInvalidAuthorization, "authentication is not available")
	}
	conv := server.NewConversation()
	first, oerr := s.saslFirst()
	if oerr != nil {
		return oerr
	}
	challenge, err := conv.Step(first)
	if err != nil {
		return wrongPassword(user)
	}
	proof, oerr := s.saslProof(challenge)
	if oerr != nil {
		return oerr
	}
	final, err := conv.Step(proof)
	if err != nil || !conv.Valid() {
		return wrongPassword(user)
	}
	s.be.Send(&pgproto3.AuthenticationSASLFinal{Data: []byte(final)})
	s.be.Send(&pgproto3.AuthenticationOk{})
	return nil
}

func (s *caller) saslFirst() (string, *outcome.Error) {
	s.be.Send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{mechanism}})
	msg, oerr := s.receiveSASL(pgproto3.AuthTypeSASL)
	if oerr != nil {
		return "", oerr
	}
	m, ok := msg.(*pgproto3.SASLInitialResponse)
	if !ok || m.AuthMechanism != mechanism {
		return "", refuse(outcome.CodeProtocolViolation, "expected a SASL response for "+mechanism)
	}
	return string(m.Data), nil
}

func (s *caller) saslProof(challenge string) (string, *outcome.Error) {
	s.be.Send(&pgproto3.AuthenticationSASLContinue{Data: []byte(challenge)})
	msg, oerr := s.receiveSASL(pgproto3.AuthTypeSASLContinue)
	if oerr != nil {
		return "", oerr
	}
	m, ok := msg.(*pgproto3.SASLResponse)
	if !ok {
		return "", refuse(outcome.CodeProtocolViolation, "expected a SASL response")
	}
	return string(m.Data), nil
}

// receiveSASL sends the buffered messages and reads the response to an authentication request.
func (s *caller) receiveSASL(authType uint32) (pgproto3.FrontendMessage, *outcome.Error) {
	if err := s.be.Flush(); err != nil {
		return nil, refuse(outcome.CodeProtocolViolation, "cannot write to the caller")
	}
	if err := s.be.SetAuthType(authType); err != nil {
		return nil, refuse(outcome.CodeProtocolViolation, err.Error())
	}
	msg, err := s.be.Receive()
	if err != nil {
		return nil, readRefusal(err)
	}
	return msg, nil
}

func wrongPassword(user string) *outcome.Error {
	return refuse(outcome.CodeInvalidPassword, "password authentication failed for user \""+user+"\"")
}

// credentials returns the user's stored credentials, or made-up ones that match no password.
//
// Failure guarded against: an attacker tries user names and learns from the replies which of them
// exist. The made-up salt is derived from the name and a secret of this process, so it looks like a
// real one and is the same on each attempt.
func (s *Server) credentials(user string) scram.StoredCredentials {
	if c, ok := s.cfg.Users.Lookup(user); ok {
		return c
	}
	mac := hmac.New(sha256.New, s.secret)
	mac.Write([]byte(user))
	sum := mac.Sum(nil)
	return scram.StoredCredentials{
		KeyFactors: scram.KeyFactors{Salt: string(sum[:16]), Iters: minIterations},
		StoredKey:  sum,
		ServerKey:  sum,
	}
}
