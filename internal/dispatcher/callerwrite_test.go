package dispatcher

import (
	"context"
	"net"
	"net/http"
	"testing"
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
