package scheduler

import (
	"slices"
	"strings"

	"lentilwood.example/lentilwood/internal/limiter"
	"lentilwood.example/lentilwood/internal/messenger"
)

// Explanation is the state of a client account at one router, which shows why its requests
// wait.
type Explanation struct {
	Account messenger.AccountID `json:"account"`
	Weight  float64             `json:"weight"`
	// Home is the account's home router.
	Home   messenger.RouterID `json:"home"`
	Limits limiter.State      `json:"limits"`
	// Pools holds the pools in which the account was recently active.
	Pools []PoolExplanation `json:"pools"`
}

// PoolExplanation is the part of an Explanation that concerns one pool.
type PoolExplanation struct {
	Pool messenger.PoolID `json:"pool"`
	// Tag is the account's virtual start tag; VirtualTime is that of the pool.
	// The account with the lowest tag is served first.
	Tag         float64 `json:"tag"`
	VirtualTime float64 `json:"virtualTime"`
	// Served is the sum of the charges at this router, in tokens.
	Served float64 `json:"served"`
	// SlotShare is the account's part of the running requests of the pool at this router,
	// from 0 to 1.
	SlotShare float64 `json:"share"`
	// Blocked is true while the account's concurrency limit holds its requests in the queue.
	Blocked bool `json:"blocked"`
	// Waiting counts the requests waiting at this router, WaitingElsewhere those at others.
	Waiting          []ClassCount `json:"waiting"`
	WaitingElsewhere int          `json:"elsewhere"`
	// AccountsAhead counts the accounts at this router whose tags are lower.
	AccountsAhead int `json:"ahead"`
	// ExpectedWaitSeconds is the expected wait of a new request.
	ExpectedWaitSeconds float64 `json:"expectedWaitSeconds"`
	// RunningByUpstream counts the account's running requests on each upstream.
	RunningByUpstream []UpstreamCount `json:"holds"`
}

// ClassCount counts requests of one class.
type ClassCount struct {
	Class   messenger.ClassID `json:"class"`
	Waiting int               `json:"waiting"`
}

// UpstreamCount counts requests on one upstream.
type UpstreamCount struct {
	Upstream messenger.UpstreamID `json:"upstream"`
	Running  int                  `json:"running"`
}

// Explain returns the state of a client account at this router. It scans all requests of the
// router, so it is meant for calls by operators and not for every event.
func (s *Scheduler) Explain(account messenger.AccountID) Explanation {
	e := Explanation{
		Account: account,
		Weight:  weightOf(s.policy, account),
		Home:    s.homeRouterOf(account),
		Limits:  s.limits.State(s.now, account),
	}
	for _, p := range s.poolList {
		if f, ok := p.flows[account]; ok {
			e.Pools = append(e.Pools, p.explain(f))
		}
	}
	return e
}

func (p *pool) explain(f *flow) PoolExplanation {
	e := PoolExplanation{
		Pool: p.id, Tag: f.tag, VirtualTime: p.virtualTime, Served: f.servedTokens,
		Blocked: f.blocked, WaitingElsewhere: f.waitingElsewhere,
	}
	for _, q := range f.queues {
		e.Waiting = append(e.Waiting, ClassCount{Class: q.class.id, Waiting: q.n})
		e.ExpectedWaitSeconds = max(e.ExpectedWaitSeconds, p.estimatedWait(q).Seconds())
	}
	running := 0
	for _, other := range p.flowList {
		running += other.running
		if other.waiting > 0 && other.tag < f.tag {
			e.AccountsAhead++
		}
	}
	e.SlotShare = float64(f.running) / float64(max(1, running))
	e.RunningByUpstream = p.runningByUpstream(f)
	return e
}

// runningByUpstream counts the running requests of an account on each upstream.
func (p *pool) runningByUpstream(f *flow) []UpstreamCount {
	counts := make(map[messenger.UpstreamID]int)
	for _, r := range p.sched.requests {
		if r.queue.flow != f {
			continue
		}
		for _, u := range r.upstreams {
			counts[u]++
		}
	}
	list := make([]UpstreamCount, 0, len(counts))
	for u, n := range counts {
		list = append(list, UpstreamCount{Upstream: u, Running: n})
	}
	slices.SortFunc(list, func(a, b UpstreamCount) int {
		return strings.Compare(string(a.Upstream), string(b.Upstream))
	})
	return list
}

// Snapshot is the state of a Scheduler for status and metrics.
type Snapshot struct {
	Pools []PoolSnapshot `json:"pools"`
	// ControlBytes and ControlMessages are the bytes and messages sent since the start. The
	// bytes are estimated sizes times the ratio set with SetControlSizeRatio.
	ControlBytes    uint64 `json:"controlBytes"`
	ControlMessages uint64 `json:"controlMessages"`
	// ControlPressure is 1 while the budget suffices, and grows while reports are late.
	ControlPressure float64 `json:"controlPressure"`
	// Requests counts the waiting and running requests.
	Requests int `json:"requests"`
	// LostRouters counts the routers that are unresponsive.
	LostRouters int `json:"lostRouters"`
}

// PoolSnapshot is the part of a Snapshot that concerns one pool.
type PoolSnapshot struct {
	Pool           messenger.PoolID `json:"pool"`
	Waiting        []ClassCount     `json:"waiting"`
	Running        int              `json:"running"`
	Slots          int              `json:"slots"`
	Accounts       int              `json:"accounts"`
	HomeAccounts   int              `json:"homes"`
	OwnedUpstreams int              `json:"ownedUpstreams"`
	VirtualTime    float64          `json:"virtualTime"`
}

// Snapshot returns the current state of the Scheduler.
func (s *Scheduler) Snapshot() Snapshot {
	snapshot := Snapshot{
		ControlBytes:    s.governor.sentBytes,
		ControlMessages: s.governor.sentMessages,
		ControlPressure: s.governor.pressure,
		Requests:        len(s.requests),
	}
	for _, peer := range s.peerList {
		if peer.unresponsive {
			snapshot.LostRouters++
		}
	}
	for _, p := range s.poolList {
		snapshot.Pools = append(snapshot.Pools, p.snapshot())
	}
	return snapshot
}

func (p *pool) snapshot() PoolSnapshot {
	m := PoolSnapshot{
		Pool: p.id, Accounts: len(p.flows), HomeAccounts: len(p.homeAccounts),
		OwnedUpstreams: len(p.ownedList), VirtualTime: p.virtualTime,
	}
	for _, c := range p.classes {
		m.Waiting = append(m.Waiting, ClassCount{Class: c.id, Waiting: c.waitingForSlot})
	}
	for _, l := range p.leases {
		running, _ := p.placer.Running(l.upstream)
		m.Running += running
		m.Slots += l.allowed.slots
	}
	return m
}

// UpstreamSnapshot counts the slots of one upstream that this router may use, and the requests
// that it runs there.
type UpstreamSnapshot struct {
	Slots, Running int
}

// Upstreams returns the slots and running requests of this router on each upstream.
func (s *Scheduler) Upstreams() map[messenger.UpstreamID]UpstreamSnapshot {
	all := make(map[messenger.UpstreamID]UpstreamSnapshot)
	for _, p := range s.poolList {
		for id, l := range p.leases {
			running, _ := p.placer.Running(id)
			all[id] = UpstreamSnapshot{Slots: l.allowed.slots, Running: running}
		}
	}
	return all
}

// SetControlSizeRatio sets the ratio of the bytes really sent in control messages to their
// estimated sizes, by which the estimates are corrected. Ratios of zero or less are ignored.
func (s *Scheduler) SetControlSizeRatio(ratio float64) {
	if ratio > 0 {
		s.governor.sizeRatio = ratio
	}
}
