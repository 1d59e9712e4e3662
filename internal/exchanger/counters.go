package exchanger

import (
	"maps"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Traffic counts bytes on the wire, handshakes included.
type Traffic struct {
	SentBytes, ReceivedBytes uint64
}

// Stats is what an exchanger counted since it was made.
type Stats struct {
	// Traffic is by the kind of peer.
	Traffic map[string]Traffic
	// Sent and Received count messages; a message counts as sent once its
	// receiver acknowledged it.
	Sent, Received uint64
	// Dropped counts messages that a full queue pushed out, and Lost those
	// that were given up because the peer could not be reached.
	Dropped, Lost uint64
	// Duplicates counts messages that arrived twice and were delivered once.
	Duplicates uint64
	// Connections counts connections made, ConnectionFailures those that broke or could
	// not be made, and RejectedConnections those whose other end did not prove the key.
	Connections, ConnectionFailures, RejectedConnections uint64
}

type counters struct {
	sent, received, dropped, lost, repeated atomic.Uint64
	connects, failures, rejected            atomic.Uint64

	mu      sync.Mutex
	traffic map[string]*wireCount
}

type wireCount struct{ sent, received atomic.Uint64 }

func (c *counters) kind(name string) *wireCount {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.traffic == nil {
		c.traffic = map[string]*wireCount{}
	}
	w, ok := c.traffic[name]
	if !ok {
		w = &wireCount{}
		c.traffic[name] = w
	}
	return w
}

func (c *counters) stats() Stats {
	s := Stats{
		Traffic: map[string]Traffic{},
		Sent:    c.sent.Load(), Received: c.received.Load(),
		Dropped: c.dropped.Load(), Lost: c.lost.Load(), Duplicates: c.repeated.Load(),
		Connections: c.connects.Load(), ConnectionFailures: c.failures.Load(), RejectedConnections: c.rejected.Load(),
	}
	c.mu.Lock()
	kinds := maps.Clone(c.traffic)
	c.mu.Unlock()
	for name, w := range kinds {
		s.Traffic[name] = Traffic{SentBytes: w.sent.Load(), ReceivedBytes: w.received.Load()}
	}
	return s
}

// countedConn counts bytes, bounds writes in time, and reads in time and size.
type countedConn struct {
	net.Conn
	count *wireCount
	// writeTimeout bounds each write, and readTimeout each wait for bytes;
	// zero means no bound.
	writeTimeout, readTimeout time.Duration
}

// Read implements io.Reader.
func (c *countedConn) Read(p []byte) (int, error) {
	if c.readTimeout > 0 {
		_ = c.SetReadDeadline(time.Now().Add(c.readTimeout))
	}
	n, err := c.Conn.Read(p)
	c.count.received.Add(uint64(n))
	return n, err
}

// Write implements io.Writer.
func (c *countedConn) Write(p []byte) (int, error) {
	if c.writeTimeout > 0 {
		_ = c.SetWriteDeadline(time.Now().Add(c.writeTimeout))
	}
	n, err := c.Conn.Write(p)
	c.count.sent.Add(uint64(n))
	return n, err
}
