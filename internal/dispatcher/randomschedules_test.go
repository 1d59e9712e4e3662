package dispatcher

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/governor"
	"lentilwood.example/lentilwood/internal/keeper"
	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/recorder"
	"lentilwood.example/lentilwood/internal/relayer"
	"lentilwood.example/lentilwood/internal/timekeeper"
)

// Flags of TestRandomSchedules: the number of schedules and the first seed.
var (
	schedules = flag.Int("schedules", 1500, "random schedules to run")
	firstSeed = flag.Uint64("firstSeed", 0, "seed of the first random schedule")
)

const (
	// parallelSchedules is the number of schedules that run in parallel.
	parallelSchedules = 24
	// requestsPerSchedule is the number of requests in a schedule.
	requestsPerSchedule = 6
)

// tally counts events over all schedules by name.
type tally struct {
	mu sync.Mutex
	n  map[string]int
}

func (y *tally) add(name string) {
	y.mu.Lock()
	defer y.mu.Unlock()
	y.n[name]++
}

// TestRandomSchedules serves requests with upstreams and a store that fail at every step.
// It compares the responses to callers with the journal of requests that were run: no
// request that must not be repeated runs twice, no request that ran is reported as not run,
// and no response is wrong or silently truncated.
func TestRandomSchedules(t *testing.T) {
	counts := &tally{n: make(map[string]int)}
	seeds := make(chan uint64)
	var wg sync.WaitGroup
	for range parallelSchedules {
		wg.Go(func() {
			for seed := range seeds {
				runSchedule(t, seed, counts)
			}
		})
	}
	for seed := range uint64(*schedules) {
		seeds <- *firstSeed + seed
	}
	close(seeds)
	wg.Wait()
	t.Logf("%d schedules: %v", *schedules, counts.n)
	for _, name := range []string{"run", "not-run", "unknown", "resumed", "retried", "replayed", "gone", "stream-broken", "held"} {
		if counts.n[name] < *schedules/100 {
			t.Errorf("%q occurred %d times, too few for a meaningful check", name, counts.n[name])
		}
	}
}

// schedule is one random scenario: a few concurrent requests through two routers, with
// faults and disconnects drawn from the seed.
type schedule struct {
	t       *testing.T
	seed    uint64
	rng     *rand.Rand
	journal *journal
	counts  *tally
	engines fixedUpstreams
	service fixedUpstreams
	routers []*Dispatcher

	mu sync.Mutex
	// checks verify each request after all of them have ended.
	checks []func()
}

func runSchedule(t *testing.T, seed uint64, counts *tally) {
	s := &schedule{
		t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 1)), journal: newJournal(), counts: counts,
		engines: make(fixedUpstreams), service: make(fixedUpstreams),
	}
	network := &memoryNetwork{}
	var upstreams []*faultyUpstream
	all := fixedUpstreams{"dead": {Address: "dead"}}
	for i := range 2 {
		engine, service := newFaultyUpstream(s.journal, true, seed*4+uint64(i)), newFaultyUpstream(s.journal, false, seed*4+2+uint64(i))
		upstreams = append(upstreams, engine, service)
		engineName, serviceName := fmt.Sprint("e", i), fmt.Sprint("s", i)
		network.listen(engineName, engine.accept)
		network.listen(serviceName, service.accept)
		s.engines[messenger.UpstreamID(engineName)] = messenger.UpstreamPolicy{Address: engineName, Engine: true}
		s.service[messenger.UpstreamID(serviceName)] = messenger.UpstreamPolicy{Address: serviceName}
	}
	for _, m := range []fixedUpstreams{s.engines, s.service} {
		for id, p := range m {
			all[id] = p
		}
		m["dead"] = all["dead"]
	}
	clock := timekeeper.NewManual(time.Unix(1_800_000_000, 0))
	stop := make(chan struct{})
	var ticking sync.WaitGroup
	ticking.Go(func() { tick(clock, stop) })
	store := keeper.New(clock)
	store.SetFaults(keeper.Faults{Seed: seed, FailShare: 0.1, LoseAnswers: 0.2})
	memory := governor.New(governor.Config{})
	for i := range 2 {
		rec := recorder.New(recorder.Config{Store: store, Clock: clock, Router: messenger.RouterID(fmt.Sprint("r", i)), ClaimsPerSecond: 1000})
		s.routers = append(s.routers, New(Config{Upstreams: all, Recorder: rec, Clock: clock, Log: quietLog(), Seed: seed, ConnectTimeout: time.Second, Dial: network.dial,
			Memory: memory, BufferBudget: relayer.NewBudget(0).ChargeTo(answersAccount{memory})}))
	}
	var wg sync.WaitGroup
	for i := range requestsPerSchedule {
		kind, seed := s.rng.IntN(5), s.rng.Uint64()
		wg.Go(func() { s.request(i, kind, seed) })
	}
	wg.Wait()
	for _, d := range s.routers {
		d.Close()
	}
	close(stop)
	ticking.Wait()
	for _, u := range upstreams {
		u.close()
	}
	for _, check := range s.checks {
		check()
	}
	s.checkKeys()
	checkNothingHeld(t, seed, memory)
	if memory.PeakBytes() > 0 {
		counts.add("held")
	}
}

// answersAccount charges answers to a memory account.
type answersAccount struct{ g *governor.Governor }

func (a answersAccount) Charge(n int64) { a.g.Charge(governor.KindAnswers, n) }

// checkNothingHeld guards against bytes that stay charged after all requests have ended, which
// would starve the router. Transports may still be ending.
func checkNothingHeld(t *testing.T, seed uint64, g *governor.Governor) {
	for range 5000 {
		if g.UsedBytes() == 0 {
			break
		}
		time.Sleep(time.Millisecond)
	}
	for _, kind := range governor.Kinds() {
		if got := g.KindBytes(kind); got != 0 {
			t.Errorf("seed %d: got %d bytes held for %v after the last request, want none", seed, got, kind)
		}
	}
}

// tick advances the clock fifty times as fast as real time.
func tick(clock *timekeeper.Manual, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Millisecond):
			clock.Advance(50 * time.Millisecond)
		}
	}
}

// Kinds of requests.
const (
	kindCompletion = iota
	kindNonIdempotentCompletion
	kindLookup
	kindReservation
	kindWithIdempotencyKey
)

// request serves and checks one request. A request with an idempotency key is also
// repeated.
func (s *schedule) request(i, kind int, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 3))
	id := fmt.Sprintf("w%d", i)
	req := &Request{ID: messenger.RequestID(i), WireID: id, Method: http.MethodPost, URI: "/reservations", Body: []byte("{}")}
	req.Arrive.Request = req.ID
	req.Class.ProgressTimeout = 2 * time.Second
	pool := s.service
	switch kind {
	case kindCompletion, kindNonIdempotentCompletion:
		req.URI, req.Streaming = "/v1/completions", true
		req.Arrive.Idempotent = kind == kindCompletion
		pool = s.engines
	case kindLookup:
		req.Method, req.URI, req.Body = http.MethodGet, "/stock/7", nil
		req.Arrive.Idempotent = true
	case kindWithIdempotencyKey:
		s.serveWithKey(rng, req)
		return
	}
	s.serve(s.routers[rng.IntN(2)], rng, req, pool)
}

// serveWithKey serves a request with an idempotency key and two repeats, some of them
// concurrently.
func (s *schedule) serveWithKey(rng *rand.Rand, req *Request) {
	var wg sync.WaitGroup
	for n := range 3 {
		repeat := *req
		repeat.Key = "key-" + req.WireID
		repeat.WireID = fmt.Sprintf("%s.%d", req.WireID, n)
		repeat.Header = http.Header{messenger.IdempotencyKeyHeader: {repeat.Key}}
		d, repeatRNG := s.routers[n%2], rand.New(rand.NewPCG(rng.Uint64(), 4))
		wg.Go(func() { s.serve(d, repeatRNG, &repeat, s.service) })
		if rng.IntN(2) == 0 {
			wg.Wait()
		}
	}
	wg.Wait()
}

func (s *schedule) serve(d *Dispatcher, rng *rand.Rand, req *Request, pool fixedUpstreams) {
	q, c := newRandomQueue(rng, req, pool), newFakeCaller()
	var disconnecting sync.WaitGroup
	served := make(chan struct{})
	if rng.IntN(8) == 0 {
		delay := time.Duration(rng.IntN(8)) * time.Millisecond
		disconnecting.Go(func() {
			select {
			case <-time.After(delay):
				close(c.done)
			case <-served:
			}
		})
	}
	res := d.Serve(context.Background(), req, q, c)
	close(served)
	disconnecting.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.checks = append(s.checks, func() { s.check(req, q, c, res) })
}

// check compares the response to the caller with the runs in the journal.
func (s *schedule) check(req *Request, q *randomQueue, c *fakeCaller, res Result) {
	s.journal.mu.Lock()
	ran := s.journal.runs[req.WireID]
	s.journal.mu.Unlock()
	reported := messenger.RunState(c.header.Get(messenger.RunHeader))
	fail := func(violation string) {
		s.t.Errorf("seed %d, request %s %s (idempotent %v): %s; reported %q, ran %d times, result %+v, response %q",
			s.seed, req.WireID, req.URI, req.Arrive.Idempotent, violation, reported, ran, res, c.text())
	}
	if !req.Arrive.Idempotent && ran > 1 {
		fail("ran twice")
	}
	if (reported == messenger.StateNotRun || res.Run == messenger.StateNotRun) && ran > 0 {
		fail("reported as not-run but ran")
	}
	replayed := c.header.Get(replayedHeader) != ""
	if reported == messenger.StateRun && ran == 0 && !replayed {
		fail("reported as run but did not run")
	}
	if c.status == 0 && !res.CallerGone {
		fail("no response")
	}
	if !res.CallerGone && c.status == http.StatusOK && !replayed && !completeOrMarkedBroken(req, c.text()) {
		fail("wrong or truncated response")
	}
	if unfinished := q.unfinished(); unfinished != 0 {
		fail(fmt.Sprintf("%d slots not freed", unfinished))
	}
	s.count(res, reported, replayed)
}

func (s *schedule) count(res Result, reported messenger.RunState, replayed bool) {
	s.counts.add(string(reported))
	for name, occurred := range map[string]bool{
		"resumed": res.Resumes > 0, "retried": res.Attempts > 1, "gone": res.CallerGone,
		"replayed": replayed, res.Problem: res.Problem != "",
	} {
		if occurred {
			s.counts.add(name)
		}
	}
}

// completeOrMarkedBroken reports whether a response is complete and correct, or is a
// correct beginning that ends with an error event.
func completeOrMarkedBroken(req *Request, text string) bool {
	want := serviceBody(req.WireID)
	if req.Streaming {
		want = strings.Join(tokenEvents(req.WireID, streamTokens), "")
	}
	if prefix, _, marked := strings.Cut(text, "event: error\n"); marked {
		return strings.HasPrefix(want, prefix)
	}
	return text == want
}

// checkKeys checks that no idempotency key ran twice, however often it was repeated.
func (s *schedule) checkKeys() {
	for key, n := range s.journal.keys {
		if n > 1 {
			s.t.Errorf("seed %d: key %s ran %d times", s.seed, key, n)
		}
	}
}
