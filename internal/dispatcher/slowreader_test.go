package dispatcher

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/relayer"
	"lentilwood.example/lentilwood/internal/timekeeper"
)

// timedQueue records when the slot is freed.
type timedQueue struct {
	*fakeQueue
	clock      *timekeeper.Manual
	finishedAt time.Time
}

func (q *timedQueue) Notify(e messenger.Event) {
	if _, ok := e.(messenger.Finish); ok {
		q.finishedAt = q.clock.Now()
	}
	q.fakeQueue.Notify(e)
}

// measureSlotTime serves a stream of 1 MB, produced by its engine at once, to a caller
// that reads 500 kB per second. It returns how long the engine's slot was held and the
// peak number of bytes that the router buffered.
func measureSlotTime(t *testing.T, limits relayer.Limits, budgetBytes int64) (slot time.Duration, peak int64) {
	t.Helper()
	const step, bytesPerStep = 20 * time.Millisecond, 10_000
	whole := strings.Join(tokenEvents(strings.Repeat("x", 100), 8000), "")
	network := &memoryNetwork{}
	network.listen("e", func(conn net.Conn) {
		go func() {
			r, err := http.ReadRequest(bufio.NewReader(conn))
			if err == nil {
				_, _ = io.Copy(io.Discard, r.Body)
				write(conn, head("200 OK", wireID, "Content-Type: text/event-stream", "Connection: close")+whole)
			}
			_ = conn.Close()
		}()
	})
	clock := timekeeper.NewManual(time.Unix(1_800_000_000, 0))
	budget := relayer.NewBudget(budgetBytes)
	d := newTestDispatcher(t, Config{
		Upstreams: fixedUpstreams{"e": {Address: "e", Engine: true}}, Dial: network.dial, Clock: clock, RelayLimits: limits, BufferBudget: budget,
	})
	start := clock.Now()
	q, c := &timedQueue{fakeQueue: newFakeQueue("e"), clock: clock}, newFakeCaller()
	c.slow = true
	done := make(chan Result, 1)
	go func() { done <- d.Serve(context.Background(), completion(), q, c) }()
	awaitStableBudget(budget)
	for {
		select {
		case res := <-done:
			if res.Problem != "" || c.text() != whole {
				t.Fatalf("result %+v with %d bytes, want the complete stream of %d", res, len(c.text()), len(whole))
			}
			return q.finishedAt.Sub(start), budget.PeakBytes()
		case <-time.After(2 * time.Millisecond):
			c.drain(bytesPerStep)
			clock.Advance(step)
		}
	}
}

// awaitStableBudget waits until the buffers stop filling while the clock is stopped.
func awaitStableBudget(budget *relayer.Budget) {
	const checks, pause = 20, 5 * time.Millisecond
	last := int64(-1)
	for stable := 0; stable < checks; stable++ {
		if used := budget.UsedBytes(); used != last || used == 0 {
			last, stable = used, 0
		}
		time.Sleep(pause)
	}
}

// TestSlowReaderHoldsNoSlot measures how long a slow reader holds its engine's slot with
// a buffer, without one, and when the total buffer budget is exhausted.
func TestSlowReaderHoldsNoSlot(t *testing.T) {
	with, withPeak := measureSlotTime(t, relayer.Limits{}, 0)
	without, withoutPeak := measureSlotTime(t, relayer.Limits{StreamBytes: 1}, 0)
	capped, cappedPeak := measureSlotTime(t, relayer.Limits{}, 400_000)
	t.Logf("slot held %v with a buffer (%d bytes at most), %v without (%d bytes), %v at a cap of 400 kB (%d bytes)",
		with, withPeak, without, withoutPeak, capped, cappedPeak)
	if with*4 > without {
		t.Errorf("slot held %v with a buffer and %v without, want a quarter or less", with, without)
	}
	if capped <= with || cappedPeak > 400_000 {
		t.Errorf("at the cap: slot held %v, %d bytes, want longer than %v and 400000 bytes at most", capped, cappedPeak, with)
	}
}
