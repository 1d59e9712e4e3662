package listener

import (
	"crypto/tls"
	"net"
	"time"

	llib "github.com/lesismal/llib/std/crypto/tls"
	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/mempool"
	"github.com/lesismal/nbio/nbhttp"
)

// llibTLS is the configuration of nbio's kin of crypto/tls, which can read
// without blocking.
type llibTLS = llib.Config

// wire is a connection that counts the bytes handed to nbio.
type wire struct {
	*nbio.Conn
	b *boundary
}

// Write queues p for sending. What nbio refuses, because the connection is
// gone or holds too much, does not count as written.
func (w *wire) Write(p []byte) (int, error) {
	w.b.written.Add(int64(len(p)))
	n, err := w.Conn.Write(p)
	if err != nil {
		w.b.written.Add(int64(max(n, 0) - len(p)))
	}
	return n, err
}

// SetReadDeadline does nothing: the sweeper bounds reading.
func (w *wire) SetReadDeadline(time.Time) error { return nil }

func (b *boundary) encrypt(cfg *llibTLS) net.Conn {
	const isClient, isNonBlocking = false, true
	return &nbhttp.Conn{Conn: llib.NewConn(b.wire, cfg, isClient, isNonBlocking, mempool.DefaultMemPool)}
}

// convertTLS carries the settings that a server uses over to nbio's kin.
func convertTLS(cfg *tls.Config) *llibTLS {
	if cfg == nil {
		return nil
	}
	out := &llibTLS{
		ClientAuth: llib.ClientAuthType(cfg.ClientAuth),
		ClientCAs:  cfg.ClientCAs,
		MinVersion: max(cfg.MinVersion, tls.VersionTLS12),
		MaxVersion: cfg.MaxVersion,
	}
	for _, c := range cfg.Certificates {
		out.Certificates = append(out.Certificates, llib.Certificate{
			Certificate: c.Certificate,
			PrivateKey:  c.PrivateKey,
			Leaf:        c.Leaf,
		})
	}
	return out
}
