package dispatcher

import (
	"net/http"
	"strings"

	"lentilwood.example/lentilwood/internal/tracker"
)

// responseEvent returns Answer for a status that proves that the request ran, and Decline
// for one that does not.
func responseEvent(status int) tracker.Event {
	if status == http.StatusTooManyRequests || status >= http.StatusInternalServerError {
		return tracker.Decline
	}
	return tracker.Answer
}

// retryableStatus reports whether a request that got this status may be retried at
// another upstream.
func retryableStatus(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusBadGateway,
		http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}

func isEventStream(h http.Header) bool {
	return strings.HasPrefix(strings.ToLower(h.Get("Content-Type")), "text/event-stream")
}
