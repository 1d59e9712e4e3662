package dispatcher

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// TestBrokenStreamStaysAtItsSoftwareVersion guards against an answer that is joined from upstreams of
// two software versions, whichever upstream the scheduler names: after a break, and after a silence.
func TestBrokenStreamStaysAtItsSoftwareVersion(t *testing.T) {
	silent := func(w http.ResponseWriter, r *http.Request) {
		startStream(w, r)
		writeEvent(w, numberedEvents(1, 3))
		<-r.Context().Done()
	}
	for name, tc := range map[string]struct {
		first    string
		version  string
		wantText string
	}{
		"break, other version":   {serveTruncatedStream(t, numberedEvents(1, 3)), "v2", numberedEvents(1, 3)},
		"break, same version":    {serveTruncatedStream(t, numberedEvents(1, 3)), "v1", numberedEvents(1, 6)},
		"silence, other version": {serve(t, silent), "v2", numberedEvents(1, 3)},
		"silence, same version":  {serve(t, silent), "v1", numberedEvents(1, 6)},
	} {
		t.Run(name, func(t *testing.T) {
			var sent atomic.Bool
			second := serve(t, func(w http.ResponseWriter, r *http.Request) {
				sent.Store(true)
				startStream(w, r)
				writeEvent(w, numberedEvents(4, 6))
			})
			d := newTestDispatcher(t, Config{Dialect: resendDialect{}, Upstreams: fixedUpstreams{
				"a": {Address: tc.first, SoftwareVersion: "v1"}, "b": {Address: second, SoftwareVersion: tc.version},
			}})
			q, c := newFakeQueue("a", "b"), newFakeCaller()
			req := resumableStream()
			req.Class.ProgressTimeout = 100 * time.Millisecond
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			res := d.Serve(ctx, req, q, c)
			if got := c.text(); got != tc.wantText {
				t.Errorf("got %q, want %q", got, tc.wantText)
			}
			if got, want := sent.Load(), tc.version == "v1"; got != want || res.SoftwareVersion != "v1" {
				t.Errorf("got sent to the second upstream %t, software %q, want %t, v1", got, res.SoftwareVersion, want)
			}
		})
	}
}
