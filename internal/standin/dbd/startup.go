package dbd

import (
	"encoding/binary"
	"time"

	"endivemoor.example/endivemoor/internal/wait"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"
	"github.com/xdg-go/scram"
)

const (
	// startupTimeout bounds the time from the accepted connection until the client is authenticated.
	startupTimeout  = 10 * time.Second
	scramMechanism  = "SCRAM-SHA-256"
	scramIterations = 4096
	scramSalt       = "endivemoor-standin"
	refuseTLS       = 'N'
)

// fixedParameters are reported at startup and cannot be changed.
var fixedParameters = [][2]string{
	{"server_version", "15.0 (endivemoor stand-in)"},
	{"server_encoding", "UTF8"},
	{"standard_conforming_strings", "on"},
	{"integer_datetimes", "on"},
}

// start performs the startup handshake and reports whether it has succeeded.
func (x *session) start() bool {
	_ = x.conn.SetDeadline(time.Now().Add(startupTimeout))
	msg, ok := x.receiveStartup()
	if !ok {
		return false
	}
	x.user = msg.Parameters["user"]
	x.application = msg.Parameters["application_name"]
	x.conn.setApplication(x.application)
	x.settings = newSettings(msg.Parameters)
	if err := x.srv.admit(x); err != nil {
		x.sendFatal(err)
		return false
	}
	wait.For(x.srv.ctx, time.Duration(float64(x.srv.opts.ConnectCost)*x.srv.faults.slowFactor()))
	if err := x.authenticate(); err != nil {
		x.sendFatal(asSQLError(err))
		return false
	}
	x.completeStartup()
	_ = x.conn.SetDeadline(time.Time{})
	return x.be.Flush() == nil
}

// receiveStartup returns the client's startup message. It refuses requests for encryption, and
// carries out a cancel request, which ends the connection.
func (x *session) receiveStartup() (*pgproto3.StartupMessage, bool) {
	for {
		msg, err := x.be.ReceiveStartupMessage()
		if err != nil {
			return nil, false
		}
		switch m := msg.(type) {
		case *pgproto3.StartupMessage:
			return m, true
		case *pgproto3.CancelRequest:
			x.srv.cancelRequest(m.ProcessID, secretOf(m.SecretKey))
			return nil, false
		default:
			if _, err := x.conn.Write([]byte{refuseTLS}); err != nil {
				return nil, false
			}
		}
	}
}

func secretOf(key []byte) uint32 {
	if len(key) != 4 {
		return 0
	}
	return binary.BigEndian.Uint32(key)
}

// completeStartup queues the messages that end the handshake: the authentication result, the
// parameters, the cancellation key and ReadyForQuery.
func (x *session) completeStartup() {
	x.be.Send(&pgproto3.AuthenticationOk{})
	for _, p := range fixedParameters {
		x.be.Send(&pgproto3.ParameterStatus{Name: p[0], Value: p[1]})
	}
	for name := range reportedParameters {
		x.report(name)
	}
	x.be.Send(&pgproto3.BackendKeyData{
		ProcessID: x.pid,
		SecretKey: binary.BigEndian.AppendUint32(nil, x.secret),
	})
	x.ready()
}

// authenticate checks the password, if the server has users.
func (x *session) authenticate() error {
	if len(x.srv.opts.Users) == 0 {
		return nil
	}
	server, err := scram.SHA256.NewServer(x.credentials)
	if err != nil {
		return errors.Wrap(err, "start SCRAM")
	}
	conv := server.NewConversation()
	x.be.Send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{scramMechanism}})
	first, err := x.saslInitial()
	if err != nil {
		return err
	}
	challenge, err := conv.Step(first)
	if err != nil {
		return x.wrongPassword()
	}
	x.be.Send(&pgproto3.AuthenticationSASLContinue{Data: []byte(challenge)})
	proof, err := x.saslProof()
	if err != nil {
		return err
	}
	final, err := conv.Step(proof)
	if err != nil || !conv.Valid() {
		return x.wrongPassword()
	}
	x.be.Send(&pgproto3.AuthenticationSASLFinal{Data: []byte(final)})
	return nil
}

// credentials returns the credentials of the user of the startup message, since PostgreSQL clients
// leave the user name within SCRAM empty.
func (x *session) credentials(string) (scram.StoredCredentials, error) {
	password, ok := x.srv.opts.Users[x.user]
	if !ok {
		return scram.StoredCredentials{}, errors.Errorf("no user %q", x.user)
	}
	client, err := scram.SHA256.NewClient(x.user, password, "")
	if err != nil {
		return scram.StoredCredentials{}, err
	}
	return client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: scramSalt, Iters: scramIterations})
}

func (x *session) wrongPassword() error {
	return sqlErrorf(codeInvalidPassword, "password authentication failed for user %q", x.user)
}

func (x *session) saslInitial() (string, error) {
	if err := x.be.SetAuthType(pgproto3.AuthTypeSASL); err != nil {
		return "", err
	}
	msg, err := x.exchange()
	if err != nil {
		return "", err
	}
	m, ok := msg.(*pgproto3.SASLInitialResponse)
	if !ok {
		return "", sqlErrorf(codeProtocolViolation, "expected a SASL initial response")
	}
	return string(m.Data), nil
}

func (x *session) saslProof() (string, error) {
	if err := x.be.SetAuthType(pgproto3.AuthTypeSASLContinue); err != nil {
		return "", err
	}
	msg, err := x.exchange()
	if err != nil {
		return "", err
	}
	m, ok := msg.(*pgproto3.SASLResponse)
	if !ok {
		return "", sqlErrorf(codeProtocolViolation, "expected a SASL response")
	}
	return string(m.Data), nil
}

// exchange sends the queued messages and reads the next one.
func (x *session) exchange() (pgproto3.FrontendMessage, error) {
	if err := x.be.Flush(); err != nil {
		return nil, err
	}
	return x.be.Receive()
}
