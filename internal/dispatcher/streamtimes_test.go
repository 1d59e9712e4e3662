package dispatcher

import (
	"context"
	"net/http"
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

// TestStreamTimesAreRecorded guards against times between events that are missing, belong to
// another upstream, or include the time to the first event.
func TestStreamTimesAreRecorded(t *testing.T) {
	for _, limit := range []time.Duration{0, time.Nanosecond, time.Hour} {
		c := newFakeCaller()
		address := serve(t, func(w http.ResponseWriter, r *http.Request) {
			startStream(w, r)
			for i := 1; i <= 3; i++ {
				writeEvent(w, numberedEvents(i, i))
				<-c.wrote
			}
		})
		d := newTestDispatcher(t, Config{Dialect: resendDialect{}, Upstreams: fixedUpstreams{"a": {Address: address}}})
		req := resumableStream()
		req.Arrive.PauseLimit = limit
		d.Serve(context.Background(), req, newFakeQueue("a"), c)
		got := d.TakeStreamTimes()
		if limit == 0 {
			if len(got) != 0 {
				t.Errorf("got %v for a stream without a limit, want nothing", got)
			}
			continue
		}
		want := messenger.StreamTimes{Upstream: "a", Events: 2}
		if limit == time.Nanosecond {
			want.LateEvents = 2
		}
		if len(got) != 1 || got[0].Shortest <= 0 {
			t.Fatalf("limit %v: got %v, want one entry with a time", limit, got)
		}
		if got[0].Shortest = 0; got[0] != want {
			t.Errorf("limit %v: got %+v, want %+v", limit, got[0], want)
		}
		if again := d.TakeStreamTimes(); len(again) != 0 {
			t.Errorf("got %v when taken again, want nothing", again)
		}
	}
}

// TestStandstillIsNoLateEvent guards against a standstill of the router's own VM that counts as a
// late event of each of its streams, and so keeps prompts off the upstreams for a minute.
func TestStandstillIsNoLateEvent(t *testing.T) {
	c := newFakeCaller()
	address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		startStream(w, r)
		for i := 1; i <= 3; i++ {
			writeEvent(w, numberedEvents(i, i))
			<-c.wrote
		}
	})
	began := time.Now()
	d := newTestDispatcher(t, Config{
		Dialect: resendDialect{}, Upstreams: fixedUpstreams{"a": {Address: address}},
		LastStandstill: func() Standstill { return Standstill{From: began, To: time.Now()} },
	})
	req := resumableStream()
	req.Arrive.PauseLimit = time.Nanosecond
	d.Serve(context.Background(), req, newFakeQueue("a"), c)
	if got := d.TakeStreamTimes(); len(got) != 0 {
		t.Errorf("got %+v, want nothing: the router stood still between all events", got)
	}
}
