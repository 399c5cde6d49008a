package daemon

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/pkg/errors"

	"endivemoor.example/endivemoor/settings"
)

// peerTLS returns the TLS configurations with which this daemon serves its peers and calls them,
// or nil if no key files are set. Both ends need a certificate of the fleet's authority, so that
// an unauthorized client cannot announce a primary.
func peerTLS(k settings.KeyFiles) (server, client *tls.Config, err error) {
	if k.Cert == "" {
		return nil, nil, nil
	}
	cert, err := tls.LoadX509KeyPair(k.Cert, k.Key)
	if err != nil {
		return nil, nil, errors.Wrap(err, "peers' key files")
	}
	pem, err := os.ReadFile(k.CA)
	if err != nil {
		return nil, nil, errors.Wrap(err, "peers' authority")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, nil, errors.Errorf("%s holds no certificate", k.CA)
	}
	server = &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{cert},
		ClientCAs:    roots,
		ClientAuth:   tls.RequireAndVerifyClientCert,
	}
	client = &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{cert}, RootCAs: roots}
	return server, client, nil
}
