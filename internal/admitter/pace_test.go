package admitter

import (
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

// newPacedAdmitter returns an Admitter of the given name with 6 engines, on which requests with
// a pause limit run, and its policy.
func newPacedAdmitter(name messenger.RouterID, limit time.Duration) (*Admitter, *messenger.Policy) {
	policy := &messenger.Policy{
		Pools:     map[messenger.PoolID]messenger.PoolPolicy{simPool: {Engine: &messenger.EnginePolicy{MemoryTokens: 700_000}}},
		Upstreams: make(map[messenger.UpstreamID]messenger.UpstreamPolicy),
	}
	for _, id := range []messenger.UpstreamID{"A", "B", "C", "D", "E", "F"} {
		policy.Upstreams[id] = messenger.UpstreamPolicy{Pool: simPool, Window: 16, Started: epoch}
	}
	a := New(Config{Self: name})
	a.Handle(epoch, messenger.PolicyChange{Policy: policy})
	arrivePaced(a, epoch, 1, 100, limit)
	return a, policy
}

// arrivePaced makes a request arrive and returns whether it was sent.
func arrivePaced(a *Admitter, now time.Time, id messenger.RequestID, tokens int, limit time.Duration) bool {
	for _, action := range a.Handle(now, messenger.Arrive{
		Request: id, Pool: simPool, Objective: time.Second, PauseLimit: limit,
		Work: messenger.Work{Prompt: []messenger.PromptPart{{Chain: uint64(id), Tokens: tokens}}, MaxOutputTokens: 10},
	}) {
		if _, ok := action.(messenger.Dispatch); ok {
			return true
		}
	}
	return false
}

// observe gives an Admitter the times between events of all engines, of which A is slow, and
// lets it derive the speeds.
func observe(a *Admitter, late uint32) {
	for i := range 100 {
		for id := range a.upstreams {
			times := messenger.StreamTimes{Upstream: id, Events: 1, Shortest: time.Duration(30+i%8) * time.Millisecond}
			if id == "A" {
				times.Shortest *= 2
			}
			if i < int(late) {
				times.LateEvents = 1
			}
			a.Handle(epoch, times)
		}
	}
	settle(a, epoch.Add(paceInterval))
}

// settle lets an Admitter derive the speeds several times from the time now on.
func settle(a *Admitter, now time.Time) {
	for i := range 12 {
		a.Handle(now.Add(time.Duration(i)*paceInterval), messenger.Tick{})
	}
}

// TestSlowUpstreamIsKnownToOtherRouters guards against speeds that each router has to learn
// for itself, that remain after a restart, and that chance makes up for equal upstreams.
func TestSlowUpstreamIsKnownToOtherRouters(t *testing.T) {
	a, _ := newPacedAdmitter("r1", simPauseLimit)
	for _, u := range a.upstreams {
		u.running = 1
	}
	observe(a, 0)
	other, policy := newPacedAdmitter("r2", simPauseLimit)
	other.Handle(epoch.Add(time.Second), a.NextPeerLoad(epoch.Add(time.Second)))
	other.updatePools()
	for id, u := range other.upstreams {
		want := 1.0
		if id == "A" {
			want = 2
		}
		if got := u.pace.timeFactor(); got < 0.9*want || got > 1.1*want {
			t.Errorf("engine %s: got a time factor of %.2f, want %.1f", id, got, want)
		}
	}
	restarted := policy.Upstreams["A"]
	restarted.Started = epoch.Add(time.Minute)
	policy.Upstreams["A"] = restarted
	other.Handle(epoch.Add(time.Second), messenger.PolicyChange{Policy: policy})
	other.Handle(epoch.Add(2*time.Second), messenger.Tick{})
	if got := other.upstreams["A"].pace.timeFactor(); got != 1 {
		t.Errorf("got a time factor of %.2f after a restart, want 1", got)
	}
}

// TestBusySlowUpstreamsTakeShortPrompts has streams come late on all upstreams. A prompt that
// would delay many streams must be kept off; one that would not, any prompt on upstreams with
// half of their slots free, and any prompt under a limit that cannot be met, must be sent.
func TestBusySlowUpstreamsTakeShortPrompts(t *testing.T) {
	for _, c := range []struct {
		running, tokens int
		late            uint32
		limit           time.Duration
		want            bool
	}{
		{12, 20_000, 5, simPauseLimit, false},
		{12, 500, 5, simPauseLimit, true},
		{7, 20_000, 5, simPauseLimit, true},
		{12, 20_000, 0, simPauseLimit, true},
		{12, 20_000, 5, 50 * time.Millisecond, true},
		{12, 20_000, 5, 0, true},
	} {
		a, _ := newPacedAdmitter("r", c.limit)
		observe(a, c.late)
		for _, u := range a.upstreams {
			u.peerLoad.running = c.running
		}
		if got := arrivePaced(a, epoch.Add(time.Second), 2, c.tokens, c.limit); got != c.want {
			t.Errorf("%+v: got sent %v", c, got)
		}
	}
}

// TestSpeedIsForgotten guards against an upstream that counts as slow for good: it gets hardly any
// stream at low load because of its time factor, and so nothing shows that it has recovered.
func TestSpeedIsForgotten(t *testing.T) {
	a, _ := newPacedAdmitter("r", simPauseLimit)
	observe(a, 0)
	if got := a.upstreams["A"].pace.timeFactor(); got < 1.8 {
		t.Fatalf("got a time factor of %.2f of the slow engine, want about 2", got)
	}
	for i := range 600 { // 10 minutes
		now := epoch.Add(time.Duration(i) * time.Second)
		a.Handle(now, messenger.Arrive{Request: messenger.RequestID(100 + i), Pool: simPool, Objective: time.Second, PauseLimit: simPauseLimit})
		for id := range a.upstreams {
			if id != "A" {
				a.Handle(now, messenger.StreamTimes{Upstream: id, Events: 30, Shortest: 33 * time.Millisecond})
			}
		}
		a.Handle(now, messenger.Tick{})
	}
	if got := a.upstreams["A"].pace.timeFactor(); got != 1 {
		t.Errorf("got a time factor of %.2f ten minutes after the last stream, want 1", got)
	}
}

// TestPaceOfManyStreams guards against sums that are cut off in messages, each at its own number, so
// that an upstream with many streams of one router looks faster to the others than it is.
func TestPaceOfManyStreams(t *testing.T) {
	a, _ := newPacedAdmitter("r", simPauseLimit)
	u := a.upstreams["A"]
	const streams, gap = 100, 100 * time.Millisecond
	events := uint32(streams * paceHalfLife.Seconds() * 1.44 / gap.Seconds()) // with decay
	u.pace.record(epoch, messenger.StreamTimes{Upstream: "A", Events: events, Shortest: gap})
	m := u.pace.message(epoch, u.pool)
	if got, want := float64(m.UsualMS)/float64(m.Events), gap.Seconds()*1000; got < 0.99*want || got > 1.01*want {
		t.Errorf("got a time of %.0f ms between two events of %d streams, want %.0f", got, streams, want)
	}
}
