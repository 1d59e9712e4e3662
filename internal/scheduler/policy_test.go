package scheduler

import (
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

// loneRouter is a Scheduler without peers and a record of its actions.
type loneRouter struct {
	t           *testing.T
	sched       *Scheduler
	now         time.Time
	lastRequest messenger.RequestID
	// running holds the upstream of each dispatched request.
	running  map[messenger.RequestID]messenger.UpstreamID
	classes  map[messenger.RequestID]messenger.ClassID
	refusals []messenger.Refuse
	hedges   int
}

func newLoneRouter(t *testing.T, policy *messenger.Policy) *loneRouter {
	l := &loneRouter{
		t: t, sched: New(Config{Self: "r1"}), now: epoch,
		running: make(map[messenger.RequestID]messenger.UpstreamID),
		classes: make(map[messenger.RequestID]messenger.ClassID),
	}
	l.handle(messenger.PolicyChange{Policy: policy})
	return l
}

func (l *loneRouter) handle(e messenger.Event) {
	for _, a := range l.sched.Handle(l.now, e) {
		switch a := a.(type) {
		case messenger.Dispatch:
			l.running[a.Request] = a.Upstream
			if a.Hedge {
				l.hedges++
			}
		case messenger.Refuse:
			l.refusals = append(l.refusals, a)
		}
	}
}

// arrive submits n requests.
func (l *loneRouter) arrive(n int, account messenger.AccountID, class messenger.ClassID) {
	for range n {
		l.lastRequest++
		l.classes[l.lastRequest] = class
		l.handle(messenger.Arrive{Request: l.lastRequest, Account: account, Class: class, Pool: "p", Idempotent: true})
	}
}

// finish ends the running request with the lowest ID and returns the ID.
func (l *loneRouter) finish(tokens float64) messenger.RequestID {
	var first messenger.RequestID
	for id := range l.running {
		if first == 0 || id < first {
			first = id
		}
	}
	u := l.running[first]
	delete(l.running, first)
	l.handle(messenger.Finish{Request: first, Upstream: u, Tokens: tokens})
	return first
}

// advance advances the time by d, with ticks.
func (l *loneRouter) advance(d time.Duration) {
	for end := l.now.Add(d); l.now.Before(end); {
		l.now = l.now.Add(messenger.TickInterval)
		l.handle(messenger.Tick{})
	}
}

func TestPrecedenceKeepsClassFloor(t *testing.T) {
	policy := testPolicy(1, 4)
	policy.Classes["consultation"] = messenger.ClassPolicy{Precedence: 2, ExpectedTokens: 100}
	policy.Classes["summary"] = messenger.ClassPolicy{Precedence: 1, Floor: 0.25, ExpectedTokens: 100}
	l := newLoneRouter(t, policy)
	l.arrive(400, "a", "consultation")
	l.arrive(400, "b", "summary")
	ran := map[messenger.ClassID]int{}
	for range 200 {
		ran[l.classes[l.finish(100)]]++
	}
	if got := ran["summary"]; got < 40 || got > 60 {
		t.Errorf("got %d of 200 requests of the class with a floor of 0.25, want about 50", got)
	}
}

func TestLongWorkIsBoundedInEachWindow(t *testing.T) {
	policy := testPolicy(2, 8)
	policy.Classes["series"] = messenger.ClassPolicy{Long: true, ExpectedTokens: 3000}
	policy.Pools["p"] = messenger.PoolPolicy{LongShare: 0.25}
	l := newLoneRouter(t, policy)
	l.arrive(20, "a", "series")
	if got := len(l.running); got != 4 {
		t.Errorf("got %d long requests running, want 2 on each of 2 upstreams", got)
	}
	l.arrive(20, "a", "short")
	if got := len(l.running); got != 16 {
		t.Errorf("got %d requests running, want 16: short work in the other 12 slots", got)
	}
}

func TestRequestBeyondEstimateCountsAsLong(t *testing.T) {
	policy := testPolicy(1, 4)
	policy.Classes["series"] = messenger.ClassPolicy{Long: true, ExpectedTokens: 3000}
	policy.Pools["p"] = messenger.PoolPolicy{LongShare: 0.25}
	l := newLoneRouter(t, policy)
	l.arrive(1, "a", "short")
	l.handle(messenger.Progress{Request: 1, Tokens: 1000})
	l.arrive(1, "a", "series")
	if got := len(l.running); got != 1 {
		t.Errorf("got %d running, want 1: the one beyond its estimate takes the only slot for long work", got)
	}
}

func TestRequestsAreRefusedOnArrival(t *testing.T) {
	policy := testPolicy(1, 1)
	policy.Account.QueueLength = 3
	l := newLoneRouter(t, policy)
	l.arrive(5, "a", "short")
	if len(l.refusals) != 1 || l.refusals[0].Reason != messenger.RefuseQueueFull || l.refusals[0].RetryAfter < time.Second {
		t.Fatalf("got %+v, want one refusal for a full queue with a RetryAfter of at least 1s", l.refusals)
	}
	for range 2 {
		l.advance(3 * time.Second)
		l.finish(100)
	}
	if len(l.running) != 1 {
		t.Fatalf("got %d running, want 1", len(l.running))
	}
	l.refusals = nil
	for id := messenger.RequestID(11); id <= 12; id++ {
		l.handle(messenger.Arrive{Request: id, Account: "a", Class: "short", Pool: "p", Deadline: l.now.Add(5 * time.Second)})
	}
	if len(l.refusals) != 1 || l.refusals[0].Reason != messenger.RefuseDeadline || l.refusals[0].RetryAfter < 3*time.Second {
		t.Errorf("got %+v, want the second refused: with 3 s per request it cannot meet its deadline", l.refusals)
	}
}

func TestConcurrencyLimitHoldsRequestsInQueue(t *testing.T) {
	policy := testPolicy(1, 8)
	policy.Accounts["a"] = messenger.AccountPolicy{Concurrency: 2}
	l := newLoneRouter(t, policy)
	l.arrive(5, "a", "short")
	l.arrive(3, "b", "short")
	if got := len(l.running); got != 5 {
		t.Fatalf("got %d running, want 2 of a and 3 of b", got)
	}
	l.finish(100)
	if got := len(l.running); got != 5 {
		t.Errorf("got %d running after a finish, want 5 again", got)
	}
}

func TestLeavingUpstreamGetsNothing(t *testing.T) {
	policy := testPolicy(2, 2)
	l := newLoneRouter(t, policy)
	changed := testPolicy(2, 2)
	changed.Version = 2
	u := changed.Upstreams["ua"]
	u.Leaving = true
	changed.Upstreams["ua"] = u
	l.handle(messenger.PolicyChange{Policy: changed})
	l.arrive(6, "a", "short")
	for id, u := range l.running {
		if u == "ua" {
			t.Errorf("request %d was dispatched to a leaving upstream", id)
		}
	}
	if got := len(l.running); got != 2 {
		t.Errorf("got %d running, want 2", got)
	}
}

func TestSilentUpstreamIsHedgedWithinBudget(t *testing.T) {
	policy := testPolicy(2, 200)
	policy.Classes["short"] = messenger.ClassPolicy{Hedge: true, ExpectedTokens: 10}
	policy.Pools["p"] = messenger.PoolPolicy{HedgeBudget: 0.05}
	l := newLoneRouter(t, policy)
	for range 100 {
		l.arrive(1, "a", "short")
		l.advance(50 * time.Millisecond)
		l.handle(messenger.Progress{Request: l.lastRequest, Tokens: 1, First: true})
		l.finish(1)
	}
	l.arrive(100, "a", "short")
	l.advance(time.Second)
	if l.hedges == 0 || l.hedges > 10 {
		t.Errorf("got %d hedges, want 1 to 10: at most 5%% of 200", l.hedges)
	}
}

func TestFailedAttemptIsRetriedOnAnotherUpstream(t *testing.T) {
	l := newLoneRouter(t, testPolicy(2, 2))
	l.arrive(1, "a", "short")
	failed := l.running[1]
	l.handle(messenger.Finish{Request: 1, Upstream: failed, Failed: true, Retry: true})
	if got := l.running[1]; got == failed {
		t.Errorf("got %s again, want the other upstream", got)
	}
}

func TestRetryDoesNotBlockOthers(t *testing.T) {
	for _, upstreams := range []int{1, 2} {
		l := newLoneRouter(t, testPolicy(upstreams, 1))
		l.arrive(upstreams+1, "a", "short")
		failed := l.running[1]
		delete(l.running, 1)
		l.handle(messenger.Finish{Request: 1, Upstream: failed, Failed: true, Retry: true})
		l.advance(time.Second)
		if _, ok := l.running[1]; !ok || len(l.running) != upstreams {
			t.Errorf("%d upstreams: got %v running, want the failed request among them", upstreams, l.running)
		}
	}
}

func TestIdleAccountsAreForgotten(t *testing.T) {
	l := newLoneRouter(t, testPolicy(1, 8))
	for i := range 100 {
		l.arrive(1, accountName(i), "short")
		l.finish(10)
	}
	l.advance(idleAccountTTL + 10*time.Second)
	if got := len(l.sched.pools["p"].flows) + len(l.sched.pools["p"].homeAccounts); got != 0 {
		t.Errorf("got %d idle accounts kept, want none", got)
	}
}

func TestExplainSaysWhyAnAccountWaits(t *testing.T) {
	l := newLoneRouter(t, testPolicy(1, 2))
	l.arrive(5, "a", "short")
	l.arrive(1, "b", "short")
	e := l.sched.Explain("a")
	if len(e.Pools) != 1 || e.Home != "r1" {
		t.Fatalf("got %+v, want one pool and this router as home", e)
	}
	p := e.Pools[0]
	if p.Waiting[0].Waiting != 3 || p.AccountsAhead != 1 || len(p.RunningByUpstream) != 1 || p.RunningByUpstream[0].Running != 2 || p.SlotShare != 1 {
		t.Errorf("got %+v, want 3 waiting behind 1 account and 2 running on one upstream", p)
	}
	if got := l.sched.Snapshot(); got.Requests != 6 || got.Pools[0].Running != 2 || got.Pools[0].Slots != 2 {
		t.Errorf("got %+v, want 6 requests, 2 of them running in 2 slots", got)
	}
}
