package dispatcher

import (
	"context"
	"net"
	"net/http"
	"testing"

	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/recorder"
)

// closedCaller is a caller whose connection fails at the first write of a body.
type closedCaller struct{ *fakeCaller }

func (closedCaller) Write([]byte) (int, error) { return 0, net.ErrClosed }

// TestFailedWriteEndsAttemptOnce guards against a second Finish for one Dispatch: writing an event
// to the caller fails, which cancels the attempt, and the same bytes of the upstream break the
// stream.
func TestFailedWriteEndsAttemptOnce(t *testing.T) {
	for name, dialect := range map[string]Dialect{"engine stream": ownDialect{}, "framed stream": resendDialect{}} {
		t.Run(name, func(t *testing.T) {
			addr := serve(t, func(w http.ResponseWriter, r *http.Request) {
				startStream(w, r)
				writeEvent(w, numberedEvents(1, 1)+numberedEvents(5, 5)) // the events between are missing
				<-r.Context().Done()
			})
			d := newTestDispatcher(t, Config{Dialect: dialect, Upstreams: fixedUpstreams{"a": {Address: addr, Engine: true}}})
			q := newFakeQueue("a")
			res := d.Serve(context.Background(), completion(), q, closedCaller{newFakeCaller()})
			if got := q.finishes(); len(got) != 1 || res.Problem != "" {
				t.Errorf("finishes = %+v, problem %q, want one Finish and no problem", got, res.Problem)
			}
		})
	}
}

// keyRecorder is a Recorder that grants every claim.
type keyRecorder struct{ outcomes chan recorder.Outcome }

func (keyRecorder) Claim(context.Context, recorder.Request) (recorder.Claim, error) {
	return recorder.Claim{Status: recorder.Claimed}, nil
}

func (r keyRecorder) RecordOutcome(_ context.Context, _ recorder.Claim, o recorder.Outcome) error {
	r.outcomes <- o
	return nil
}

func (keyRecorder) Release(context.Context, recorder.Claim) error { return nil }

// TestOutcomeIsRecordedAfterFailedWrite guards against losing a response that was received
// completely: its caller has disconnected, and a repeat with the same key would get no response.
func TestOutcomeIsRecordedAfterFailedWrite(t *testing.T) {
	addr := serve(t, func(w http.ResponseWriter, r *http.Request) {
		echoID(w, r)
		w.WriteHeader(http.StatusCreated)
		_, _ = w.Write([]byte("reserved"))
	})
	rec := keyRecorder{outcomes: make(chan recorder.Outcome, 1)}
	d := newTestDispatcher(t, Config{Recorder: rec, Upstreams: fixedUpstreams{"a": {Address: addr}}})
	req := reservation()
	req.Key = "k1"
	res := d.Serve(context.Background(), req, newFakeQueue("a"), closedCaller{newFakeCaller()})
	got := <-rec.outcomes
	if got.Status != http.StatusCreated || string(got.Body) != "reserved" || got.Unknown || res.Run != messenger.StateRun {
		t.Errorf("recorded %+v, run %q, want the response", got, res.Run)
	}
}
