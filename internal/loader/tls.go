package loader

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/ansel1/merry/v2"
)

// ErrAuthority means that a file of authorities holds no certificate.
var ErrAuthority = merry.Sentinel("no certificate in the file of authorities")

// Config reads the files and returns the TLS configuration of a listener, nil
// for plain TCP.
func (t *TLS) Config() (*tls.Config, error) {
	if t == nil {
		return nil, nil
	}
	cert, err := tls.LoadX509KeyPair(t.CertFile, t.KeyFile)
	if err != nil {
		return nil, merry.Prependf(err, "read the certificate %s", t.CertFile)
	}
	cfg := &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS12}
	if t.CAFile == "" {
		return cfg, nil
	}
	pem, err := os.ReadFile(t.CAFile)
	if err != nil {
		return nil, merry.Prependf(err, "read the authorities %s", t.CAFile)
	}
	cfg.ClientCAs = x509.NewCertPool()
	if !cfg.ClientCAs.AppendCertsFromPEM(pem) {
		return nil, merry.Prependf(ErrAuthority, "%s", t.CAFile)
	}
	cfg.ClientAuth = tls.RequireAndVerifyClientCert
	return cfg, nil
}
