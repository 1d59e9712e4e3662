package dispatcher

import (
	"io"
	"net"

	"lentilwood.example/lentilwood/internal/governor"
)

const (
	// freeHeadBytes is the size of a head that is not charged to the memory account.
	freeHeadBytes = 4 << 10
	// headCopies is how often a head is held while it is parsed: as read and as header fields.
	headCopies = 2
	// upstreamReceiveBytes is the size set for the receive buffer of a connection, which the
	// kernel doubles. While an answer is not read because its caller reads slowly, the kernel
	// would else buffer megabytes of it outside the memory account.
	upstreamReceiveBytes = 64 << 10
)

// headMeter charges the bytes read from a connection to the memory account while the head of a
// response is read. Heads without end are given up when the account has no room.
type headMeter struct {
	r      io.Reader
	memory *governor.Governor
	// read counts the bytes since begin, charged those of them that are charged.
	read, charged int64
}

// begin starts counting the bytes of a head; memory may be nil.
func (m *headMeter) begin(memory *governor.Governor) { m.memory, m.read = memory, 0 }

// end releases the charge. Later bytes are not counted.
func (m *headMeter) end() {
	if m.memory != nil {
		m.memory.Charge(governor.KindReadAhead, -m.charged)
	}
	m.memory, m.charged = nil, 0
}

// Read implements io.Reader.
func (m *headMeter) Read(p []byte) (int, error) {
	n, err := m.r.Read(p)
	if m.memory == nil || n <= 0 {
		return n, err
	}
	m.read += int64(n)
	if m.read <= freeHeadBytes {
		return n, err
	}
	if m.memory.UsedBytes() >= m.memory.Config().TotalBytes {
		return 0, errNoMemory
	}
	m.charged += headCopies * int64(n)
	m.memory.Charge(governor.KindReadAhead, headCopies*int64(n))
	return n, err
}

// limitReceiveBuffer bounds what the kernel buffers for a connection. Failing to do so is no
// reason not to use the connection.
func limitReceiveBuffer(conn net.Conn) {
	if c, ok := conn.(*net.TCPConn); ok {
		_ = c.SetReadBuffer(upstreamReceiveBytes)
	}
}
