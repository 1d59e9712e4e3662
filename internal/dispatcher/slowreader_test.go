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

// timedQueue notes when the slot is given back.
type timedQueue struct {
	*fakeQueue
	clock    *timekeeper.Manual
	finished time.Time
}

func (q *timedQueue) Notify(e messenger.Event) {
	if _, ok := e.(messenger.Finish); ok {
		q.finished = q.clock.Now()
	}
	q.fakeQueue.Notify(e)
}

// slotTime serves a stream of 1 MB, which its engine produces at once, to a
// caller that reads 500 kB a second, and returns for how long the engine's
// slot was held and how much memory the router held at most.
func slotTime(t *testing.T, limits relayer.Limits, budgetBytes int64) (slot time.Duration, peak int64) {
	t.Helper()
	const step, bytesEach = 20 * time.Millisecond, 10_000
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
	settle(budget)
	for {
		select {
		case res := <-done:
			if res.Problem != "" || c.text() != whole {
				t.Fatalf("result %+v with %d bytes, want the whole stream of %d", res, len(c.text()), len(whole))
			}
			return q.finished.Sub(start), budget.PeakBytes()
		case <-time.After(2 * time.Millisecond):
			c.drain(bytesEach)
			clock.Advance(step)
		}
	}
}

// settle waits until the buffers take no more without the clock moving.
func settle(budget *relayer.Budget) {
	const looks, pause = 20, 5 * time.Millisecond
	last := int64(-1)
	for still := 0; still < looks; still++ {
		if used := budget.UsedBytes(); used != last || used == 0 {
			last, still = used, 0
		}
		time.Sleep(pause)
	}
}

// TestSlowReaderHoldsNoSlot measures for how long a slow reader holds its
// engine's slot, with and without a buffer, and at the cap of all buffers.
func TestSlowReaderHoldsNoSlot(t *testing.T) {
	with, withPeak := slotTime(t, relayer.Limits{}, 0)
	without, withoutPeak := slotTime(t, relayer.Limits{StreamBytes: 1}, 0)
	capped, cappedPeak := slotTime(t, relayer.Limits{}, 400_000)
	t.Logf("slot held %v with a buffer (%d bytes at most), %v without (%d bytes), %v at a cap of 400 kB (%d bytes)",
		with, withPeak, without, withoutPeak, capped, cappedPeak)
	if with*4 > without {
		t.Errorf("slot held %v with a buffer and %v without, want a quarter or less", with, without)
	}
	if capped <= with || cappedPeak > 400_000 {
		t.Errorf("at the cap: slot held %v, %d bytes, want longer than %v and 400000 bytes at most", capped, cappedPeak, with)
	}
}
