package proxy

import (
	"crypto/tls"
	"sync/atomic"

	"github.com/pkg/errors"
)

// Certificate serves a key pair from files that may be replaced while the process runs.
type Certificate struct {
	certFile, keyFile string
	current           atomic.Pointer[tls.Certificate]
}

// LoadCertificate reads the pair once, so that an invalid pair is reported at startup.
func LoadCertificate(certFile, keyFile string) (*Certificate, error) {
	c := &Certificate{certFile: certFile, keyFile: keyFile}
	return c, c.Reload()
}

// Reload reads the files again. On error the current pair stays in use.
func (c *Certificate) Reload() error {
	pair, err := tls.LoadX509KeyPair(c.certFile, c.keyFile)
	if err != nil {
		return errors.Wrap(err, "certificate")
	}
	c.current.Store(&pair)
	return nil
}

// Config returns a TLS configuration for servers that always presents the pair loaded last.
func (c *Certificate) Config() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return c.current.Load(), nil
		},
	}
}
