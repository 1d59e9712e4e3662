package explainer

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

func TestWrite(t *testing.T) {
	tests := []struct {
		name           string
		retryAfter     time.Duration
		wantRetryAfter string
	}{
		{name: "no retry delay"},
		{name: "rounded up", retryAfter: 1200 * time.Millisecond, wantRetryAfter: "2"},
		{name: "whole seconds", retryAfter: 3 * time.Second, wantRetryAfter: "3"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := New("queue-full", "The queue is full", http.StatusTooManyRequests, messenger.StateNotRun)
			d.RetryAfter = tt.retryAfter
			w := httptest.NewRecorder()
			if err := d.Write(w); err != nil {
				t.Fatal(err)
			}
			want := `{"type":"urn:lentilwood:problem:queue-full","title":"The queue is full","status":429,"run":"not-run"}`
			if got := w.Body.String(); got != want {
				t.Errorf("body = %s, want %s", got, want)
			}
			if got := w.Header().Get(RetryAfterHeader); got != tt.wantRetryAfter {
				t.Errorf("Retry-After = %q, want %q", got, tt.wantRetryAfter)
			}
			if got, want := w.Header().Get(messenger.RunHeader), string(messenger.StateNotRun); got != want {
				t.Errorf("run header = %q, want %q", got, want)
			}
		})
	}
}

func TestRetryAfterSecondsRoundUp(t *testing.T) {
	tests := []struct {
		d    time.Duration
		want int
	}{
		{d: 0, want: 1},
		{d: time.Millisecond, want: 1},
		{d: time.Second, want: 1},
		{d: time.Second + 1, want: 2},
		{d: 90 * time.Second, want: 90},
	}
	for _, tt := range tests {
		if got := (Document{RetryAfter: tt.d}).RetryAfterSeconds(); got != tt.want {
			t.Errorf("RetryAfterSeconds of %v = %d, want %d", tt.d, got, tt.want)
		}
	}
}
