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

// llibTLSConfig is the configuration of nbio's kin of crypto/tls, which can read
// without blocking.
type llibTLSConfig = llib.Config

// countingConn is a connection that counts the bytes handed to nbio.
type countingConn struct {
	*nbio.Conn
	sc *serverConn
}

// Write queues p for sending. What nbio refuses, because the connection is
// gone or holds too much, does not count as written.
func (c *countingConn) Write(p []byte) (int, error) {
	c.sc.writtenBytes.Add(int64(len(p)))
	n, err := c.Conn.Write(p)
	if err != nil {
		c.sc.writtenBytes.Add(int64(max(n, 0) - len(p)))
	}
	return n, err
}

// SetReadDeadline does nothing: the sweeper bounds reading.
func (c *countingConn) SetReadDeadline(time.Time) error { return nil }

func (sc *serverConn) wrapTLS(cfg *llibTLSConfig) net.Conn {
	const isClient, isNonBlocking = false, true
	return &nbhttp.Conn{Conn: llib.NewConn(sc.countingConn, cfg, isClient, isNonBlocking, mempool.DefaultMemPool)}
}

// convertTLSConfig carries the settings that a server uses over to nbio's kin.
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
