// Package relayer buffers the response of an upstream on its way to the caller. The buffer is
// bounded and lets the upstream finish at its own pace, so that a slow caller does not occupy
// a slot of the upstream.
//
// All streams of a router share one Budget. A stream that has reached its own limit, or finds
// the budget exhausted, reports HasRoom as false: its user stops reading from the upstream,
// which applies back-pressure. No data is ever dropped.
//
// # Usage
//
//	budget := relayer.NewBudget(64 << 20)
//	s := relayer.NewStream(caller, budget, relayer.Limits{})
//	defer s.Close()
//	if s.HasRoom() {
//		s.Push(event)
//	}
//	err := s.Pump() // writes as much as the caller's connection accepts
package relayer

import (
	"sync/atomic"
)

// Defaults of Limits.
const (
	// DefaultWindowBytes bounds the unsent bytes inside the caller's connection.
	DefaultWindowBytes = 64 << 10
	// DefaultStreamBytes bounds the unsent bytes of one caller.
	DefaultStreamBytes = 4 << 20
	// DefaultBudgetBytes bounds the bytes buffered for all callers.
	DefaultBudgetBytes = 256 << 20
)

// Caller is the connection to a caller.
type Caller interface {
	Write(p []byte) (int, error)
	Flush()
	// Pending returns the number of bytes written and not yet sent.
	Pending() int
}

// Limits bounds one stream. A zero field selects its default.
type Limits struct {
	WindowBytes int
	StreamBytes int
}

// Account is the memory account of the process.
type Account interface {
	// Charge adds n bytes, or subtracts them if n is negative.
	Charge(n int64)
}

// Budget bounds the bytes that all streams of a router buffer. It is safe for concurrent use.
type Budget struct {
	limit   int64
	account Account
	used    atomic.Int64
	peak    atomic.Int64
	// events are the bytes of unfinished events beyond freeEventBytes of each stream.
	events atomic.Int64
}

const (
	// freeEventBytes of an unfinished event need no room in the budget's share for events.
	// Events on the present sheets have less than 1 KB.
	freeEventBytes = 16 << 10
	// eventDivisor is the divisor of the budget that gives the bytes of unfinished events of all
	// streams. Upstreams in trouble send events that never end; they must not take the room of
	// the answers of others.
	eventDivisor = 4
)

// NewBudget returns a budget of limit bytes; 0 selects DefaultBudgetBytes.
func NewBudget(limit int64) *Budget {
	if limit <= 0 {
		limit = DefaultBudgetBytes
	}
	return &Budget{limit: limit}
}

// ChargeTo makes the budget charge its bytes to an account too. It must be called before the
// budget is used.
func (b *Budget) ChargeTo(a Account) *Budget {
	b.account = a
	return b
}

// UsedBytes returns the bytes charged at present.
func (b *Budget) UsedBytes() int64 { return b.used.Load() }

// PeakBytes returns the highest number of bytes that were charged at a time.
func (b *Budget) PeakBytes() int64 { return b.peak.Load() }

// Exhausted reports whether streams with unsent bytes may buffer no more. The last quarter of
// the budget is reserved for responses that are buffered completely before they are relayed,
// so that slow callers cannot make them fail.
func (b *Budget) Exhausted() bool { return b.used.Load() >= b.limit-b.limit/4 }

// Reserve charges n bytes that no stream buffers; a negative n releases them. If they exceed the
// budget, it returns false and charges nothing.
func (b *Budget) Reserve(n int) bool {
	if !b.hasRoom(n) {
		return false
	}
	b.charge(int64(n))
	return true
}

// hasRoom reports whether n bytes may be reserved. It is true if n is not positive.
func (b *Budget) hasRoom(n int) bool { return n <= 0 || b.used.Load()+int64(n) <= b.limit }

func (b *Budget) charge(n int64) {
	if b.account != nil {
		b.account.Charge(n)
	}
	used := b.used.Add(n)
	for {
		peak := b.peak.Load()
		if used <= peak || b.peak.CompareAndSwap(peak, used) {
			return
		}
	}
}

// Stream is the buffer of one caller. It is not safe for concurrent use.
type Stream struct {
	caller Caller
	budget *Budget
	limits Limits
	queue  [][]byte
	// queuedBytes is the size of queue, chargedBytes the amount charged to the budget.
	queuedBytes, chargedBytes int
	// pushedBytes is the sum of all bytes pushed, reservedBytes the amount charged by Reserve.
	pushedBytes, reservedBytes int
	// eventBytes is the size of the unfinished event.
	eventBytes int
}

// NewStream returns an empty buffer in front of c.
func NewStream(c Caller, b *Budget, l Limits) *Stream {
	if l.WindowBytes <= 0 {
		l.WindowBytes = DefaultWindowBytes
	}
	if l.StreamBytes <= 0 {
		l.StreamBytes = DefaultStreamBytes
	}
	return &Stream{caller: c, budget: b, limits: l}
}

// HasRoom reports whether more may be read from the upstream. A stream without unsent bytes
// always has room, so that an exhausted budget does not stop callers that read fast.
func (s *Stream) HasRoom() bool {
	unsent := s.UnsentBytes()
	if unsent == 0 {
		return true
	}
	return unsent < s.limits.StreamBytes && !s.budget.Exhausted()
}

// UnsentBytes returns the bytes pushed and not yet sent to the caller.
func (s *Stream) UnsentBytes() int { return s.queuedBytes + s.caller.Pending() }

// SentBytes returns the bytes sent to the caller so far.
func (s *Stream) SentBytes() int { return s.pushedBytes - s.UnsentBytes() }

// Reserve charges n bytes that the user of the stream buffers elsewhere, such as an incomplete
// response; a negative n releases them. If they exceed the budget, it returns false and
// charges nothing.
func (s *Stream) Reserve(n int) bool {
	if !s.budget.hasRoom(n) {
		return false
	}
	s.reservedBytes += n
	s.updateCharge()
	return true
}

// SetEvent charges the size of the unfinished event that the user of the stream buffers, in place
// of the last one. If it grows beyond what all unfinished events may take, it returns false.
func (s *Stream) SetEvent(n int) bool {
	before, after := max(0, s.eventBytes-freeEventBytes), max(0, n-freeEventBytes)
	if after > before && s.budget.events.Load()+int64(after-before) > s.budget.limit/eventDivisor {
		return false
	}
	if after != before {
		s.budget.events.Add(int64(after - before))
	}
	s.eventBytes = n
	s.updateCharge()
	return true
}

// Push appends p to the queue; the stream owns p from then on.
func (s *Stream) Push(p []byte) {
	if len(p) == 0 {
		return
	}
	s.queue = append(s.queue, p)
	s.queuedBytes += len(p)
	s.pushedBytes += len(p)
	s.updateCharge()
}

// Pump writes queued bytes to the caller up to the window size.
func (s *Stream) Pump() error {
	wrote := false
	for len(s.queue) > 0 {
		room := s.limits.WindowBytes - s.caller.Pending()
		if room <= 0 {
			break
		}
		if _, err := s.caller.Write(s.dequeue(room)); err != nil {
			s.updateCharge()
			return err
		}
		wrote = true
	}
	if wrote {
		s.caller.Flush()
	}
	s.updateCharge()
	return nil
}

// dequeue removes and returns up to n bytes of the first entry of the queue.
func (s *Stream) dequeue(n int) []byte {
	head := s.queue[0]
	n = min(n, len(head))
	s.queuedBytes -= n
	if n < len(head) {
		s.queue[0] = head[n:]
		return head[:n]
	}
	s.queue[0] = nil
	s.queue = s.queue[1:]
	if len(s.queue) == 0 {
		s.queue = nil
	}
	return head
}

// HasQueued reports whether bytes are queued that Pump has not written yet.
func (s *Stream) HasQueued() bool { return s.queuedBytes > 0 }

// Close discards the queue and releases everything charged to the budget.
func (s *Stream) Close() {
	s.SetEvent(0)
	s.queue, s.queuedBytes, s.reservedBytes = nil, 0, 0
	s.budget.charge(int64(-s.chargedBytes))
	s.chargedBytes = 0
}

// updateCharge adjusts the budget to the bytes unsent and reserved.
func (s *Stream) updateCharge() {
	buffered := s.UnsentBytes() + s.reservedBytes + s.eventBytes
	if buffered != s.chargedBytes {
		s.budget.charge(int64(buffered - s.chargedBytes))
		s.chargedBytes = buffered
	}
}
