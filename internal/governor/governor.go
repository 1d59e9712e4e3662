// Package governor keeps the memory account of a router: every byte that is held on behalf of a
// client or an upstream is charged to it. It decides whether more may be held, and which
// connections are shed under pressure. The decisions do no I/O and read no clock.
//
// There are three bounds: in total, per connection and per client address. Small holders, whose
// connection holds at most Config.SmallBytes, may use the whole total; larger ones only a share
// of it, so that ordinary requests are admitted while large bodies are refused. Bytes of answers
// are charged unconditionally, because an answer that exists is delivered; the relayer's
// budget bounds them.
//
// # Usage
//
//	g := governor.New(governor.Config{TotalBytes: 48 << 20})
//	h := g.Open("192.0.2.1")
//	defer h.Close()
//	if verdict := h.Grow(4096); verdict != governor.Admitted {
//		return refuse(verdict)
//	}
//	defer h.Shrink(4096)
package governor

import (
	"sync"
	"sync/atomic"
	"time"
)

// Defaults of Config.
const (
	// DefaultTotalBytes is used where neither a setting nor the memory of the machine is known.
	DefaultTotalBytes = 256 << 20
	// DefaultSmallBytes has room for the largest body on the present sheets, 72 KB, three times, as
	// the buffer of a body in chunks doubles while the old one is copied, and for a head of 16 KB.
	DefaultSmallBytes = 256 << 10
)

// Shares of Config.TotalBytes. The rest above largePercent is for small holders; from
// pressurePercent on, unfinished requests are shed.
const (
	largePercent    = 60
	clientPercent   = 50
	pressurePercent = 80
	percent         = 100
)

// Config holds the bounds of an account. Zero fields select defaults.
type Config struct {
	TotalBytes int64
	// ConnBytes bounds a connection, ClientBytes the large holders of one client address.
	ConnBytes, ClientBytes int64
	SmallBytes             int64
}

func (c *Config) setDefaults() {
	if c.TotalBytes <= 0 {
		c.TotalBytes = DefaultTotalBytes
	}
	if c.SmallBytes <= 0 {
		c.SmallBytes = DefaultSmallBytes
	}
	if c.ConnBytes <= 0 {
		c.ConnBytes = c.TotalBytes * largePercent / percent
	}
	if c.ClientBytes <= 0 {
		c.ClientBytes = c.TotalBytes * clientPercent / percent
	}
}

// Governor is a memory account. It is safe for concurrent use.
type Governor struct {
	cfg        Config
	used, peak atomic.Int64
	kinds      [numKinds]atomic.Int64
	refused    atomic.Uint64
	shed       atomic.Uint64
	// largeRefused is true if a large request found no room since the last choice.
	largeRefused atomic.Bool
	// squeezed is true while the process uses more memory than the account explains.
	squeezed atomic.Bool

	mu      sync.Mutex
	clients map[string]*client
	// shedAt is when connections were last chosen to be shed.
	shedAt time.Time
}

// client sums the large holders of one client address.
type client struct {
	// conns counts the connections that are open or hold something.
	conns int
	large atomic.Int64
}

// New returns an empty account.
func New(cfg Config) *Governor {
	cfg.setDefaults()
	return &Governor{cfg: cfg, clients: make(map[string]*client)}
}

// Config returns the bounds in force.
func (g *Governor) Config() Config { return g.cfg }

// UsedBytes returns the bytes charged at present.
func (g *Governor) UsedBytes() int64 { return g.used.Load() }

// PeakBytes returns the highest number of bytes that were charged at a time.
func (g *Governor) PeakBytes() int64 { return g.peak.Load() }

// KindBytes returns the bytes charged for a kind at present.
func (g *Governor) KindBytes(k Kind) int64 { return g.kinds[k].Load() }

// Refused returns how often a reservation was refused.
func (g *Governor) Refused() uint64 { return g.refused.Load() }

// Shed returns how many connections were chosen to be shed.
func (g *Governor) Shed() uint64 { return g.shed.Load() }

// Squeeze sets whether the process uses more memory than it may although the account is within
// its bounds. New large bodies are refused then; nothing that runs is ended.
func (g *Governor) Squeeze(on bool) (changed bool) { return g.squeezed.Swap(on) != on }

// Squeezed reports the state set by Squeeze.
func (g *Governor) Squeezed() bool { return g.squeezed.Load() }

// NeedsShedding reports whether ChooseShed may choose candidates: the account is under pressure,
// or a large request found no room.
func (g *Governor) NeedsShedding() bool { return g.underPressure() || g.largeRefused.Load() }

func (g *Governor) underPressure() bool {
	return g.used.Load() >= g.cfg.TotalBytes*pressurePercent/percent
}

// Charge adds n bytes of a kind, or subtracts them if n is negative, unconditionally.
func (g *Governor) Charge(k Kind, n int64) {
	g.kinds[k].Add(n)
	g.add(n)
}

func (g *Governor) add(n int64) {
	used := g.used.Add(n)
	for peak := g.peak.Load(); used > peak; peak = g.peak.Load() {
		if g.peak.CompareAndSwap(peak, used) {
			return
		}
	}
}

// Open returns the Holder of a connection from a client address.
func (g *Governor) Open(address string) *Holder {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.clients[address]
	if c == nil {
		c = &client{}
		g.clients[address] = c
	}
	c.conns++
	return &Holder{g: g, client: c, address: address}
}

// Clients returns the number of addresses with a Holder that is open or holds something.
func (g *Governor) Clients() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.clients)
}

// Holder is what one connection holds. A nil Holder has no bounds.
type Holder struct {
	g       *Governor
	client  *client
	address string
	// bytes is what the connection holds.
	bytes atomic.Int64
	// closed is set by Close, forgotten once the client has one connection less.
	closed, forgotten atomic.Bool
}

// Bytes returns what the connection holds.
func (h *Holder) Bytes() int64 {
	if h == nil {
		return 0
	}
	return h.bytes.Load()
}

// Grow charges n bytes if the bounds have room for them.
func (h *Holder) Grow(n int64) Verdict {
	if h == nil {
		return Admitted
	}
	verdict := h.Check(n)
	if verdict == Admitted {
		h.add(n)
	}
	return verdict
}

// Check returns the verdict that Grow would return, without charging. A refusal is counted.
func (h *Holder) Check(n int64) Verdict {
	if h == nil {
		return Admitted
	}
	verdict := h.g.cfg.admit(usage{
		used: h.g.used.Load(), held: h.bytes.Load(), client: h.client.large.Load(), squeezed: h.g.squeezed.Load(),
	}, n)
	if verdict != Admitted {
		h.g.refused.Add(1)
		if verdict == OverTotal || verdict == OverClient {
			h.g.largeRefused.Store(true)
		}
	}
	return verdict
}

// Shrink releases n bytes. It may be called after Close.
func (h *Holder) Shrink(n int64) {
	if h != nil && n != 0 {
		h.add(-n)
	}
}

// add charges n bytes to the connection, the total and, as far as the connection is large, to
// the client.
func (h *Holder) add(n int64) {
	after := h.bytes.Add(n)
	large := h.g.cfg.largePart(after) - h.g.cfg.largePart(after-n)
	if large != 0 {
		h.client.large.Add(large)
	}
	h.g.Charge(KindRequests, n)
	if after == 0 {
		h.forgetIfEnded()
	}
}

// Close ends the connection. What was not released yet stays charged until it is, also to the
// client.
func (h *Holder) Close() {
	if h == nil {
		return
	}
	h.closed.Store(true)
	h.forgetIfEnded()
}

// forgetIfEnded forgets the connection once it is closed and holds nothing.
func (h *Holder) forgetIfEnded() {
	if !h.closed.Load() || h.bytes.Load() != 0 || h.forgotten.Swap(true) {
		return
	}
	h.g.mu.Lock()
	defer h.g.mu.Unlock()
	if h.client.conns--; h.client.conns == 0 {
		delete(h.g.clients, h.address)
	}
}
