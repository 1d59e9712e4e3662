package router

import (
	"net/http"

	"lentilwood.example/lentilwood/internal/dispatcher"
	"lentilwood.example/lentilwood/internal/explainer"
	"lentilwood.example/lentilwood/internal/messenger"
)

// closingDialect wraps a Dialect and closes the caller's connection after an overload refusal
// while shouldClose returns true. This handles floods on connections that are already open:
// rejecting new connections relieves a router only if refused callers also lose their
// open connections.
type closingDialect struct {
	dispatcher.Dialect
	shouldClose func() bool
}

// connectionCloser is implemented by callers whose connection can be closed after the answer.
type connectionCloser interface{ CloseAfterResponse() }

// WriteProblem writes a problem document to a caller that gets no answer of an upstream.
func (d closingDialect) WriteProblem(w http.ResponseWriter, req *dispatcher.Request, p explainer.Document) error {
	if c, ok := w.(connectionCloser); ok && isOverloadRefusal(p) && d.shouldClose() {
		c.CloseAfterResponse()
	}
	return d.Dialect.WriteProblem(w, req, p)
}

// isOverloadRefusal reports whether a problem is a refusal because of load: the request did
// not run and may be retried.
func isOverloadRefusal(p explainer.Document) bool {
	return p.Run == messenger.StateNotRun && (p.Status == http.StatusServiceUnavailable || p.Status == http.StatusTooManyRequests)
}
