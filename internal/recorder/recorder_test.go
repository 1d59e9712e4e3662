package recorder

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/storer"
)

// stepClock is a fake clock. After advances it by the requested duration and fires at once.
type stepClock struct {
	mu  sync.Mutex
	now time.Time
}

func newStepClock() *stepClock { return &stepClock{now: time.Unix(1_800_000_000, 0)} }

func (c *stepClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *stepClock) Uptime() time.Duration { return c.Now().Sub(time.Unix(1_800_000_000, 0)) }

func (c *stepClock) After(d time.Duration) <-chan time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
	ch := make(chan time.Time, 1)
	ch <- c.now
	return ch
}

// fault is the fault that a fakeStore injects into one call.
type fault uint8

const (
	noFault fault = iota
	// unavailable applies nothing and returns storer.ErrUnavailable.
	unavailable
	// lostResponse applies the commit and returns storer.ErrUnknown.
	lostResponse
	// lostRequest applies nothing and returns storer.ErrUnknown from a commit.
	lostRequest
	// delayed returns storer.ErrUnknown and applies the commit during a later call.
	delayed
)

// fakeStore is an in-memory Store that can inject faults.
type fakeStore struct {
	mu      sync.Mutex
	rows    map[string]storer.Row
	version uint64
	// nextFault returns the fault of the next call. If nil, all calls succeed.
	nextFault      func() fault
	delayedCommits [][]storer.Op
	commits        int
	reads          int
}

func newFakeStore() *fakeStore { return &fakeStore{rows: make(map[string]storer.Row)} }

func (s *fakeStore) fault() fault {
	if s.nextFault == nil {
		return noFault
	}
	return s.nextFault()
}

func (s *fakeStore) Read(_ context.Context, table, key string) (storer.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	s.maybeApplyDelayed()
	if f := s.fault(); f == unavailable || f == lostRequest {
		return storer.Row{}, storer.ErrUnavailable
	}
	row, ok := s.rows[table+"/"+key]
	if !ok || row.Deleted {
		return storer.Row{}, storer.ErrNotFound
	}
	return row, nil
}

func (s *fakeStore) Scan(_ context.Context, table string, since uint64, limit int) ([]storer.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []storer.Row
	for v := since + 1; v <= s.version && len(out) < limit; v++ {
		for _, row := range s.rows {
			if row.Table == table && row.Version == v {
				out = append(out, row)
			}
		}
	}
	return out, nil
}

func (s *fakeStore) Commit(_ context.Context, ops []storer.Op) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commits++
	s.maybeApplyDelayed()
	switch s.fault() {
	case unavailable:
		return storer.ErrUnavailable
	case lostRequest:
		return storer.ErrUnknown
	case lostResponse:
		_ = s.apply(ops)
		return storer.ErrUnknown
	case delayed:
		s.delayedCommits = append(s.delayedCommits, ops)
		return storer.ErrUnknown
	}
	return s.apply(ops)
}

// maybeApplyDelayed applies the oldest delayed commit unless nextFault returns a fault.
func (s *fakeStore) maybeApplyDelayed() {
	if len(s.delayedCommits) == 0 || s.fault() != noFault {
		return
	}
	ops := s.delayedCommits[0]
	s.delayedCommits = s.delayedCommits[1:]
	_ = s.apply(ops)
}

func (s *fakeStore) apply(ops []storer.Op) error {
	for _, op := range ops {
		row, ok := s.rows[op.Table+"/"+op.Key]
		exists := ok && !row.Deleted
		if !op.Always && (op.IfVersion == 0 && exists || op.IfVersion != 0 && (!exists || row.Version != op.IfVersion)) {
			return storer.ErrConflict
		}
	}
	for _, op := range ops {
		s.version++
		s.rows[op.Table+"/"+op.Key] = storer.Row{Table: op.Table, Key: op.Key, Value: op.Value, Version: s.version, Deleted: op.Delete}
	}
	return nil
}

// newTestRecorder returns a recorder of the router name; its tokens start with that name.
func newTestRecorder(s Store, c *stepClock, name string) *Recorder {
	var mu sync.Mutex
	n := 0
	return New(Config{
		Store: s, Clock: c, Router: messenger.RouterID(name), Incarnation: "1", ClaimsPerSecond: 1000,
		NewToken: func() string {
			mu.Lock()
			defer mu.Unlock()
			n++
			return fmt.Sprintf("%s-%d", name, n)
		},
	})
}

func testRequest() Request {
	return Request{Account: "riga-1", Key: "k", Fingerprint: Fingerprint("POST", "/reservations", []byte("wig 7"))}
}

func mustClaim(t *testing.T, r *Recorder, req Request) Claim {
	t.Helper()
	c, err := r.Claim(context.Background(), req)
	if err != nil {
		t.Fatalf("Claim: %v", err)
	}
	return c
}

func TestClaimRepeats(t *testing.T) {
	created := Outcome{Status: 201, ContentType: "application/json", Body: []byte(`{"id":1}`)}
	tests := []struct {
		name string
		// afterFirstClaim runs between the first claim and the duplicate.
		afterFirstClaim func(t *testing.T, r *Recorder, c Claim, clock *stepClock)
		modifyRequest   func(*Request)
		want            Status
	}{
		{name: "first request in progress", want: InProgress},
		{name: "other account", modifyRequest: func(r *Request) { r.Account = "riga-2" }, want: Claimed},
		{name: "other body", modifyRequest: func(r *Request) { r.Fingerprint = "x" }, want: Mismatch},
		{name: "completed", want: Completed, afterFirstClaim: func(t *testing.T, r *Recorder, c Claim, _ *stepClock) {
			if err := r.RecordOutcome(context.Background(), c, created); err != nil {
				t.Fatal(err)
			}
		}},
		{name: "recorded as unknown", want: OutcomeUnknown, afterFirstClaim: func(t *testing.T, r *Recorder, c Claim, _ *stepClock) {
			if err := r.RecordOutcome(context.Background(), c, Outcome{Unknown: true}); err != nil {
				t.Fatal(err)
			}
		}},
		{name: "released", want: Claimed, afterFirstClaim: func(t *testing.T, r *Recorder, c Claim, _ *stepClock) {
			if err := r.Release(context.Background(), c); err != nil {
				t.Fatal(err)
			}
		}},
		{name: "lease expired", want: OutcomeUnknown, afterFirstClaim: func(_ *testing.T, _ *Recorder, _ Claim, clock *stepClock) {
			clock.After(DefaultLease + DefaultMaxClockSkew)
		}},
		{name: "record expired", want: Claimed, afterFirstClaim: func(_ *testing.T, _ *Recorder, _ Claim, clock *stepClock) {
			clock.After(DefaultLifetime + DefaultMaxClockSkew + time.Millisecond)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			store, clock := newFakeStore(), newStepClock()
			first, second := newTestRecorder(store, clock, "r1"), newTestRecorder(store, clock, "r2")
			c := mustClaim(t, first, testRequest())
			if c.Status != Claimed {
				t.Fatalf("first claim = %v, want Claimed", c.Status)
			}
			if tt.afterFirstClaim != nil {
				tt.afterFirstClaim(t, first, c, clock)
			}
			req := testRequest()
			if tt.modifyRequest != nil {
				tt.modifyRequest(&req)
			}
			got := mustClaim(t, second, req)
			if got.Status != tt.want {
				t.Errorf("duplicate = %v, want %v", got.Status, tt.want)
			}
			if got.Status == InProgress && (got.RetryAfter <= 0 || got.RetryAfter > maxRetryAfter) {
				t.Errorf("RetryAfter = %v, want up to %v", got.RetryAfter, maxRetryAfter)
			}
			if got.Status == Completed && string(got.Outcome.Body) != string(created.Body) {
				t.Errorf("outcome = %+v, want %+v", got.Outcome, created)
			}
		})
	}
}

func TestClaimOfDeadRouter(t *testing.T) {
	store, clock := newFakeStore(), newStepClock()
	mustClaim(t, newTestRecorder(store, clock, "r1"), testRequest())
	second := newTestRecorder(store, clock, "r2")
	second.cfg.Alive = func(messenger.RouterID, string) bool { return false }
	if got := mustClaim(t, second, testRequest()); got.Status != OutcomeUnknown {
		t.Errorf("duplicate = %v, want OutcomeUnknown", got.Status)
	}
}

func TestClaimStoreDown(t *testing.T) {
	store, clock := newFakeStore(), newStepClock()
	store.nextFault = func() fault { return unavailable }
	c, err := newTestRecorder(store, clock, "r1").Claim(context.Background(), testRequest())
	if !errors.Is(err, storer.ErrUnavailable) || c.Status == Claimed {
		t.Errorf("Claim = %v, %v, want ErrUnavailable and not Claimed", c.Status, err)
	}
}

func TestClaimRate(t *testing.T) {
	store, clock := newFakeStore(), newStepClock()
	r := New(Config{Store: store, Clock: clock, ClaimsPerSecond: 2})
	claim := func(i int) error {
		req := testRequest()
		req.Key = fmt.Sprint(i)
		_, err := r.Claim(context.Background(), req)
		return err
	}
	for i := range 2 {
		if err := claim(i); err != nil {
			t.Fatalf("claim %d: %v", i, err)
		}
	}
	if err := claim(2); !errors.Is(err, ErrBusy) {
		t.Errorf("third claim within the same second = %v, want ErrBusy", err)
	}
	clock.After(time.Second)
	if err := claim(3); err != nil {
		t.Errorf("claim one second later: %v", err)
	}
}

func TestSettleBoundsBody(t *testing.T) {
	store, clock := newFakeStore(), newStepClock()
	r := newTestRecorder(store, clock, "r1")
	c := mustClaim(t, r, testRequest())
	if err := r.RecordOutcome(context.Background(), c, Outcome{Status: 201, Body: make([]byte, DefaultMaxBodyBytes+1)}); err != nil {
		t.Fatal(err)
	}
	got := mustClaim(t, r, testRequest())
	if !got.Outcome.Truncated || len(got.Outcome.Body) != 0 {
		t.Errorf("outcome has %d bytes, truncated %v, want none and true", len(got.Outcome.Body), got.Outcome.Truncated)
	}
	if store.commits != 3 || store.reads != 2 {
		t.Errorf("commits = %d, reads = %d, want 3 and 2", store.commits, store.reads)
	}
}

func TestSweep(t *testing.T) {
	store, clock := newFakeStore(), newStepClock()
	r := newTestRecorder(store, clock, "r1")
	claim := func(key string) {
		req := testRequest()
		req.Key = key
		mustClaim(t, r, req)
	}
	for i := range 120 {
		claim(fmt.Sprint("old", i))
	}
	clock.After(DefaultLifetime + DefaultMaxClockSkew + time.Second)
	claim("new")
	total := 0
	for range 4 {
		n, err := r.Sweep(context.Background(), 100)
		if err != nil {
			t.Fatal(err)
		}
		total += n
	}
	live := 0
	for _, row := range store.rows {
		if !row.Deleted {
			live++
		}
	}
	if total != 120 || live != 1 {
		t.Errorf("deleted %d, left %d, want 120 and 1", total, live)
	}
}

// TestAtMostOneClaim has routers claim the same key one after the other while store calls
// fail, lose their response or take effect late. It checks that at most one router holds the
// key and records its outcome, and that at least 90% of the seeds have such a router. It
// guards against running a request twice.
func TestAtMostOneClaim(t *testing.T) {
	const seeds, routers = 2000, 6
	heldClaims, failedClaims := 0, 0
	for seed := range uint64(seeds) {
		rng := rand.New(rand.NewPCG(seed, 1))
		store, clock := newFakeStore(), newStepClock()
		store.nextFault = func() fault {
			if rng.IntN(3) > 0 {
				return noFault
			}
			return fault(1 + rng.IntN(4))
		}
		held := 0
		for i := range routers {
			r := newTestRecorder(store, clock, fmt.Sprintf("r%d", i))
			c, err := r.Claim(context.Background(), testRequest())
			if err != nil {
				failedClaims++
				continue
			}
			if c.Status != Claimed {
				continue
			}
			held++
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			err = r.RecordOutcome(ctx, c, Outcome{Status: 201})
			cancel()
			if err != nil {
				t.Fatalf("seed %d: RecordOutcome: %v", seed, err)
			}
		}
		if held > 1 {
			t.Fatalf("seed %d: %d routers hold the key, want at most 1", seed, held)
		}
		heldClaims += held
	}
	t.Logf("%d seeds: %d claims held, %d failed", seeds, heldClaims, failedClaims)
	if heldClaims < seeds*9/10 {
		t.Errorf("claims held = %d, want %d or more", heldClaims, seeds*9/10)
	}
}

// TestParallelClaims has 16 routers claim the same key concurrently.
func TestParallelClaims(t *testing.T) {
	store, clock := newFakeStore(), newStepClock()
	results := make(chan Status, 16)
	for i := range cap(results) {
		r := newTestRecorder(store, clock, fmt.Sprintf("r%d", i))
		go func() {
			c, err := r.Claim(context.Background(), testRequest())
			if err != nil {
				t.Error(err)
			}
			results <- c.Status
		}()
	}
	counts := make(map[Status]int)
	for range cap(results) {
		counts[<-results]++
	}
	if counts[Claimed] != 1 || counts[InProgress] != cap(results)-1 {
		t.Errorf("statuses = %v, want one Claimed and the others InProgress", counts)
	}
}
