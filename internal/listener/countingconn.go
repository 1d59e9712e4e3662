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

// llibTLSConfig is the configuration of nbio's fork of crypto/tls, which reads without
// blocking.
type llibTLSConfig = llib.Config

// countingConn counts the bytes passed to nbio.
type countingConn struct {
	*nbio.Conn
	sc *serverConn
}

// Write queues p for sending. Bytes that nbio does not accept, because the connection is
// closed or too much is pending, do not count as written.
func (c *countingConn) Write(p []byte) (int, error) {
	c.sc.writtenBytes.Add(int64(len(p)))
	n, err := c.Conn.Write(p)
	if err != nil {
		c.sc.writtenBytes.Add(int64(max(n, 0) - len(p)))
	}
	return n, err
}

// SetReadDeadline does nothing: the sweeper applies the read timeout.
func (c *countingConn) SetReadDeadline(time.Time) error { return nil }

func (sc *serverConn) wrapTLS(cfg *llibTLSConfig) net.Conn {
	const isClient, isNonBlocking = false, true
	return &nbhttp.Conn{Conn: llib.NewConn(sc.countingConn, cfg, isClient, isNonBlocking, mempool.DefaultMemPool)}
}

// convertTLSConfig converts the settings that a server uses to nbio's fork of crypto/tls.
func convertTLSConfig(cfg *tls.Config) *llibTLSConfig {
	if cfg == nil {
		return nil
	}
	out := &llibTLSConfig{
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
