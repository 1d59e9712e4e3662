package relayer

import (
	"bytes"
	"errors"
	"math/rand/v2"
	"testing"
)

// fakeCaller accepts all bytes at once and counts them as sent when send is called.
type fakeCaller struct {
	got        bytes.Buffer
	pending    int
	flushes    int
	err        error
	maxPending int
}

func (c *fakeCaller) Write(p []byte) (int, error) {
	if c.err != nil {
		return 0, c.err
	}
	c.pending += len(p)
	c.maxPending = max(c.maxPending, c.pending)
	return c.got.Write(p)
}

func (c *fakeCaller) Flush() { c.flushes++ }

func (c *fakeCaller) Pending() int { return c.pending }

func (c *fakeCaller) send(n int) { c.pending -= min(n, c.pending) }

// TestOrderAndBounds pushes random pieces to callers that read at random speeds. The bytes
// must come out complete and in order, and no limit may be exceeded.
func TestOrderAndBounds(t *testing.T) {
	limits := Limits{WindowBytes: 100, StreamBytes: 1000}
	for seed := range uint64(500) {
		rng := rand.New(rand.NewPCG(seed, 1))
		c, b := &fakeCaller{}, NewBudget(0)
		s := NewStream(c, b, limits)
		var want bytes.Buffer
		for range 200 {
			if s.HasRoom() {
				p := make([]byte, rng.IntN(400))
				for i := range p {
					p[i] = byte(rng.IntN(256))
				}
				want.Write(p)
				s.Push(p)
			}
			if err := s.Pump(); err != nil {
				t.Fatal(err)
			}
			if unsent := s.UnsentBytes(); unsent >= limits.StreamBytes+400 || int64(unsent) != b.UsedBytes() {
				t.Fatalf("seed %d: %d bytes unsent, %d charged", seed, unsent, b.UsedBytes())
			}
			c.send(rng.IntN(300))
		}
		for s.HasQueued() {
			c.send(1000)
			if err := s.Pump(); err != nil {
				t.Fatal(err)
			}
		}
		if !bytes.Equal(c.got.Bytes(), want.Bytes()) {
			t.Fatalf("seed %d: bytes received differ from bytes pushed", seed)
		}
		if c.maxPending > limits.WindowBytes {
			t.Fatalf("seed %d: up to %d bytes pending in the connection, want at most %d", seed, c.maxPending, limits.WindowBytes)
		}
		s.Close()
		if b.UsedBytes() != 0 {
			t.Fatalf("seed %d: %d bytes charged after Close", seed, b.UsedBytes())
		}
	}
}

// TestExhaustedBudget checks that at the limit a slow caller has no room and a fast one does,
// and that the last quarter can be reserved for responses that are buffered completely.
func TestExhaustedBudget(t *testing.T) {
	b := NewBudget(400)
	slow, fast := NewStream(&fakeCaller{}, b, Limits{}), NewStream(&fakeCaller{}, b, Limits{})
	slow.Push(make([]byte, 300))
	if !b.Exhausted() || slow.HasRoom() {
		t.Errorf("Exhausted() = %v, HasRoom() of the slow caller = %v, want true and false", b.Exhausted(), slow.HasRoom())
	}
	if !fast.HasRoom() {
		t.Error("HasRoom() of the fast caller = false, want true")
	}
	if !fast.Reserve(100) {
		t.Error("Reserve(100) = false, want true for the last quarter")
	}
	if fast.Reserve(1) {
		t.Error("Reserve(1) = true beyond the budget, want false")
	}
	fast.Close()
	slow.Close()
	if b.UsedBytes() != 0 || b.PeakBytes() != 400 {
		t.Errorf("used %d, peak %d, want 0 and 400", b.UsedBytes(), b.PeakBytes())
	}
}

func TestPumpError(t *testing.T) {
	c := &fakeCaller{err: errors.New("connection closed")}
	s := NewStream(c, NewBudget(0), Limits{})
	s.Push([]byte("x"))
	if err := s.Pump(); !errors.Is(err, c.err) {
		t.Errorf("Pump() = %v, want %v", err, c.err)
	}
}

func TestFlushOnlyAfterWrites(t *testing.T) {
	c := &fakeCaller{}
	s := NewStream(c, NewBudget(0), Limits{})
	s.Push([]byte("first token"))
	for range 3 {
		if err := s.Pump(); err != nil {
			t.Fatal(err)
		}
	}
	if c.flushes != 1 {
		t.Errorf("flushes = %d, want 1", c.flushes)
	}
}
