package dispatcher

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/emulator"
	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/timekeeper"
)

// mutableUpstreams is an Upstreams whose policies change while requests are running.
type mutableUpstreams struct {
	mu       sync.Mutex
	policies map[messenger.UpstreamID]messenger.UpstreamPolicy
}

func (u *mutableUpstreams) Upstream(id messenger.UpstreamID) (messenger.UpstreamPolicy, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	p, ok := u.policies[id]
	return p, ok
}

// move requests that the streams of one upstream move to another.
func (u *mutableUpstreams) move(from, to messenger.UpstreamID) {
	u.mu.Lock()
	defer u.mu.Unlock()
	p := u.policies[from]
	p.Leaving, p.MoveTo = true, to
	u.policies[from] = p
}

func startWorker(t *testing.T, faults emulator.Faults) *emulator.Worker {
	t.Helper()
	w := emulator.NewWorker(emulator.WorkerConfig{
		Name: "w", Slots: 4, StepTime: 2 * time.Millisecond, GraceTime: time.Minute, Log: quietLog(),
	}, timekeeper.System{})
	if err := w.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	w.SetFaults(faults)
	t.Cleanup(w.Stop)
	return w
}

// TestStreamMovesToAnotherEngine moves a stream to another engine while it runs. Without
// the move, the stream would complete at the old engine, so the test also checks where it
// ended.
func TestStreamMovesToAnotherEngine(t *testing.T) {
	const tokens = 600
	tests := []struct {
		name      string
		target    emulator.Faults
		version   string
		wantMoves uint64
	}{
		{name: "other engine accepts the stream", wantMoves: 1},
		{name: "other engine refuses the stream", target: emulator.Faults{Refuse: true}},
		{name: "other engine has other software", version: "v2"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			old, next := startWorker(t, emulator.Faults{}), startWorker(t, tt.target)
			upstreams := &mutableUpstreams{policies: map[messenger.UpstreamID]messenger.UpstreamPolicy{
				"old": {Address: old.Addr(), Engine: true}, "next": {Address: next.Addr(), Engine: true, SoftwareVersion: tt.version},
			}}
			d := newTestDispatcher(t, Config{Upstreams: upstreams})
			req := completion()
			req.Body = fmt.Appendf(nil, `{"model":"m","prompt":"p","maxTokens":%d,"stream":true}`, tokens)
			c := newFakeCaller()
			go func() {
				<-c.wrote
				upstreams.move("old", "next")
			}()
			result := d.Serve(context.Background(), req, newFakeQueue("old"), c)
			if result.Problem != "" || result.Run != messenger.StateRun {
				t.Fatalf("problem %q, run %q, want none and run", result.Problem, result.Run)
			}
			if got := d.Counters().Moves.Load(); got != tt.wantMoves {
				t.Errorf("%d moves, want %d", got, tt.wantMoves)
			}
			checkTokens(t, c.text(), req.WireID, tokens)
			imported := 0
			for _, e := range next.Journal() {
				if e.Imported {
					imported++
				}
			}
			if got, want := imported, int(tt.wantMoves); got != want {
				t.Errorf("%d streams imported, want %d", got, want)
			}
		})
	}
}

// TestPartOfStreamStateIsNotImported guards against importing a part of an exported state: without a
// length, its end looks the same whether the state is complete or its engine has ended.
func TestPartOfStreamStateIsNotImported(t *testing.T) {
	for name, tc := range map[string]struct {
		raw  string
		want bool
	}{
		"with a length":    {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstate", true},
		"without a length": {"HTTP/1.1 200 OK\r\n\r\nstate", false},
		"cut":              {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nstate", false},
	} {
		t.Run(name, func(t *testing.T) {
			from := serveRaw(t, func(conn net.Conn, _ *http.Request) { _, _ = io.WriteString(conn, tc.raw) })
			imported := false
			to := serve(t, func(http.ResponseWriter, *http.Request) { imported = true })
			d := newTestDispatcher(t, Config{Upstreams: fixedUpstreams{}})
			if got := d.copyStreamState(from, to, wireID); got != tc.want || imported != tc.want {
				t.Errorf("copied %v, imported %v, want both %v", got, imported, tc.want)
			}
		})
	}
}

// checkTokens checks that every token arrived once and in order.
func checkTokens(t *testing.T, text, wireID string, tokens int) {
	t.Helper()
	rest := text
	for n := 1; n <= tokens; n++ {
		want := fmt.Sprintf("id: %d\ndata: {\"text\":%q}\n\n", n, emulator.Text(wireID, n))
		if !strings.HasPrefix(rest, want) {
			t.Fatalf("event %d is %.60q, want %q", n, rest, want)
		}
		rest = rest[len(want):]
	}
	if !strings.HasSuffix(rest, "data: [DONE]\n\n") {
		t.Errorf("end is %q, want the [DONE] event", rest)
	}
}
