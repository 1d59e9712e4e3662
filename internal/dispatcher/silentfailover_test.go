package dispatcher

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

// noRetries is a budget of second sends that is used up.
type noRetries struct{}

func (noRetries) Earn(messenger.PoolID) {}

func (noRetries) Spend(messenger.PoolID) bool { return false }

// quietFor is how long the upstreams of these tests are silent, several times the time
// after which quietStream has them count as silent.
const quietFor = 150 * time.Millisecond

// quietStream is a stream that may go on elsewhere.
func quietStream() *Request {
	req := stream()
	req.Class.ProgressTimeout = quietFor / 5
	return req
}

// quietInTheMiddle answers with a stream that is silent for a while in its middle.
func quietInTheMiddle(t *testing.T) string {
	return serve(t, func(w http.ResponseWriter, r *http.Request) {
		beginStream(w, r)
		writeEvent(w, numbered(1, 3))
		time.Sleep(quietFor)
		writeEvent(w, numbered(4, 6))
	})
}

// TestSilentUpstreamGoesOnWhileNothingElseCan has an upstream be silent in the middle of a
// stream that no other upstream may or can go on with.
func TestSilentUpstreamGoesOnWhileNothingElseCan(t *testing.T) {
	for _, tc := range []struct {
		name    string
		retries RetryBudget
		turns   []messenger.UpstreamID
	}{
		{"no second send is left", noRetries{}, []messenger.UpstreamID{"a", "b"}},
		{"no other upstream has room", nil, []messenger.UpstreamID{"a"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ran := make(chan struct{}, 1)
			other := serve(t, func(http.ResponseWriter, *http.Request) { ran <- struct{}{} })
			d := newTestDispatcher(t, Config{
				Dialect: resendDialect{}, RetryBudget: tc.retries,
				Upstreams: fixedUpstreams{"a": {Address: quietInTheMiddle(t)}, "b": {Address: other}},
			})
			q, c := newFakeQueue(tc.turns...), newFakeCaller()
			res := d.Serve(context.Background(), quietStream(), q, c)
			if got, want := c.text(), numbered(1, 6); got != want || res.Aborted {
				t.Errorf("answer = %q, aborted %v, want %q whole", got, res.Aborted, want)
			}
			if len(ran) != 0 || len(q.finishes()) != 1 {
				t.Errorf("got %d requests elsewhere, %d slots back, want none and one", len(ran), len(q.finishes()))
			}
		})
	}
}

// TestSilentUpstreamIsAnsweredForBeforeItsHead is the same before the answer has begun.
func TestSilentUpstreamIsAnsweredForBeforeItsHead(t *testing.T) {
	addr := serve(t, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(quietFor)
		beginStream(w, r)
		writeEvent(w, numbered(1, 2))
	})
	d := newTestDispatcher(t, Config{Dialect: resendDialect{}, RetryBudget: noRetries{}, Upstreams: fixedUpstreams{"a": {Address: addr}}})
	q, c := newFakeQueue("a"), newFakeCaller()
	res := d.Serve(context.Background(), quietStream(), q, c)
	if got, want := c.text(), numbered(1, 2); res.Status != http.StatusOK || got != want {
		t.Errorf("answer = %d %q, want 200 %q", res.Status, got, want)
	}
}

// TestSilentStreamGoesOnElsewhere has another upstream take over a stream whose own one is
// silent, which must end by then.
func TestSilentStreamGoesOnElsewhere(t *testing.T) {
	ended := make(chan struct{})
	first := serve(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // the server notices a closed connection only then
		beginStream(w, r)
		writeEvent(w, numbered(1, 3))
		<-r.Context().Done()
		close(ended)
	})
	second := serve(t, func(w http.ResponseWriter, r *http.Request) {
		<-ended
		beginStream(w, r)
		writeEvent(w, numbered(4, 6))
	})
	d := newTestDispatcher(t, Config{Dialect: resendDialect{}, Upstreams: fixedUpstreams{"a": {Address: first}, "b": {Address: second}}})
	q, c := newFakeQueue("a", "b"), newFakeCaller()
	res := d.Serve(context.Background(), quietStream(), q, c)
	if got, want := c.text(), numbered(1, 6); got != want || res.Aborted || res.Attempts != 2 {
		t.Errorf("answer = %q, result %+v, want %q after two attempts", got, res, want)
	}
	if got := q.finishes(); len(got) != 1 || got[0].Upstream != "b" {
		t.Errorf("got slots back %+v, want that of b: a's was freed when b was chosen", got)
	}
}

// TestSilentUpstreamBreaksWhileAnotherIsAskedFor has the silent upstream fail before the
// one in its place is known.
func TestSilentUpstreamBreaksWhileAnotherIsAskedFor(t *testing.T) {
	broken := make(chan struct{})
	first := serve(t, func(w http.ResponseWriter, r *http.Request) {
		beginStream(w, r)
		writeEvent(w, numbered(1, 3))
		<-broken
		panic(http.ErrAbortHandler)
	})
	second := serve(t, func(w http.ResponseWriter, r *http.Request) {
		beginStream(w, r)
		writeEvent(w, numbered(4, 6))
	})
	d := newTestDispatcher(t, Config{Dialect: resendDialect{}, Upstreams: fixedUpstreams{"a": {Address: first}, "b": {Address: second}}})
	q, c := newFakeQueue("a"), newFakeCaller()
	done := make(chan Result, 1)
	go func() { done <- d.Serve(context.Background(), quietStream(), q, c) }()
	for d.Counters().SilentConnections.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	q.mu.Lock()
	q.turns = append(q.turns, "b")
	q.mu.Unlock()
	close(broken)
	res := <-done
	if got, want := c.text(), numbered(1, 6); got != want || res.Aborted {
		t.Errorf("answer = %q, result %+v, want %q", got, res, want)
	}
	if got := d.Counters().Retries.Load(); got != 1 {
		t.Errorf("got %d retries taken from the budget, want 1", got)
	}
}

// lateQueue keeps back what the scheduler decides about a silent upstream.
type lateQueue struct {
	*fakeQueue
	silent chan messenger.UpstreamID
}

// Notify takes an event.
func (q *lateQueue) Notify(e messenger.Event) {
	s, ok := e.(messenger.Silent)
	if !ok {
		q.fakeQueue.Notify(e)
		return
	}
	select {
	case q.silent <- s.Upstream:
	default:
	}
}

// TestUpstreamThatSpeaksBeforeItsPlaceIsTakenGoesOn has an upstream begin its stream after it was
// silent, while the decision to send the request elsewhere is on its way.
func TestUpstreamThatSpeaksBeforeItsPlaceIsTakenGoesOn(t *testing.T) {
	begin, goOn := make(chan struct{}), make(chan struct{})
	first := serve(t, func(w http.ResponseWriter, r *http.Request) {
		<-begin
		beginStream(w, r)
		writeEvent(w, numbered(1, 3))
		<-goOn
		writeEvent(w, numbered(4, 6))
	})
	second := serve(t, func(w http.ResponseWriter, r *http.Request) {
		beginStream(w, r)
		writeEvent(w, numbered(1, 6))
	})
	d := newTestDispatcher(t, Config{Dialect: resendDialect{}, Upstreams: fixedUpstreams{"a": {Address: first}, "b": {Address: second}}})
	q, c := &lateQueue{newFakeQueue("a"), make(chan messenger.UpstreamID, 1)}, newFakeCaller()
	req := quietStream()
	req.Resumable, req.Arrive.Idempotent = false, true
	done := make(chan Result, 1)
	go func() { done <- d.Serve(context.Background(), req, q, c) }()
	<-q.silent
	close(begin)
	for c.text() != numbered(1, 3) {
		<-c.wrote
	}
	q.actions <- messenger.Dispatch{Request: q.id, Upstream: "b", Instead: "a"}
	for len(q.finishes()) == 0 {
		time.Sleep(time.Millisecond)
	}
	close(goOn)
	if res := <-done; res.Aborted || c.text() != numbered(1, 6) {
		t.Errorf("got %q, aborted %v, want the whole stream of the first upstream", c.text(), res.Aborted)
	}
}
