package exchanger

import (
	"maps"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Traffic counts bytes on the wire, including handshakes.
type Traffic struct {
	SentBytes, ReceivedBytes uint64
}

// Stats is a snapshot of the counters of an exchanger since its creation.
type Stats struct {
	// Traffic is the traffic by kind of peer.
	Traffic map[string]Traffic
	// Sent and Received count messages. A message counts as sent when the receiver
	// has acknowledged it.
	Sent, Received uint64
	// Dropped counts messages dropped from a full queue, and Lost those given up
	// because the peer could not be reached.
	Dropped, Lost uint64
	// Duplicates counts messages that were received again and not delivered again.
	Duplicates uint64
	// Connections counts connections opened by this exchanger, ConnectionFailures those
	// that failed or could not be opened, and RejectedConnections those from peers that
	// failed the handshake.
	Connections, ConnectionFailures, RejectedConnections uint64
}

type counters struct {
	sent, received, dropped, lost, duplicates            atomic.Uint64
	connections, connectionFailures, rejectedConnections atomic.Uint64

	mu      sync.Mutex
	traffic map[string]*byteCounters
}

type byteCounters struct{ sent, received atomic.Uint64 }

func (c *counters) bytesByKind(kind string) *byteCounters {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.traffic == nil {
		c.traffic = map[string]*byteCounters{}
	}
	w, ok := c.traffic[kind]
	if !ok {
		w = &byteCounters{}
		c.traffic[kind] = w
	}
	return w
}

func (c *counters) stats() Stats {
	s := Stats{
		Traffic: map[string]Traffic{},
		Sent:    c.sent.Load(), Received: c.received.Load(),
		Dropped: c.dropped.Load(), Lost: c.lost.Load(), Duplicates: c.duplicates.Load(),
		Connections: c.connections.Load(), ConnectionFailures: c.connectionFailures.Load(), RejectedConnections: c.rejectedConnections.Load(),
	}
	c.mu.Lock()
	traffic := maps.Clone(c.traffic)
	c.mu.Unlock()
	for kind, w := range traffic {
		s.Traffic[kind] = Traffic{SentBytes: w.sent.Load(), ReceivedBytes: w.received.Load()}
	}
	return s
}

// countingConn counts the bytes of a connection and applies timeouts to reads and writes.
type countingConn struct {
	net.Conn
	bytes *byteCounters
	// writeTimeout applies to each write and readTimeout to each read; zero means no
	// timeout.
	writeTimeout, readTimeout time.Duration
}

// Read implements io.Reader.
func (c *countingConn) Read(p []byte) (int, error) {
	if c.readTimeout > 0 {
		_ = c.SetReadDeadline(time.Now().Add(c.readTimeout))
	}
	n, err := c.Conn.Read(p)
	c.bytes.received.Add(uint64(n))
	return n, err
}

// Write implements io.Writer.
func (c *countingConn) Write(p []byte) (int, error) {
	if c.writeTimeout > 0 {
		_ = c.SetWriteDeadline(time.Now().Add(c.writeTimeout))
	}
	n, err := c.Conn.Write(p)
	c.bytes.sent.Add(uint64(n))
	return n, err
}
