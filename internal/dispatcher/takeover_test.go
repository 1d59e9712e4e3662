package dispatcher

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/timekeeper"
)

// awaitText waits until the caller has received exactly text.
func awaitText(c *fakeCaller, text string) {
	for c.text() != text {
		<-c.wrote
	}
}

// awaitSilence advances the clock by progress timeouts until a silence was counted. It waits
// each time until the request has handled its timer, so that no other timeout passes.
func awaitSilence(d *Dispatcher, clock *timekeeper.Manual, timeout time.Duration) {
	for {
		for clock.Waiters() == 0 {
			time.Sleep(time.Millisecond)
		}
		if d.Counters().SilentConnections.Load() > 0 {
			return
		}
		clock.Advance(timeout)
	}
}

// TestSilentStreamIsKeptUntilAnotherGoesOn checks that a stream whose healthy upstream
// pauses is not lost if the upstream that should continue it declines.
func TestSilentStreamIsKeptUntilAnotherGoesOn(t *testing.T) {
	proceed, declined := make(chan struct{}), make(chan struct{}, 4)
	first := pausingStream(t, proceed)
	second := serve(t, func(w http.ResponseWriter, r *http.Request) {
		echoID(w, r)
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		declined <- struct{}{}
	})
	clock := timekeeper.NewManual(time.Unix(1_800_000_000, 0))
	d := newTestDispatcher(t, Config{
		Dialect: resendDialect{}, Clock: clock, Upstreams: fixedUpstreams{"a": {Address: first}, "b": {Address: second}},
	})
	req, c, done := resumableStream(), newFakeCaller(), make(chan Result, 1)
	req.Class.ProgressTimeout = time.Second
	req.MaxSends = 2
	go func() { done <- d.Serve(context.Background(), req, newFakeQueue("a", "b"), c) }()
	awaitText(c, numberedEvents(1, 3))
	awaitSilence(d, clock, req.Class.ProgressTimeout)
	<-declined
	close(proceed)
	res := <-done
	if got, want := c.text(), numberedEvents(1, 6); got != want || res.Aborted {
		t.Errorf("response = %q, aborted %v, want the complete stream %q", got, res.Aborted, want)
	}
}

// takeoverCase is a stream whose upstream a went silent after three events, so that the request
// was also sent to upstream b.
type takeoverCase struct {
	d      *Dispatcher
	clock  *timekeeper.Manual
	queue  *fakeQueue
	caller *fakeCaller
	// proceed lets a go on, breakOff ends its connection.
	proceed, breakOff chan struct{}
	// firstEnded is closed once the request at a has been canceled.
	firstEnded chan struct{}
	result     chan Result
}

// startTakeover starts a stream at upstream a, which goes silent, and has upstream b serve it
// with second. It returns once second has begun. Upstream c serves the rest of the stream.
func startTakeover(t *testing.T, second http.HandlerFunc) *takeoverCase {
	t.Helper()
	tc := &takeoverCase{
		clock: timekeeper.NewManual(time.Unix(1_800_000_000, 0)), queue: newFakeQueue("a", "b", "c"), caller: newFakeCaller(),
		proceed: make(chan struct{}), breakOff: make(chan struct{}), firstEnded: make(chan struct{}), result: make(chan Result, 1),
	}
	first := serve(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // the server notices a closed connection only then
		startStream(w, r)
		writeEvent(w, numberedEvents(1, 3))
		select {
		case <-tc.proceed:
			writeEvent(w, numberedEvents(4, 6))
		case <-tc.breakOff:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			close(tc.firstEnded)
		}
	})
	begun := make(chan struct{}, 1)
	b := serve(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		begun <- struct{}{}
		second(w, r)
	})
	c := serve(t, func(w http.ResponseWriter, r *http.Request) {
		startStream(w, r)
		writeEvent(w, numberedEvents(4, 6))
	})
	tc.d = newTestDispatcher(t, Config{
		Dialect: resendDialect{}, Clock: tc.clock, Upstreams: fixedUpstreams{"a": {Address: first}, "b": {Address: b}, "c": {Address: c}},
	})
	req := resumableStream()
	req.Class.ProgressTimeout = time.Second
	go func() { tc.result <- tc.d.Serve(context.Background(), req, tc.queue, tc.caller) }()
	awaitText(tc.caller, numberedEvents(1, 3))
	awaitSilence(tc.d, tc.clock, req.Class.ProgressTimeout)
	<-begun
	return tc
}

// checkComplete checks that the caller gets each event once, and that each slot is freed once.
func (tc *takeoverCase) checkComplete(t *testing.T, finishes ...messenger.Finish) {
	t.Helper()
	res := <-tc.result
	if got, want := tc.caller.text(), numberedEvents(1, 6); got != want || res.Aborted {
		t.Errorf("response = %q, aborted %v, want %q", got, res.Aborted, want)
	}
	got := tc.queue.finishes()
	for i := range got {
		got[i].Request, got[i].Tokens = 0, 0
	}
	if len(got) != len(finishes) {
		t.Fatalf("finishes = %+v, want %+v", got, finishes)
	}
	for i := range got {
		if got[i] != finishes[i] {
			t.Errorf("finish %d = %+v, want %+v", i, got[i], finishes[i])
		}
	}
}

// TestFailedTakeoverKeepsStream guards against cutting a stream whose upstream goes on, because
// the one that was to take over fails.
func TestFailedTakeoverKeepsStream(t *testing.T) {
	for name, second := range map[string]http.HandlerFunc{
		"declines": decline,
		"fails": func(w http.ResponseWriter, r *http.Request) {
			echoID(w, r)
			w.WriteHeader(http.StatusInternalServerError)
		},
		"answers no stream": func(w http.ResponseWriter, r *http.Request) { echoID(w, r); _, _ = w.Write([]byte("no")) },
		"answers another request": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(messenger.RequestIDHeader, "other")
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusOK)
		},
		"breaks off": breakOff,
	} {
		t.Run(name, func(t *testing.T) {
			tc := startTakeover(t, second)
			for len(tc.queue.finishes()) == 0 {
				time.Sleep(time.Millisecond)
			}
			close(tc.proceed)
			tc.checkComplete(t, messenger.Finish{Upstream: "b", Failed: true, ContinuesAt: "a"}, messenger.Finish{Upstream: "a"})
		})
	}
}

// TestStreamThatGoesOnEndsTakeover guards against two upstreams that both deliver, or both
// work on: the silent one goes on before the other has answered.
func TestStreamThatGoesOnEndsTakeover(t *testing.T) {
	ended := make(chan struct{})
	tc := startTakeover(t, func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(ended)
	})
	close(tc.proceed)
	<-ended
	tc.checkComplete(t, messenger.Finish{Upstream: "b", ContinuesAt: "a"}, messenger.Finish{Upstream: "a"})
}

// TestReplacedAttemptEndsWithinWindow guards against two upstreams that work on a request for
// long: one that has the request and has not answered yet.
func TestReplacedAttemptEndsWithinWindow(t *testing.T) {
	answer := make(chan struct{})
	tc := startTakeover(t, func(w http.ResponseWriter, r *http.Request) {
		<-answer
		startStream(w, r)
		writeEvent(w, numberedEvents(4, 6))
	})
	for tc.clock.Waiters() < 2 { // the timers for the silence and for the window
		time.Sleep(time.Millisecond)
	}
	tc.clock.Advance(takeoverWindow - time.Millisecond)
	select {
	case <-tc.firstEnded:
		t.Error("the silent upstream's request ended before the window was over")
	case <-time.After(20 * time.Millisecond):
	}
	tc.clock.Advance(time.Millisecond)
	<-tc.firstEnded
	close(answer)
	tc.checkComplete(t, messenger.Finish{Upstream: "b"})
}

// TestReplacedAttemptEndsWithFirstAnswer checks that the silent upstream's request is canceled
// before anything of the other one's stream is delivered.
func TestReplacedAttemptEndsWithFirstAnswer(t *testing.T) {
	proceed := make(chan struct{})
	tc := startTakeover(t, func(w http.ResponseWriter, r *http.Request) {
		startStream(w, r)
		w.(http.Flusher).Flush()
		<-proceed
		writeEvent(w, numberedEvents(4, 6))
	})
	<-tc.firstEnded
	close(proceed)
	tc.checkComplete(t, messenger.Finish{Upstream: "b"})
}

// TestStreamFailsAfterFailedTakeover guards against a request that no upstream is chosen for:
// the one that was to take over declines, and then the first one fails.
func TestStreamFailsAfterFailedTakeover(t *testing.T) {
	tc := startTakeover(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	for len(tc.queue.finishes()) == 0 {
		time.Sleep(time.Millisecond)
	}
	close(tc.breakOff)
	res := advanceUntil(tc.clock, 10*time.Millisecond, tc.result)
	tc.result <- res
	tc.checkComplete(t, messenger.Finish{Upstream: "b", Failed: true, ContinuesAt: "a"},
		messenger.Finish{Upstream: "a", Failed: true, Retry: true}, messenger.Finish{Upstream: "c"})
}

// TestCallerGoneDuringTakeover checks that the requests at both upstreams are canceled.
func TestCallerGoneDuringTakeover(t *testing.T) {
	ended := make(chan struct{})
	tc := startTakeover(t, func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(ended)
	})
	close(tc.caller.done)
	<-tc.firstEnded
	<-ended
	if res := <-tc.result; !res.CallerGone || len(tc.queue.finishes()) != 1 || tc.d.Counters().Retries.Load() != 1 {
		t.Errorf("result %+v, finishes %+v, %d retries, want one slot freed and one retry spent", res, tc.queue.finishes(), tc.d.Counters().Retries.Load())
	}
}

// TestHeadAloneEndsNoTakeover guards against staying with an upstream that sends the head of a
// stream late and then nothing, while another one is about to serve the request.
func TestHeadAloneEndsNoTakeover(t *testing.T) {
	started, begin, headSent, ended := make(chan struct{}), make(chan struct{}), make(chan struct{}), make(chan struct{})
	first := serve(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		close(started)
		<-begin
		startStream(w, r)
		w.(http.Flusher).Flush()
		close(headSent)
		<-r.Context().Done()
		close(ended)
	})
	begun, answer := make(chan struct{}), make(chan struct{})
	second := serve(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		close(begun)
		select {
		case <-answer:
			startStream(w, r)
			writeEvent(w, numberedEvents(1, 6))
		case <-r.Context().Done():
		}
	})
	clock := timekeeper.NewManual(time.Unix(1_800_000_000, 0))
	d := newTestDispatcher(t, Config{
		Dialect: resendDialect{}, Clock: clock, Upstreams: fixedUpstreams{"a": {Address: first}, "b": {Address: second}},
	})
	req, q, c, done := resumableStream(), newFakeQueue("a", "b"), newFakeCaller(), make(chan Result, 1)
	req.Class.ProgressTimeout, req.MaxSends = time.Second, 2
	go func() { done <- d.Serve(context.Background(), req, q, c) }()
	<-started
	awaitSilence(d, clock, req.Class.ProgressTimeout)
	<-begun
	close(begin)
	<-headSent
	select {
	case <-ended: // never before the answer of the second upstream
		t.Error("the first upstream's request ended before another one answered")
	case <-time.After(50 * time.Millisecond): // its head is handled meanwhile
	}
	close(answer)
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("the request stays at the silent upstream")
	}
	<-ended
	if got, want := c.text(), numberedEvents(1, 6); got != want {
		t.Errorf("response = %q, want %q", got, want)
	}
}
