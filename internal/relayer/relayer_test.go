package relayer

import (
	"bytes"
	"errors"
	"math/rand/v2"
	"testing"
)

// fakeCaller takes bytes at once and sends them when send is called.
type fakeCaller struct {
	got     bytes.Buffer
	pending int
	flushes int
	err     error
	largest int
}

func (c *fakeCaller) Write(p []byte) (int, error) {
	if c.err != nil {
		return 0, c.err
	}
	c.pending += len(p)
	c.largest = max(c.largest, c.pending)
	return c.got.Write(p)
}

func (c *fakeCaller) Flush() { c.flushes++ }

func (c *fakeCaller) Pending() int { return c.pending }

func (c *fakeCaller) send(n int) { c.pending -= min(n, c.pending) }

// TestOrderAndBounds pushes random pieces to callers that read at random
// speeds, and wants the same bytes out and no bound passed.
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
			if held := s.UnsentBytes(); held >= limits.StreamBytes+400 || int64(held) != b.UsedBytes() {
				t.Fatalf("seed %d: held %d, charged %d", seed, held, b.UsedBytes())
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
			t.Fatalf("seed %d: the caller got other bytes than were pushed", seed)
		}
		if c.largest > limits.WindowBytes {
			t.Fatalf("seed %d: %d bytes waited in the connection, want %d at most", seed, c.largest, limits.WindowBytes)
		}
		s.Close()
		if b.UsedBytes() != 0 {
			t.Fatalf("seed %d: %d bytes charged after Close", seed, b.UsedBytes())
		}
	}
}

// TestSpentBudget checks what happens at the cap: a slow reader has no room, a
// fast one has, and the last quarter is for answers that are held whole.
func TestSpentBudget(t *testing.T) {
	b := NewBudget(400)
	slow, fast := NewStream(&fakeCaller{}, b, Limits{}), NewStream(&fakeCaller{}, b, Limits{})
	slow.Push(make([]byte, 300))
	if !b.Exhausted() || slow.HasRoom() {
		t.Errorf("spent = %v, room of the slow reader = %v, want true and false", b.Exhausted(), slow.HasRoom())
	}
	if !fast.HasRoom() {
		t.Error("the fast reader has no room, want room")
	}
	if !fast.Reserve(100) {
		t.Error("Hold(100) = false, want the last quarter")
	}
	if fast.Reserve(1) {
		t.Error("Hold(1) = true beyond the budget")
	}
	fast.Close()
	slow.Close()
	if b.UsedBytes() != 0 || b.PeakBytes() != 400 {
		t.Errorf("used %d, peak %d, want 0 and 400", b.UsedBytes(), b.PeakBytes())
	}
}

func TestPumpError(t *testing.T) {
	c := &fakeCaller{err: errors.New("gone")}
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
