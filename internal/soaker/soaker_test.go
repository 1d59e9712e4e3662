package soaker

import (
	"io"
	"net"
	"reflect"
	"strings"
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/emulator"
	"lentilwood.example/lentilwood/internal/generator"
	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/operator"
)

func TestPlanFollowsFromItsSeed(t *testing.T) {
	if got, want := newPlan(7, 10*time.Second), newPlan(7, 10*time.Second); !reflect.DeepEqual(got, want) {
		t.Error("got two plans of one seed, want the same")
	}
	kinds := make(map[faultKind]bool)
	for seed := range uint64(50) {
		for _, f := range newPlan(seed, 10*time.Second).faults {
			kinds[f.kind] = true
		}
	}
	if got, want := len(kinds), 7; got != want {
		t.Errorf("got %d kinds of faults in 50 seeds, want all %d", got, want)
	}
}

// echoServer sends back what it gets.
func echoServer(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	return ln.Addr().String()
}

func TestProxyHarms(t *testing.T) {
	target := echoServer(t)
	tests := map[string]struct {
		harm harm
		want string
	}{
		"none":     {harmNone, "hello"},
		"delay":    {harmDelay, "hello"},
		"reset":    {harmReset, ""},
		"there":    {harmCutThere, ""},
		"back":     {harmCutBack, ""},
		"silenced": {harmSilence, ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			p, err := startProxy("127.0.0.1:0", func() string { return target })
			if err != nil {
				t.Fatal(err)
			}
			defer p.stop()
			c, err := net.Dial("tcp", p.listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			exchange(t, c, "first")
			p.set(tt.harm)
			_, _ = io.WriteString(c, "hello")
			_ = c.SetReadDeadline(time.Now().Add(3 * delayedBy))
			answer := make([]byte, 5)
			n, _ := c.Read(answer)
			if got := string(answer[:n]); got != tt.want {
				t.Errorf("got %q, want %q", got, tt.want)
			}
			p.set(harmNone)
			fresh, err := net.Dial("tcp", p.listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = fresh.Close() }()
			exchange(t, fresh, "again")
		})
	}
}

func exchange(t *testing.T, c net.Conn, text string) {
	t.Helper()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	answer := make([]byte, len(text))
	if _, err := io.ReadFull(c, answer); err != nil {
		t.Fatalf("after %q: %v", text, err)
	}
}

// TestWitnessFindsWhatBreaks gives the witness one case of each broken promise,
// and beside it the case that is allowed.
func TestWitnessFindsWhatBreaks(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	order := func(id string, o generator.Observation) generator.Observation {
		o.RequestID, o.WireID, o.Kind, o.Key, o.Class = id, "w-"+id, generator.Commit, "k-"+id, "order"
		return o
	}
	w := &witness{start: start, lastFault: 10 * time.Second}
	w.harms = []span{
		{fault{kind: stopRouter}, at(2), at(4)},
		{fault{kind: killRouter}, at(8), at(9)},
	}
	add := func(due, ended float64, hasty bool, o generator.Observation) {
		o.Due = at(due)
		w.observations = append(w.observations, seen{Observation: o, ended: at(ended), hasty: hasty})
	}
	add(1, 1.1, false, order("good", generator.Observation{Complete: true, Statement: messenger.RunState("run")}))
	add(1, 1.1, false, order("lie", generator.Observation{Statement: messenger.StateNotRun}))
	add(2.5, 3, false, order("crossed", generator.Observation{Broken: true, Lost: true}))
	add(2.5, 3, false, order("cut", generator.Observation{Broken: true, Problem: "cut off"}))
	add(8.1, 8.2, false, order("killed", generator.Observation{Broken: true}))
	add(15, 15.1, false, order("later", generator.Observation{Problem: "refused"}))
	add(16, 16.4, true, order("left", generator.Observation{Broken: true}))
	w.calls = []emulator.Entry{
		{RequestID: "w-good", Key: "k-good", Arrived: at(1), Finished: at(1.1)},
		{RequestID: "w-good", Key: "k-good", Arrived: at(1.2), Finished: at(1.3)},
		{RequestID: "w-lie", Key: "k-lie", Arrived: at(1), Finished: at(1.1)},
		{RequestID: "w-left", Key: "k-left", Arrived: at(16), Finished: at(19)},
	}
	w.compare(operator.Status{Version: 5}, operator.Status{Version: 4})
	w.noteStop(false, "ended badly")
	r := w.report(1, &plan{}, []string{"router-1 ended by itself"})
	for _, p := range r.Promises {
		want := 1
		if p.Name == "what was answered as committed was committed" {
			want = 0
		}
		if p.Violations != want {
			t.Errorf("%s: got %d violations, want %d", p.Name, p.Violations, want)
		}
	}
	if got := strings.Join(r.Details, "\n"); !strings.Contains(got, "request cut") || strings.Contains(got, "request crossed") {
		t.Errorf("got details %s, want the request that was cut and not the one that crossed the close", got)
	}
	if got := r.Violations(); got != len(r.Promises)-1 {
		t.Errorf("got %d violations in all, want %d", got, len(r.Promises)-1)
	}
}
