// Package relayer stands between an upstream's answer and its caller: a
// bounded buffer that lets the upstream finish at its own pace, so that a slow
// reader does not hold an upstream's slot.
//
// All streams of a router share one Budget. A stream that has used up its own
// bound, or finds the budget spent, has no Room: the reader of the upstream
// waits, which is back-pressure on the upstream. Nothing is ever dropped.
//
// # Usage
//
//	budget := relayer.NewBudget(64 << 20)
//	s := relayer.NewStream(caller, budget, relayer.Limits{})
//	defer s.Close()
//	if s.Room() {
//		s.Push(event)
//	}
//	err := s.Pump() // moves what the caller's connection can take
package relayer

import (
	"sync/atomic"
)

// Defaults of Limits.
const (
	// DefaultWindowBytes is how much may wait inside the caller's connection.
	DefaultWindowBytes = 64 << 10
	// DefaultStreamBytes bounds the bytes held for one caller.
	DefaultStreamBytes = 4 << 20
	// DefaultBudgetBytes bounds the bytes held for all callers.
	DefaultBudgetBytes = 256 << 20
)

// Caller is the connection to a caller as a Stream uses it.
type Caller interface {
	Write(p []byte) (int, error)
	Flush()
	// Pending returns the bytes written and not yet sent.
	Pending() int
}

// Limits bound one stream. A zero field takes its default.
type Limits struct {
	WindowBytes int
	StreamBytes int
}

// Budget bounds the bytes that all streams of a router hold. It is safe for
// concurrent use.
type Budget struct {
	limit int64
	used  atomic.Int64
	peak  atomic.Int64
}

// NewBudget returns a budget of limit bytes; 0 means DefaultBudgetBytes.
func NewBudget(limit int64) *Budget {
	if limit <= 0 {
		limit = DefaultBudgetBytes
	}
	return &Budget{limit: limit}
}

// UsedBytes returns the bytes held now.
func (b *Budget) UsedBytes() int64 { return b.used.Load() }

// PeakBytes returns the most bytes that were held at a time.
func (b *Budget) PeakBytes() int64 { return b.peak.Load() }

// Exhausted reports whether streams may take no more. The last quarter is kept for
// answers that are relayed whole, so that slow readers cannot make them fail.
func (b *Budget) Exhausted() bool { return b.used.Load() >= b.limit-b.limit/4 }

func (b *Budget) add(n int64) {
	used := b.used.Add(n)
	for {
		peak := b.peak.Load()
		if used <= peak || b.peak.CompareAndSwap(peak, used) {
			return
		}
	}
}

// Stream is the buffer of one caller. It is for one goroutine.
type Stream struct {
	caller Caller
	budget *Budget
	limits Limits
	queue  [][]byte
	// queued is the size of queue, charged what the budget was told.
	queued, charged int
	// pushed is the sum of all that was pushed, reserved what Hold took.
	pushed, reserved int
}

// NewStream returns an empty buffer before c.
func NewStream(c Caller, b *Budget, l Limits) *Stream {
	if l.WindowBytes <= 0 {
		l.WindowBytes = DefaultWindowBytes
	}
	if l.StreamBytes <= 0 {
		l.StreamBytes = DefaultStreamBytes
	}
	return &Stream{caller: c, budget: b, limits: l}
}

// HasRoom reports whether more may be read from the upstream. A stream that holds
// nothing always has room, so a spent budget stops no fast reader.
func (s *Stream) HasRoom() bool {
	held := s.UnsentBytes()
	if held == 0 {
		return true
	}
	return held < s.limits.StreamBytes && !s.budget.Exhausted()
}

// UnsentBytes returns the bytes that the caller has not been sent.
func (s *Stream) UnsentBytes() int { return s.queued + s.caller.Pending() }

// SentBytes returns the bytes that the caller was sent so far.
func (s *Stream) SentBytes() int { return s.pushed - s.UnsentBytes() }

// Reserve charges n bytes that the caller keeps elsewhere, such as an answer that
// is not whole yet; a negative n gives them back. It returns false, and takes
// nothing, if the budget does not hold them.
func (s *Stream) Reserve(n int) bool {
	if n > 0 && s.budget.used.Load()+int64(n) > s.budget.limit {
		return false
	}
	s.reserved += n
	s.charge()
	return true
}

// Push takes p, which the stream owns from then on.
func (s *Stream) Push(p []byte) {
	if len(p) == 0 {
		return
	}
	s.queue = append(s.queue, p)
	s.queued += len(p)
	s.pushed += len(p)
	s.charge()
}

// Pump writes to the caller what its window takes.
func (s *Stream) Pump() error {
	wrote := false
	for len(s.queue) > 0 {
		room := s.limits.WindowBytes - s.caller.Pending()
		if room <= 0 {
			break
		}
		if _, err := s.caller.Write(s.next(room)); err != nil {
			s.charge()
			return err
		}
		wrote = true
	}
	if wrote {
		s.caller.Flush()
	}
	s.charge()
	return nil
}

// next takes up to n bytes from the head of the queue.
func (s *Stream) next(n int) []byte {
	head := s.queue[0]
	n = min(n, len(head))
	s.queued -= n
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

// HasQueued reports whether something is held that Pump could not yet write.
func (s *Stream) HasQueued() bool { return s.queued > 0 }

// Close gives back what the stream holds of the budget.
func (s *Stream) Close() {
	s.queue, s.queued, s.reserved = nil, 0, 0
	s.budget.add(int64(-s.charged))
	s.charged = 0
}

// charge tells the budget what the stream holds.
func (s *Stream) charge() {
	held := s.UnsentBytes() + s.reserved
	if held != s.charged {
		s.budget.add(int64(held - s.charged))
		s.charged = held
	}
}
