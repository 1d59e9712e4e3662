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

// noRetries is an exhausted retry budget.
type noRetries struct{}

func (noRetries) Earn(messenger.PoolID) {}

func (noRetries) Spend(messenger.PoolID) bool { return false }

func (noRetries) Postpone(messenger.PoolID, time.Time) {}

// silenceDuration is how long the upstreams of these tests stay silent. It is several
// times the progress timeout of shortTimeoutStream.
const silenceDuration = 150 * time.Millisecond

// shortTimeoutStream returns a request for a stream that may continue at another
// upstream.
func shortTimeoutStream() *Request {
	req := resumableStream()
	req.Class.ProgressTimeout = silenceDuration / 5
	return req
}

// servePausingStream starts an upstream whose stream is silent for silenceDuration
// halfway through.
func servePausingStream(t *testing.T) string {
	return serve(t, func(w http.ResponseWriter, r *http.Request) {
		startStream(w, r)
		writeEvent(w, numberedEvents(1, 3))
		time.Sleep(silenceDuration)
		writeEvent(w, numberedEvents(4, 6))
	})
}

// TestSilentUpstreamIsKeptWithoutReplacement checks that a stream survives a silent
// period of its upstream if no other upstream may or can continue it.
func TestSilentUpstreamIsKeptWithoutReplacement(t *testing.T) {
	for _, tc := range []struct {
		name      string
		retries   RetryBudget
		upstreams []messenger.UpstreamID
	}{
		{"no second send is left", noRetries{}, []messenger.UpstreamID{"a", "b"}},
		{"no other upstream has room", nil, []messenger.UpstreamID{"a"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ran := make(chan struct{}, 1)
			other := serve(t, func(http.ResponseWriter, *http.Request) { ran <- struct{}{} })
			d := newTestDispatcher(t, Config{
				Dialect: resendDialect{}, RetryBudget: tc.retries,
				Upstreams: fixedUpstreams{"a": {Address: servePausingStream(t)}, "b": {Address: other}},
			})
			q, c := newFakeQueue(tc.upstreams...), newFakeCaller()
			res := d.Serve(context.Background(), shortTimeoutStream(), q, c)
			if got, want := c.text(), numberedEvents(1, 6); got != want || res.Aborted {
				t.Errorf("response = %q, aborted %v, want the complete stream %q", got, res.Aborted, want)
			}
			if len(ran) != 0 || len(q.finishes()) != 1 {
				t.Errorf("got %d requests at the other upstream, %d slots freed, want 0 and 1", len(ran), len(q.finishes()))
			}
		})
	}
}

// TestSilentUpstreamIsKeptBeforeResponseHead checks the same for silence before the
// response head.
func TestSilentUpstreamIsKeptBeforeResponseHead(t *testing.T) {
	addr := serve(t, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(silenceDuration)
		startStream(w, r)
		writeEvent(w, numberedEvents(1, 2))
	})
	d := newTestDispatcher(t, Config{Dialect: resendDialect{}, RetryBudget: noRetries{}, Upstreams: fixedUpstreams{"a": {Address: addr}}})
	q, c := newFakeQueue("a"), newFakeCaller()
	res := d.Serve(context.Background(), shortTimeoutStream(), q, c)
	if got, want := c.text(), numberedEvents(1, 2); res.Status != http.StatusOK || got != want {
		t.Errorf("response = %d %q, want 200 %q", res.Status, got, want)
	}
}

// TestSilentStreamFailsOver checks that another upstream continues the stream of a silent
// one, that the silent upstream's request ends before anything of the other's stream is
// delivered, and that the retry budget is spent once. The clock stands still until the first
// upstream has begun, so that silence is never judged before its handler runs.
func TestSilentStreamFailsOver(t *testing.T) {
	ended := make(chan struct{})
	first := serve(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // the server notices a closed connection only then
		startStream(w, r)
		writeEvent(w, numberedEvents(1, 3))
		<-r.Context().Done()
		close(ended)
	})
	second := serve(t, func(w http.ResponseWriter, r *http.Request) {
		startStream(w, r)
		w.(http.Flusher).Flush() // the head takes the stream over
		<-ended
		writeEvent(w, numberedEvents(4, 6))
	})
	clock := timekeeper.NewManual(time.Unix(1_800_000_000, 0))
	d := newTestDispatcher(t, Config{
		Dialect: resendDialect{}, Clock: clock, Upstreams: fixedUpstreams{"a": {Address: first}, "b": {Address: second}},
	})
	q, c, req, done := newFakeQueue("a", "b"), newFakeCaller(), shortTimeoutStream(), make(chan Result, 1)
	go func() { done <- d.Serve(context.Background(), req, q, c) }()
	awaitText(c, numberedEvents(1, 3))
	awaitSilence(d, clock, req.Class.ProgressTimeout)
	res := <-done
	if got, want := c.text(), numberedEvents(1, 6); got != want || res.Aborted || res.Attempts != 2 {
		t.Errorf("response = %q, result %+v, want %q after two attempts", got, res, want)
	}
	if got := q.finishes(); len(got) != 1 || got[0].Upstream != "b" {
		t.Errorf("finishes = %+v, want only that of b: the slot of a was freed when b was chosen", got)
	}
	if got := d.Counters().Retries.Load(); got != 1 {
		t.Errorf("got %d retries taken from the budget, want 1", got)
	}
}

// TestSilentUpstreamFailsDuringFailoverRequest checks that a silent upstream that fails
// before its replacement is chosen costs only one retry.
func TestSilentUpstreamFailsDuringFailoverRequest(t *testing.T) {
	broken := make(chan struct{})
	first := serve(t, func(w http.ResponseWriter, r *http.Request) {
		startStream(w, r)
		writeEvent(w, numberedEvents(1, 3))
		<-broken
		panic(http.ErrAbortHandler)
	})
	second := serve(t, func(w http.ResponseWriter, r *http.Request) {
		startStream(w, r)
		writeEvent(w, numberedEvents(4, 6))
	})
	d := newTestDispatcher(t, Config{Dialect: resendDialect{}, Upstreams: fixedUpstreams{"a": {Address: first}, "b": {Address: second}}})
	q, c := newFakeQueue("a"), newFakeCaller()
	done := make(chan Result, 1)
	go func() { done <- d.Serve(context.Background(), shortTimeoutStream(), q, c) }()
	for d.Counters().SilentConnections.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	q.mu.Lock()
	q.upstreams = append(q.upstreams, "b")
	q.mu.Unlock()
	close(broken)
	res := <-done
	if got, want := c.text(), numberedEvents(1, 6); got != want || res.Aborted {
		t.Errorf("response = %q, result %+v, want %q", got, res, want)
	}
	if got := d.Counters().Retries.Load(); got != 1 {
		t.Errorf("got %d retries taken from the budget, want 1", got)
	}
}

// silentInterceptQueue keeps UpstreamSilent events from the scheduler, so that the test decides
// when the replacement is dispatched.
type silentInterceptQueue struct {
	*fakeQueue
	silent chan messenger.UpstreamID
}

// Notify intercepts UpstreamSilent events and passes on all others.
func (q *silentInterceptQueue) Notify(e messenger.Event) {
	s, ok := e.(messenger.UpstreamSilent)
	if !ok {
		q.fakeQueue.Notify(e)
		return
	}
	select {
	case q.silent <- s.Upstream:
	default:
	}
}

// TestSilentUpstreamIsKeptIfItContinuesBeforeFailover checks that an upstream that starts
// its stream after being silent keeps the request, even though the Dispatch of a
// replacement is already queued.
func TestSilentUpstreamIsKeptIfItContinuesBeforeFailover(t *testing.T) {
	begin, proceed := make(chan struct{}), make(chan struct{})
	first := serve(t, func(w http.ResponseWriter, r *http.Request) {
		<-begin
		startStream(w, r)
		writeEvent(w, numberedEvents(1, 3))
		<-proceed
		writeEvent(w, numberedEvents(4, 6))
	})
	second := serve(t, func(w http.ResponseWriter, r *http.Request) {
		startStream(w, r)
		writeEvent(w, numberedEvents(1, 6))
	})
	d := newTestDispatcher(t, Config{Dialect: resendDialect{}, Upstreams: fixedUpstreams{"a": {Address: first}, "b": {Address: second}}})
	q, c := &silentInterceptQueue{newFakeQueue("a"), make(chan messenger.UpstreamID, 1)}, newFakeCaller()
	req := shortTimeoutStream()
	req.Resumable, req.Arrive.Idempotent = false, true
	done := make(chan Result, 1)
	go func() { done <- d.Serve(context.Background(), req, q, c) }()
	<-q.silent
	close(begin)
	for c.text() != numberedEvents(1, 3) {
		<-c.wrote
	}
	q.actions <- messenger.Dispatch{Request: q.id, Upstream: "b", Replaces: "a"}
	for len(q.finishes()) == 0 {
		time.Sleep(time.Millisecond)
	}
	close(proceed)
	if res := <-done; res.Aborted || c.text() != numberedEvents(1, 6) {
		t.Errorf("got %q, aborted %v, want the complete stream of the first upstream", c.text(), res.Aborted)
	}
}
