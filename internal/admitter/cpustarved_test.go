package admitter

import (
	"fmt"
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

// cpuStarvedRouter is an Admitter on a CPU-starved VM that receives each first output late,
// from whatever engine it comes.
type cpuStarvedRouter struct {
	t      *testing.T
	a      *Admitter
	now    time.Time
	lastID messenger.RequestID
	// delay is the time that the VM adds to each first output.
	delay time.Duration
	// slowEngine is an engine that is slow by itself.
	slowEngine messenger.UpstreamID
}

func newCPUStarvedRouter(t *testing.T, delay time.Duration) *cpuStarvedRouter {
	t.Helper()
	s := &cpuStarvedRouter{t: t, a: New(Config{Self: "r"}), now: epoch, delay: delay}
	policy := &messenger.Policy{
		Pools:     map[messenger.PoolID]messenger.PoolPolicy{simPool: {Engine: &messenger.EnginePolicy{MemoryTokens: 600_000}}},
		Upstreams: make(map[messenger.UpstreamID]messenger.UpstreamPolicy),
	}
	for i := range 8 {
		policy.Upstreams[messenger.UpstreamID(fmt.Sprint("u", i))] = messenger.UpstreamPolicy{Pool: simPool, Window: 24}
	}
	s.a.Handle(s.now, messenger.PolicyChange{Policy: policy})
	return s
}

// arrive offers a request without cached parts and returns the upstream that it is sent to.
func (s *cpuStarvedRouter) arrive() (messenger.UpstreamID, bool) {
	s.lastID++
	for _, action := range s.a.Handle(s.now, messenger.Arrive{
		Request: s.lastID, Pool: simPool, Account: "clinic", Objective: 300 * time.Millisecond, Deadline: s.now.Add(10 * time.Second),
		Work: messenger.Work{Prompt: []messenger.PromptPart{{Chain: uint64(s.lastID) + 100, Tokens: 3000}}, MaxOutputTokens: 100},
	}) {
		if d, ok := action.(messenger.Dispatch); ok {
			return d.Upstream, true
		}
	}
	return "", false
}

// serve runs a single request to its end and reports whether it was sent.
func (s *cpuStarvedRouter) serve() bool {
	s.t.Helper()
	u, ok := s.arrive()
	if !ok {
		s.a.Handle(s.now, messenger.Abandon{Request: s.lastID})
		s.advance(50 * time.Millisecond)
		return false
	}
	firstOutputTime := simBase + time.Duration(3000*readSecondsPerToken*float64(time.Second))
	if u == s.slowEngine {
		firstOutputTime *= 5
	}
	s.advance(firstOutputTime + s.delay)
	s.a.Handle(s.now, messenger.Progress{Request: s.lastID, Tokens: 1})
	s.advance(20 * time.Millisecond)
	s.a.Handle(s.now, messenger.Finish{Request: s.lastID, Upstream: u})
	return true
}

// advance lets time pass, in which three other routers report the speed of the engines.
func (s *cpuStarvedRouter) advance(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(messenger.TickInterval)
		for i := range 3 {
			s.a.Handle(s.now, messenger.PeerLoad{
				From: messenger.RouterID(fmt.Sprint("p", i)),
				Pools: []messenger.PoolDemand{{
					Pool: messenger.HashName(simPool), BaseSeconds: float32(simBase.Seconds()), SecondsPerToken: readSecondsPerToken, Contested: minContestedShare,
				}},
			})
		}
		s.a.Handle(s.now, messenger.Tick{})
	}
}

// TestCPUStarvedRouterKeepsSending has a small VM under a flood that receives outputs late
// because of its own load. It must keep sending as many requests as the engines have
// capacity for: three prompts to each engine, of which the last waits for two.
func TestCPUStarvedRouterKeepsSending(t *testing.T) {
	s := newCPUStarvedRouter(t, 250*time.Millisecond)
	for range 60 {
		s.serve()
	}
	const burst = 3 * 8
	sent := 0
	for range burst {
		if _, ok := s.arrive(); ok {
			sent++
		}
	}
	if sent < burst {
		t.Errorf("got %d of %d requests sent with idle engines, want all", sent, burst)
	}
}

// TestCPUStarvedRouterDetectsSlowEngine has one engine take five times as long as the
// others, in addition to the delay of the VM.
func TestCPUStarvedRouterDetectsSlowEngine(t *testing.T) {
	s := newCPUStarvedRouter(t, 100*time.Millisecond)
	s.slowEngine = "u3"
	for range 60 {
		s.serve()
	}
	atSlow := 0
	for range 40 {
		u, ok := s.arrive()
		if ok {
			s.a.Handle(s.now, messenger.Finish{Request: s.lastID, Upstream: u, Failed: false})
		}
		if u == s.slowEngine {
			atSlow++
		}
	}
	if atSlow > 2 {
		t.Errorf("got %d of 40 requests sent to the slow engine, want at most 2", atSlow)
	}
}
